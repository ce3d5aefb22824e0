"""A small HTTP port that shows pages, without a framework's memory."""

from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.addresses import split_address

__all__ = ["Page", "PagePort"]


@dataclass(frozen=True, slots=True)
class Page:
    """What a path shows."""

    body: bytes
    status: int = 200
    headers: dict = field(default_factory=dict)


class PagePort:
    """Answer GET requests with pages.

    Parameters
    ----------
    address : str
        Where it listens.
    pages : dict of str to callable
        For each path a function that takes tornado's request and returns a `Page`.

    Notes
    -----
    tornado's web framework takes 1.2 MB in each process (private memory,
    Python 3.11), which its routing of five paths is not worth.
    """

    def __init__(self, address, pages):
        self._address = address
        self._pages = pages
        self._server = HTTPServer(self._answer)

    def listen(self):
        """Open the port."""
        ip, port = split_address(self._address)
        self._server.listen(port, ip)

    async def close(self):
        """Close the port and its connections."""
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
