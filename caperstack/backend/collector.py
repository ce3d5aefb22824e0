"""Collection of one response of a backend server."""

from dataclasses import dataclass

from tornado.httputil import HTTPMessageDelegate

from caperstack.calls.dialect import ServerReport
from caperstack.calls.grammar import (
    BODYLESS_STATUSES,
    INTERIM_STATUSES,
    declared_length,
    head_flaw,
)
from caperstack.calls.model import Answered

__all__ = ["ExpectedResponse", "ResponseCollector"]

SUCCESS_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """What is known of a response before it arrives.

    Attributes
    ----------
    request_id : str
        Id of the request; empty if it has none, as that of a health check.
    head_only : bool
        Whether the response has no body because the method of the request is ``HEAD``.
    max_bytes : int
        Maximum size of the body, in bytes.
    """

    request_id: str
    head_only: bool
    max_bytes: int


class ResponseCollector(HTTPMessageDelegate):
    """Collect one response, or detect that it cannot be the awaited one.

    Parameters
    ----------
    expected : ExpectedResponse
        What is known of the response.
    dialect : caperstack.calls.dialect.Dialect
        Header names and conventions of the backend server.
    intake : caperstack.backend.intake.AnswerIntake
        The answers that are being received.
    on_report : callable
        Called with the `ServerReport` of the response.
    close : callable
        Closes the connection.

    Attributes
    ----------
    start : tornado.httputil.ResponseStartLine
        The status line; ``None`` before the first head, which may be an interim one.
    headers : tornado.httputil.HTTPHeaders
        The headers.
    stale : bool
        Whether the response belongs to another request.
    framed : bool
        Whether the head tells where the response ends.
    complete : bool
        Whether the response is complete according to its framing.
    failure : str
        Reason for which the response was aborted; empty if it was not.
    size : int
        Bytes of the body that have arrived.
    """

    def __init__(self, expected, dialect, intake, on_report, close):
        self._expected = expected
        self._dialect = dialect
        self._intake = intake
        self._on_report = on_report
        self._close = close
        self._body = bytearray()
        self.start = None
        self.headers = None
        self.stale = False
        self.framed = False
        self.complete = False
        self.failure = ""
        self.size = 0

    def headers_received(self, start_line, headers):
        """Store the head, and pass on the server's report without waiting for the body.

        Notes
        -----
        A late response to an earlier request shows the load and the statements of an
        earlier time; without a rate limit it would withdraw the present one.  An
        invalid head is not used at all.
        """
        if self.failure:
            # tornado reads on from what has arrived after an interim head.
            return
        self.start = start_line
        flaw = head_flaw(start_line, headers, self.has_body)
        if flaw:
            self.abort(flaw)
            return
        if start_line.code in INTERIM_STATUSES:
            return
        self.headers = headers
        request_id = self._expected.request_id
        echoed = headers.get(self._dialect.request_id)
        self.stale = echoed is not None and echoed != request_id
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        self._abort_if_useless()
        if self.stale:
            return
        successful = start_line.code in SUCCESS_STATUSES
        self._on_report(ServerReport.read(headers, self._dialect, not request_id, successful))

    def _abort_if_useless(self):
        """Abort a response whose head shows that the awaited one will not be complete."""
        if not self.has_body:
            return
        if (declared_length(self.headers) or 0) > self._expected.max_bytes:
            self.abort("answer is too large")
        elif not self.framed and self.stale:
            # The awaited response cannot follow on this connection.
            self.abort("answers of other requests")
        elif not self.framed and not self._dialect.ends_with_connection:
            self.abort("answer without a length")

    def data_received(self, chunk):
        """Collect a part of the body, up to the limits on size and memory."""
        if self.failure:
            return
        self.size += len(chunk)
        if self.size > self._expected.max_bytes:
            self.abort("answer is too large")
        elif not self.stale:
            self._body += chunk
            self._intake.add(self, len(chunk))

    def finish(self):
        """Mark the response as complete according to its framing."""
        self.complete = True

    def on_connection_close(self):
        """Do nothing; an incomplete response is detected by `complete`."""

    def abort(self, reason):
        """Discard the response and close its connection."""
        self.failure = reason
        self._body = bytearray()
        self._close()

    @property
    def has_body(self):
        """Whether a response to this request with this status has a body."""
        return not self._expected.head_only and self.start.code not in BODYLESS_STATUSES

    def answer(self):
        """Return the response as an `Answered` outcome."""
        headers = list(self.headers.get_all())
        # tornado gives no text for a reason that is empty.
        return Answered(self.start.code, self.start.reason or "", headers, bytes(self._body))
