"""A minimal HTTP server for operator pages, which takes less memory than a web framework."""

from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.addresses import split_address

__all__ = ["Page", "PagePort"]


@dataclass(frozen=True, slots=True)
class Page:
    """The response to a request."""

    body: bytes
    status: int = 200
    headers: dict = field(default_factory=dict)


class PagePort:
    """An HTTP server that answers GET and HEAD requests with pages.

    Parameters
    ----------
    address : str
        The address to listen on.
    pages : dict of str to callable
        For each path a function that takes tornado's request and returns a `Page`.

    Notes
    -----
    Tornado's web framework takes 1.2 MB of private memory per process (Python 3.11),
    too much for routing five paths.
    """

    def __init__(self, address, pages):
        self._address = address
        self._pages = pages
        self._server = HTTPServer(self._answer)

    def listen(self):
        """Start listening."""
        ip, port = split_address(self._address)
        self._server.listen(port, ip)

    async def close(self):
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _answer(self, request):
        page = self._page(request)
        headers = HTTPHeaders(page.headers)
        headers["Content-Length"] = str(len(page.body))
        body = b"" if request.method == "HEAD" else page.body
        request.connection.write_headers(ResponseStartLine("", page.status, ""), headers, body)
        request.connection.finish()

    def _page(self, request):
        make = self._pages.get(request.path)
        if make is None:
            return Page(b"no such page\n", 404)
        if request.method not in ("GET", "HEAD"):
            return Page(b"only GET\n", 405, {"Allow": "GET, HEAD"})
        return make(request)
