"""Collection of one response of a backend server."""

from tornado.httputil import HTTPMessageDelegate

from caperstack.calls.dialect import ServerReport
from caperstack.calls.model import Answered

__all__ = ["ResponseCollector"]

SUCCESS_STATUSES = range(200, 300)


class ResponseCollector(HTTPMessageDelegate):
    """Collect one response, or detect that it belongs to an earlier request."""

    def __init__(self, request_id, dialect, max_answer_bytes, head_only, on_report):
        self._request_id = request_id
        self._dialect = dialect
        self._max_answer_bytes = max_answer_bytes
        self._head_only = head_only
        self._on_report = on_report
        self._parts = []
        self._size = 0
        self.start = None
        self.headers = None
        self.stale = False
        self.too_large = False
        self.framed = False
        self.complete = False

    def headers_received(self, start_line, headers):
        """Store the head, and pass on the server's report without waiting for the body.

        Notes
        -----
        A late response to an earlier request shows the load and the statements of an
        earlier time; without a rate limit it would withdraw the present one.
        """
        self.start = start_line
        self.headers = headers
        echoed = headers.get(self._dialect.request_id)
        self.stale = echoed is not None and echoed != self._request_id
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not self.stale:
            probed = not self._request_id
            successful = start_line.code in SUCCESS_STATUSES
            self._on_report(ServerReport.read(headers, self._dialect, probed, successful))

    def data_received(self, chunk):
        """Collect a part of the body, up to the size limit."""
        self._size += len(chunk)
        if self._size > self._max_answer_bytes:
            self.too_large = True
        else:
            self._parts.append(chunk)

    def finish(self):
        """Mark the response as complete according to its framing."""
        self.complete = True

    def on_connection_close(self):
        """Do nothing; an incomplete response is detected by `complete`."""

    @property
    def has_body(self):
        """Whether a response to this request with this status has a body."""
        return not self._head_only and self.start.code not in (204, 304)

    def answer(self):
        """Return the response as an `Answered` outcome."""
        headers = list(self.headers.get_all())
        return Answered(self.start.code, self.start.reason, headers, b"".join(self._parts))
