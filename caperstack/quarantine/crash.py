"""Tell the end of a backend server from other losses, and what was at work then."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now, wall_microseconds
from caperstack.membership.order import hash_number

__all__ = ["BackendResult", "CrashDetector", "PendingCall", "ServerCrash"]

#: How long the question waits whether the backend server still listens, in
#: seconds; on its own host a connection takes 0.2 ms, and so does its refusal.
PROBE_TIMEOUT_SECONDS = 0.05

#: Calls without an answer that may be at work still: the latest until the server's
#: last sign of life, twice the slots of the largest backend server of the sheets,
#: and the first ones after it.  What comes later to a server that has gone silent
#: did not make it so.
MAX_UNANSWERED = 36

#: Bits of an end's number that tell it apart from others of the same microsecond;
#: with the wall clock before them the number fits into 64.
HASH_BITS = 12


class BackendResult(IntEnum):
    """What a call has left at the backend server when it is over for its owner."""

    #: Nothing, and the server lives.
    ANSWERED = 0
    #: Nothing: it never ran; whoever said so may be another server at the address.
    NOT_RUN = 1
    #: It may be at work there still.
    UNANSWERED = 2


@dataclass(frozen=True, slots=True)
class PendingCall:
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
class ServerCrash:
    """A backend server that ended while calls were at work.

    Attributes
    ----------
    number : int
        Names this end among all ends of all servers; a later one has a higher number.
    instance : str
        The instance that ended.
    pending_calls : dict
        The `PendingCall` of each call that was at work, by entry and number.
    """

    number: int
    instance: str
    pending_calls: dict


class CrashDetector:
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
        self._running = {}
        self._unanswered = deque()
        self._last_response_at = now()
        self._probe_task = None
        self._last_crash = None
        self._crash_recorded = False
        self._listeners = []

    def listen(self, listener):
        """Call ``listener(end)`` with each `ServerCrash`."""
        self._listeners.append(listener)

    def begin(self, call):
        """`call` goes to the backend server."""
        self._running[call.origin, call.id] = PendingCall.of(call)

    def finish(self, call, left):
        """`call` is over here; `left` tells what it has left at the backend server.

        Notes
        -----
        Failure: a caller leaves, or a hedge has won, and the call is cancelled;
        the server works on, and ends of it.  Nothing that was known to be at work
        would bear the blame, and others would.
        """
        work = self._running.pop((call.origin, call.id), None)
        if left == BackendResult.ANSWERED:
            self.record_response()
        elif (
            left == BackendResult.UNANSWERED and work and len(self._unanswered) < 2 * MAX_UNANSWERED
        ):
            self._unanswered.append(work)

    def record_response(self):
        """The backend server has answered something: what is over by now did not end it."""
        self._last_response_at = now()
        self._crash_recorded = False
        while self._unanswered and (
            self._unanswered[0].deadline < self._last_response_at
            or len(self._unanswered) > MAX_UNANSWERED
        ):
            self._unanswered.popleft()

    async def lost(self, call):
        """Return the `ServerCrash` that took `call`, or ``None`` if the server lives."""
        if not self._includes(call):
            if self._probe_task is None:
                self._probe_task = asyncio.create_task(self._probe())
            await asyncio.shield(self._probe_task)
        return self._last_crash if self._includes(call) else None

    def _includes(self, call):
        return (
            self._last_crash is not None
            and (call.origin, call.id) in self._last_crash.pending_calls
        )

    async def _probe(self):
        try:
            listens = await self._client.listens(deadline_after(PROBE_TIMEOUT_SECONDS))
        finally:
            self._probe_task = None
        if listens is False and not self._leaves:
            self._record_crash()

    @property
    def _leaves(self):
        return self._standing.state in (ServerState.LEAVING, ServerState.STOPPING)

    def on_server_restart(self):
        """Another start of the backend server is listed: what the last one ran ended with it."""
        if self._leaves:
            self._unanswered.clear()
        self._record_crash()
        self._crash_recorded = False

    def _crash_number(self, work):
        name = f"{self._standing.instance}@{self._standing.born_ms} {work.origin} {work.number}"
        return wall_microseconds() << HASH_BITS | hash_number(name) >> (64 - HASH_BITS)

    def _record_crash(self):
        # Failure: a server goes silent without breaking a connection, and its
        # calls are given up long before another start of it is listed.  What it
        # was at work on is what was out at its last sign of life.
        pending_calls = [
            work for work in self._unanswered if work.deadline > self._last_response_at
        ]
        pending_calls += self._running.values()
        self._unanswered.clear()
        self._running.clear()
        if not pending_calls or self._crash_recorded:
            # Failure: calls that were sent to the address after the end, and met
            # the next start before the list names it, make a second end of one;
            # what was at work at two ends would have three to its name.
            return
        self._crash_recorded = True
        by_number = {(work.origin, work.number): work for work in pending_calls}
        self._last_crash = ServerCrash(
            self._crash_number(pending_calls[0]), self._standing.instance, by_number
        )
        for listener in self._listeners:
            listener(self._last_crash)
