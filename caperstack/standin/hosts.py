"""A stand-in for the platform's list of live and draining hosts, which lags behind."""

import asyncio
import json

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

__all__ = ["StandinHostList"]


class _Hosts(RequestHandler):
    def initialize(self, service):
        self.service = service

    def get(self):
        self.service.calls += 1
        if self.service.outage:
            self.set_status(503)
            return
        self.write({"hosts": list(self.service.visible.values())})

    def put(self):
        document = json.loads(self.request.body)
        self.service.change({entry["host"]: entry for entry in document["hosts"]})

    def post(self):
        document = json.loads(self.request.body)
        self.service.outage = document.get("outage", self.service.outage)
        self.service.lag_seconds = document.get("lag_seconds", self.service.lag_seconds)


class StandinHostList:
    """A list of hosts whose changes become visible after a lag.

    Parameters
    ----------
    port : int
        Port on loopback at which it listens.
    hosts : iterable of dict
        The initial entries.

    Attributes
    ----------
    visible : dict
        The entries that readers get, by host.
    calls : int
        Number of reads.
    outage : bool
        Whether reads are answered with 503.
    lag_seconds : float
        Time after which a change becomes visible, in seconds.
    """

    def __init__(self, port, hosts=()):
        self._port = port
        self._server = None
        self.visible = {entry["host"]: entry for entry in hosts}
        self.calls = 0
        self.outage = False
        self.lag_seconds = 0.0

    async def start(self):
        """Start to listen."""
        application = Application(
            [("/hosts", _Hosts, {"service": self})], log_function=lambda handler: None
        )
        self._server = HTTPServer(application)
        self._server.listen(self._port, "127.0.0.1", backlog=1024)

    def change(self, hosts):
        """Replace the list with `hosts`, a dict of entries by host, after the lag."""
        asyncio.get_running_loop().call_later(
            self.lag_seconds, lambda: setattr(self, "visible", hosts)
        )
