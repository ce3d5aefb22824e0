"""A stand-in for the platform's store: paged reads, long-poll watches, and faults on demand."""

import asyncio
import base64
import contextlib
import json
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.clock import deadline_after, now
from caperstack.platform.names import STORE_ERA_HEADER

__all__ = ["StandinStore", "StoreCopy", "StoreFaults"]

WATCH_PATH = "/v1/kv-watch"

PAGE_ITEMS = 50


class StoreFaults:
    """Faults of the store for the readers at one of its addresses.

    Attributes
    ----------
    status : int
        Status code with which every call is refused, if not 0.
    silent : bool
        Calls are never answered.
    cut : bool
        The connection is closed instead of a response.
    delay_seconds : float
        Delay of each response.
    raw : bytes
        Sent in place of each response, if not empty, before the connection is closed.
    """

    def __init__(self):
        self.status = 0
        self.silent = False
        self.cut = False
        self.delay_seconds = 0.0
        self.raw = b""


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The items of the store at a revision, from which it can be restored."""

    items: dict
    revision: int


class StandinStore:
    """One set of items, served at several addresses so that faults can affect some readers only.

    Attributes
    ----------
    calls : int
        Calls received, including those that failed.
    served : int
        Pages of range reads that were answered.
    watching : int
        Long-poll watches that wait for a change now.
    faults : dict of str to StoreFaults
        The faults by address.
    era : int
        How often the store was restored from a copy.
    history_since : int
        The revision since which changes are kept; watches from before it are answered 410.
    """

    def __init__(self, addresses, page_items=PAGE_ITEMS):
        self._servers = []
        self._page_items = page_items
        self._items = {}
        self._lost = {}
        self._copy = {}
        self._revision = 0
        self._tasks = set()
        self.era = 0
        self.calls = 0
        self.served = 0
        self.faults = {address: StoreFaults() for address in addresses}
        self._changes = []
        self._changed = asyncio.Event()
        self.history_since = 0
        self.watching = 0

    async def start(self):
        """Listen at all addresses."""
        for address in self.faults:
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
        """Write an item as JSON, as operators and backend servers do, and return its revision."""
        return self._put_value(key, base64.b64encode(json.dumps(document).encode()).decode())

    def _put_value(self, key, value):
        self._revision += 1
        created = self._items[key]["created"] if key in self._items else self._revision
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": 0,
        }
        self._record_change(self._items[key])
        return self._revision

    def put_raw(self, key, data):
        """Write an item whose value is `data`, which need not be valid JSON."""
        self.put(key, None)
        self._items[key]["value"] = base64.b64encode(data).decode()

    def remove(self, key):
        """Delete an item."""
        self._revision += 1
        self._items.pop(key, None)
        self._record_change({"key": key, "revision": self._revision, "deleted": True})

    def copy(self):
        """Return a copy of the current items and revision."""
        return StoreCopy(dict(self._items), self._revision)

    def restore_from(self, copy):
        """Restore the store from `copy`.

        Later writes are lost and their revision numbers are assigned again.
        """
        self.era += 1
        self._lost = self._items
        self._copy = copy.items
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._changes = [c for c in self._changes if c["revision"] <= copy.revision]
        self._wake_watches()

    def rewrite_lost(self):
        """Write lost changes again, except for keys written since the restore."""
        for key in sorted(self._lost.keys() | self._copy.keys()):
            lost, copied = self._lost.get(key), self._copy.get(key)
            if lost is copied or self._items.get(key) is not copied:
                continue
            if lost is None:
                self.remove(key)
            else:
                self._put_value(key, lost["value"])
        self._lost = self._copy = {}

    def _record_change(self, change):
        self._changes.append(change)
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self):
        """Drop all changes so far: watches from earlier revisions are answered 410."""
        self.history_since = self._revision
        self._changes.clear()
        self._wake_watches()

    def _handler(self, address):
        def handle(request):
            task = asyncio.create_task(self._answer(request, self.faults[address]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        return handle

    async def _answer(self, request, faults):
        self.calls += 1
        if faults.silent:
            return
        await asyncio.sleep(faults.delay_seconds)
        if faults.cut:
            request.connection.stream.close()
            return
        status, document = faults.status, {"error": "busy"}
        if not status and request.path == WATCH_PATH:
            self.watching += 1
            try:
                status, document = await self._watch(request)
            finally:
                self.watching -= 1
        elif not status:
            status, document = self._read(request)
        if document is None or faults.raw:
            stream = request.connection.stream
            if faults.raw and not stream.closed():
                stream.write(faults.raw)
            stream.close()
            return
        body = json.dumps(document).encode()
        headers = HTTPHeaders({"Content-Length": str(len(body)), STORE_ERA_HEADER: str(self.era)})
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

    async def _watch(self, request):
        prefix = _argument(request, "prefix")
        after = int(_argument(request, "after"))
        limit = deadline_after(int(_argument(request, "waitMs")) / 1000)
        era = self.era
        while True:
            if era != self.era:
                # The store was restored during the watch: close the connection without a response.
                return 0, None
            if after < self.history_since or after > self._revision:
                return 410, {"error": "history is gone"}
            changes = [c for c in self._changes if c["key"].startswith(prefix)]
            events = [change for change in changes if change["revision"] > after]
            if events or now() >= limit:
                return 200, {"events": events, "storeRevision": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(limit):
                    await self._changed.wait()


def _argument(request, name):
    values = request.query_arguments.get(name)
    return values[-1].decode() if values else ""
