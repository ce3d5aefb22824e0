"""Exchange of suspect requests between the nodes."""

import asyncio
from functools import singledispatchmethod

from caperstack.exception import PeerError
from caperstack.peers.messages import Suspicions
from caperstack.peers.translate import suspicion_from, suspicion_message

__all__ = ["SuspectExchange"]

#: Largest number of requests that are listed in one log line.
MAX_LOGGED_REQUESTS = 20


class SuspectExchange:
    """Send changed suspicions to peers, and all restricted suspects to a new peer.

    A suspect is restricted if it may not be sent freely; see `Suspects.restricted`.

    Notes
    -----
    A node forwards each change once, to the few peers that it also notifies of
    changed settings.  Each node thus sends a bounded number of messages per crash,
    whatever the size of the fleet.  All changes of one event loop iteration are sent
    in one message.

    A node that has just started knows no suspects and would send requests that all
    others refuse.  A peer that connects is therefore sent the restricted suspects
    before anything else.
    """

    def __init__(self):
        self._pending = {}
        self._suspects = None
        self._sync = None
        self._metrics = None
        self._events = None

    async def start(self, kernel):
        """Register for connection events and for changes of the suspects."""
        self._suspects = kernel.find("suspects")
        self._sync = kernel.find("settings sync")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects.listen(self._on_change)
        kernel.find("links").hook(self)
        kernel.find("peer port").hook(self)

    async def stop(self):
        """Do nothing; there are no resources to release."""

    def opened(self, _host, connection):
        """Send the restricted suspects over a new connection, opened by either side."""
        restricted = self._suspects.restricted()
        if not restricted:
            return
        try:
            connection.send(Suspicions([suspicion_message(s) for s in restricted]))
        except PeerError:
            # The suspects are sent again over the next connection to that peer.
            self._metrics.count("unsent_notices")

    def closed(self, host):
        """Ignore a closed connection."""

    def take(self, host, _connection, message, _body):
        """Handle a message received over a connection."""
        self._handle(message, host)

    @singledispatchmethod
    def _handle(self, message, host):
        """Ignore messages of other types."""

    @_handle.register
    def _(self, message: Suspicions, host):
        for item in message.items:
            self._suspects.take(suspicion_from(item), host)

    def _on_change(self, request, source):
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._send_pending)
        self._pending[request] = source

    def _send_pending(self):
        changes, self._pending = self._pending, {}
        hosts = self._sync.notification_targets()
        self._events.log_state(
            "suspects",
            asks=[f"{request:016x}" for request in list(changes)[:MAX_LOGGED_REQUESTS]],
            requests=len(changes),
            sources=sorted(set(changes.values())),
            told=len(hosts),
        )
        for host in hosts:
            # A change is not sent back to the peer that it came from.
            suspicions = [
                self._suspects.suspicion(r) for r, source in changes.items() if source != host
            ]
            items = [suspicion_message(s) for s in suspicions if s is not None]
            if items:
                self._sync.send(host, Suspicions(items))
