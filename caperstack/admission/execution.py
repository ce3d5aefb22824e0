"""Execution of calls at the backend server, with records of their times and failures."""

from caperstack.calls.model import NotRun, Unknown
from caperstack.clock import now, time_left
from caperstack.exception import BackendError
from caperstack.quarantine.crash import BackendResult

__all__ = ["Execution"]

GATEWAY_TIMEOUT = 504


class Execution:
    """Send calls that hold a slot to the backend server once, and record how they end.

    Parameters
    ----------
    client : object
        With ``async fetch(call, instance)``.
    gate : caperstack.admission.gate.SlotGate
        Receives the time ratio of each call, from which it learns the best concurrency.
    times : caperstack.admission.limit.ServiceTimes
        Receives the start and the service time of each call.
    slowdown : caperstack.admission.slowdown.HostSlowdown
        Provides the slowdown of the host when a call begins.
    breaker : caperstack.admission.limit.CircuitBreaker
        Receives whether each call failed.
    status : caperstack.admission.status.ServerStatus
        Provides the instance to which calls are addressed; is notified of its answers.
    watch : caperstack.quarantine.crash.CrashDetector
        Tracks the running calls, and decides whether a call was lost in a crash.
    runs : caperstack.trees.runs.RunningCalls
        Receives the start and the end of each call.
    """

    def __init__(self, client, gate, times, slowdown, breaker, status, watch, runs):
        self._client = client
        self._gate = gate
        self._times = times
        self._slowdown = slowdown
        self._breaker = breaker
        self._status = status
        self._watch = watch
        self._runs = runs
        self._metrics = None
        self._events = None
        self._suspects = None

    async def start(self, kernel):
        """Look up the services that the execution depends on."""
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects = kernel.find("suspects")

    async def run(self, call, isolated=False):
        """Run `call`, which holds a slot, and return its `Outcome`.

        `isolated` tells whether it is a suspect that the owner runs in isolation.
        """
        self._times.begin((call.origin, call.id), self._slowdown.value, call.route)
        call.notes.append((now(), "dispatched"))
        self._events.decision(
            "owner sends",
            call,
            instance=self._status.instance,
            origin=call.origin,
            asks=call.fingerprint.text,
            running=self._gate.running,
            limit=self._gate.limit,
            pace=round(self._slowdown.value, 2),
        )
        is_sample = False
        result = BackendResult.UNANSWERED
        begun = now()
        self._watch.begin(call, isolated)
        self._runs.begin(call)
        try:
            answer = await self._client.fetch(call, self._status.instance)
            if isinstance(answer, NotRun):
                result = BackendResult.NOT_RUN
                return answer
            result = BackendResult.ANSWERED
            is_sample = answer.status < 500 or answer.status == GATEWAY_TIMEOUT
            self._metrics.time("backend_seconds", now() - begun, call.service)
            self._status.note_answer()
            self._breaker.add(answer.status >= 500)
            if answer.status < 500:
                self._suspects.record_completion(call.fingerprint)
            return answer
        except BackendError as error:
            if error.status:
                # The server is alive and has ended the call.
                result = BackendResult.ANSWERED
                self._status.note_answer()
                self._breaker.add(error.status >= 500)
                return self._failure(call, error, None)
            # A call that reaches its deadline counts as a sample.  Otherwise a server so slow
            # that no call ends in time would yield no samples, look fast and attract calls.
            is_sample = time_left(call.deadline) <= 0
            if not error.closed_here:
                self._breaker.add(True)
            result = BackendResult.UNANSWERED if error.sent else BackendResult.NOT_RUN
            crash = await self._watch.lost(call) if error.sent and not is_sample else None
            return self._failure(call, error, crash)
        finally:
            self._watch.finish(call, result)
            self._runs.end(call)
            ratio = self._times.end((call.origin, call.id), is_sample)
            if ratio and self._gate.record_time(call, ratio):
                self._events.state("calls at once", "other", self._gate.limit)

    def _failure(self, call, error, crash):
        """Return the outcome of a call that got no answer and may have been lost in `crash`."""
        self._metrics.backend_failed(error.message)
        self._events.decision(
            "owner gets no answer",
            call,
            reason=error.message,
            during=error.step,
            status=error.status,
            received_bytes=error.received,
            closed_here=error.closed_here,
        )
        if not error.sent:
            return NotRun(f"backend server unreachable: {error.message}", 0.2)
        late = time_left(call.deadline) <= 0.002
        blamed = crash is not None and self._suspects.implicates(crash.number, call.fingerprint)
        return Unknown(error.message, 504 if late else 502, crash.number if blamed else 0)
