"""A soak of nodes on the platform's stand-ins."""

import asyncio
import itertools
import random

from caperstack.clock import deadline_after, now
from caperstack.platform.standin.fleet import PlatformFleet, route_row
from caperstack.soak.checks import check_guarantees
from caperstack.soak.client import ask
from caperstack.soak.faults import (
    COLD_TOLERATED_PER_SECOND,
    FAULTS,
    KILL_ALL,
    PROCESS_FAULTS,
    RESTORE,
)
from caperstack.soak.state import Change, SoakState

__all__ = ["run_soak"]

SERVICES = ("listings", "listings", "rates", "rates", "bookings", "bookings")
MAX_ATTEMPTS = 2
WORK_SECONDS = 0.03

#: Path, how often it is asked for, and whether a request may run once only.
PATHS = (
    ("/listings/", 4, False),
    ("/bookings/", 3, True),
    ("/rates/", 2, False),
    ("/moving/", 1, False),
)

#: In this share of the seeds the nodes are never all killed at once: a full stop each ten
#: seconds would forgive whatever nodes have to remember together.
NO_KILL_ALL_SHARE = 0.5

#: The rest after a fault, in seconds, at least and at most.
FAULT_GAP_SECONDS = (0.1, 0.8)

#: The same after trouble of the store.  What it excuses has to hold again from two and
#: a half seconds after its end; with a shorter rest nothing of that is ever judged.
STORE_FAULT_GAP_SECONDS = (4.0, 6.0)

#: How long a fleet may take to serve everybody again after the last fault.
RECOVERY_SECONDS = 15.0
RECOVERY_REQUESTS = 20


def _route_rows():
    rows = []
    for path, _, at_most_once in PATHS:
        service = "listings" if path == "/moving/" else path.strip("/")
        kind = "non_idempotent" if at_most_once else "idempotent"
        rows.append(route_row(path, service, kind, attempts=MAX_ATTEMPTS))
    return rows


async def _send_requests(state, seconds, rate):
    tasks = []
    end = deadline_after(seconds)
    weights = [weight for _, weight, _ in PATHS]
    while now() < end:
        path, _, at_most_once = state.rng.choices(PATHS, weights)[0]
        tasks.append(asyncio.create_task(ask(state, path, at_most_once)))
        await asyncio.sleep(state.rng.expovariate(rate))
    return await asyncio.gather(*tasks)


async def _inject_faults(state, names, gap_seconds, until):
    """Bring about faults, one after the other with rests between, until the time is up."""
    for name in names:
        if now() > until:
            return
        state.print_progress(name)
        state.faults[name] += 1
        await FAULTS[name](state)
        await asyncio.sleep(state.rng.uniform(*gap_seconds))


def _fault_streams(rng):
    """Yield endless streams of fault names, each with the rests between its faults.

    Those of processes are a stream of their own.
    """
    others = [name for name in FAULTS if name not in PROCESS_FAULTS and name != RESTORE]
    store = [name for name in others if name.startswith("store")]
    servers = [name for name in others if not name.startswith("store")]
    processes = list(PROCESS_FAULTS)
    if rng.random() < NO_KILL_ALL_SHARE:
        processes.remove(KILL_ALL)
    for names in (processes, store, servers):
        rng.shuffle(names)
    # Last, so that a seed brings the other faults in the same order with it and without.
    store.insert(rng.randrange(len(store) + 1), RESTORE)
    yield itertools.cycle(processes), FAULT_GAP_SECONDS
    yield itertools.cycle(store), STORE_FAULT_GAP_SECONDS
    yield itertools.cycle(servers), FAULT_GAP_SECONDS


async def _check_recovery(state):
    """Note a problem unless everybody is served again in time."""
    limit = deadline_after(RECOVERY_SECONDS)
    while now() < limit:
        requests = [await ask(state, "/listings/", False) for _ in range(RECOVERY_REQUESTS)]
        if all(one.code == 200 for one in requests):
            return requests
        await asyncio.sleep(0.2)
    state.problems.append(f"not all are served {RECOVERY_SECONDS:.0f} s after the last fault")
    return requests


async def run_soak(seconds, seed, rate=60.0):
    """Run one soak and return its `caperstack.soak.verdict.Verdict`.

    Parameters
    ----------
    seconds : float
        How long requests are sent.
    seed : int
        Of all chance in it, but for what the machine's timing adds.
    rate : float
        Requests a second.
    """
    rng = random.Random(seed)
    fleet = PlatformFleet(list(SERVICES), _route_rows())
    fleet.cold_per_second = COLD_TOLERATED_PER_SECOND
    async with fleet:
        for host in fleet.hosts:
            host.instance.conduct.seconds = WORK_SECONDS
        state = SoakState(fleet, rng, now())
        state.configurations.append(Change(0.0, "/moving/", "listings"))
        until = now() + seconds
        streams = [
            asyncio.create_task(_inject_faults(state, *stream, until))
            for stream in _fault_streams(rng)
        ]
        requests = await _send_requests(state, seconds, rate)
        await asyncio.gather(*streams)
        requests += state.requests
        requests += await _check_recovery(state)
        verdict = check_guarantees(state, requests, MAX_ATTEMPTS)
        if not verdict.passed:
            state.print_progress(f"logs are kept in {fleet.keep_logs()}")
        return verdict
