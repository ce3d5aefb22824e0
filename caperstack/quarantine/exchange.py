"""Tell peers which requests were at work when backend servers ended."""

import asyncio
from functools import singledispatchmethod

from caperstack.exception import PeerError
from caperstack.peers.messages import Suspicions
from caperstack.peers.translate import suspicion_from, suspicion_message

__all__ = ["SuspectExchange"]


#: Requests that one line names, of those about which something is new.
LOGGED_MOST = 20


class SuspectExchange:
    """Pass on what is new of suspects, and tell a new peer of the grave ones.

    Notes
    -----
    A node passes each piece of news on once, to the few peers that it tells of
    changed settings, so an end costs each node a bounded number of messages,
    however large the fleet is; all that is learnt in one turn of the loop goes in
    one.  Failure: a node starts, knows nothing, and sends a request on that all
    others keep away.  Whoever connects hears of the grave suspects before
    anything else.
    """

    def __init__(self):
        self._news = {}
        self._suspects = None
        self._sync = None
        self._metrics = None
        self._events = None

    async def start(self, kernel):
        """Follow connections and the suspects."""
        self._suspects = kernel.find("suspects")
        self._sync = kernel.find("settings sync")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects.listen(self._on_news)
        kernel.find("links").hook(self)
        kernel.find("peer port").hook(self)

    async def stop(self):
        """Nothing to stop."""

    def opened(self, _host, connection):
        """A connection is up, dialled by either side."""
        grave = self._suspects.grave()
        if not grave:
            return
        try:
            connection.send(Suspicions([suspicion_message(one) for one in grave]))
        except PeerError:
            # The next connection to that peer tells it again.
            self._metrics.count("unsent_notices")

    def closed(self, host):
        """A connection is down."""

    def take(self, host, _connection, message, _body):
        """Take a message that came over a connection."""
        self._handle(message, host)

    @singledispatchmethod
    def _handle(self, message, host):
        """Other messages are somebody else's."""

    @_handle.register
    def _(self, message: Suspicions, host):
        for item in message.items:
            self._suspects.take(suspicion_from(item), host)

    def _on_news(self, request, source):
        if not self._news:
            asyncio.get_running_loop().call_soon(self._tell)
        self._news[request] = source

    def _tell(self):
        news, self._news = self._news, {}
        hosts = self._sync.told_of_news()
        self._events.log_state(
            "suspects",
            asks=[f"{request:016x}" for request in list(news)[:LOGGED_MOST]],
            requests=len(news),
            sources=sorted(set(news.values())),
            told=len(hosts),
        )
        for host in hosts:
            # Whoever told it knows it.
            told = [self._suspects.suspicion(r) for r, source in news.items() if source != host]
            items = [suspicion_message(one) for one in told if one is not None]
            if items:
                self._sync.send(host, Suspicions(items))
