"""A stand-in for the platform's store: items with revisions, pages, outages on command."""

import asyncio
import base64
import json

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

__all__ = ["StandinStore", "StoreTroubles"]

PAGE_ITEMS = 50


class StoreTroubles:
    """What ails the store, for the readers at one of its addresses.

    Attributes
    ----------
    status : int
        Answered to every call, if not 0.
    silent : bool
        Calls get no answer at all.
    cut : bool
        The connection is closed in place of an answer.
    delay_seconds : float
        Answers wait so long.
    """

    def __init__(self):
        self.status = 0
        self.silent = False
        self.cut = False
        self.delay_seconds = 0.0


class StandinStore:
    """One set of items, served at several addresses, so that some readers can be refused.

    Attributes
    ----------
    calls : int
        Calls that came, refused ones included.
    served : int
        Calls that were answered with items.
    troubles : dict of str to StoreTroubles
        By address.
    """

    def __init__(self, addresses, page_items=PAGE_ITEMS):
        self._servers = []
        self._page_items = page_items
        self._items = {}
        self._revision = 0
        self._tasks = set()
        self.calls = 0
        self.served = 0
        self.troubles = {address: StoreTroubles() for address in addresses}

    async def start(self):
        """Listen at all addresses."""
        for address in self.troubles:
            server = HTTPServer(self._handler(address))
            ip, port = address.rsplit(":", 1)
            server.listen(int(port), ip)
            self._servers.append(server)

    async def stop(self):
        """Close all addresses."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def put(self, key, document):
        """Write an item, as operators and backend servers do; return its revision."""
        self._revision += 1
        created = self._items[key]["created"] if key in self._items else self._revision
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": 0,
        }
        return self._revision

    def put_raw(self, key, data):
        """Write bytes that are no document."""
        self.put(key, None)
        self._items[key]["value"] = base64.b64encode(data).decode()

    def remove(self, key):
        """Take an item away."""
        self._revision += 1
        self._items.pop(key, None)

    def _handler(self, address):
        def handle(request):
            task = asyncio.create_task(self._answer(request, self.troubles[address]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        return handle

    async def _answer(self, request, troubles):
        self.calls += 1
        if troubles.silent:
            return
        await asyncio.sleep(troubles.delay_seconds)
        if troubles.cut:
            request.connection.stream.close()
            return
        status, document = troubles.status, {"error": "busy"}
        if not status:
            status, document = self._read(request)
        body = json.dumps(document).encode()
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        request.connection.write_headers(ResponseStartLine("", status, ""), headers, body)
        request.connection.finish()

    def _read(self, request):
        if request.path != "/v1/kv-range":
            return 404, {"error": "no such call"}
        prefix = _argument(request, "prefix")
        after = _argument(request, "after")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = keys[: self._page_items]
        self.served += 1
        return 200, {
            "items": [self._items[key] for key in page],
            "hasMore": len(keys) > len(page),
            "storeRevision": self._revision,
        }


def _argument(request, name):
    values = request.query_arguments.get(name)
    return values[-1].decode() if values else ""
