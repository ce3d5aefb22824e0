"""Records of calls at the owner, from which it reports their outcomes to entries."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from caperstack.calls.model import Answered, NotRun, Unknown
from caperstack.clock import deadline_after, now

__all__ = ["CallMemory", "Record"]

#: Retention of a call's record beyond its deadline, in seconds, so that a late revocation gets
#: the true outcome, and greatest number of records. An entry asks only until the deadline of
#: its call.
MEMORY_SECONDS = 5.0
MAX_RECORDS = 20_000

#: Retention of a revocation whose call has not arrived, in seconds: longer than a message
#: stays in the buffers of a connection.
REVOKED_SECONDS = 30.0

#: Greatest difference between two hosts' measurements of the same time span, in seconds.
CLOCK_MARGIN_SECONDS = 0.05

#: Greatest size of an answer that is kept for an entry that lost its connection, in bytes.
MAX_ANSWER_BYTES = 64 * 1024

#: Greatest total size of the kept answers, in bytes.
MAX_KEPT_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class Record:
    """Record of one call: whether it was dispatched to the backend server, and its outcome."""

    arrived_at: float
    forget_at: float
    outcome: asyncio.Future
    dispatched: bool = False
    task: asyncio.Task = None
    kept_bytes: int = 0


class CallMemory:
    """Records of calls by entry and call number, bounded in time, count and bytes."""

    def __init__(self):
        self._records = OrderedDict()
        self._kept_bytes = 0
        self._since = now()

    def find(self, origin, number):
        """Return the `Record` of call `number` of host `origin`, or ``None``."""
        return self._records.get((origin, number))

    def begin(self, call):
        """Create and return the `Record` of `call`, which runs in the current task."""
        record = self._add((call.origin, call.id), call.deadline + MEMORY_SECONDS)
        record.task = asyncio.current_task()
        return record

    def revoke(self, origin, number):
        """Create the `Record` of a call that has not arrived and must not run if it does."""
        record = self._add((origin, number), deadline_after(REVOKED_SECONDS))
        record.outcome.set_result(NotRun("revoked before it arrived", 0.0))
        return record

    async def resolve(self, origin, number, sent_at):
        """Cancel a call that has not been dispatched, and return its outcome.

        Parameters
        ----------
        origin, number : str, int
            The call's entry and number.
        sent_at : float
            When the call was sent, on the local monotonic clock.

        Returns
        -------
        Outcome
            `NotRun` guarantees that the call will never run here.  If the call was
            dispatched, its actual outcome is awaited.

        Notes
        -----
        An owner that is killed while a booking runs in its backend server has no records
        after its restart.  If it then answered `NotRun` for a booking it does not know, the
        booking would run a second time elsewhere.  For a call without a record, an owner
        therefore answers `NotRun` only if the call was sent within the time for which its
        records are complete.
        """
        record = self.find(origin, number)
        if record is None and not self.covers(sent_at):
            return Unknown("the owner does not remember that far back")
        if record is None:
            record = self.revoke(origin, number)
        elif not record.dispatched and record.task is not None and not record.outcome.done():
            record.task.cancel()
        return await asyncio.shield(record.outcome)

    async def withdraw(self, origin, number):
        """Cancel a call that has not been dispatched.

        Returns
        -------
        NotRun or None
            The outcome, or ``None`` if the call reports its own: it has been dispatched, has
            ended, or has not arrived and will be refused when it does.
        """
        record = self.find(origin, number)
        if record is None:
            self.revoke(origin, number)
            return None
        if record.dispatched or record.task is None or record.outcome.done():
            return None
        record.task.cancel()
        return await asyncio.shield(record.outcome)

    def abandon(self, origin, number):
        """Cancel call `number` of host `origin`, whose answer nobody awaits."""
        record = self.find(origin, number)
        if record is None:
            self.revoke(origin, number)
        elif record.task is not None and not record.outcome.done():
            record.task.cancel()

    def covers(self, sent_at):
        """Return whether a call that was sent at `sent_at` would still have a record."""
        return sent_at > self._since + CLOCK_MARGIN_SECONDS

    def settle(self, call, record, outcome):
        """Record the outcome of `call`, and keep its answer if its entry may ask for it."""
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
        """Reserve memory for `answer` and return whether to keep it.

        Notes
        -----
        Entries ask only for the outcomes of calls that are not idempotent, such as bookings.
        """
        size = len(answer.body)
        if call.idempotent or size > MAX_ANSWER_BYTES:
            return False
        if self._kept_bytes + size > MAX_KEPT_BYTES:
            return False
        record.kept_bytes = size
        self._kept_bytes += size
        return True
