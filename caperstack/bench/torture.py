"""Mixed faults on a fleet that serves calls: the part of ``caperstack-soak`` with subtrees."""

import asyncio
import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from caperstack.bench.faults import FAULTS, FaultContext
from caperstack.bench.scenario import SUBTREES, ProxiedFleet
from caperstack.clock import now
from caperstack.load.generator import NodeClients
from caperstack.load.plan import CallClass, plan_calls
from caperstack.soak.verdict import Verdict

__all__ = ["run_torture"]

NODES = 4
BACKEND = {"mean_ms": 25.0, "sigma": 1.0}

#: Routing policies by parity of the seed.  ``random`` sends most calls through two nodes;
#: ``load_aware`` is the policy that the product ships.
POLICIES = ("random", "load_aware")

CLASSES = [
    CallClass(name="listing", path="/listings", share=4, deadline_seconds=2.0),
    CallClass(
        name="booking", path="/bookings", method="POST", share=4, keyed=True, deadline_seconds=1.5
    ),
    CallClass(name="unkeyed", path="/bookings", method="POST", share=2, deadline_seconds=1.5),
]

#: A caller sends a keyed booking at most this often, until it is answered.
MAX_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 0.4

#: A call may start to run this much after the caller's deadline, for delays in the scheduling
#: of processes on the test machine.
LATE_SLACK_SECONDS = 0.3

#: Faults run at the same time, so that they overlap.
CONCURRENT_FAULTS = 2


@dataclass
class _CallRecord:
    """A planned call and its attempts.

    Attributes
    ----------
    planned : caperstack.load.plan.PlannedCall
        The call as planned.
    tries : list
        The result of each attempt.
    started, ended : list of float
        Wall clock times of each attempt in seconds.
    """

    planned: object
    tries: list = field(default_factory=list)
    started: list = field(default_factory=list)
    ended: list = field(default_factory=list)


async def _send_with_retries(planned, senders, start, addresses, rng):
    """Send a call, retry it if it has a key until it is answered; return its `_CallRecord`."""
    record = _CallRecord(planned)
    due = planned.due
    for number in range(MAX_ATTEMPTS):
        record.started.append(time.time())
        result = await senders.send(planned, start)
        record.ended.append(time.time())
        record.tries.append(result)
        final = result.outcome == "answered" and result.status == 200
        if final or not planned.key or number == MAX_ATTEMPTS - 1:
            break
        await asyncio.sleep(RETRY_DELAY_SECONDS)
        planned.target = rng.choice(addresses)
        planned.due = now() - start
    planned.due = due
    return record


async def _send_calls(context, seconds, rate, seed):
    """Send the planned calls at their due times; return their records."""
    addresses = [context.fleet.caller_address(host) for host in sorted(context.fleet.settings)]
    senders = NodeClients()
    tasks = []
    start = now()
    for planned in plan_calls(CLASSES, addresses, rate, seconds, seed):
        await asyncio.sleep(max(0.0, start + planned.due - now()))
        tasks.append(
            asyncio.create_task(_send_with_retries(planned, senders, start, addresses, context.rng))
        )
    records = await asyncio.gather(*tasks)
    await senders.close()
    return records


async def _inject_faults(context, kinds, until):
    """Inject faults of the given kinds one after the other, until the time is up."""
    for name in kinds:
        if now() > until:
            return
        await FAULTS[name](context)
        context.counts[name] = context.counts.get(name, 0) + 1
        await asyncio.sleep(0.3)


def _fault_sequences(rng):
    """Yield endless sequences of fault names, one per concurrent fault.

    Each goes through its kinds in a random, fixed order.
    """
    for lane in range(CONCURRENT_FAULTS):
        names = sorted(FAULTS)
        rng.shuffle(names)
        # Only the first sequence contains faults of processes, such as kills and restarts.
        own = [n for n in names if ("node" in n or "backend" in n or "dying" in n) == (lane == 0)]
        yield itertools.cycle(own)


def _in_window(context, process, begin, end):
    """Return whether `process` was faulty at any time between `begin` and `end`."""
    return any(w.process == process and w.begin <= end and begin <= w.end for w in context.windows)


def _check_guarantees(context, records, ledgers):
    """Compare what callers received with the ledgers of the servers; return the `Verdict`."""
    verdict = Verdict(len(records), Counter(), Counter(context.counts), frozenset(FAULTS))
    broken = {
        name: []
        for name in ("doubled", "false not-run", "lost", "wrong", "cut", "late run", "after drain")
    }
    verdict.broken = broken
    runs = Counter()
    run_at = {}
    for host, ledger in ledgers.items():
        broken["after drain"] += [f"{host} ran a call"] * ledger["after_drain"]
        runs.update(ledger["ledger"])
        for name, moment in ledger["run_at"].items():
            run_at.setdefault(name, []).append((host, moment))
    hosts = {node["caller_address"]: host for host, node in context.fleet.settings.items()}
    for record in records:
        verdict.outcomes.update(result.outcome for result in record.tries)
        name = record.planned.name
        idempotent = record.planned.kind.idempotent
        outcomes = {result.outcome for result in record.tries}
        if runs[name] > 1 and not idempotent:
            broken["doubled"].append(name)
        if runs[name] and outcomes == {"not-run"}:
            broken["false not-run"].append(name)
        for result, started, ended in zip(record.tries, record.started, record.ended, strict=True):
            if not runs[name] and result.status == 200:
                broken["lost"].append(name)
            if not result.whole:
                broken["wrong"].append(name)
            process = f"node-{hosts[result.target]}"
            unanswered = result.outcome == "no answer" and result.sent
            if unanswered and not _in_window(context, process, started, ended):
                broken["cut"].append(
                    f"{name} {process} {result.reason} {started - context.start_time:.2f}"
                )
        last = max(record.started) + record.planned.kind.deadline_seconds + LATE_SLACK_SECONDS
        for host, moment in run_at.get(name, ()):
            if moment > last and not _in_window(context, f"backend-{host}", last - 10, moment):
                broken["late run"].append(f"{name} by {moment - last:.2f} s")
    return verdict


def _subtrees(policy):
    root = SUBTREES[""]
    services = {name: one | {"policy": policy} for name, one in root["services"].items()}
    return {"": root | {"services": services}}


async def run_torture(seconds, seed, rate=80.0, weakened=None):
    """Run one soak with faults.

    Parameters
    ----------
    seconds : float
        How long calls are sent, in seconds.
    seed : int
        The seed of all random choices.  Timing on the machine still varies between runs.
    rate : float
        Calls per second.
    weakened : str, optional
        A safeguard to switch off, one of `caperstack.bench.weakened.WEAKENINGS`, to show that
        the checks detect its absence.

    Returns
    -------
    verdict : caperstack.soak.verdict.Verdict
        The violations of each guarantee.
    """
    module = ("caperstack.node.main",)
    if weakened:
        module = ("caperstack.bench.weakened", weakened)
    rng = random.Random(seed)
    subtrees = _subtrees(POLICIES[seed % 2])
    async with ProxiedFleet(NODES, subtrees, BACKEND, node_module=module) as proxied:
        context = FaultContext(proxied, rng)
        # A keeper vouches only for keys that were created after it started.
        await asyncio.sleep(3.0)
        until = now() + seconds
        context.start_time = time.time()
        lanes = [
            asyncio.create_task(_inject_faults(context, kinds, until))
            for kinds in _fault_sequences(rng)
        ]
        records = await _send_calls(context, seconds, rate, seed)
        await asyncio.gather(*lanes)
        return _check_guarantees(context, records, await proxied.fleet.ledgers())
