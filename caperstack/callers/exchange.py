"""One request of a caller and its response, as tornado's server brings them."""

import asyncio

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, ResponseStartLine
from tornado.iostream import StreamClosedError

from caperstack.calls.model import NotRun, Unknown
from caperstack.calls.responses import response_to
from caperstack.clock import deadline_after, now

__all__ = ["DISCARD_BYTES", "Exchange"]

#: A caller that was refused its body for size may still send this much, unread
#: by anyone, so that it gets to read the answer.
DISCARD_BYTES = 1024 * 1024 * 1024


class Exchange(HTTPMessageDelegate):
    """One request and its response; tornado calls the methods in order."""

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
        self.idle_since = now()
        self.due = deadline_after(port.limits.idle_seconds)
        port.incomplete.add(self)

    def headers_received(self, start_line, headers):
        """Note the request's head; refuse a body that is declared too large."""
        # Tornado makes this object for an idle connection too; only from here
        # on there is a request that a drain must wait for.
        self._port.exchanges.add(self)
        self._connection.set_close_callback(self.on_connection_close)
        self.due = deadline_after(self._port.limits.body_seconds)
        self._start = start_line
        self._headers = headers
        self._connection.set_max_body_size(DISCARD_BYTES)
        declared = headers.get("Content-Length", "")
        if declared.isdigit() and int(declared) > self._port.limits.body_bytes:
            self._refuse_size()

    def data_received(self, chunk):
        """Collect a part of the body within the bounds."""
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
        """The request is whole: handle it, or end the response of a refused one."""
        self._port.incomplete.discard(self)
        if self._responded:
            self._connection.finish()
        else:
            self._task = asyncio.create_task(self._handle())

    def on_connection_close(self):
        """The caller went away: cancel what runs for it."""
        self._port.incomplete.discard(self)
        if self._task is not None:
            self._task.cancel()
        self._done()

    def give_up(self):
        """The process ends before the call does: say so rather than close without a word."""
        if self._task is not None and not self._responded:
            self._task.cancel()
            self._respond(response_to(Unknown("node stops", 504)), close=True)

    def expire(self):
        """The request did not come in time: close the connection."""
        self._port.incomplete.discard(self)
        self._connection.stream.close()

    def _refuse_size(self):
        bound = self._port.limits.body_bytes
        self._refuse(NotRun(f"body is larger than {bound} bytes", status=413))

    def _refuse(self, outcome):
        # Closing now would reset the connection under a caller that still
        # sends, and it would never read why.  The answer goes out at once; the
        # rest of the body is dropped as it comes, for a bounded time.
        self._parts.clear()
        self._respond(response_to(outcome, self._port.fractional_seconds), close=True, finish=False)

    async def _handle(self):
        try:
            outcome, extra = await self._port.handle(
                self._start, self._headers, b"".join(self._parts), self._connection.context
            )
        except Exception as error:
            self._port.record_error(error)
            outcome, extra = Unknown("internal error", 500), []
        response = response_to(outcome, self._port.fractional_seconds)
        response.headers += extra
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
        try:
            self._connection.write_headers(line, headers, response.body)
            if finish:
                self._connection.finish()
        except StreamClosedError:
            self._port.metrics.count("callers_gone")
        self._done()

    def _done(self):
        self._port.release(self._reserved)
        self._reserved = 0
        self._port.exchanges.discard(self)


def _may_have_body(status):
    return status >= 200 and status not in (204, 304)
