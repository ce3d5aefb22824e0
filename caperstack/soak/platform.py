"""A soak of nodes on the platform's stand-ins."""

import asyncio
import itertools
import random

from caperstack.clock import deadline_after, now
from caperstack.platform.standin.fleet import PlatformFleet, route_row
from caperstack.soak.asking import ask
from caperstack.soak.faults import COLD_TOLERATED, FAULTS, FULL_STOP, PROCESS_FAULTS, RESTORE
from caperstack.soak.ground import Fact, Ground
from caperstack.soak.judge import judge

__all__ = ["run_soak"]

SERVICES = ("listings", "listings", "rates", "rates", "bookings", "bookings")
ATTEMPTS = 2
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
FULL_STOPS_IN = 0.5

#: The rest after a fault, in seconds, at least and at most.
REST_SECONDS = (0.1, 0.8)

#: The same after trouble of the store.  What it excuses has to hold again from two and
#: a half seconds after its end; with a shorter rest nothing of that is ever judged.
STORE_REST_SECONDS = (4.0, 6.0)

#: How long a fleet may take to serve everybody again after the last fault.
RECOVERY_SECONDS = 15.0
CALM_CALLS = 20


def _routes():
    rows = []
    for path, _, once in PATHS:
        service = "listings" if path == "/moving/" else path.strip("/")
        kind = "non_idempotent" if once else "idempotent"
        rows.append(route_row(path, service, kind, attempts=ATTEMPTS))
    return rows


async def _drive(ground, seconds, rate):
    tasks = []
    end = deadline_after(seconds)
    weights = [weight for _, weight, _ in PATHS]
    while now() < end:
        path, _, once = ground.rng.choices(PATHS, weights)[0]
        tasks.append(asyncio.create_task(ask(ground, path, once)))
        await asyncio.sleep(ground.rng.expovariate(rate))
    return await asyncio.gather(*tasks)


async def _harass(ground, names, rests, until):
    """Bring about faults, one after the other with rests between, until the time is up."""
    for name in names:
        if now() > until:
            return
        ground.note(name)
        ground.faults[name] += 1
        await FAULTS[name](ground)
        await asyncio.sleep(ground.rng.uniform(*rests))


def _lanes(rng):
    """Yield endless streams of fault names, each with the rests between its faults.

    Those of processes are a stream of their own.
    """
    others = [name for name in FAULTS if name not in PROCESS_FAULTS and name != RESTORE]
    store = [name for name in others if name.startswith("store")]
    servers = [name for name in others if not name.startswith("store")]
    processes = list(PROCESS_FAULTS)
    if rng.random() < FULL_STOPS_IN:
        processes.remove(FULL_STOP)
    for names in (processes, store, servers):
        rng.shuffle(names)
    # Last, so that a seed brings the other faults in the same order with it and without.
    store.insert(rng.randrange(len(store) + 1), RESTORE)
    yield itertools.cycle(processes), REST_SECONDS
    yield itertools.cycle(store), STORE_REST_SECONDS
    yield itertools.cycle(servers), REST_SECONDS


async def _recover(ground):
    """Note a problem unless everybody is served again in time."""
    limit = deadline_after(RECOVERY_SECONDS)
    while now() < limit:
        asked = [await ask(ground, "/listings/", False) for _ in range(CALM_CALLS)]
        if all(one.code == 200 for one in asked):
            return asked
        await asyncio.sleep(0.2)
    ground.problems.append(f"not all are served {RECOVERY_SECONDS:.0f} s after the last fault")
    return asked


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
    fleet = PlatformFleet(list(SERVICES), _routes())
    fleet.cold_per_second = COLD_TOLERATED
    async with fleet:
        for host in fleet.hosts:
            host.instance.behaviour.seconds = WORK_SECONDS
        ground = Ground(fleet, rng, now())
        ground.configurations.append(Fact(0.0, "/moving/", "listings"))
        until = now() + seconds
        lanes = [asyncio.create_task(_harass(ground, *lane, until)) for lane in _lanes(rng)]
        asked = await _drive(ground, seconds, rate)
        await asyncio.gather(*lanes)
        asked += ground.asked
        asked += await _recover(ground)
        verdict = judge(ground, asked, ATTEMPTS)
        if not verdict.clean:
            ground.note(f"logs are kept in {fleet.keep_logs()}")
        return verdict
