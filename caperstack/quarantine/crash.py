"""Tell the end of a backend server from other losses, and what was at work then."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now, wall_microseconds
from caperstack.membership.order import hash_number

__all__ = ["CrashWatch", "Left", "ServerEnd", "Work"]

#: How long the question waits whether the backend server still listens, in
#: seconds; on its own host a connection takes 0.2 ms, and so does its refusal.
ASK_SECONDS = 0.05

#: Calls without an answer that may be at work still: the latest until the server's
#: last sign of life, twice the slots of the largest backend server of the sheets,
#: and the first ones after it.  What comes later to a server that has gone silent
#: did not make it so.
UNANSWERED_MOST = 36

#: Bits of an end's number that tell it apart from others of the same microsecond;
#: with the wall clock before them the number fits into 64.
CHANCE_BITS = 12


class Left(IntEnum):
    """What a call has left at the backend server when it is over for its owner."""

    #: Nothing, and the server lives.
    ANSWERED = 0
    #: Nothing: it never ran; whoever said so may be another server at the address.
    NOT_RUN = 1
    #: It may be at work there still.
    UNANSWERED = 2


@dataclass(frozen=True, slots=True)
class Work:
    """What is kept of a call that is at work; its body is not, which may be large."""

    origin: str
    number: int
    request_id: str
    fingerprint: Fingerprint
    deadline: float

    @classmethod
    def of(cls, call):
        """Return what to keep of `call`."""
        return cls(call.origin, call.id, call.request_id, call.fingerprint, call.deadline)


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """A backend server that ended while calls were at work.

    Attributes
    ----------
    number : int
        Names this end among all ends of all servers; a later one has a higher number.
    instance : str
        The instance that ended.
    works : dict
        The `Work` of each call that was at work, by entry and number.
    """

    number: int
    instance: str
    works: dict


class CrashWatch:
    """Knows what is at work at one backend server, and notices when it ends.

    Parameters
    ----------
    client : object
        With ``async listens(deadline)``, as
        `caperstack.backend.client.BackendClient`.
    standing : caperstack.admission.standing.ServerStanding
        Which instance it is and whether it leaves.

    Notes
    -----
    A lost connection alone says little: the server may have forgotten an idle
    one, lost an answer, or been cut off for a moment, and lives on.  It has ended
    if it refuses the next connection, or if another start of it is listed while
    calls of the last one are still out.  A server that leaves ends in peace.
    """

    def __init__(self, client, standing):
        self._client = client
        self._standing = standing
        self._at_work = {}
        self._unanswered = deque()
        self._alive_at = now()
        self._asking = None
        self._last = None
        self._ended = False
        self._listeners = []

    def listen(self, listener):
        """Call ``listener(end)`` with each `ServerEnd`."""
        self._listeners.append(listener)

    def begin(self, call):
        """`call` goes to the backend server."""
        self._at_work[call.origin, call.id] = Work.of(call)

    def finish(self, call, left):
        """`call` is over here; `left` tells what it has left at the backend server.

        Notes
        -----
        Failure: a caller leaves, or a hedge has won, and the call is cancelled;
        the server works on, and ends of it.  Nothing that was known to be at work
        would bear the blame, and others would.
        """
        work = self._at_work.pop((call.origin, call.id), None)
        if left == Left.ANSWERED:
            self.note_life()
        elif left == Left.UNANSWERED and work and len(self._unanswered) < 2 * UNANSWERED_MOST:
            self._unanswered.append(work)

    def note_life(self):
        """The backend server has answered something: what is over by now did not end it."""
        self._alive_at = now()
        self._ended = False
        while self._unanswered and (
            self._unanswered[0].deadline < self._alive_at or len(self._unanswered) > UNANSWERED_MOST
        ):
            self._unanswered.popleft()

    async def lost(self, call):
        """Return the `ServerEnd` that took `call`, or ``None`` if the server lives."""
        if not self._took(call):
            if self._asking is None:
                self._asking = asyncio.create_task(self._ask())
            await asyncio.shield(self._asking)
        return self._last if self._took(call) else None

    def _took(self, call):
        return self._last is not None and (call.origin, call.id) in self._last.works

    async def _ask(self):
        try:
            listens = await self._client.listens(deadline_after(ASK_SECONDS))
        finally:
            self._asking = None
        if listens is False and not self._leaves:
            self._end()

    @property
    def _leaves(self):
        return self._standing.state in (ServerState.DRAINING, ServerState.STOPPING)

    def started_anew(self):
        """Another start of the backend server is listed: what the last one ran ended with it."""
        if self._leaves:
            self._unanswered.clear()
        self._end()
        self._ended = False

    def _number(self, work):
        name = f"{self._standing.instance}@{self._standing.born_ms} {work.origin} {work.number}"
        return wall_microseconds() << CHANCE_BITS | hash_number(name) >> (64 - CHANCE_BITS)

    def _end(self):
        # Failure: a server goes silent without breaking a connection, and its
        # calls are given up long before another start of it is listed.  What it
        # was at work on is what was out at its last sign of life.
        works = [work for work in self._unanswered if work.deadline > self._alive_at]
        works += self._at_work.values()
        self._unanswered.clear()
        self._at_work.clear()
        if not works or self._ended:
            # Failure: calls that were sent to the address after the end, and met
            # the next start before the list names it, make a second end of one;
            # what was at work at two ends would have three to its name.
            return
        self._ended = True
        by_number = {(work.origin, work.number): work for work in works}
        self._last = ServerEnd(self._number(works[0]), self._standing.instance, by_number)
        for listener in self._listeners:
            listener(self._last)
