"""HTTP client for the backend server; reuses connections but never resends a request."""

import asyncio
from dataclasses import dataclass

from tornado.httputil import RequestStartLine

from caperstack.addresses import split_address
from caperstack.backend.connection import BackendConnection
from caperstack.backend.intake import AnswerIntake
from caperstack.backend.reuse import ReusePolicy
from caperstack.calls.dialect import MAX_UNREADABLE_CHARACTERS, Dialect, cold_seconds
from caperstack.calls.headers import end_to_end
from caperstack.calls.model import NotRun
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import BackendError

__all__ = ["BackendClient", "ServerHealth"]

#: Timeout for opening a connection, in seconds.
CONNECT_SECONDS = 1.0

#: If a reused connection is lost within this time after a request is sent, in seconds,
#: and before any response, the backend server is assumed to have dropped it while it was
#: idle.  A connection lost later is lost while the server works on the request.
RESET_SECONDS = 0.02

#: Delay before a call that the backend server refused may be retried, in seconds.  The
#: owner never sends more calls than there are slots, so a refusal does not mean that
#: the server is full, and waiting does not make a retry more likely to succeed.
REFUSED_SECONDS = 0.0

#: Maximum size of the body of a response to a health check, in bytes.
MAX_HEALTH_BYTES = 64 * 1024

MISDIRECTED = 421
HEALTHY = 200

#: Statuses from which callers conclude that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """Result of a request to the health path.

    Attributes
    ----------
    healthy : bool
        Whether the server reports that it is healthy.
    cold_seconds : float
        Seconds for which the server stays cold; 0 if not reported.
    unreadable : str
        Text of the cold header if it could not be parsed, else empty.
    """

    healthy: bool
    cold_seconds: float = 0.0
    unreadable: str = ""


class BackendClient:
    """Send requests to one backend server over a bounded number of connections.

    Parameters
    ----------
    address : str
        Address of the backend server, ``ip:port``.
    connections : int
        Maximum number of calls in progress at once; further calls wait.
    max_answer_bytes : int
        Maximum size of a response body, in bytes.
    dialect : caperstack.calls.dialect.Dialect, optional
        Header names and conventions of the backend server.
    on_report : callable, optional
        Called with each `caperstack.calls.dialect.ServerReport`.
    max_held_bytes : int, optional
        Maximum total size of the response bodies that are being received, in bytes; limited
        only by `connections` and `max_answer_bytes` if not given.

    Attributes
    ----------
    opened : int
        Number of connections opened since the start, failed attempts included.

    Notes
    -----
    A request is sent only once.  The entry decides whether it may be sent again,
    since it holds the retry budget.
    """

    def __init__(
        self,
        address,
        connections,
        max_answer_bytes,
        dialect=None,
        on_report=None,
        max_held_bytes=None,
    ):
        self._address = address
        self._max_answer_bytes = max_answer_bytes
        self._dialect = dialect or Dialect()
        self._node_headers = frozenset(
            name.lower() for name in (self._dialect.request_id, self._dialect.load)
        )
        self._on_report = on_report or _ignore
        self._intake = AnswerIntake(max_held_bytes or connections * max_answer_bytes)
        self._reuse = ReusePolicy()
        self._permits = asyncio.Semaphore(connections)
        self._idle = []
        self._running = set()
        self.opened = 0

    @property
    def in_flight(self):
        """Number of requests in progress, probes included."""
        return len(self._running)

    @property
    def address(self):
        """The backend server's ``ip:port``."""
        return self._address

    def listen(self, on_report):
        """Call ``on_report(report)`` with the `ServerReport` of each response."""
        self._on_report = on_report

    def set_address(self, address):
        """Use another address for the backend server from now on."""
        self._address = address
        self._drop_idle()

    async def start(self, kernel):
        """Register the gauge; connections are opened on demand."""
        kernel.find("metrics").gauge(
            "received_answer_bytes",
            "bytes of answers that are being received from the backend server",
            lambda: self._intake.held_bytes,
        )

    async def stop(self):
        """Close all connections."""
        for connection in list(self._running):
            connection.close()
        self._drop_idle()

    def restart(self):
        """Close all connections after a restart of the backend server.

        Notes
        -----
        Requests sent before the restart will get no response, unless it has already
        arrived.  The limit on the reuse of idle connections is reset.
        """
        for connection in list(self._running):
            connection.close_once_read()
        self._drop_idle()
        self._reuse = ReusePolicy()

    def _drop_idle(self):
        while self._idle:
            self._idle.pop().close()

    async def fetch(self, call, instance=""):
        """Send `call` to the backend server and return its outcome.

        Cancelling the task closes the connection, which tells the backend server
        that the response is no longer needed.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        instance : str
            Instance that the call is meant for; empty for any.

        Returns
        -------
        Answered or NotRun
            `NotRun` if the backend server states that it did not run the call.

        Raises
        ------
        BackendError
            If there was no complete response, or one whose status says that a request that
            may not run twice has not run, without proof.  Its ``sent`` attribute tells whether
            the backend server may have received the request.
        """
        async with self._permits:
            at_most_once = not call.idempotent
            connection = self._take_idle(at_most_once) or await self._open(call.deadline)
            headers = self._headers(call, instance)
            answer = await self._perform(connection, call, headers)
        refusal = self._refusal(answer)
        if refusal is None and at_most_once and self._promises_falsely(answer.status):
            reason = f"status {answer.status} without proof that it did not run"
            raise BackendError(reason, step="answer", peer=self._address, status=answer.status)
        return refusal or self._without_node_headers(answer)

    def _promises_falsely(self, status):
        """Return whether callers would take `status` for a promise that nothing proves.

        Notes
        -----
        Where backend servers mark what they have not run, an unmarked answer may come from a
        request that ran, whatever its status.
        """
        return bool(self._dialect.not_executed) and status in NOT_RUN_STATUSES

    async def probe(self, path, deadline):
        """Send ``GET path``, without a request id, and return its `ServerHealth`.

        Raises
        ------
        BackendError
            If there was no complete response.
        """
        connection = self._take_idle(False) or await self._open(deadline)
        request = RequestStartLine("GET", path, "HTTP/1.1")
        host = [("Host", self._address)]
        sending = connection.exchange(request, host, b"", "", MAX_HEALTH_BYTES)
        return self._health(await self._within_deadline(connection, sending, deadline))

    def _health(self, answer):
        try:
            cold = cold_seconds(answer.headers, self._dialect)
        except ValueError as error:
            return ServerHealth(
                answer.status == HEALTHY, unreadable=str(error)[:MAX_UNREADABLE_CHARACTERS]
            )
        return ServerHealth(answer.status == HEALTHY, cold)

    async def listens(self, deadline):
        """Return whether the backend server accepts connections; ``None`` if unknown."""
        try:
            connection = await self._open(deadline)
        except BackendError as error:
            return False if error.refused else None
        connection.close()
        return True

    async def _perform(self, connection, call, headers):
        request = RequestStartLine(call.method, call.target, "HTTP/1.1")
        sending = connection.exchange(
            request, headers, call.body, call.request_id, self._max_answer_bytes
        )
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
            if self._is_idle_loss(error, idle_since, begun):
                self._reuse.record_loss(begun - idle_since)
            raise
        finally:
            self._running.discard(connection)
            if complete and connection.reusable and connection.peer == self._address:
                self._idle.append(connection)
            else:
                connection.close()

    def _is_idle_loss(self, error, idle_since, begun):
        """Return whether the server seems to have dropped the connection while it was idle."""
        if not idle_since or not error.unheard or error.closed_here:
            return False
        return now() - begun < RESET_SECONDS

    def _take_idle(self, at_most_once):
        """Return the usable idle connection that was used last, or ``None``."""
        self._drop_unusable()
        while self._idle:
            if not self._reuse.allows(self._idle[-1].idle_since, at_most_once):
                return None
            connection = self._idle.pop()
            if connection.usable():
                return connection
            connection.close()
        return None

    def _drop_unusable(self):
        while self._idle and not self._idle[0].usable():
            self._idle.pop(0).close()

    async def _open(self, deadline):
        connection = BackendConnection(
            split_address(self._address), self._dialect, self._intake, self._on_report
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
        """Remove headers that only nodes use, to save traffic between zones."""
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
    """Discard the report; the default if no callback is given."""
