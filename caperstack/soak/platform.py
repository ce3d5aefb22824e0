"""A soak test of nodes on the stand-ins of the platform."""

import asyncio
import itertools
import random

from caperstack.clock import deadline_after, now
from caperstack.platform.standin.fleet import PlatformFleet, route_row
from caperstack.soak.checks import check_guarantees
from caperstack.soak.client import LARGE_BODY, LARGE_PATH, ask
from caperstack.soak.faults import (
    COLD_TOLERATED_PER_SECOND,
    FAULTS,
    KILL_ALL,
    PROCESS_FAULTS,
    RESTORE,
    STATEMENTS,
    STOP_READING,
    UNFINISHED,
)
from caperstack.soak.state import Change, SoakState

__all__ = ["run_soak"]

SERVICES = ("listings", "listings", "rates", "rates", "bookings", "bookings")
MAX_ATTEMPTS = 2
WORK_SECONDS = 0.03

#: Memory of each host in MiB.  A quarter of it is the limit on unread answers, and half of
#: that the one that holds for stalled callers: eleven and five large answers.
MEMORY_MB = 16

#: Path, relative frequency of requests, and whether a request may run at most once.
PATHS = (
    ("/listings/", 4, False),
    ("/bookings/", 3, True),
    ("/rates/", 2, False),
    ("/moving/", 1, False),
)

#: Share of seeds in which the nodes are never all killed at once.  After such a kill, the
#: nodes are allowed to have lost the state that they share; with one every ten seconds, a
#: loss for any other reason would not be noticed.
NO_KILL_ALL_SHARE = 0.5

#: Shortest and longest gap after a fault, in seconds.
FAULT_GAP_SECONDS = (0.1, 0.8)

#: The same after a fault of the store.  The guarantees that need not hold during such a
#: fault must hold again 2.5 s after its end; with a shorter gap they would never be checked.
STORE_FAULT_GAP_SECONDS = (4.0, 6.0)

#: The same after callers have stopped reading, so that some series of other faults have none.
STOP_READING_GAP_SECONDS = (2.0, 4.0)

#: Time within which the fleet must serve all requests again after the last fault, in
#: seconds, and the number of requests that check it.
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
    """Inject the named faults one after the other, with gaps between them, until the end time."""
    for name in names:
        if now() > until:
            return
        state.print_progress(name)
        state.faults[name] += 1
        await FAULTS[name](state)
        await asyncio.sleep(state.rng.uniform(*gap_seconds))


def _fault_streams(rng, server_faults=None):
    """Yield endless streams of fault names, each with the range of gaps between its faults.

    Faults of processes, of the store, of servers and of callers each form a stream.  If
    `server_faults` are given, that of the servers consists of these alone.
    """
    inserted = {RESTORE, *PROCESS_FAULTS, *STATEMENTS, *UNFINISHED, STOP_READING}
    others = [name for name in FAULTS if name not in inserted]
    store = [name for name in others if name.startswith("store")]
    servers = [name for name in others if not name.startswith("store")]
    processes = list(PROCESS_FAULTS)
    if rng.random() < NO_KILL_ALL_SHARE:
        processes.remove(KILL_ALL)
    for names in (processes, store, servers):
        rng.shuffle(names)
    # Inserted last, so that a seed gives the same order of the other faults as without it.
    store.insert(rng.randrange(len(store) + 1), RESTORE)
    # Appended, so that a seed gives the same faults at the same times as without them.
    servers += [*STATEMENTS, *UNFINISHED]
    yield itertools.cycle(processes), FAULT_GAP_SECONDS
    yield itertools.cycle(store), STORE_FAULT_GAP_SECONDS
    yield itertools.cycle(server_faults or servers), FAULT_GAP_SECONDS
    yield itertools.repeat(STOP_READING), STOP_READING_GAP_SECONDS


async def _check_recovery(state):
    """Record a problem unless all requests are served again in time."""
    limit = deadline_after(RECOVERY_SECONDS)
    while now() < limit:
        requests = [await ask(state, "/listings/", False) for _ in range(RECOVERY_REQUESTS)]
        if all(request.code == 200 for request in requests):
            return requests
        await asyncio.sleep(0.2)
    state.problems.append(
        f"not all requests are served {RECOVERY_SECONDS:.0f} s after the last fault"
    )
    return requests


async def run_soak(seconds, seed, rate=60.0, server_faults=None):
    """Run one soak test and return its `caperstack.soak.verdict.Verdict`.

    Parameters
    ----------
    seconds : float
        Duration for which requests are sent.
    seed : int
        Seed of all random choices; the timing of the machine remains random.
    rate : float
        Requests per second.
    server_faults : list of str, optional
        The faults of servers, keys of `caperstack.soak.faults.FAULTS`, in order; all in
        random order if not given.
    """
    rng = random.Random(seed)
    fleet = PlatformFleet(list(SERVICES), _route_rows())
    fleet.cold_per_second = COLD_TOLERATED_PER_SECOND
    for host in fleet.hosts:
        host.boot["limits"] = {"memoryMb": MEMORY_MB}
    async with fleet:
        for host in fleet.hosts:
            host.instance.behaviour.seconds = WORK_SECONDS
            host.instance.behaviour.bodies = {LARGE_PATH: LARGE_BODY}
        state = SoakState(fleet, rng, now())
        state.configurations.append(Change(0.0, "/moving/", "listings"))
        until = now() + seconds
        streams = [
            asyncio.create_task(_inject_faults(state, *stream, until))
            for stream in _fault_streams(rng, server_faults)
        ]
        requests = await _send_requests(state, seconds, rate)
        await asyncio.gather(*streams)
        requests += state.requests
        requests += await _check_recovery(state)
        verdict = check_guarantees(state, requests, MAX_ATTEMPTS)
        if not verdict.passed:
            state.print_progress(f"logs are kept in {fleet.keep_logs()}")
        return verdict
