"""What an owner remembers of calls, so that it can say truthfully how they ended."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from caperstack.calls.model import Answered, NotRun, Unknown
from caperstack.clock import deadline_after, now

__all__ = ["CallMemory", "Record"]

#: For how long beyond its deadline, and how many, ended or revoked calls are
#: remembered, so that a revocation that comes late is answered truthfully.  An
#: entry asks until the deadline of its call and no longer.
MEMORY_SECONDS = 5.0
MAX_RECORDS = 20_000

#: How long a revocation is remembered whose call has not come, in seconds:
#: longer than a message lies in the buffers of a connection.
REVOKED_SECONDS = 30.0

#: How far two hosts' measures of one span of time may differ, in seconds.
CLOCK_MARGIN_SECONDS = 0.05

#: Answers up to this size are kept for an entry that lost its connection.
MAX_ANSWER_BYTES = 64 * 1024

#: All answers kept together, in bytes.
MAX_KEPT_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class Record:
    """One call: whether it went to the backend server, and how it ended."""

    arrived_at: float
    forget_at: float
    outcome: asyncio.Future
    dispatched: bool = False
    task: asyncio.Task = None
    kept_bytes: int = 0


class CallMemory:
    """Records of calls by entry and number, bounded in time, count and bytes."""

    def __init__(self):
        self._records = OrderedDict()
        self._kept_bytes = 0
        self._since = now()

    def find(self, origin, number):
        """Return the `Record` of call `number` of host `origin`, or ``None``."""
        return self._records.get((origin, number))

    def begin(self, call):
        """Return the new `Record` of `call`, which runs in the current task."""
        record = self._add((call.origin, call.id), call.deadline + MEMORY_SECONDS)
        record.task = asyncio.current_task()
        return record

    def revoke(self, origin, number):
        """Return the `Record` of a call that has not come and must not run when it does."""
        record = self._add((origin, number), deadline_after(REVOKED_SECONDS))
        record.outcome.set_result(NotRun("revoked before it arrived", 0.0))
        return record

    async def resolve(self, origin, number, sent_at):
        """Stop a call that has not been dispatched, and return how it ended.

        Parameters
        ----------
        origin, number : str, int
            The call's entry and number.
        sent_at : float
            When it was sent, on the local monotonic clock.

        Returns
        -------
        Outcome
            `NotRun` is proof: the call never will run here.  A call that was
            dispatched is waited for, its answer is the answer.

        Notes
        -----
        Failure: an owner is killed with a booking running in its backend
        server, starts again with no memory, and is asked how the booking
        ended.  It has never heard of it, says "not run", and the booking runs
        a second time elsewhere.  An owner speaks only for calls that were sent
        since it remembers everything.
        """
        record = self.find(origin, number)
        if record is None and not self.covers(sent_at):
            return Unknown("the owner does not remember that far back")
        if record is None:
            record = self.revoke(origin, number)
        elif not record.dispatched and record.task is not None and not record.outcome.done():
            record.task.cancel()
        return await asyncio.shield(record.outcome)

    def abandon(self, origin, number):
        """Cancel call `number` of host `origin`; nobody waits for its answer."""
        record = self.find(origin, number)
        if record is None:
            self.revoke(origin, number)
        elif record.task is not None and not record.outcome.done():
            record.task.cancel()

    def covers(self, sent_at):
        """Return whether a call that was sent at `sent_at` would still be remembered."""
        return sent_at > self._since + CLOCK_MARGIN_SECONDS

    def settle(self, call, record, outcome):
        """Note how `call` ended, and keep its answer if it is worth that."""
        if record.outcome.done():
            return
        record.task = None
        if isinstance(outcome, Answered) and not self._keep_answer(call, record, outcome):
            outcome = Unknown("ran, but its answer is no longer held")
        record.outcome.set_result(outcome)

    def _add(self, key, forget_at):
        self._evict_expired()
        outcome = asyncio.get_running_loop().create_future()
        record = self._records[key] = Record(now(), forget_at, outcome)
        return record

    def _evict_expired(self):
        moment = now()
        while self._records:
            key, record = next(iter(self._records.items()))
            if not record.outcome.done():
                self._records.move_to_end(key)
                return
            if record.forget_at > moment and len(self._records) < MAX_RECORDS:
                return
            self._since = max(self._since, record.arrived_at)
            del self._records[key]
            self._kept_bytes -= record.kept_bytes

    def _keep_answer(self, call, record, answer):
        """Return whether `answer` is worth its memory; only bookings are asked after."""
        size = len(answer.body)
        if call.idempotent or size > MAX_ANSWER_BYTES:
            return False
        if self._kept_bytes + size > MAX_KEPT_BYTES:
            return False
        record.kept_bytes = size
        self._kept_bytes += size
        return True
