"""make bench-hop: latency that one and two hops add to a direct call, measured interleaved."""

import argparse
import asyncio
import json
import sys
from dataclasses import dataclass, field

from caperstack.backend.client import BackendClient
from caperstack.bench.fleet import Fleet, node_settings
from caperstack.calls.headers import request_id
from caperstack.calls.model import Call
from caperstack.clock import deadline_after, now
from caperstack.load.report import latency_histogram

__all__ = ["main"]

#: Regression bounds: the latency that the hops add to the median of a direct call, as a multiple
#: of that median.
MAX_ONE_HOP_OVERHEAD = 2.5
MAX_TWO_HOPS_OVERHEAD = 5.0

ROUND_CALLS = 100
BODY_BYTES = 512
ANSWER_BYTES = 1024 * 1024
CALL_SECONDS = 10.0

SUBTREES = {
    "": {
        "defaults": {"hedge_share": 0.0},
        "services": {"near": {}, "far": {}},
        "routes": [
            {"path": "/near", "service": "near"},
            {"path": "/far", "service": "far"},
        ],
    }
}


@dataclass
class _Path:
    """A route to the backend server, and the latencies of its calls in seconds."""

    name: str
    address: str
    target: str
    latencies: list = field(default_factory=list)
    client: BackendClient = None


def _call(target):
    return Call(
        id=0,
        origin="",
        request_id=request_id(""),
        service="",
        method="POST",
        target=target,
        headers=[("Host", "x"), ("Content-Type", "application/octet-stream")],
        body=b"x" * BODY_BYTES,
        deadline=deadline_after(CALL_SECONDS),
        idempotent=False,
    )


async def _measure(paths, rounds):
    """Send rounds of calls over the paths in turn and collect their latencies."""
    for number in range(rounds + 1):
        for path in paths:
            for _ in range(ROUND_CALLS):
                started = now()
                answer = await path.client.fetch(_call(path.target))
                if answer.status != 200:
                    raise RuntimeError(f"{path.name}: status {answer.status}")
                # The first round only opens connections and warms up the load estimates.
                if number:
                    path.latencies.append(now() - started)


async def _processor_times(fleet, paths, rounds):
    """Return the processor milliseconds per call of each process, by path."""
    processes = {"entry": fleet.nodes["a"], "owner": fleet.nodes["b"]}
    processes |= {"backend a": fleet.backends["a"], "backend b": fleet.backends["b"]}
    times = {}
    for path in paths:
        before = {name: process.cpu_seconds() for name, process in processes.items()}
        calls = rounds * ROUND_CALLS
        for _ in range(calls):
            await path.client.fetch(_call(path.target))
        times[path.name] = {
            name: round((process.cpu_seconds() - before[name]) / calls * 1000, 3)
            for name, process in processes.items()
        }
    return times


async def _run(options):
    nodes = [node_settings("a", "z", "near"), node_settings("b", "z", "far")]
    async with Fleet(nodes, SUBTREES) as fleet:
        await fleet.settled()
        paths = [
            _Path("direct", fleet.settings["a"]["backend"]["address"], "/near"),
            _Path("one hop", fleet.caller_address("a"), "/near"),
            _Path("two hops", fleet.caller_address("a"), "/far"),
        ]
        for path in paths:
            path.client = BackendClient(path.address, 10, ANSWER_BYTES)
        await _measure(paths, options.rounds)
        return paths, await _processor_times(fleet, paths, max(1, options.rounds // 2))


def _figures(paths, times):
    """Return median, p99 and processor time of each path, by name."""
    figures = {}
    for path in paths:
        histogram = latency_histogram(path.latencies)
        figures[path.name] = {
            "median_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            "processor_ms_per_call": times[path.name],
        }
    return figures


def _report(figures):
    """Print the measurements; return whether the hops meet their bounds."""
    direct = figures["direct"]
    for name, one in figures.items():
        added = one["median_ms"] - direct["median_ms"]
        tail = one["p99_ms"] - direct["p99_ms"]
        print(
            f"{name:9} median {one['median_ms']:.3f} ms (+{added:.3f}, "
            f"{added / direct['median_ms']:.2f} x direct)  "
            f"p99 {one['p99_ms']:.3f} ms (+{tail:.3f})  "
            f"processor ms/call {one['processor_ms_per_call']}"
        )
    good = True
    for name, most in (("one hop", MAX_ONE_HOP_OVERHEAD), ("two hops", MAX_TWO_HOPS_OVERHEAD)):
        ratio = (figures[name]["median_ms"] - direct["median_ms"]) / direct["median_ms"]
        if ratio > most:
            print(f"FAILED: {name} adds {ratio:.2f} x the direct median, bound {most}")
            good = False
    return good


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-hop", description=__doc__)
    parser.add_argument("--rounds", type=int, default=20, help="rounds of 100 calls over each path")
    parser.add_argument("--json", help="write the figures to this file")
    options = parser.parse_args(arguments)
    figures = _figures(*asyncio.run(_run(options)))
    good = _report(figures)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=2)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
