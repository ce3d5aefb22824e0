"""Manage the links of a node, one to each remote member."""

import asyncio

from caperstack.admission.local import LocalOwner
from caperstack.admission.rate import KnownRate
from caperstack.clock import wall_microseconds
from caperstack.peers.link import PING_SECONDS, Link
from caperstack.peers.translate import hello_message
from caperstack.transfers.link import LinkBudget
from caperstack.transfers.pacing import BodyPacer

__all__ = ["Links"]


class Links:
    """Manage a link to each remote member and notify observers of their connections.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node's identity and addresses.
    security : PeerSecurity or PlaintextSecurity
        Supplies the TLS context for dialling.

    Attributes
    ----------
    incarnation : int
        Wall clock time at which this node started, in microseconds.
    budget : caperstack.transfers.link.LinkBudget
        What bodies may use of this host's link.
    pacer : caperstack.transfers.pacing.BodyPacer
        Paces the large bodies that this node sends.
    """

    def __init__(self, here, security):
        self._here = here
        self._security = security
        self.budget = LinkBudget(here.limits.link_bytes_per_second)
        self.pacer = BodyPacer(self.budget)
        self._links = {}
        self._retiring = []
        self._hooks = []
        self.incarnation = wall_microseconds()

    async def start(self, kernel):
        """Follow the member list and start the liveness checks."""
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
        # One task checks all links: with a timer for each link, the timers caused most of
        # the cost of the links.
        while True:
            await asyncio.sleep(PING_SECONDS)
            for link in (*self._links.values(), *self._retiring):
                link.check_liveness()
            self._retiring = [link for link in self._retiring if not link.retired]

    def hello(self, member):
        """Return the `Hello` message of this node to the peer `member`."""
        known = KnownRate(member.instance, member.estimate.rate_limit)
        return hello_message(
            self._here,
            self.incarnation,
            self._owner.load,
            known if known.stated else None,
            self.budget.bytes_per_second,
        )

    def client_tls(self):
        """Return the TLS context for dialling, or ``None`` for plaintext."""
        return self._security.client_context()

    def on_peer_dialled(self, host):
        """Dial `host` at once, since it has dialled this node and so is up."""
        link = self._links.get(host)
        if link is not None and link.connection is None:
            link.touch()
            link.redial_now()

    def hook(self, hook):
        """Register an observer with the methods ``opened``, ``closed`` and ``take``."""
        self._hooks.append(hook)

    def opened(self, member, connection):
        """Notify the hooks that the link to `member` is up."""
        for hook in self._hooks:
            hook.opened(member.host, connection)

    def closed(self, member):
        """Notify the hooks that the link to `member` is down."""
        for hook in self._hooks:
            hook.closed(member.host)

    def take(self, member, message, body):
        """Pass a message that the link does not handle itself to the hooks."""
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
