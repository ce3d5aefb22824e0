"""make bench-routing: compare routing policies and an oracle under load and faults."""

import argparse
import asyncio
import itertools
import json
import random
import sys
from dataclasses import asdict, dataclass

from caperstack.backend.client import BackendClient
from caperstack.bench.counters import counter_sum, fleet_counters
from caperstack.bench.fleet import Fleet, node_settings
from caperstack.calls.headers import request_id
from caperstack.calls.model import Call
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError
from caperstack.load.report import latency_histogram

__all__ = ["main"]

SERVERS = 4
SLOTS = 20
MEAN_SECONDS = 0.05
SIGMA = 1.0
LATE_SECONDS = 10 * MEAN_SECONDS
CALL_SECONDS = 5.0
CONNECTIONS = 2000
ANSWER_BYTES = 1024 * 1024
WARM_SECONDS = 1.0

POLICIES = ("random", "round_robin", "least_reported", "power_of_two", "load_aware", "oracle")
SCENARIOS = ("calm", "slow", "failing", "cold", "lying")

#: Regression bounds: ratios of p99 latencies within one run, and probes of a server per
#: second (reads of its health or load).
MAX_P99_TO_ORACLE = 1.3
MAX_P99_TO_POWER_OF_TWO = 0.5
MAX_MEASURING_PER_SECOND = 1.0

SLOW_FACTOR = 10.0
SLOW_SECONDS = 2.0
FAST_SECONDS = 3.0


@dataclass
class Row:
    """The results of one policy in one scenario."""

    load: float
    scenario: str
    policy: str
    calls: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    late_share: float
    failed_share: float
    refusals_per_call: float
    dispatches_per_call: float
    measuring_per_second: float


#: Settings of the baseline policies: no other server after a refusal, no retries, no hedges.
_POLICY_ONLY = {"refusals_per_call": 0, "retry_share": 0.0, "hedge_share": 0.0}


def _subtree(policy):
    """Return the settings that route all calls by `policy`."""
    extras = {} if policy == "load_aware" else _POLICY_ONLY
    return {
        "services": {"s": {"policy": policy} | extras},
        "routes": [{"path": "/s", "service": "s", "deadline_seconds": CALL_SECONDS}],
    }


class _Oracle:
    """A client that sends calls to servers directly and knows their load and faults."""

    def __init__(self, fleet, faults):
        self._hosts = sorted(fleet.settings)
        self._faults = faults
        self._in_flight = dict.fromkeys(self._hosts, 0)
        self._clients = {
            host: BackendClient(
                fleet.settings[host]["backend"]["address"], CONNECTIONS, ANSWER_BYTES
            )
            for host in self._hosts
        }

    def _cost(self, host):
        """Return the expected slowness of a server and, to break ties, its calls in flight.

        The cost of a failing server is infinite.
        """
        if host in self._faults.failing:
            return float("inf")
        occupancy = max(1.0, (self._in_flight[host] + 1) / SLOTS)
        return (occupancy * self._faults.slowdown.get(host, 1.0), self._in_flight[host])

    async def fetch(self, call):
        """Send a call to the server of the least cost; return its answer."""
        usable = [host for host in self._hosts if host not in self._faults.failing]
        host = min(usable, key=self._cost)
        self._in_flight[host] += 1
        try:
            return await self._clients[host].fetch(call)
        finally:
            self._in_flight[host] -= 1


class _RandomNodeClient:
    """A client that sends each call to a random node, as callers do."""

    def __init__(self, fleet, rng):
        self._rng = rng
        self._clients = [
            BackendClient(fleet.caller_address(host), CONNECTIONS, ANSWER_BYTES)
            for host in sorted(fleet.settings)
        ]

    async def fetch(self, call):
        """Send a call to a random node; return its answer."""
        return await self._rng.choice(self._clients).fetch(call)


class _ServerFaults:
    """The faults of a scenario, as set in the servers and as known to the oracle.

    Attributes
    ----------
    slowdown : dict of str to float
        The factor by which calls take longer on a host; 1.0 for hosts not listed.
    failing : set of str
        The hosts whose server fails every call.
    """

    def __init__(self, fleet, scenario):
        self._fleet = fleet
        self._scenario = scenario
        self._host = sorted(fleet.settings)[0]
        self.slowdown = {}
        self.failing = set()

    async def run(self):
        """Inject the faults until cancelled."""
        control = self._fleet.control
        if self._scenario == "failing":
            self.failing.add(self._host)
            await control(self._host, fail_status=500)
        elif self._scenario == "cold":
            self.slowdown[self._host] = 3.0
            await control(self._host, cold_seconds=3600.0)
        elif self._scenario == "lying":
            await control(self._host, lie_in_flight=0)
            for host in sorted(self._fleet.settings)[1:]:
                await control(host, load_lag_seconds=2.0)
        while self._scenario == "slow":
            self.slowdown[self._host] = SLOW_FACTOR
            await control(self._host, slow_factor=SLOW_FACTOR)
            await asyncio.sleep(SLOW_SECONDS)
            self.slowdown[self._host] = 1.0
            await control(self._host, slow_factor=1.0)
            await asyncio.sleep(FAST_SECONDS)

    async def end(self):
        """Remove all faults."""
        for host in self._fleet.settings:
            await self._fleet.control(
                host,
                slow_factor=1.0,
                fail_status=0,
                cold_seconds=0.0,
                lie_in_flight=-1,
                load_lag_seconds=0.0,
            )


def _call():
    return Call(
        id=0,
        origin="",
        request_id=request_id(""),
        service="",
        method="GET",
        target="/s/x",
        headers=[("Host", "x")],
        body=b"",
        deadline=deadline_after(CALL_SECONDS),
        idempotent=True,
    )


async def _one_call(path, due, latencies, failures):
    """Send a call and add its time since `due`, in seconds, to one of the two lists."""
    try:
        answer = await path.fetch(_call())
    except BackendError:
        failures.append(now() - due)
        return
    (latencies if answer.status == 200 else failures).append(now() - due)


async def _send_calls(path, rate, seconds, rng):
    """Send calls with Poisson arrivals for a warm-up and then for `seconds`.

    Returns
    -------
    latencies, failures, warm : list of float
        Times in seconds of the answered, the failed and the warm-up calls.
    """
    latencies, failures, warm, tasks = [], [], [], set()
    start = due = now()
    while due < start + WARM_SECONDS + seconds:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - now()))
        warming = due < start + WARM_SECONDS
        into = (warm, warm) if warming else (latencies, failures)
        task = asyncio.create_task(_one_call(path, due, *into))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(tasks)
    return latencies, failures, warm


async def _set_policy(fleet, policy):
    """Set the policy of the service and wait until every node has it in force."""
    document = await fleet.platform_request(
        "configuration", "PUT", "/v1/subtrees/", _subtree(policy)
    )

    async def in_force():
        for host in fleet.settings:
            held = (await fleet.operator(host, "/settings"))["subtrees"]
            if held[0]["revision"] < document["revision"]:
                return False
        return True

    await fleet.until(in_force, what="policy in force")


async def _measure(fleet, policy, scenario, load, seconds, seed):
    """Run one policy in one scenario at one load; return its `Row`."""
    rng = random.Random(seed)
    faults = _ServerFaults(fleet, scenario)
    if policy != "oracle":
        await _set_policy(fleet, policy)
    path = _Oracle(fleet, faults) if policy == "oracle" else _RandomNodeClient(fleet, rng)
    before, ledgers = await fleet_counters(fleet), await fleet.ledgers()
    started = now()
    fault_task = asyncio.create_task(faults.run())
    await asyncio.sleep(0.1)
    rate = load * SERVERS * SLOTS / MEAN_SECONDS
    try:
        times = await _send_calls(path, rate, seconds, rng)
    finally:
        fault_task.cancel()
        await faults.end()
    counters = (before, await fleet_counters(fleet))
    elapsed = now() - started
    return _row(load, scenario, policy, times, counters, (ledgers, await fleet.ledgers()), elapsed)


def _row(load, scenario, policy, times, counters, ledgers, elapsed):
    """Compute the `Row` from the times of the calls and readings before and after them."""
    latencies, failures, warm = times
    histogram = latency_histogram(latencies)
    calls = len(latencies) + len(failures)
    first, last = ledgers
    runs = sum(last[h]["runs"] - first[h]["runs"] for h in last)
    # An interval of a few seconds may contain one probe more than the rate allows.
    measuring = [(last[h]["measured"] - first[h]["measured"] - 1) / elapsed for h in last]
    late = sum(latency > LATE_SECONDS for latency in latencies) + len(failures)
    refusals = counter_sum(*counters, "refusals") if policy != "oracle" else 0
    return Row(
        load,
        scenario,
        policy,
        calls,
        *(round(histogram.get_value_at_percentile(p) / 1000, 1) for p in (50, 99, 99.9)),
        round(late / calls, 4),
        round(len(failures) / calls, 4),
        round(refusals / (calls + len(warm)), 4),
        round(runs / (calls + len(warm)), 3),
        round(max(measuring), 2),
    )


def _print_row(row):
    print(
        f"{row.load:4.0%} {row.scenario:8} {row.policy:15} {row.calls:6} calls  "
        f"p50 {row.p50_ms:7.1f}  p99 {row.p99_ms:7.1f}  p99.9 {row.p999_ms:7.1f} ms  "
        f"late {row.late_share:7.2%}  failed {row.failed_share:7.2%}  "
        f"refusals {row.refusals_per_call:.3f}  runs {row.dispatches_per_call:.3f} a call  "
        f"measuring {row.measuring_per_second:.2f}/s",
        flush=True,
    )


def _check_bounds(rows):
    """Print each comparison with its bound; return whether all are met."""
    found = {(row.load, row.scenario, row.policy): row for row in rows}
    good = True
    for (load, scenario, policy), row in found.items():
        if policy != "load_aware":
            continue
        bounds = [("oracle", MAX_P99_TO_ORACLE, ("calm", "slow", "failing", "cold", "lying"))]
        bounds.append(("power_of_two", MAX_P99_TO_POWER_OF_TWO, ("slow",)))
        for other, most, scenarios in bounds:
            against = found.get((load, scenario, other))
            if against is None or scenario not in scenarios:
                continue
            ratio = row.p99_ms / against.p99_ms
            verdict = "ok" if ratio <= most else "MISSED"
            good &= ratio <= most
            print(f"{load:4.0%} {scenario:8} p99 {ratio:.2f} x {other} (bound {most}): {verdict}")
        if row.measuring_per_second > MAX_MEASURING_PER_SECOND:
            print(f"{load:4.0%} {scenario:8} measuring {row.measuring_per_second}/s: MISSED")
            good = False
    return good


async def _run(options):
    nodes = [node_settings(f"n{i}", "abca"[i], "s") for i in range(SERVERS)]
    backend = {"slots": SLOTS, "mean_ms": MEAN_SECONDS * 1000, "sigma": SIGMA}
    rows = []
    async with Fleet(nodes, {"": _subtree("load_aware")}, backend=backend) as fleet:
        await fleet.settled()
        for load, scenario in itertools.product(options.loads, options.scenarios):
            for policy in options.policies:
                row = await _measure(fleet, policy, scenario, load, options.seconds, options.seed)
                rows.append(row)
                _print_row(row)
    return rows


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-routing", description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="seconds of load for each policy and scenario"
    )
    parser.add_argument("--loads", type=float, nargs="+", default=[0.7, 0.9])
    parser.add_argument("--scenarios", nargs="+", choices=SCENARIOS, default=SCENARIOS)
    parser.add_argument("--policies", nargs="+", choices=POLICIES, default=POLICIES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="write the rows to this file")
    options = parser.parse_args(arguments)
    rows = asyncio.run(_run(options))
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump([asdict(row) for row in rows], file, indent=2)
    return 0 if _check_bounds(rows) else 1


if __name__ == "__main__":
    sys.exit(main())
