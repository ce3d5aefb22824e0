"""make bench-overload: service under twice the capacity, and recovery at 60 % of it."""

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

#: Rate (calls per second) and duration of the light load that measures how long a tree of
#: nested calls takes.
LIGHT_RATE = 10.0
LIGHT_SECONDS = 6.0

#: Load of each phase as a share of the capacity.
LOAD_BEFORE, LOAD_DURING, LOAD_AFTER = 0.6, 2.0, 0.6
BEFORE_SECONDS = 6.0
AFTER_SECONDS = 12.0
WINDOW_SECONDS = 0.5

#: Regression bounds: runs of the most called level per run of the first, seconds until the
#: latency is normal again, and the share of bookings served in time under overload.
MAX_AMPLIFICATION = 1.1
MAX_RECOVERY_SECONDS = 2.0
MIN_BOOKINGS_IN_TIME = 0.9

#: A median latency up to this multiple of the median before the overload is normal.
NORMAL_LATENCY_FACTOR = 1.5

KINDS = [
    CallClass(
        name="booking", path=f"/l0?deep={LEVELS - 1}", method="POST", share=3, deadline_seconds=2
    ),
    CallClass(name="listing", path=f"/l0?deep={LEVELS - 1}", share=7, deadline_seconds=2),
]


@dataclass
class _Phase:
    """A phase of the load: its times in seconds and its share of the capacity."""

    name: str
    begin: float
    end: float
    load: float


def _phases(seconds):
    """Return the phases before, during and after an overload of `seconds`."""
    first = _Phase("before", 0.0, BEFORE_SECONDS, LOAD_BEFORE)
    second = _Phase("overload", first.end, first.end + seconds, LOAD_DURING)
    return [first, second, _Phase("after", second.end, second.end + AFTER_SECONDS, LOAD_AFTER)]


async def _capacity(targets):
    """Return the calls per second that the first level can serve.

    Notes
    -----
    A call holds a slot of the first level until the whole tree below it is done, so the duration
    of a tree under light load bounds the capacity.
    """
    results = await run_calls(plan_calls(KINDS, targets, LIGHT_RATE, LIGHT_SECONDS, seed=9))
    return SERVERS * SLOTS / statistics.mean(result.seconds for result in results)


def _plan(phases, targets, capacity):
    """Yield the planned calls of all phases in order."""
    for number, phase in enumerate(phases):
        rate = phase.load * capacity
        seconds = phase.end - phase.begin
        for planned in plan_calls(KINDS, targets, rate, seconds, seed=number + 1):
            planned.due += phase.begin
            yield planned


def _subtrees():
    """Return settings with one service per level and two routes (low and high) to each."""
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
    """Return the results of the calls due in `phase`."""
    return [r for r in results if phase.begin <= r.due < phase.end]


def _share_in_time(results, kind):
    """Return the share of the calls of one kind that were answered before their deadline."""
    own = [r for r in results if r.kind == kind]
    return sum(r.status == 200 and not r.late for r in own) / len(own)


def _recovery_seconds(phase, results, normal):
    """Return the seconds from the start of `phase` until the median latency stayed normal.

    A window also counts as not recovered if fewer than 90 % of its calls were answered.
    """
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
    """Return the number of calls that ran at each level."""
    runs = [0] * LEVELS
    for host, ledger in (await fleet.ledgers()).items():
        runs[int(host[1])] += ledger["runs"]
    return runs


async def _run(seconds):
    """Run the load; return the phases, the results and the runs at each level."""
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
    """Print the measurements; return whether they meet the bounds."""
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
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of the overload in seconds"
    )
    options = parser.parse_args(arguments)
    good = _report(*asyncio.run(_run(options.seconds)))
    print("ok" if good else "MISSED")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
