"""A stand-in configuration service, which nodes read and watch and operators change."""

import asyncio
import json

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

__all__ = ["StandinConfiguration"]

#: Time after which a long-poll watch is answered without a change, in seconds.
WATCH_SECONDS = 30.0


class _Entry:
    def __init__(self, revision, value):
        self.revision = revision
        self.value = value


class _Handler(RequestHandler):
    def initialize(self, service):
        self.service = service

    def accept_call(self):
        """Count a call and return whether to serve it; during an outage, answer it with 503."""
        self.service.calls += 1
        if self.service.outage:
            self.set_status(503)
            self.write({"reason": "outage"})
            return False
        return True


class _Index(_Handler):
    def get(self):
        if self.accept_call():
            self.write(self.service.index())


class _Subtree(_Handler):
    def get(self, path):
        if not self.accept_call():
            return
        entry = self.service.visible.get(path.strip("/"))
        if entry is None:
            self.set_status(404)
            self.write({"reason": "no such subtree"})
            return
        self.write({"path": path.strip("/"), "revision": entry.revision, "value": entry.value})

    def put(self, path):
        revision = self.service.change(path.strip("/"), json.loads(self.request.body))
        self.write({"revision": revision})

    def delete(self, path):
        self.write({"revision": self.service.change(path.strip("/"), None)})


class _Watch(_Handler):
    async def get(self):
        if not self.accept_call():
            return
        after = int(self.get_query_argument("after"))
        await self.service.wait_for_newer(after, WATCH_SECONDS)
        if not self.service.outage:
            self.write(self.service.index())
        else:
            self.set_status(503)


class _Control(_Handler):
    def post(self):
        document = json.loads(self.request.body)
        service = self.service
        service.outage = document.get("outage", service.outage)
        service.lag_seconds = document.get("lag_seconds", service.lag_seconds)
        if "stale" in document:
            service.freeze(document["stale"])
        service.wake()
        self.write({"outage": service.outage, "lag_seconds": service.lag_seconds})


class _CallCount(_Handler):
    def get(self):
        self.write({"calls": self.service.calls})


class StandinConfiguration:
    """Subtrees with revisions, a count of calls, and simulated outage, lag and staleness.

    Parameters
    ----------
    port : int
        Port on loopback at which it listens.

    Attributes
    ----------
    visible : dict
        The entries that readers get, by path; changes appear after the lag.
    calls : int
        Number of reads and watches.
    outage : bool
        Whether all reads and watches are answered with 503.
    lag_seconds : float
        Time after which a change becomes visible, in seconds.
    """

    def __init__(self, port):
        self._port = port
        self._entries = {}
        self._revision = 0
        self._changed = asyncio.Event()
        self._frozen = False
        self._previous = {}
        self._server = None
        self.visible = {}
        self.calls = 0
        self.outage = False
        self.lag_seconds = 0.0

    async def start(self):
        """Start to listen."""
        arguments = {"service": self}
        application = Application(
            [
                ("/v1/subtrees", _Index, arguments),
                ("/v1/subtrees/(.*)", _Subtree, arguments),
                ("/v1/watch", _Watch, arguments),
                ("/control", _Control, arguments),
                ("/calls", _CallCount, arguments),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)
        self._server.listen(self._port, "127.0.0.1", backlog=1024)

    def index(self):
        """Return the highest visible revision and the revision of each visible subtree."""
        revisions = {path: entry.revision for path, entry in self.visible.items()}
        return {"revision": max(revisions.values(), default=0), "subtrees": revisions}

    def change(self, path, value):
        """Set a subtree to `value`, or delete it if that is ``None``; return the new revision."""
        self._revision += 1
        self._entries[path] = _Entry(self._revision, value)
        entry = self._entries[path]
        asyncio.get_running_loop().call_later(self.lag_seconds, self._make_visible, path, entry)
        return self._revision

    def freeze(self, frozen):
        """Serve the state before the last change, like a stale replica, or the newest state."""
        self._frozen = frozen
        self.visible = self._previous if frozen else dict(self._entries)

    def _make_visible(self, path, entry):
        if not self._frozen:
            self._previous = dict(self.visible)
            self.visible[path] = entry
            self.wake()

    def wake(self):
        """Wake all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_newer(self, after, seconds):
        """Wait until the visible revision exceeds `after`, an outage begins, or `seconds` pass."""
        try:
            async with asyncio.timeout(seconds):
                while self.index()["revision"] <= after and not self.outage:
                    await self._changed.wait()
        except TimeoutError:
            return
