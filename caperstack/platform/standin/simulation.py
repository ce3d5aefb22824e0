"""A simulated fleet in virtual time, to measure the traffic among nodes without calls."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from caperstack.clock import TransitClock, now
from caperstack.config.node import Backend, NodeSettings
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

#: Zones and services of the fleet; hosts are assigned to them round-robin.
ZONES = ("a", "b", "c", "d", "e")
SERVICES = ("listings", "bookings", "courses")
REGION = "r"
PEER_PORT = 7600

#: One-way network delay between hosts of one zone and of two zones, in seconds.
SAME_ZONE_SECONDS = 0.0001
CROSS_ZONE_SECONDS = 0.0009

#: Bytes that the IPv4 and TCP headers add to each message.
PACKET_BYTES = 40


@dataclass(slots=True)
class Traffic:
    """Messages and bytes that nodes sent each other, by kind, and the bytes sent between zones."""

    messages_by_kind: Counter = field(default_factory=Counter)
    bytes_by_kind: Counter = field(default_factory=Counter)
    cross_zone_bytes: int = 0

    def add(self, kind, size, cross_zone):
        """Count a message of a kind with `size` bytes, headers of the packet excluded."""
        self.messages_by_kind[kind] += 1
        self.bytes_by_kind[kind] += size + PACKET_BYTES
        self.cross_zone_bytes += (size + PACKET_BYTES) * cross_zone

    @property
    def total_bytes(self):
        """The bytes of all messages, packet headers included."""
        return sum(self.bytes_by_kind.values())


class _NullService:
    """Stands in for the services ``events``, ``links`` and ``peer port``, and does nothing."""

    def state(self, *_arguments, **_fields):
        """Discard the event."""

    def log_state(self, *_arguments, **_fields):
        """Discard the event."""

    def hook(self, _hook):
        """Ignore the hook: the simulated fleet calls the hooks of its nodes."""


class _NullOwner:
    """Stands in for the service ``owner``, and does nothing."""

    def set_listed(self, listed):
        """Ignore whether the server is listed: no call is queued."""

    def assign(self, instance, service, born_ms=0):
        """Ignore the instance: no call runs on it."""

    def resize(self, slots):
        """Ignore the number of slots: no call is queued."""

    def set_cold_limit(self, per_second, cold_seconds):
        """Ignore the limit: no call is dispatched."""


class _SimulatedConnection:
    """The sender's end of a simulated connection between two nodes."""

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
        """Deliver the message after the network delay and the read delay of the receiver."""
        cross_zone = self._sender.here.zone != self._receiver.here.zone
        size = len(encode_frame(message, body))
        self._fleet.traffic.add(type(message).__name__, size, cross_zone)
        delay = (
            CROSS_ZONE_SECONDS if cross_zone else SAME_ZONE_SECONDS
        ) + self._fleet.draw_read_delay()
        # Messages of one connection arrive in order.
        self._delivered_at = max(self._delivered_at, now() + delay)
        asyncio.get_running_loop().call_at(self._delivered_at, self._deliver, message, body)

    async def send_in_chunks(self, message, body):
        """Deliver a message with a long body in one piece."""
        self.send(message, body)

    def _deliver(self, message, body):
        if self.closed or not self._fleet.is_current(self._receiver):
            return
        self.other.arrival = now()
        for hook in self._receiver.hooks:
            hook.take(self._sender.here.host, self.other, message, body)


class _SimulatedLink:
    """The link to a member, which connects when it is first touched."""

    def __init__(self, fleet, node, host):
        self._fleet = fleet
        self._node = node
        self._host = host
        self._connected = False

    @property
    def usable(self):
        """Whether the node of the member runs."""
        return self._fleet.is_running(self._host)

    def touch(self):
        """Connect, unless that was started before or the node of the member does not run."""
        if not self._connected and self.usable:
            self._connected = True
            asyncio.get_running_loop().call_later(
                CROSS_ZONE_SECONDS, self._fleet.connect, self._node, self._host
            )


class Node:
    """The settings, membership, suspects and store reader of a node, without calls."""

    def __init__(self, fleet, host, zone, service):
        backend = Backend(f"{host}:8000", service, 8, 1.0, 1)
        peer = f"{host}:{PEER_PORT}"
        self.here = NodeSettings(host, zone, REGION, peer, peer, peer, backend)
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
        """Return the service registered under `name`, as the kernel does."""
        return self._services[name]

    async def start(self):
        """Start all services, without settings from an earlier run."""
        await self.settings.start(self)
        await self.members.start(self)
        self.members.listen(self._on_member)
        for service in (self.suspects, self.exchange, self.sync, self.view, self.reader):
            await service.start(self)
        await self.watch.start(self)

    async def stop(self):
        """Stop the services without telling the peers, as a kill does."""
        for service in (self.reader, self.watch, self.sync):
            await service.stop()

    def _on_member(self, member, gone):
        if not gone:
            member.owner = _SimulatedLink(self.fleet, self, member.host)


class SimulatedFleet:
    """Simulated nodes in one process, with the real settings, membership and quarantine code.

    Parameters
    ----------
    size : int
        Number of hosts.

    Attributes
    ----------
    traffic : Traffic
        What was sent since the last call of `measure`, or since the start.
    mean_read_delay_seconds : float
        Mean time for which a message waits until its receiver reads it; 0 for idle nodes.
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
        """The ``(host, zone, service)`` of each host."""
        return self._places

    @property
    def nodes(self):
        """The running nodes."""
        return list(self._nodes.values())

    def register(self, host, zone, service, state="ready", slots=8):
        """Write the store entry of the backend server at `host`."""
        name = f"i-{host}"
        server = StandinInstance(f"{host}:8000", service, name, slots)
        self.store.put(f"{SERVERS_PREFIX}{name}", server.entry(zone, state))

    def withdraw(self, host):
        """Remove the store entry of the backend server at `host`."""
        self.store.remove(f"{SERVERS_PREFIX}i-{host}")

    def drain(self, number):
        """Let the backend server of the host with that number drain."""
        self.register(*self._places[number], state="draining")

    async def start(self):
        """Start all nodes at once."""
        self._nodes = {place[0]: Node(self, *place) for place in self._places}
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def start_node(self, host):
        """Start a new node at `host`, where none runs."""
        place = next(place for place in self._places if place[0] == host)
        self._nodes[host] = Node(self, *place)
        await self._nodes[host].start()

    async def stop(self):
        """Stop all nodes at once."""
        nodes, self._nodes = self.nodes, {}
        for node in nodes:
            await node.stop()

    def is_running(self, host):
        """Return whether a node runs at `host`."""
        return host in self._nodes

    def is_current(self, node):
        """Return whether `node` runs and was not replaced by a later start at its host."""
        return self._nodes.get(node.here.host) is node

    def draw_read_delay(self):
        """Return a random delay until the next message is read, exponentially distributed."""
        return (
            random.expovariate(1 / self.mean_read_delay_seconds)
            if self.mean_read_delay_seconds
            else 0.0
        )

    async def kill(self, host):
        """Kill the node at `host` and close the connections that its peers have to it."""
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
        """Connect `node` with the node at `host`, if both still run."""
        other = self._nodes.get(host)
        if other is None or self._nodes.get(node.here.host) is not node:
            return
        outgoing, incoming = _SimulatedConnection(self, node, other), _SimulatedConnection(
            self, other, node
        )
        outgoing.other, incoming.other = incoming, outgoing
        for hook in node.hooks:
            hook.opened(host, outgoing)
        for hook in other.hooks:
            hook.opened(node.here.host, incoming)

    async def measure(self, seconds):
        """Return the `Traffic` of the next `seconds` and the number of store calls in them."""
        self.traffic = Traffic()
        calls = self.store.calls
        await asyncio.sleep(seconds)
        return self.traffic, self.store.calls - calls

    def has_converged(self):
        """Return whether all nodes hold the same revisions, up to the newest of the store."""
        digests = {msgspec.json.encode(node.settings.revisions) for node in self.nodes}
        return len(digests) == 1 and self._newest_held() == self.store.revision

    def _newest_held(self):
        return max(self.nodes[0].settings.revisions.values())
