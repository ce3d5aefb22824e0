"""Admission control at the owner, the node beside the backend server."""

from caperstack.admission.arrivals import ArrivalChecks
from caperstack.admission.execution import Execution
from caperstack.admission.memory import CallMemory
from caperstack.admission.staging import BodyStaging
from caperstack.admission.tracker import ServerTracker
from caperstack.calls.model import (
    NotRun,
    Unknown,
)
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import PeerError
from caperstack.quarantine.suspects import Verdict
from caperstack.trees.runs import RunningCalls

__all__ = ["Owner"]

#: Greatest age, in seconds, of the slowdown reading with which a call starts; each answer of
#: the backend server reports a new one. This causes at most 50 queries per second, of the 60
#: that backend servers sustain.
MAX_READING_AGE_SECONDS = 0.02

#: Timeout for fetching the body of a call that holds a slot, in seconds: 64 kB over a link of
#: 1 Mbit/s.
BODY_SECONDS = 0.5


class Owner(ServerTracker):
    """Admit, queue, run or refuse calls for the one backend server beside this node.

    Every call to the backend server passes through its owner, which therefore knows the
    calls in flight, the free slots and the service times exactly, without queries.

    Parameters
    ----------
    settings : caperstack.config.start.BackendSettings
        The backend server.
    client : object
        With ``async fetch(call, instance)``, as
        `caperstack.backend.client.BackendClient`.
    link : caperstack.transfers.link.LinkBudget, optional
        What bodies may use of the host's link; unknown if not given.

    Attributes
    ----------
    running_calls : caperstack.trees.runs.RunningCalls
        The calls that the backend server runs now.
    """

    def __init__(self, settings, client, link=None):
        super().__init__(settings, client, link)
        self._staging = BodyStaging(self._link, self._transfers, self._gate)
        self.running_calls = RunningCalls()
        self._execution = Execution(
            client,
            self._gate,
            self._times,
            self._slowdown,
            self._breaker,
            self._status,
            self._watch,
            self.running_calls,
        )
        self._memory = CallMemory()
        self._arrivals = None
        self._suspect_running = False

    async def start(self, kernel):
        """Look up the services that the owner depends on."""
        await super().start(kernel)
        await self._execution.start(kernel)
        await self._staging.start(kernel)
        self._arrivals = ArrivalChecks(
            self._status,
            self._breaker,
            self._times,
            self._slowdown,
            kernel.find("pauses"),
            kernel.find("members"),
            self._suspects,
        )

    async def stop(self):
        """Refuse waiting calls; running ones have already ended."""
        self._gate.refuse_all("node stops")
        self._transfers.refuse_all("node stops")

    async def run(self, call, queued=None):
        """Run `call` or refuse it; return its `Outcome`.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        queued : callable, optional
            ``queued()`` is called if the call has to wait, to notify the entry.

        Notes
        -----
        The outcome is recorded under the call's entry and number.  If a record exists when
        the call arrives, the call was revoked before and is refused.
        """
        if self._memory.find(call.origin, call.id) is not None:
            return NotRun("revoked before it arrived", 0.0)
        record = self._memory.begin(call)
        self._times.seed(call)
        outcome = None
        try:
            outcome = await self._admit_and_run(call, record, queued)
        except Exception as error:
            # An unexpected exception must not leave the caller without an answer.
            self._events.state("fault", "none", f"{type(error).__name__}: {error}")
            outcome = _interrupted_outcome("internal error", record)
        finally:
            self._memory.settle(call, record, outcome or _interrupted_outcome("cancelled", record))
        return outcome

    async def revoke(self, origin, number, sent_at):
        """Cancel a call that has not been dispatched, and return its outcome.

        See `caperstack.admission.memory.CallMemory.resolve`.
        """
        return await self._memory.resolve(origin, number, sent_at)

    async def withdraw(self, origin, number):
        """Cancel a call that has not been dispatched, and return its outcome, else ``None``.

        See `caperstack.admission.memory.CallMemory.withdraw`.
        """
        return await self._memory.withdraw(origin, number)

    def abandon(self, origin, number):
        """Cancel call `number` of host `origin`, whose answer nobody awaits."""
        self._memory.abandon(origin, number)

    async def _admit_and_run(self, call, record, queued):
        refusal = await self._stage_body(call, queued) or await self._admit(call, queued)
        if refusal is not None:
            self._record_refusal(call, refusal)
            return refusal
        try:
            refusal = await self._fetch_body(call)
            refusal = refusal or self._arrivals.blocked(call) or self._arrivals.too_late(call)
            if refusal is None and self._suspects.verdict(call.fingerprint) == Verdict.ALONE:
                return await self._run_alone(call, record)
            if refusal is not None:
                self._record_refusal(call, refusal)
                return refusal
            record.dispatched = True
            return await self._execution.run(call)
        finally:
            self._gate.release(sent=record.dispatched)

    async def _stage_body(self, call, queued):
        """Fetch a large body before the call competes for a slot; return the refusal or None."""
        if not self._staging.applies(call):
            return None
        return self._arrivals.refusal(call) or await self._staging.fetch(call, queued)

    async def _fetch_body(self, call):
        """Fetch the body that the entry withheld; return a `NotRun` if that fails."""
        if call.withheld is None:
            return None
        try:
            call.body = await call.withheld.fetch(min(call.deadline, deadline_after(BODY_SECONDS)))
        except PeerError as error:
            return NotRun(f"body did not come: {error.message}", 0.0)
        return None

    async def _run_alone(self, call, record):
        """Run a suspect request unless another one runs here, and refuse it otherwise.

        Notes
        -----
        Otherwise harmless requests that already ran during two crashes could run beside the
        one that causes them once more, and would be charged with the third crash as well.
        """
        if self._suspect_running:
            refusal = NotRun("another suspect is at work", self._times.baseline)
            self._record_refusal(call, refusal)
            return refusal
        self._suspect_running = True
        record.dispatched = True
        try:
            return await self._execution.run(call, isolated=True)
        finally:
            self._suspect_running = False

    def _record_refusal(self, call, refusal):
        self._metrics.refused(refusal.reason)
        self._events.refusal(
            "owner refuses",
            call,
            refusal.reason,
            running=self._gate.running,
            limit=self._gate.limit,
            waiting=self._gate.waiting,
            pace=round(self._slowdown.value, 2),
            rate=self._rate.per_second,
            retry_ms=round(refusal.retry_after * 1000),
            objective_ms=_objective_ms(call),
        )

    async def _admit(self, call, queued):
        """Acquire a slot for `call` and return ``None``, or return the refusal."""
        refusal = self._arrivals.refusal(call)
        if refusal is None and self._reading_due:
            await self._refresh()
            refusal = self._arrivals.refusal(call)
        if refusal is not None:
            return refusal
        refusal = await self._gate.admit(call, lambda wait: self._note_wait(call, wait, queued))
        if refusal is None and call.start_expected_at:
            self._record_wait_error(call)
        return refusal

    @property
    def _reading_due(self):
        """Whether to query the host's slowdown before a call starts.

        Notes
        -----
        If a slow phase of the host begins between two readings, calls that start before the
        next reading take several times as long.  The server may also have turned cold or
        warm since the last one.  The query is cheap, since the node runs beside the server.
        """
        if not self._refresh:
            return False
        stale = not self._slowdown.slowed and self._slowdown.age > MAX_READING_AGE_SECONDS
        return stale or self._cold.report_due

    def _record_wait_error(self, call):
        error = now() - call.start_expected_at
        self._metrics.time("wait_error_seconds", abs(error), "later" if error > 0 else "sooner")

    def _note_wait(self, call, wait, queued):
        call.start_expected_at = now() + wait
        call.notes.append((now(), "queued"))
        self._events.decision(
            "owner queues",
            call,
            waiting=self._gate.waiting,
            wait_ms=round(wait * 1000),
            objective_ms=_objective_ms(call),
        )
        if queued is not None:
            queued()


def _objective_ms(call):
    """Return the time left to the call's objective in milliseconds; negative once passed."""
    return round(time_left(call.objective_at or call.deadline) * 1000)


def _interrupted_outcome(reason, record):
    """Return the outcome of a call that was interrupted, which may have run if dispatched."""
    return Unknown(reason) if record.dispatched else NotRun(reason, 0.0)
