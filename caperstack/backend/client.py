"""The leg to the backend server: kept-alive connections, each request sent once."""

import asyncio
from dataclasses import dataclass

from caperstack.addresses import split_address
from caperstack.backend.connection import BackendConnection
from caperstack.backend.reuse import ReusePolicy
from caperstack.calls.dialect import Dialect, cold_seconds
from caperstack.calls.headers import end_to_end
from caperstack.calls.model import NotRun
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import BackendError

__all__ = ["BackendClient", "ServerHealth"]

CONNECT_SECONDS = 1.0

#: A connection that the backend server had forgotten is reset within so many
#: seconds of a send; one that is lost later was lost with its work.
RESET_SECONDS = 0.02

#: How soon a call that the backend server refused may come back, in seconds: at once.
#: Its owner never sends more calls than there are slots, so a refusal does not
#: mean that the server is full, and the next try has the same chance later.
REFUSED_SECONDS = 0.0

MISDIRECTED = 421
HEALTHY = 200

#: How much of a header that can't be read is told, in characters.
MAX_UNREADABLE_CHARACTERS = 60


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """What the health path says.

    Attributes
    ----------
    healthy : bool
        Whether the server calls itself healthy.
    cold_seconds : float
        For how long it stays cold; 0 if it does not say so.
    unreadable : str
        What it says of that, if it can't be read.
    """

    healthy: bool
    cold_seconds: float = 0.0
    unreadable: str = ""


class BackendClient:
    """Requests to one backend server over at most `connections` connections.

    Parameters
    ----------
    address : str
        Its ``ip:port``.
    connections : int
        The most connections that are open at once; further requests wait.
    max_answer_bytes : int
        The longest answer that is taken.
    dialect : caperstack.calls.dialect.Dialect
        The header names that the backend server knows.
    on_report : callable, optional
        Called with each `caperstack.calls.dialect.ServerReport`.

    Notes
    -----
    A request is sent once.  Whether it may be sent again is for the entry to
    decide, which holds the budget for that.
    """

    def __init__(self, address, connections, max_answer_bytes, dialect=None, on_report=None):
        self._address = address
        self._max_answer_bytes = max_answer_bytes
        self._dialect = dialect or Dialect()
        self._node_headers = frozenset(
            name.lower() for name in (self._dialect.request_id, self._dialect.load)
        )
        self._on_report = on_report or _ignore
        self._reuse = ReusePolicy()
        self._permits = asyncio.Semaphore(connections)
        self._idle = []
        self._running = set()
        self.opened = 0

    @property
    def in_flight(self):
        """How many requests are running."""
        return len(self._running)

    @property
    def address(self):
        """The backend server's ``ip:port``."""
        return self._address

    def listen(self, on_report):
        """Call ``on_report(report)`` with what each answer tells of the server."""
        self._on_report = on_report

    def move(self, address):
        """Another address holds the backend server from now on."""
        self._address = address
        self._drop_idle()

    async def start(self, kernel):
        """Nothing to start: connections open with the first requests."""

    async def stop(self):
        """Drop all connections."""
        for connection in list(self._running):
            connection.close()
        self._drop_idle()

    def restart(self):
        """The backend server has started anew: nothing of its former run is left to wait for."""
        for connection in list(self._running):
            connection.close()
        self._drop_idle()
        self._reuse = ReusePolicy()

    def _drop_idle(self):
        while self._idle:
            self._idle.pop().close()

    async def fetch(self, call, instance=""):
        """Send `call` to the backend server and return its outcome.

        Cancelling the task closes the connection, which is how a backend
        server learns that nobody waits any longer.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        instance : str
            The instance that it is meant for; empty for any.

        Returns
        -------
        Answered or NotRun
            `NotRun` is the backend server's own word that it did not run it.

        Raises
        ------
        BackendError
            If there was no whole answer; ``sent`` tells whether the backend
            server may have got the request.
        """
        async with self._permits:
            at_most_once = not call.idempotent
            connection = self._take_idle(at_most_once) or await self._open(call.deadline)
            headers = self._headers(call, instance)
            answer = await self._perform(connection, call, headers)
        return self._refusal(answer) or self._without_node_headers(answer)

    async def probe(self, path, deadline):
        """Send ``GET path``, without a request id, and return its `ServerHealth`.

        Raises
        ------
        BackendError
            If there was no whole answer.
        """
        connection = self._take_idle(False) or await self._open(deadline)
        host = [("Host", self._address)]
        answer = await self._within_deadline(
            connection, connection.exchange("GET", path, host, b"", ""), deadline
        )
        return self._health(answer)

    def _health(self, answer):
        try:
            cold = cold_seconds(answer.headers, self._dialect)
        except ValueError as error:
            return ServerHealth(
                answer.status == HEALTHY, unreadable=str(error)[:MAX_UNREADABLE_CHARACTERS]
            )
        return ServerHealth(answer.status == HEALTHY, cold)

    async def listens(self, deadline):
        """Return whether the backend server takes connections; ``None`` if nothing tells."""
        try:
            connection = await self._open(deadline)
        except BackendError as error:
            return False if error.refused else None
        connection.close()
        return True

    async def _perform(self, connection, call, headers):
        sending = connection.exchange(call.method, call.target, headers, call.body, call.request_id)
        return await self._within_deadline(connection, sending, call.deadline)

    async def _within_deadline(self, connection, sending, deadline):
        self._running.add(connection)
        idle_since = connection.idle_since
        begun = now()
        complete = False
        try:
            async with asyncio.timeout_at(deadline):
                answer = await sending
            complete = True
            return answer
        except TimeoutError:
            raise BackendError("deadline passed", step="backend", peer=self._address) from None
        except BackendError as error:
            if idle_since and error.unheard and now() - begun < RESET_SECONDS:
                self._reuse.record_loss(begun - idle_since)
            raise
        finally:
            self._running.discard(connection)
            if complete:
                self._idle.append(connection)
            else:
                connection.close()

    def _take_idle(self, at_most_once):
        """Return a usable idle connection, the last used first, or ``None``."""
        self._drop_old()
        while self._idle:
            if not self._reuse.allows(self._idle[-1].idle_since, at_most_once):
                return None
            connection = self._idle.pop()
            if connection.usable():
                return connection
            connection.close()
        return None

    def _drop_old(self):
        while self._idle and not self._idle[0].usable():
            self._idle.pop(0).close()

    async def _open(self, deadline):
        connection = BackendConnection(
            split_address(self._address), self._dialect, self._max_answer_bytes, self._on_report
        )
        self.opened += 1
        await connection.open(min(deadline, deadline_after(CONNECT_SECONDS)))
        return connection

    def _headers(self, call, instance):
        dialect = self._dialect
        headers = list(call.headers)
        headers.append((dialect.request_id, call.request_id))
        if dialect.time_left:
            left = max(1, int(time_left(call.deadline) * 1000))
            headers.append((dialect.time_left, str(left)))
        if instance and dialect.target_instance:
            headers.append((dialect.target_instance, instance))
        return headers

    def _without_node_headers(self, answer):
        """Drop from `answer` what is for nodes only; it would cross zones for nothing."""
        kept = end_to_end(answer.headers)
        answer.headers = [pair for pair in kept if pair[0].lower() not in self._node_headers]
        return answer

    def _refusal(self, answer):
        if answer.status == MISDIRECTED and self._dialect.target_instance:
            return NotRun("another instance has the address", REFUSED_SECONDS, offered=True)
        name = self._dialect.not_executed.lower()
        if name and any(header.lower() == name for header, _ in answer.headers):
            reason = f"backend server refused with {answer.status}"
            return NotRun(reason, REFUSED_SECONDS, offered=True)
        return None


def _ignore(_report):
    """Nobody wants to know."""
