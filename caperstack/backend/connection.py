"""A connection to a backend server, based on tornado's HTTP/1.1 connection."""

import asyncio
import socket
import sys

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from caperstack.backend.collector import ExpectedResponse, ResponseCollector
from caperstack.backend.stream import BackendStream
from caperstack.calls.chunks import ResponseConnection
from caperstack.calls.dialect import is_whole_number
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError

__all__ = ["BackendConnection"]

MAX_HEADER_BYTES = 64 * 1024

#: Time for which a connection that is to be closed may still deliver what has already
#: arrived, and interval between checks whether it has, in seconds.
READ_REST_SECONDS = 0.05
READ_REST_CHECK_SECONDS = 0.001

#: Number of late responses to earlier requests after which an exchange fails and its
#: connection is closed.
MAX_STALE_ANSWERS = 4

#: Time for which an idle connection may be reused if the backend server sends no
#: ``Keep-Alive`` timeout, and margin subtracted from such a timeout, in seconds.  The
#: margin is needed because the server's close may already be on its way.
IDLE_SECONDS = 5.0
IDLE_MARGIN_SECONDS = 1.0

#: Reasons for which a response is incomplete: the server closed or reset the connection, this
#: node closed it, or the bytes that came are no response.
CLOSED = "connection closed"
CLOSED_HERE = "connection closed by this node"
NO_ANSWER = "bytes are no answer"

METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))


class BackendConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    address : (str, int)
        IP address and port of the backend server.
    dialect : caperstack.calls.dialect.Dialect
        Header names and conventions of the backend server.
    intake : caperstack.backend.intake.AnswerIntake
        The answers that are being received from the server.
    on_report : callable
        Called with the `ServerReport` of each response, as soon as its head is read.

    Attributes
    ----------
    idle_since : float
        Time of the last response, on the local monotonic clock; 0 before the first.
    requests : int
        Number of requests sent.
    """

    def __init__(self, address, dialect, intake, on_report):
        self._address = address
        self._dialect = dialect
        self._intake = intake
        self._on_report = on_report
        self._stream = None
        self._reusable = True
        self._closed_here = False
        self._read_rest_until = 0.0
        self._idle_until = 0.0
        self.idle_since = 0.0
        self.requests = 0

    async def open(self, deadline):
        """Open the connection.

        Raises
        ------
        BackendError
            If the connection is not open by `deadline`; ``sent`` is false.
        """
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = BackendStream(sock, self._intake)
        try:
            async with asyncio.timeout_at(deadline):
                await self._stream.connect(self._address)
        except (StreamClosedError, TimeoutError, OSError) as error:
            self.close()
            reason = str(error) or "no connection in time"
            refused = isinstance(self._stream.error, ConnectionRefusedError)
            raise BackendError(
                reason, step="connect", peer=self.peer, sent=False, refused=refused
            ) from None
        except asyncio.CancelledError:
            self.close()
            raise

    @property
    def peer(self):
        """The backend server's ``ip:port``."""
        return f"{self._address[0]}:{self._address[1]}"

    @property
    def reusable(self):
        """Whether the connection may be kept for another request after a complete response."""
        return self._reusable and not self._stream.closed() and not self._stream.surplus

    def usable(self):
        """Return whether the idle connection can carry another request.

        Notes
        -----
        If the backend server has closed the idle connection, a request on it would
        be lost; if it has sent unsolicited bytes, the request would get the response
        to another one.  Peeking at the socket just before sending detects both.  A
        close that crosses the request on the wire is not detected.
        """
        return self.reusable and now() <= self._idle_until and not self._has_unread()

    def _has_unread(self):
        """Return whether the socket holds bytes, or the end of the connection, not yet read."""
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    async def exchange(self, request, headers, body, request_id, max_bytes):
        """Send a request and return the complete response as `Answered`.

        Parameters
        ----------
        request : tornado.httputil.RequestStartLine
            Request line.
        headers : list of (str, str)
            Headers of the request.
        body : bytes
            Body of the request.
        request_id : str
            Id that the server echoes; empty if the request has none.
        max_bytes : int
            Maximum size of the body of the response.

        Raises
        ------
        BackendError
            If there was no complete response to this request; ``sent`` is true.
        """
        self.requests += 1
        http = self._http()
        http.write_headers(request, _header_block(request.method, headers, body), body)
        http.finish()
        expected = ExpectedResponse(request_id, request.method == "HEAD", max_bytes)
        for _ in range(MAX_STALE_ANSWERS):
            collector = await self._collect(http, expected)
            if not collector.stale:
                return self._accept(collector)
            # This was a late response to an earlier request; read the next one.
            http = self._http()
            http.finish()
        raise BackendError("answers of other requests", step="answer", peer=self.peer)

    def _http(self):
        # The collector limits the size of the body.
        parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=sys.maxsize
        )
        return ResponseConnection(self._stream, True, parameters)

    async def _collect(self, http, expected):
        self._stream.begin_response()
        collector = ResponseCollector(
            expected, self._dialect, self._intake, self._on_report, self._stream.close
        )
        try:
            still_open = await http.read_response(collector)
        except StreamClosedError:
            still_open = False
        finally:
            self._intake.remove(collector)
        if collector.failure:
            raise BackendError(
                collector.failure, step="answer", peer=self.peer, received=collector.size
            )
        if not collector.complete:
            raise self._closed_error(collector)
        self._reusable = self._reusable and still_open and not self._stream.closed()
        return collector

    def _accept(self, collector):
        if collector.has_body and not collector.framed:
            self._check_unframed(collector)
        headers = collector.headers
        self._reusable = self._reusable and _persists(collector.start, headers)
        self._idle_until = deadline_after(_idle_seconds(headers.get("Keep-Alive", "")))
        self.idle_since = now()
        return collector.answer()

    def _check_unframed(self, collector):
        # tornado ends the body whenever the connection closes: also if the server resets
        # it, and if this node closes it, for example after a restart of the server.
        self._reusable = False
        if self._stream.error is not None:
            raise BackendError("connection reset", step="answer", peer=self.peer)
        if not self._stream.ended_by_server:
            raise self._closed_error(collector)

    def _closed_error(self, collector):
        """Return the error of a connection that closed before the end of a response."""
        reason = self._close_reason()
        return BackendError(
            reason,
            step="answer",
            peer=self.peer,
            unheard=collector.start is None and reason != NO_ANSWER,
            closed_here=reason == CLOSED_HERE,
            received=collector.size,
        )

    def _close_reason(self):
        error = self._stream.error
        if isinstance(error, UnsatisfiableReadError):
            return NO_ANSWER
        if error is not None or self._stream.ended_by_server:
            return CLOSED
        # Without an error, tornado closes the connection if it can't parse what arrives.
        return CLOSED_HERE if self._closed_here else NO_ANSWER

    def close(self):
        """Close the connection, which tells the backend server that nobody awaits a response."""
        if self._stream is not None and not self._stream.closed():
            self._closed_here = True
            self._stream.close()

    def close_once_read(self):
        """Close the connection as soon as what has already arrived is read.

        Notes
        -----
        After a pause of the node, a response and the news that its server has restarted
        may be ready to be read at the same time.
        """
        self._reusable = False
        self._read_rest_until = deadline_after(READ_REST_SECONDS)
        self._close_if_read()

    def _close_if_read(self):
        if self._stream.closed():
            return
        if self._has_unread() and now() < self._read_rest_until:
            asyncio.get_running_loop().call_later(READ_REST_CHECK_SECONDS, self._close_if_read)
        else:
            self.close()


def _persists(start, headers):
    """Return whether the server keeps the connection open after a response (RFC 9112, 9.3).

    Parameters
    ----------
    start : tornado.httputil.ResponseStartLine
        Status line of the response.
    headers : tornado.httputil.HTTPHeaders
        Headers of the response.
    """
    options = {option.strip().lower() for option in headers.get("Connection", "").split(",")}
    if "close" in options:
        return False
    return start.version != "HTTP/1.0" or "keep-alive" in options


def _idle_seconds(keep_alive):
    """Return for how many seconds an idle connection may be reused.

    Parameters
    ----------
    keep_alive : str
        Value of the ``Keep-Alive`` header, or empty.
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and is_whole_number(value):
            return max(0.0, int(value) - IDLE_MARGIN_SECONDS)
    return IDLE_SECONDS


def _header_block(method, headers, body):
    block = HTTPHeaders()
    for name, value in headers:
        block.add(name, value)
    if body or method in METHODS_WITH_BODY:
        block["Content-Length"] = str(len(body))
    return block
