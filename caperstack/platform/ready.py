"""Where the platform asks whether this node takes requests."""

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.addresses import split_address
from caperstack.platform.names import READY_PATH

__all__ = ["ReadyPort"]


class ReadyPort:
    """Answers 200 while the node takes requests, else 503."""

    def __init__(self, address):
        self._address = address
        self._server = None
        self._last = None

    async def start(self, kernel):
        """Listen."""
        self._callers = kernel.find("callers")
        self._settings = kernel.find("settings")
        self._events = kernel.find("events")
        self._server = HTTPServer(self._answer)
        ip, port = split_address(self._address)
        self._server.listen(port, ip)

    async def stop(self):
        """Close the port."""
        self._server.stop()
        await self._server.close_all_connections()

    def _reason(self):
        """Return why the node takes no requests, or an empty text."""
        if self._callers.draining:
            return "draining"
        return "" if self._settings.known else "no settings yet"

    def _answer(self, request):
        status, reason = 404, "no such path"
        if request.path == READY_PATH:
            reason = self._reason()
            status = 503 if reason else 200
            if reason != self._last:
                self._events.state("ready", self._last, reason or "ready")
                self._last = reason
        body = reason.encode()
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        request.connection.write_headers(ResponseStartLine("", status, ""), headers, body)
        request.connection.finish()
