"""make bench-overload: twice the capacity for a while, then 60 %; what is served and recovers."""

import argparse
import asyncio
import statistics
import sys
from dataclasses import dataclass

from caperstack.bench.fleet import Fleet, node_settings
from caperstack.load.generator import run_calls
from caperstack.load.plan import CallClass, plan_calls

__all__ = ["main"]

LEVELS = 7
SERVERS = 2
SLOTS = 20
LEVEL_SECONDS = 0.03
SIGMA = 0.5

#: Calls a second and seconds of the light load that shows what a tree takes.
LIGHT_RATE = 10.0
LIGHT_SECONDS = 6.0

LOAD_BEFORE, LOAD_DURING, LOAD_AFTER = 0.6, 2.0, 0.6
BEFORE_SECONDS = 6.0
AFTER_SECONDS = 12.0
WINDOW_SECONDS = 0.5

#: Regression bounds.
MAX_AMPLIFICATION = 1.1
MAX_RECOVERY_SECONDS = 2.0
MIN_BOOKINGS_IN_TIME = 0.9
NORMAL_LATENCY_FACTOR = 1.5

KINDS = [
    CallClass(
        name="booking", path=f"/l0?deep={LEVELS - 1}", method="POST", share=3, deadline_seconds=2
    ),
    CallClass(name="listing", path=f"/l0?deep={LEVELS - 1}", share=7, deadline_seconds=2),
]


@dataclass
class _Phase:
    name: str
    begin: float
    end: float
    load: float


def _phases(seconds):
    first = _Phase("before", 0.0, BEFORE_SECONDS, LOAD_BEFORE)
    second = _Phase("overload", first.end, first.end + seconds, LOAD_DURING)
    return [first, second, _Phase("after", second.end, second.end + AFTER_SECONDS, LOAD_AFTER)]


async def _capacity(targets):
    """Return the calls a second that the first level can carry.

    Notes
    -----
    It holds a slot for as long as the whole tree below takes, so what a tree
    takes under light load bounds the capacity.
    """
    results = await run_calls(plan_calls(KINDS, targets, LIGHT_RATE, LIGHT_SECONDS, seed=9))
    return SERVERS * SLOTS / statistics.mean(result.seconds for result in results)


def _plan(phases, targets, capacity):
    """Yield the calls of all phases in order."""
    for number, phase in enumerate(phases):
        rate = phase.load * capacity
        seconds = phase.end - phase.begin
        for planned in plan_calls(KINDS, targets, rate, seconds, seed=number + 1):
            planned.due += phase.begin
            yield planned


def _subtrees():
    services = {f"l{level}": {} for level in range(LEVELS)}
    routes = []
    for level in range(LEVELS):
        path, service = f"/l{level}", f"l{level}"
        routes.append({"path": path, "service": service, "criticality": "low"})
        routes.append(
            {"path": path, "service": service, "criticality": "high", "methods": ["POST"]}
        )
    return {"": {"services": services, "routes": routes}}


def _results_in(phase, results):
    return [r for r in results if phase.begin <= r.due < phase.end]


def _share_in_time(results, kind):
    own = [r for r in results if r.kind == kind]
    return sum(r.status == 200 and not r.late for r in own) / len(own)


def _recovery_seconds(phase, results, normal):
    """Return when, after the phase began, a window's median was normal again and stayed so."""
    recovered = 0.0
    steps = int((phase.end - phase.begin) / WINDOW_SECONDS)
    for step in range(steps):
        begin = phase.begin + step * WINDOW_SECONDS
        window = [r for r in results if begin <= r.due < begin + WINDOW_SECONDS]
        answered = [r.seconds for r in window if r.status == 200]
        good = answered and statistics.median(answered) <= NORMAL_LATENCY_FACTOR * normal
        if not good or len(answered) < 0.9 * len(window):
            recovered = (step + 1) * WINDOW_SECONDS
    return recovered


async def _level_runs(fleet):
    """Return how many calls ran at each level."""
    runs = [0] * LEVELS
    for host, ledger in (await fleet.ledgers()).items():
        runs[int(host[1])] += ledger["runs"]
    return runs


async def _run(seconds):
    nodes = [
        node_settings(f"l{level}-{server}", "z", f"l{level}")
        for level in range(LEVELS)
        for server in range(SERVERS)
    ]
    backend = {"slots": SLOTS, "mean_ms": LEVEL_SECONDS * 1000, "sigma": SIGMA}
    async with Fleet(nodes, _subtrees(), backend=backend) as fleet:
        await fleet.settled()
        phases = _phases(seconds)
        targets = [fleet.caller_address(f"l0-{server}") for server in range(SERVERS)]
        capacity = await _capacity(targets)
        print(f"capacity {capacity:.0f} trees a second")
        results = await run_calls(_plan(phases, targets, capacity), progress=True)
        return phases, results, await _level_runs(fleet)


def _report(phases, results, runs):
    """Print the figures; return whether they meet the bounds."""
    for phase in phases:
        own = _results_in(phase, results)
        answered = [r.seconds for r in own if r.status == 200]
        print(
            f"{phase.name:9} {phase.load:4.0%} of capacity: {len(own)} calls, median "
            f"{statistics.median(answered) * 1000:.0f} ms; in time: bookings "
            f"{_share_in_time(own, 'booking'):.1%}, listings {_share_in_time(own, 'listing'):.1%}"
        )
    normal = statistics.median(
        r.seconds for r in _results_in(phases[0], results) if r.status == 200
    )
    recovery = _recovery_seconds(phases[2], results, normal)
    amplification = max(runs) / runs[0]
    bookings = _share_in_time(_results_in(phases[1], results), "booking")
    print(f"runs by level {runs}: amplification {amplification:.3f} (bound {MAX_AMPLIFICATION})")
    print(f"normal again after {recovery:.1f} s (bound {MAX_RECOVERY_SECONDS})")
    print(f"bookings in time under overload {bookings:.1%} (bound {MIN_BOOKINGS_IN_TIME:.0%})")
    return (
        amplification <= MAX_AMPLIFICATION
        and recovery <= MAX_RECOVERY_SECONDS
        and bookings >= MIN_BOOKINGS_IN_TIME
    )


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-overload", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0, help="of the overload")
    options = parser.parse_args(arguments)
    good = _report(*asyncio.run(_run(options.seconds)))
    print("ok" if good else "MISSED")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
