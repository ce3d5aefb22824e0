"""A caller's request and its response, as a delegate of tornado's HTTP server."""

import asyncio
import fcntl
import socket
import struct
import termios

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, ResponseStartLine
from tornado.iostream import StreamClosedError

from caperstack.calls.dialect import is_whole_number
from caperstack.calls.model import NotRun, Unknown
from caperstack.calls.responses import response_to
from caperstack.clock import deadline_after, now

__all__ = ["DISCARD_BYTES", "Exchange"]

#: Maximum size of a refused body that is still received and discarded, so that the
#: caller can finish sending and read the response, in bytes.
DISCARD_BYTES = 1024 * 1024 * 1024

#: Bytes of a body that are written with the head, and sizes of the pieces that follow.  The
#: next piece is written when the previous one has left the process, which shows the progress
#: of slow readers.
FIRST_PIECE_BYTES = 64 * 1024
PIECE_BYTES = 16 * 1024

#: ``struct linger`` with a time of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Exchange(HTTPMessageDelegate):
    """A request and its response.

    Parameters
    ----------
    port : caperstack.callers.port.CallerPort
        Port that received the request.
    connection : tornado.httputil.HTTPConnection
        Connection to the caller.

    Attributes
    ----------
    idle_since : float
        Time on the local monotonic clock since which the connection waits for a request.
    due : float
        Time until which the request must have arrived: its head at first, then its body.
    request_id : str
        The request id; empty until the request has been handled.
    held_bytes : int
        Size of the body of the response.

    Notes
    -----
    Tornado calls `headers_received`, `data_received` and `finish` in this order, and
    `on_connection_close` at any time.
    """

    def __init__(self, port, connection):
        self._port = port
        self._connection = connection
        self._start = None
        self._headers = None
        self._parts = []
        self._size = 0
        self._reserved = 0
        self._responded = False
        self._task = None
        self._begun = False
        self._unwritten = memoryview(b"")
        self.request_id = ""
        self.held_bytes = 0
        self.idle_since = now()
        self.due = deadline_after(port.limits.idle_seconds)
        port.incomplete.add(self)

    def headers_received(self, start_line, headers):
        """Store the head; refuse the request if its declared length is too large."""
        # Tornado creates this object while the connection is still idle.  A drain must
        # wait for it only from here on, as there is a request now.
        self._port.exchanges.add(self)
        self._connection.set_close_callback(self.on_connection_close)
        self.due = deadline_after(self._port.limits.body_seconds)
        self._start = start_line
        self._headers = headers
        self._connection.set_max_body_size(DISCARD_BYTES)
        declared = headers.get("Content-Length", "")
        if is_whole_number(declared) and int(declared) > self._port.limits.body_bytes:
            self._refuse_size()

    def data_received(self, chunk):
        """Collect a part of the body, within the limits on size and memory."""
        if self._responded:
            return
        self._size += len(chunk)
        if self._size > self._port.limits.body_bytes:
            self._refuse_size()
        elif not self._port.reserve(len(chunk)):
            self._refuse(NotRun("too many bodies are being held", 1.0))
        else:
            self._reserved += len(chunk)
            self._parts.append(chunk)

    def finish(self):
        """Handle the complete request, or end the response if it was refused."""
        self._port.incomplete.discard(self)
        if self._responded:
            self._connection.finish()
        elif self._connection.stream.closed():
            # Tornado goes on with pipelined requests that it has read before the close.
            self._done()
        else:
            self._task = asyncio.create_task(self._handle())

    def on_connection_close(self):
        """Cancel the call, since the caller has disconnected."""
        self._port.incomplete.discard(self)
        if self._task is not None:
            self._task.cancel()
        self._port.unread.remove(self)
        self._done()

    def give_up(self):
        """Respond now, because the process ends before the call.

        A request whose handling has not begun has certainly not run.
        """
        if self._task is None or self._responded:
            return
        self._task.cancel()
        outcome = Unknown("node stops", 504) if self._begun else NotRun("node stops", 0.0)
        self._respond(response_to(outcome, self._port.fractional_seconds), close=True)

    def expire(self):
        """Close the connection, which was idle, or its request incomplete, for too long."""
        self._port.incomplete.discard(self)
        self._connection.stream.close()

    @property
    def unread_bytes(self):
        """Bytes of the response that the caller has not acknowledged.

        What has been passed to tornado and not yet to the kernel, less than a piece, is left
        out.
        """
        stream = self._connection.stream
        if stream.closed():
            return 0
        queued = struct.pack("i", 0)
        queued = fcntl.ioctl(stream.fileno(), termios.TIOCOUTQ, queued)
        return len(self._unwritten) + struct.unpack("i", queued)[0]

    def reset(self):
        """Reset the connection, so that a response that was not read does not look complete."""
        stream = self._connection.stream
        self._unwritten = memoryview(b"")
        if not stream.closed():
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.close()

    def _refuse_size(self):
        bound = self._port.limits.body_bytes
        self._refuse(NotRun(f"body is larger than {bound} bytes", status=413))

    def _refuse(self, outcome):
        # Closing the connection now would reset it while the caller is still sending,
        # and the caller would not read the reason.  The response is sent immediately, and
        # the rest of the body is discarded as it arrives, for a limited time.
        self._parts.clear()
        self._respond(response_to(outcome, self._port.fractional_seconds), close=True, finish=False)

    async def _handle(self):
        self._begun = True
        try:
            outcome, extra = await self._port.handle(
                self._start, self._headers, b"".join(self._parts), self._connection.context
            )
        except Exception as error:
            self._port.record_error(error)
            outcome, extra = Unknown("internal error", 500), []
        response = response_to(outcome, self._port.fractional_seconds)
        response.headers += extra
        self.request_id = dict(extra).get(self._port.request_id_header, "")
        self._respond(response, close=self._port.draining)

    def _respond(self, response, close, finish=True):
        self._responded = True
        headers = HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        if self._start.method != "HEAD" and _may_have_body(response.status):
            headers["Content-Length"] = str(len(response.body))
        else:
            response.body = b""
        if close:
            headers["Connection"] = "close"
        line = ResponseStartLine("", response.status, response.reason)
        self._unwritten = memoryview(response.body)
        self.held_bytes = len(response.body)
        try:
            written = self._connection.write_headers(
                line, headers, self._next_piece(FIRST_PIECE_BYTES)
            )
            if finish:
                self._write_rest(written)
        except StreamClosedError:
            self._port.metrics.count("callers_gone")
        self._done()

    def _next_piece(self, size):
        piece, self._unwritten = self._unwritten[:size], self._unwritten[size:]
        return piece

    def _write_rest(self, written):
        """Write pieces until the caller has to read first; finish after the last one.

        Tornado reads no further request until the finished response has been written.
        """
        stream = self._connection.stream
        while self._unwritten and not stream.writing():
            written = self._connection.write(self._next_piece(PIECE_BYTES))
        if not self._unwritten:
            self._connection.finish()
        if stream.writing():
            written.add_done_callback(self._on_written)
            self._port.observe_unread(self)
        else:
            self._port.unread.remove(self)

    def _on_written(self, written):
        if self._unwritten and not self._connection.stream.closed():
            self._write_rest(written)
        else:
            self._port.unread.remove(self)

    def _done(self):
        self._parts.clear()
        self._port.release(self._reserved)
        self._reserved = 0
        self._port.exchanges.discard(self)


def _may_have_body(status):
    return status >= 200 and status not in (204, 304)
