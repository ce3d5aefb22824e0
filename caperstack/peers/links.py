"""The links of a node: one to each member that it calls."""

import asyncio

from caperstack.admission.local import LocalOwner
from caperstack.clock import wall_microseconds
from caperstack.peers.link import PING_SECONDS, Link
from caperstack.peers.translate import hello_message

__all__ = ["Links"]


class Links:
    """The service that holds a link to each member that is called."""

    def __init__(self, here, security):
        self._here = here
        self._security = security
        self._links = {}
        self._retiring = []
        self._hooks = []
        self.incarnation = wall_microseconds()

    async def start(self, kernel):
        """Make the way to each member."""
        self.events = kernel.find("events")
        self.metrics = kernel.find("metrics")
        self.members = kernel.find("members")
        self._owner = kernel.find("owner")
        self.members.listen(self._on_member)
        self._liveness_task = asyncio.create_task(self._check_liveness_loop())

    async def stop(self):
        """Close all links."""
        self._liveness_task.cancel()
        for link in (*self._links.values(), *self._retiring):
            link.close()

    async def _check_liveness_loop(self):
        # One task for all links: a timer for each took most of a link's cost.
        while True:
            await asyncio.sleep(PING_SECONDS)
            for link in (*self._links.values(), *self._retiring):
                link.check_liveness()
            self._retiring = [link for link in self._retiring if not link.retired]

    def hello(self):
        """Return this node's hello."""
        return hello_message(self._here, self.incarnation, self._owner.load)

    def client_tls(self):
        """Return the TLS context for dialling, or ``None`` where plain is allowed."""
        return self._security.client_context()

    def on_peer_dialled(self, host):
        """The peer `host` has dialled this node: it lives, dial it as well."""
        link = self._links.get(host)
        if link is not None and link.connection is None:
            link.touch()
            link.redial_now()

    def hook(self, hook):
        """Let `hook` hear of links: ``opened``, ``closed`` and ``take``."""
        self._hooks.append(hook)

    def opened(self, member, connection):
        """A link to `member` is up."""
        for hook in self._hooks:
            hook.opened(member.host, connection)

    def closed(self, member):
        """The link to `member` is down."""
        for hook in self._hooks:
            hook.closed(member.host)

    def take(self, member, message, body):
        """Hand a message that is no reply to those who want it."""
        link = self._links.get(member.host)
        if link is None:
            return
        for hook in self._hooks:
            hook.take(member.host, link.connection, message, body)

    def _on_member(self, member, gone):
        if member.host == self._here.host:
            member.owner = LocalOwner(self._owner)
            return
        if gone:
            link = self._links.pop(member.host)
            link.retire()
            self._retiring.append(link)
            return
        member.owner = self._links[member.host] = Link(member, self)
