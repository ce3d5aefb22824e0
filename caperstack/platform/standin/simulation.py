"""A fleet's own traffic in virtual time: what nodes send each other without a call."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from caperstack.clock import TransitClock, now
from caperstack.config.here import Backend, Here
from caperstack.membership.members import Members
from caperstack.operators.metrics import Metrics
from caperstack.peers.frames import encode_frame
from caperstack.platform.boot import ColdBound
from caperstack.platform.fleet import FleetView
from caperstack.platform.items import StoreCodec
from caperstack.platform.names import CONFIGURATION_KEY, SERVERS_PREFIX
from caperstack.platform.reader import StoreReader
from caperstack.platform.standin.fleet import configuration
from caperstack.platform.standin.instance import StandinInstance
from caperstack.platform.standin.modelstore import ModelStore
from caperstack.platform.watch import OperatorWatch
from caperstack.quarantine.exchange import SuspectExchange
from caperstack.quarantine.suspects import Suspects
from caperstack.settings.restores import Restores
from caperstack.settings.store import SettingsStore
from caperstack.settings.sync import SettingsSync

__all__ = ["SERVICES", "Node", "SimulatedFleet", "Traffic"]

#: The layout of a large fleet: its zones and services, hosts in turn.
ZONES = ("a", "b", "c", "d", "e")
SERVICES = ("listings", "bookings", "courses")
REGION = "r"
PEER_PORT = 7600

#: One way between hosts of a zone and of two zones, in seconds.
SAME_ZONE_SECONDS = 0.0001
CROSS_ZONE_SECONDS = 0.0009

#: What a packet's headers add to each message, in bytes (IPv4 and TCP).
PACKET_BYTES = 40


@dataclass(slots=True)
class Traffic:
    """What nodes sent each other: messages and bytes by kind, and bytes between zones."""

    messages_by_kind: Counter = field(default_factory=Counter)
    bytes_by_kind: Counter = field(default_factory=Counter)
    cross_zone_bytes: int = 0

    def add(self, kind, size, far):
        """Count a message of that kind."""
        self.messages_by_kind[kind] += 1
        self.bytes_by_kind[kind] += size + PACKET_BYTES
        self.cross_zone_bytes += (size + PACKET_BYTES) * far

    @property
    def total_bytes(self):
        """The bytes of all messages."""
        return sum(self.bytes_by_kind.values())


class _NullService:
    """Events, links and ports that do nothing."""

    def state(self, *_arguments, **_fields):
        """Tell nobody."""

    def belief(self, *_arguments, **_fields):
        """Tell nobody."""

    def hook(self, _hook):
        """Connections are made by the fleet."""


class _NullOwner:
    """An owner that is told of its backend server and does nothing."""

    def set_listed(self, listed):
        """Nothing waits."""

    def assign(self, instance, service, born_ms=0):
        """Nothing runs."""

    def resize(self, slots):
        """Nothing waits."""

    def set_cold_limit(self, per_second, cold_seconds):
        """Nothing starts."""


class _SimulatedConnection:
    """One node's end of a connection."""

    def __init__(self, fleet, sender, receiver):
        self._fleet = fleet
        self._sender = sender
        self._receiver = receiver
        self._delivered_at = 0.0
        self.other = None
        self.arrival = now()
        self.transit = TransitClock()
        self.closed = False

    def send(self, message, body=b""):
        """Deliver the message after the time of the way."""
        far = self._sender.here.zone != self._receiver.here.zone
        size = len(encode_frame(message, body))
        self._fleet.traffic.add(type(message).__name__, size, far)
        way = (CROSS_ZONE_SECONDS if far else SAME_ZONE_SECONDS) + self._fleet.draw_read_delay()
        # Messages of one connection arrive in order.
        self._delivered_at = max(self._delivered_at, now() + way)
        asyncio.get_running_loop().call_at(self._delivered_at, self._deliver, message, body)

    async def send_whole(self, message, body):
        """Deliver a message with a long body."""
        self.send(message, body)

    def _deliver(self, message, body):
        if self.closed or not self._fleet.is_current(self._receiver):
            return
        self.other.arrival = now()
        for hook in self._receiver.hooks:
            hook.take(self._sender.here.host, self.other, message, body)


class _SimulatedLink:
    """The way to a member: connected when it is touched."""

    def __init__(self, fleet, node, host):
        self._fleet = fleet
        self._node = node
        self._host = host
        self._connected = False

    @property
    def usable(self):
        """Whether the member is there."""
        return self._fleet.is_running(self._host)

    def touch(self):
        """Connect, once."""
        if not self._connected and self.usable:
            self._connected = True
            asyncio.get_running_loop().call_later(
                CROSS_ZONE_SECONDS, self._fleet.connect, self._node, self._host
            )


class Node:
    """A node's settings, membership and reader; no call goes through it."""

    def __init__(self, fleet, host, zone, service):
        backend = Backend(f"{host}:8000", service, 8, 1.0, 1)
        peer = f"{host}:{PEER_PORT}"
        self.here = Here(host, zone, REGION, peer, peer, peer, backend)
        self.fleet = fleet
        restores = Restores()
        self.settings = SettingsStore(StoreCodec(restores))
        self.members = Members(self.here)
        self.sync = SettingsSync(self.here, restores)
        self.suspects = Suspects()
        self.exchange = SuspectExchange()
        self.hooks = (self.exchange, self.sync)
        self.view = FleetView(self.here, ColdBound())
        client = fleet.store.client()
        self.reader = StoreReader(self.here, client, restores)
        self.watch = OperatorWatch(self.here, client, self.reader)
        quiet = _NullService()
        self._services = {
            "metrics": Metrics(host),
            "events": quiet,
            "links": quiet,
            "peer port": quiet,
            "owner": _NullOwner(),
            "settings": self.settings,
            "members": self.members,
            "settings sync": self.sync,
            "suspects": self.suspects,
            "suspect exchange": self.exchange,
            "fleet": self.view,
            "store reader": self.reader,
            "operator watch": self.watch,
        }

    def find(self, name):
        """Return the service of that name."""
        return self._services[name]

    async def start(self):
        """Start with no memory."""
        await self.settings.start(self)
        await self.members.start(self)
        self.members.listen(self._on_member)
        for service in (self.suspects, self.exchange, self.sync, self.view, self.reader):
            await service.start(self)
        await self.watch.start(self)

    async def stop(self):
        """Stop as a kill does."""
        for service in (self.reader, self.watch, self.sync):
            await service.stop()

    def _on_member(self, member, gone):
        if not gone:
            member.owner = _SimulatedLink(self.fleet, self, member.host)


class SimulatedFleet:
    """Nodes of one fleet, with the real settings and membership code, in one process.

    Parameters
    ----------
    size : int
        How many hosts.

    Attributes
    ----------
    traffic : Traffic
        What was sent since `measure` was called last.
    mean_read_delay_seconds : float
        How long a message waits on average until a busy node reads it.
    """

    def __init__(self, size):
        self.store = ModelStore()
        self.mean_read_delay_seconds = 0.0
        self.traffic = Traffic()
        self._nodes = {}
        self._places = [self._place(number) for number in range(size)]
        self.store.put(CONFIGURATION_KEY, configuration(1, [], SERVICES))
        for host, zone, service in self._places:
            self.register(host, zone, service)

    @staticmethod
    def _place(number):
        host = f"10.1.{number // 200}.{number % 200 + 1}"
        return host, ZONES[number % len(ZONES)], SERVICES[number % len(SERVICES)]

    @property
    def places(self):
        """``(host, zone, service)`` of each host."""
        return self._places

    @property
    def nodes(self):
        """The running nodes."""
        return list(self._nodes.values())

    def register(self, host, zone, service, state="ready", slots=8):
        """Write the entry of the backend server at `host`."""
        name = f"i-{host}"
        server = StandinInstance(f"{host}:8000", service, name, slots)
        self.store.put(f"{SERVERS_PREFIX}{name}", server.entry(zone, state))

    def withdraw(self, host):
        """Take the entry of the backend server at `host` away."""
        self.store.remove(f"{SERVERS_PREFIX}i-{host}")

    def drain(self, number):
        """The backend server of that number drains."""
        self.register(*self._places[number], state="draining")

    async def start(self):
        """Start all nodes at once."""
        self._nodes = {place[0]: Node(self, *place) for place in self._places}
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def start_node(self, host):
        """Start the node at `host`, which does not run."""
        place = next(place for place in self._places if place[0] == host)
        self._nodes[host] = Node(self, *place)
        await self._nodes[host].start()

    async def stop(self):
        """Stop all nodes at once."""
        nodes, self._nodes = self.nodes, {}
        for node in nodes:
            await node.stop()

    def is_running(self, host):
        """Return whether a node runs there."""
        return host in self._nodes

    def is_current(self, node):
        """Return whether that start of a node has not been killed."""
        return self._nodes.get(node.here.host) is node

    def draw_read_delay(self):
        """Return how long the next message waits until its receiver reads it."""
        return (
            random.expovariate(1 / self.mean_read_delay_seconds)
            if self.mean_read_delay_seconds
            else 0.0
        )

    async def kill(self, host):
        """Kill a node; its peers see their connections close."""
        node = self._nodes.pop(host)
        await node.stop()
        for peer in self.nodes:
            connections = peer.sync.connections_to(host)
            for connection in connections:
                connection.closed = True
            if connections:
                for hook in peer.hooks:
                    hook.closed(host)

    def connect(self, node, host):
        """Join a node with another one."""
        other = self._nodes.get(host)
        if other is None or self._nodes.get(node.here.host) is not node:
            return
        there, back = _SimulatedConnection(self, node, other), _SimulatedConnection(
            self, other, node
        )
        there.other, back.other = back, there
        for hook in node.hooks:
            hook.opened(host, there)
        for hook in other.hooks:
            hook.opened(node.here.host, back)

    async def measure(self, seconds):
        """Return the `Traffic` of the next `seconds`, and how often the store was read."""
        self.traffic = Traffic()
        calls = self.store.calls
        await asyncio.sleep(seconds)
        return self.traffic, self.store.calls - calls

    def has_converged(self):
        """Return whether all nodes hold the same, and all of the store."""
        digests = {msgspec.json.encode(node.settings.revisions) for node in self.nodes}
        return len(digests) == 1 and self._newest_held() == self.store.revision

    def _newest_held(self):
        return max(self.nodes[0].settings.revisions.values())
