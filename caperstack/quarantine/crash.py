"""Detection of backend server crashes, and of the calls that were running then."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now, wall_microseconds
from caperstack.membership.order import hash_number

__all__ = ["BackendResult", "CrashDetector", "PendingCall", "ServerCrash"]

#: Timeout of the probe whether the backend server still listens, in seconds.  On the
#: same host a connection is accepted or refused within 0.2 ms.
PROBE_TIMEOUT_SECONDS = 0.05

#: Unanswered calls that are kept because they may still be running: at most this many,
#: the latest, when the server responds, and then the earliest after that response, up
#: to twice this number in all.  It is twice the slots of the largest specified backend
#: server.  Calls that reach a hung server later did not cause the hang.
MAX_UNANSWERED = 36

#: Low bits of a crash number, a hash that distinguishes crashes in the same microsecond.
#: With the wall clock in the high bits the number fits into 64 bits.
HASH_BITS = 12


class BackendResult(IntEnum):
    """What the owner knows of a call's execution when it stops waiting for the answer."""

    #: The server answered, so it is alive and the call has ended.
    ANSWERED = 0
    #: The call never ran.  The refusal may come from another server that now has the
    #: address, so this is no evidence that the server is alive.
    NOT_RUN = 1
    #: The call may still be running.
    UNANSWERED = 2


@dataclass(frozen=True, slots=True)
class PendingCall:
    """The data kept about a running call, without its body, which may be large.

    `isolated` tells whether it runs as the only suspect of its server.
    """

    origin: str
    number: int
    request_id: str
    fingerprint: Fingerprint
    deadline: float
    isolated: bool

    @classmethod
    def of(cls, call, isolated):
        """Return the `PendingCall` for `call`."""
        return cls(call.origin, call.id, call.request_id, call.fingerprint, call.deadline, isolated)


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A crash of a backend server while calls were running.

    Attributes
    ----------
    number : int
        Identifies the crash among those of all servers; a later one has a higher number.
    instance : str
        The instance that crashed.
    pending_calls : dict
        The `PendingCall` of each running call, by its entry (``origin``) and number.
    """

    number: int
    instance: str
    pending_calls: dict


class CrashDetector:
    """Track the calls running at one backend server, and detect its crashes.

    Parameters
    ----------
    client : object
        With ``async listens(deadline)``, as
        `caperstack.backend.client.BackendClient`.
    status : caperstack.admission.status.ServerStatus
        The server's instance and state.

    Notes
    -----
    A lost connection alone is no proof of a crash: the server may have closed an idle
    connection, lost an answer, or been unreachable for a moment.  It has crashed if
    it refuses the next connection, or if a restart of it is listed while calls of
    the previous run are still unanswered.  The exit of a server that is leaving or
    stopping is not a crash.
    """

    def __init__(self, client, status):
        self._client = client
        self._status = status
        self._running = {}
        self._unanswered = deque()
        self._last_response_at = now()
        self._probe_task = None
        self._last_crash = None
        self._crash_recorded = False
        self._listeners = []

    def listen(self, listener):
        """Call ``listener(crash)`` with each `ServerCrash`."""
        self._listeners.append(listener)

    def begin(self, call, isolated=False):
        """Record that `call` is sent to the backend server, in isolation if `isolated`."""
        self._running[call.origin, call.id] = PendingCall.of(call, isolated)

    def finish(self, call, result):
        """Record that the owner no longer waits for `call`, and its `BackendResult`.

        Notes
        -----
        The owner cancels a call when its caller disconnects, or when another attempt
        of a hedged call has answered.  The server may go on with it and crash, so an
        unanswered call is kept as a possible cause; otherwise only other calls would
        be blamed.
        """
        pending = self._running.pop((call.origin, call.id), None)
        if result == BackendResult.ANSWERED:
            self.record_response()
        elif (
            result == BackendResult.UNANSWERED
            and pending
            and len(self._unanswered) < 2 * MAX_UNANSWERED
        ):
            self._unanswered.append(pending)

    def record_response(self):
        """Record a response of the server, and drop unanswered calls past their deadline.

        Notes
        -----
        The server is alive after those deadlines, so these calls did not crash it.
        """
        self._last_response_at = now()
        self._crash_recorded = False
        while self._unanswered and (
            self._unanswered[0].deadline < self._last_response_at
            or len(self._unanswered) > MAX_UNANSWERED
        ):
            self._unanswered.popleft()

    async def lost(self, call):
        """Return the `ServerCrash` in which `call` was lost, or ``None`` if the server is alive."""
        if not self._in_last_crash(call):
            if self._probe_task is None:
                self._probe_task = asyncio.create_task(self._probe())
            await asyncio.shield(self._probe_task)
        return self._last_crash if self._in_last_crash(call) else None

    def _in_last_crash(self, call):
        return (
            self._last_crash is not None
            and (call.origin, call.id) in self._last_crash.pending_calls
        )

    async def _probe(self):
        try:
            listens = await self._client.listens(deadline_after(PROBE_TIMEOUT_SECONDS))
        finally:
            self._probe_task = None
        # ``None`` means that the probe neither connected nor was refused.
        if listens is False and not self._is_leaving:
            self._record_crash()

    @property
    def _is_leaving(self):
        return self._status.state in (ServerState.DRAINING, ServerState.STOPPING)

    def on_server_restart(self):
        """Handle a listed restart of the server, which ended all calls of the previous run."""
        if self._is_leaving:
            self._unanswered.clear()
        self._record_crash()
        self._crash_recorded = False

    def _crash_number(self, pending):
        name = f"{self._status.instance}@{self._status.born_ms} {pending.origin} {pending.number}"
        return wall_microseconds() << HASH_BITS | hash_number(name) >> (64 - HASH_BITS)

    def _record_crash(self):
        # A server may hang without closing a connection, and its calls time out long
        # before a restart is listed.  The calls that were in flight at its last
        # response are the ones that were running.
        pending_calls = [
            pending for pending in self._unanswered if pending.deadline > self._last_response_at
        ]
        pending_calls += self._running.values()
        self._unanswered.clear()
        self._running.clear()
        if not pending_calls or self._crash_recorded:
            # Calls sent to the address after the crash may reach the restarted server
            # before the restart is listed.  They must not count as a second crash, or
            # three crashes would count against a request that was running at two.
            return
        self._crash_recorded = True
        by_number = {(pending.origin, pending.number): pending for pending in pending_calls}
        self._last_crash = ServerCrash(
            self._crash_number(pending_calls[0]), self._status.instance, by_number
        )
        for listener in self._listeners:
            listener(self._last_crash)
