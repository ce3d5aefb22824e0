"""Calls at the backend server: sent once, their times and failures learnt."""

from caperstack.calls.model import NotRun, Unknown
from caperstack.clock import now, time_left
from caperstack.exception import BackendError
from caperstack.quarantine.crash import BackendResult

__all__ = ["Execution"]

GATEWAY_TIMEOUT = 504


class Execution:
    """Send calls that hold a slot to the backend server, and learn from how they end.

    Parameters
    ----------
    client : object
        With ``async fetch(call, instance)``.
    gate : caperstack.admission.gate.SlotGate
        Learns how long calls take with so many at once.
    times : caperstack.admission.limit.ServiceTimes
        Learns how long they take.
    pace : caperstack.admission.pace.HostPace
        How long work takes on the host when a call begins.
    failures : caperstack.admission.limit.FailureShare
        Learns how many fail.
    standing : caperstack.admission.standing.ServerStanding
        The instance that calls are meant for; learns that it answers.
    watch : caperstack.quarantine.crash.CrashDetector
        Knows what is at work, and learns of lost connections.
    """

    def __init__(self, client, gate, times, pace, failures, standing, watch):
        self._client = client
        self._gate = gate
        self._times = times
        self._pace = pace
        self._failures = failures
        self._standing = standing
        self._watch = watch
        self._metrics = None
        self._events = None
        self._suspects = None

    async def start(self, kernel):
        """Find the services that this one needs."""
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects = kernel.find("suspects")

    async def run(self, call):
        """Return the `Outcome` of `call`, which holds a slot."""
        self._times.begin((call.origin, call.id), self._pace.value, call.route)
        call.notes.append((now(), "dispatched"))
        self._events.decision(
            "owner sends",
            call,
            instance=self._standing.instance,
            origin=call.origin,
            asks=call.fingerprint.text,
            running=self._gate.running,
            limit=self._gate.limit,
            pace=round(self._pace.value, 2),
        )
        counts = False
        left = BackendResult.UNANSWERED
        begun = now()
        self._watch.begin(call)
        try:
            answer = await self._client.fetch(call, self._standing.instance)
            if isinstance(answer, NotRun):
                left = BackendResult.NOT_RUN
                return answer
            left = BackendResult.ANSWERED
            counts = answer.status < 500 or answer.status == GATEWAY_TIMEOUT
            self._metrics.time("backend_seconds", now() - begun, call.service)
            self._standing.note_answer()
            self._failures.add(answer.status >= 500)
            if answer.status < 500:
                self._suspects.record_completion(call.fingerprint)
            return answer
        except BackendError as error:
            # Failure: a server so slow that no call ends before its deadline
            # shows no time at all, looks as quick as ever, and draws calls.
            counts = time_left(call.deadline) <= 0
            self._failures.add(True)
            left = BackendResult.UNANSWERED if error.sent else BackendResult.NOT_RUN
            end = await self._watch.lost(call) if error.sent and not counts else None
            return self._failure(call, error, end)
        finally:
            self._watch.finish(call, left)
            ratio = self._times.end((call.origin, call.id), counts)
            if ratio and self._gate.note_time(call, ratio):
                self._events.state("calls at once", "other", self._gate.limit)

    def _failure(self, call, error, end):
        self._metrics.backend_failed(error.message)
        if not error.sent:
            return NotRun(f"backend server unreachable: {error.message}", 0.2)
        late = time_left(call.deadline) <= 0.002
        blamed = end is not None and self._suspects.implicates(end.number, call.fingerprint)
        return Unknown(error.message, 504 if late else 502, end.number if blamed else 0)
