"""make bench-slopes: marginal cost of a call, host, service, key, peer and settings byte."""

import argparse
import asyncio
import json
import random
import statistics
import sys
import tracemalloc
from dataclasses import asdict, dataclass, field
from types import SimpleNamespace

from caperstack.bench.counters import fleet_counters
from caperstack.bench.fleet import Fleet, node_settings
from caperstack.clock import now
from caperstack.idempotency.keeper import Keeper
from caperstack.load.generator import run_calls
from caperstack.load.plan import CallClass, new_key, plan_calls
from caperstack.peers.messages import Claim

__all__ = ["Slope", "main"]

CALL_RATES = (40, 80, 160)
CALL_SECONDS = 6.0
HOST_COUNTS = (10, 300, 600, 1100)
SERVICE_COUNTS = (1, 20, 68)
SETTINGS_BYTES = (10_000, 500_000, 2_000_000)
PEER_COUNTS = (2, 6, 12)
IDLE_SECONDS = 8.0
SETTLE_SECONDS = 4.0
ZONES = 6

SUBTREES = {
    "": {
        "defaults": {"hedge_share": 0.0},
        "services": {"near": {}, "far": {}},
        "routes": [{"path": "/near", "service": "near"}, {"path": "/far", "service": "far"}],
    }
}


@dataclass
class Slope:
    """A least-squares line through measured points.

    Attributes
    ----------
    name, unit : str
        What the line measures, and the unit of its slope.
    points : list of (float, float)
        The size of the load and the cost measured at it.
    """

    name: str
    unit: str
    points: list = field(default_factory=list)

    @property
    def fit(self):
        """The ``(slope, intercept)`` of the least-squares line."""
        line = statistics.linear_regression(*zip(*self.points, strict=True))
        return line.slope, line.intercept

    def show(self):
        """Print the points and the fitted line."""
        slope, intercept = self.fit
        points = ", ".join(f"({x:g}, {y:.6g})" for x, y in self.points)
        print(f"{self.name}: {slope:.4g} {self.unit}, from {intercept:.4g}; points {points}")


async def _usage(fleet, host, seconds, during=None):
    """Measure one node for `seconds`, or while the awaitable `during` runs.

    Returns
    -------
    share, memory, traffic : float
        The processor share and the resident bytes of the node, and the bytes per second that all
        nodes send to peers.
    """
    process = fleet.nodes[host]
    started, used = now(), process.cpu_seconds()
    before = await fleet_counters(fleet)
    await (during if during is not None else asyncio.sleep(seconds))
    share = (process.cpu_seconds() - used) / (now() - started)
    after = await fleet_counters(fleet)
    sent = after["caperstack_peer_bytes_out"] - before["caperstack_peer_bytes_out"]
    return share, process.resident_bytes(), sent / (now() - started)


async def _per_call():
    """Return the slopes of processor time per call for entry, owner and keyed bookings."""
    entry = Slope("entry, per call to another node", "processor s per call")
    owner = Slope("owner, per call", "processor s per call")
    keyed = Slope("entry and owner, per keyed booking on one node", "processor s per call")
    nodes = [node_settings("a", "z", "near"), node_settings("b", "z", "far")]
    async with Fleet(nodes, SUBTREES) as fleet:
        await fleet.settled()
        await asyncio.sleep(SETTLE_SECONDS)
        target = [fleet.caller_address("a")]
        far = [CallClass(name="far", path="/far", deadline_seconds=5)]
        near = [CallClass(name="near", path="/near", method="POST", keyed=True, deadline_seconds=5)]
        for rate in CALL_RATES:
            plan = plan_calls(far, target, rate, CALL_SECONDS, seed=rate)
            started = fleet.nodes["b"].cpu_seconds()
            moment = now()
            share, _, _ = await _usage(fleet, "a", 0, run_calls(plan))
            entry.points.append((rate, share))
            owner.points.append(
                (rate, (fleet.nodes["b"].cpu_seconds() - started) / (now() - moment))
            )
            plan = plan_calls(near, target, rate, CALL_SECONDS, seed=rate)
            share, _, _ = await _usage(fleet, "a", 0, run_calls(plan))
            keyed.points.append((rate, share))
    return [entry, owner, keyed]


def _listed(count):
    """Return `count` entries of the host list whose hosts receive no calls."""
    return [
        {
            "host": f"listed-{i}",
            "zone": f"zone-{i % ZONES}",
            "region": f"r{i % 2}",
            "service": f"listed-service-{i % 68}",
            "peer_address": f"127.0.1.{1 + i % 250}:9",
            "state": "live",
        }
        for i in range(count)
    ]


async def _per_host():
    """Return the slopes of processor share and memory over the length of the host list."""
    share = Slope("any node, per listed host", "of a core per host")
    memory = Slope("any node, per listed host", "bytes per host")
    for count in HOST_COUNTS:
        nodes = [node_settings("a", "z", "near")]
        async with Fleet(nodes, SUBTREES) as fleet:
            entries = fleet.host_entries() + _listed(count)
            await fleet.platform_request("hosts", "PUT", "/hosts", {"hosts": entries})
            await asyncio.sleep(SETTLE_SECONDS)
            used, resident, _ = await _usage(fleet, "a", IDLE_SECONDS)
        share.points.append((count, used))
        memory.points.append((count, resident))
    return [share, memory]


async def _per_service():
    """Return the slope of memory over the number of services with routes."""
    memory = Slope("any node, per service in the settings", "bytes per service")
    for count in SERVICE_COUNTS:
        names = [f"s{i}" for i in range(count)]
        document = SUBTREES[""] | {
            "services": {name: {} for name in names},
            "routes": [{"path": f"/{name}", "service": name} for name in names],
        }
        async with Fleet([node_settings("a", "z", "near")], {"": document}) as fleet:
            await fleet.settled()
            _, resident, _ = await _usage(fleet, "a", IDLE_SECONDS / 4)
        memory.points.append((count, resident))
    return [memory]


async def _per_settings_byte():
    """Return the slope of memory over the total size of the subtrees in bytes."""
    memory = Slope("any node, per byte of settings", "bytes per byte")
    line = len(json.dumps({"path": "/x/00000", "service": "x"}))
    for size in SETTINGS_BYTES:
        routes = [{"path": f"/x/{i:05}", "service": "x"} for i in range(size // line // 4)]
        trees = {"": {"teams": {f"t{i}": {"routes": ["/x"], "services": ["x"]} for i in range(4)}}}
        for i in range(4):
            trees[f"t{i}"] = {"routes": routes}
        async with Fleet([node_settings("a", "z", "near")], trees) as fleet:
            await fleet.settled()
            _, resident, _ = await _usage(fleet, "a", IDLE_SECONDS / 4)
        memory.points.append((len(json.dumps(trees)), resident))
    return [memory]


async def _per_peer():
    """Return the slopes of processor share and traffic over the open links of a node."""
    share = Slope("entry, per open link without calls", "of a core per link")
    traffic = Slope("both ends together, per open link without calls", "bytes/s per link")
    for count in PEER_COUNTS:
        nodes = [node_settings("a", "z", "near")]
        nodes += [node_settings(f"b{i}", "z", "far") for i in range(count)]
        subtrees = {"": SUBTREES[""] | {"services": {"far": {"policy": "round_robin"}}}}
        async with Fleet(nodes, subtrees) as fleet:
            await fleet.settled()
            kinds = [CallClass(name="far", path="/far", deadline_seconds=5)]
            plan = plan_calls(kinds, [fleet.caller_address("a")], 4 * count, 2.0, seed=1)
            await run_calls(plan)
            await asyncio.sleep(SETTLE_SECONDS)
            used, _, sent = await _usage(fleet, "a", 2 * IDLE_SECONDS)
        share.points.append((count, used))
        traffic.points.append((count, sent))
    return [share, traffic]


def _per_key():
    """Return the slope of a keeper's memory over the number of keys it stores."""
    # Measured in this process: a separate node would receive only claims, one for each key.
    slope = Slope("keeper, per key remembered", "bytes per key")
    rng = random.Random(1)
    for count in (1_000, 10_000, 50_000):
        slope.points.append((count, _keeper_bytes(count, rng)))
    return [slope]


def _keeper_bytes(count, rng):
    """Return the bytes that a keeper allocates for `count` claims."""
    tracemalloc.start()
    keeper = Keeper(SimpleNamespace(host="a"))
    services = {"members": _NoMembers(), "metrics": _NoMetrics()}
    asyncio.run(keeper.start(SimpleNamespace(find=services.__getitem__)))
    for number in range(count):
        key = new_key(rng)
        keeper.claim(Claim(0, "s", key, ["a"], number, rng.getrandbits(56), 0, 120_000_000))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


class _NoMembers:
    """Members with one fixed host."""

    def listen(self, listener):
        """Ignore the listener: the members never change."""

    def of_service(self, service):
        """Return the only member."""
        return [SimpleNamespace(host="a")]


class _NoMetrics:
    """Metrics that record nothing."""

    def count(self, *_, **__):
        """Do nothing."""


MEASURES = {
    "call": _per_call,
    "host": _per_host,
    "service": _per_service,
    "settings": _per_settings_byte,
    "peer": _per_peer,
}


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-slopes", description=__doc__)
    parser.add_argument("--only", nargs="+", choices=(*MEASURES, "key"), default=None)
    parser.add_argument("--json", help="write the slopes to this file")
    options = parser.parse_args(arguments)
    slopes = []
    for name, measure in MEASURES.items():
        if options.only is None or name in options.only:
            slopes += asyncio.run(measure())
    if options.only is None or "key" in options.only:
        slopes += _per_key()
    for slope in slopes:
        slope.show()
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump([asdict(s) | {"fit": s.fit} for s in slopes], file, indent=2)
    return 0


if __name__ == "__main__":
    sys.exit(main())
