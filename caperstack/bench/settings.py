"""make bench-settings: time until a settings change is in force, and cost of an idle node."""

import argparse
import asyncio
import json
import statistics
import sys
import time
from dataclasses import asdict, dataclass

from caperstack.bench.counters import fleet_counters
from caperstack.bench.fleet import Fleet, free_addresses, node_settings
from caperstack.clock import now

__all__ = ["FleetFigures", "main", "measure_fleet"]

CHANGES = 10
IDLE_SECONDS = 15.0
SETTLE_SECONDS = 5.0

#: Regression bounds.
MAX_IN_FORCE_SECONDS = 3.0
MAX_PROCESSOR_SHARE = 0.014
MAX_BYTES_PER_SECOND = 6000

SUBTREES = {
    "": {
        "teams": {"t": {"routes": ["/s"], "services": ["s"]}},
        "services": {"s0": {}},
    },
    "t": {"services": {"s": {}}, "routes": [{"path": "/s", "service": "s"}]},
}


@dataclass
class FleetFigures:
    """The measurements of a fleet of one size."""

    nodes: int
    in_force_median_s: float
    in_force_worst_s: float
    reads_per_second: float
    reads_per_change: float
    bytes_per_node_second: float
    processor_share: float
    memory_mb: float


async def _time_change(fleet, number):
    """Make a settings change; return the seconds until it was in force, for each node."""
    document = SUBTREES["t"] | {"defaults": {"key_window_seconds": 100 + number}}
    reply = await fleet.platform_request("configuration", "PUT", "/v1/subtrees/t", document)
    accepted = time.time()
    delays = {}

    async def everywhere():
        for host in fleet.settings:
            if host in delays:
                continue
            held = (await fleet.operator(host, "/settings"))["subtrees"]
            for subtree in held:
                if subtree["path"] == "t" and subtree["revision"] >= reply["revision"]:
                    delays[host] = max(0.0, subtree["since_us"] / 1e6 - accepted)
        return len(delays) == len(fleet.settings)

    await fleet.until(everywhere, what="change in force")
    return list(delays.values())


async def _platform_calls(fleet):
    """Return the number of requests that the configuration service has received."""
    return (await fleet.platform_request("configuration", "GET", "/calls"))["calls"]


async def _idle_cost(fleet):
    """Measure idle nodes for `IDLE_SECONDS`.

    Returns
    -------
    reads, traffic, processor_share, memory : float
        Platform reads per second of the fleet, and the averages per node of bytes sent to peers
        per second, share of a processor core used and resident memory in MB.
    """
    started, calls = now(), await _platform_calls(fleet)
    before = await fleet_counters(fleet)
    processor = [process.cpu_seconds() for process in fleet.nodes.values()]
    await asyncio.sleep(IDLE_SECONDS)
    used = [p.cpu_seconds() - b for p, b in zip(fleet.nodes.values(), processor, strict=True)]
    elapsed = now() - started
    after = await fleet_counters(fleet)
    traffic = after["caperstack_peer_bytes_out"] - before["caperstack_peer_bytes_out"]
    return (
        (await _platform_calls(fleet) - calls) / elapsed,
        traffic / len(fleet.nodes) / elapsed,
        statistics.mean(used) / elapsed,
        statistics.mean(p.resident_bytes() for p in fleet.nodes.values()) / 1e6,
    )


async def measure_fleet(size):
    """Return the `FleetFigures` of a fleet of `size` nodes."""
    backend = {"address": free_addresses(1)[0], "service": "s"}
    nodes = [node_settings(f"n{i}", "abc"[i % 3], "s", backend=backend) for i in range(size)]
    async with Fleet(nodes, SUBTREES) as fleet:
        await fleet.settled()
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await _idle_cost(fleet)
        calls, delays = await _platform_calls(fleet), []
        for number in range(CHANGES):
            delays += await _time_change(fleet, number)
        reads = (await _platform_calls(fleet) - calls) / CHANGES
    return FleetFigures(
        size,
        round(statistics.median(delays), 4),
        round(max(delays), 4),
        round(idle[0], 3),
        round(reads, 2),
        round(idle[1], 1),
        round(idle[2], 5),
        round(idle[3], 1),
    )


def _meets_bounds(figures):
    """Return whether the measurements meet all regression bounds."""
    return (
        figures.in_force_worst_s <= MAX_IN_FORCE_SECONDS
        and figures.processor_share <= MAX_PROCESSOR_SHARE
        and figures.bytes_per_node_second <= MAX_BYTES_PER_SECOND
    )


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-settings", description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 8, 16, 32])
    parser.add_argument("--json", help="write the figures to this file")
    options = parser.parse_args(arguments)
    rows = []
    for size in options.sizes:
        figures = asyncio.run(measure_fleet(size))
        rows.append(figures)
        verdict = "ok" if _meets_bounds(figures) else "MISSED"
        print(json.dumps(asdict(figures)), verdict, flush=True)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump([asdict(row) for row in rows], file, indent=2)
    return 0 if all(_meets_bounds(row) for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
