"""The faults of a soak: signals, a store in trouble, servers that come and go, changes."""

import asyncio
import itertools
import signal

from caperstack.clock import now
from caperstack.soak.asking import ask
from caperstack.soak.ground import Fact

__all__ = [
    "COLD_TOLERATED",
    "FAULTS",
    "FULL_STOP",
    "PROCESS_FAULTS",
    "RESTORE",
    "SERVICES_OF_MOVING",
    "change_configuration",
]

#: The services between which one path moves with each configuration.
MOVING = "/moving/"
SERVICES_OF_MOVING = ("listings", "rates")

#: A leaving backend server serves on for so long before it ends, in seconds.
LEAVES_AFTER_SECONDS = 4.0

_instances = itertools.count(1)
_fatal = itertools.count(1)

#: Promises that hang on the store hold again so long after its trouble, in seconds.
STORE_SETTLED_SECONDS = 3.0

#: Configurations that are written after the copy is made.
LOST_VERSIONS = 5

#: How old the copy is from which the store comes back, at least and at most, in seconds.
COPY_AGE_SECONDS = (1.0, 6.0)

#: How long a server is cold, in seconds, and the requests in a second that it bears
#: then: one and a half times what the configuration says, and eight.
COLD_SECONDS = 3.0
COLD_TOLERATED = 4
COLD_BEARS = 14

#: For how long a request that ends servers comes again and again, in seconds, and
#: how long its callers wait in between, at least and at most.
FATAL_SECONDS = 10.0
FATAL_AGAIN_SECONDS = (0.02, 0.5)


async def _start_again(ground, host, window):
    await host.node.ended()
    await asyncio.sleep(ground.rng.uniform(0.0, 1.0))
    ground.fleet.start_node(host)
    await ground.fleet.until(lambda: ground.fleet.ready(host), f"{host.ip} ready again")
    window.end = now()


async def kill_node(ground):
    """Kill a node and start it anew."""
    host = ground.some_host()
    window = ground.open_window(host)
    host.node.signal(signal.SIGKILL)
    await _start_again(ground, host, window)


async def kill_all(ground):
    """Kill all nodes at the same moment."""
    ground.full_stops.append(now())
    windows = [ground.open_window(host) for host in ground.fleet.hosts]
    for host in ground.fleet.hosts:
        host.node.signal(signal.SIGKILL)
    pairs = zip(ground.fleet.hosts, windows, strict=True)
    await asyncio.gather(*(_start_again(ground, host, window) for host, window in pairs))


async def stop_node(ground):
    """Let a node drain and start it anew; it must cut nothing and end with status 0."""
    host = ground.some_host()
    host.node.signal(signal.SIGTERM)
    status = await host.node.ended()
    if status != 0:
        ground.problems.append(f"{host.ip} ended with {status}")
    # Who asks where nobody listens any more is not cut.
    await _start_again(ground, host, ground.open_window(host))


async def suspend_node(ground):
    """Suspend a node, then let it wake with old beliefs."""
    host = ground.some_host()
    window = ground.open_window(host)
    host.node.signal(signal.SIGSTOP)
    await asyncio.sleep(ground.rng.choice((0.7, 2.0, 4.0)))
    host.node.signal(signal.SIGCONT)
    # What peers believe of it is set right within a few heartbeats.
    await asyncio.sleep(1.5)
    window.end = now()


def _store(**faults):
    async def fault(ground):
        addresses = list(ground.fleet.store.faults)
        chosen = addresses if ground.rng.random() < 0.5 else addresses[:1]
        for address in chosen:
            for name, value in faults.items():
                setattr(ground.fleet.store.faults[address], name, value)
        windows = [ground.open_window(host, process=False) for host in ground.fleet.hosts]
        await asyncio.sleep(ground.rng.uniform(1.0, 5.0))
        for address in chosen:
            for name, value in faults.items():
                setattr(ground.fleet.store.faults[address], name, type(value)())
        await asyncio.sleep(STORE_SETTLED_SECONDS)
        for window in windows:
            window.end = now()

    fault.__doc__ = f"The store is in trouble for all readers or some: {faults}."
    return fault


async def restore_store(ground):
    """The store comes back from a copy; configurations change before and after."""
    copy = ground.fleet.store.copy()
    # Of several versions that are lost only the last is written again, so that the
    # next one lies at a revision that was given out before.
    await _move(ground, LOST_VERSIONS)
    await asyncio.sleep(ground.rng.uniform(*COPY_AGE_SECONDS))
    windows = [ground.open_window(host, process=False) for host in ground.fleet.hosts]
    await ground.fleet.restore_store(copy, ground.rng.uniform(0.1, 1.5))
    await asyncio.sleep(ground.rng.uniform(0.0, 0.5))
    ground.fleet.store.rewrite_lost()
    await _move(ground, 1)
    await asyncio.sleep(STORE_SETTLED_SECONDS)
    for window in windows:
        window.end = now()


async def replace_server(ground):
    """A backend server drains or leaves without a word, and another takes its place."""
    host = ground.some_host()
    instance = host.instance
    if ground.rng.random() < 0.5:
        ground.fleet.register(host, "draining")
    else:
        ground.fleet.withdraw(host)
    ground.departures.append(Fact(now(), instance.name))
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    ground.fleet.withdraw(host)
    instance.name = f"{instance.name}-{next(_instances)}"
    await asyncio.sleep(ground.rng.uniform(0.0, 0.5))
    ground.fleet.register(host)


async def fatal_request(ground):
    """A request ends each server that runs it, and comes again at any node."""
    target = f"/listings/fatal-{next(_fatal)}"
    for host in ground.fleet.hosts:
        host.instance.behaviour.fatal |= {target}
    ground.fatal.append(target)
    tasks = []
    until = now() + FATAL_SECONDS
    while now() < until:
        tasks.append(asyncio.create_task(ask(ground, target, False)))
        await asyncio.sleep(ground.rng.uniform(*FATAL_AGAIN_SECONDS))
    ground.asked += await asyncio.gather(*tasks)


async def crash_server(ground):
    """A backend server ends without a cause in what it runs, and starts again."""
    ground.fleet.crash(ground.some_host())
    await asyncio.sleep(ground.fleet.down_seconds)


async def evacuate_zone(ground):
    """A zone is evacuated for some seconds, and its servers are cold when it is back."""
    zone = ground.some_host().zone
    evacuation = ground.evacuate(zone)
    ground.fleet.evacuate(zone)
    await asyncio.sleep(ground.rng.uniform(2.0, 6.0))
    evacuation.end = now()
    for host in ground.fleet.hosts:
        if host.zone == zone:
            _chill(host)
    ground.fleet.end_evacuation(zone)
    await asyncio.sleep(COLD_SECONDS)


async def chill_server(ground):
    """A backend server turns cold, and ends if it gets more than it bears."""
    _chill(ground.some_host())
    await asyncio.sleep(COLD_SECONDS)


def _chill(host):
    behaviour = host.instance.behaviour
    behaviour.cold_since = now()
    behaviour.cold_until = now() + COLD_SECONDS
    behaviour.cold_bears = COLD_BEARS


def _conduct(seconds, **faults):
    async def fault(ground):
        behaviour = ground.some_host().instance.behaviour
        calm = {name: getattr(type(behaviour)(), name) for name in faults}
        for name, value in faults.items():
            setattr(behaviour, name, value)
        await asyncio.sleep(seconds)
        for name, value in calm.items():
            setattr(behaviour, name, value)

    fault.__doc__ = f"A backend server is in trouble: {faults}."
    return fault


async def change_configuration(ground):
    """Move a path to another service, several times in quick succession at times."""
    await _move(ground, ground.rng.choice((1, 1, 3)))


async def _move(ground, times):
    for _ in range(times):
        row = next(row for row in ground.fleet.routes if MOVING in row)
        place = next(i for i, value in enumerate(row) if value in SERVICES_OF_MOVING)
        first, second = SERVICES_OF_MOVING
        row[place] = second if row[place] == first else first
        ground.fleet.configure()
        ground.configurations.append(Fact(now(), MOVING, row[place]))
        await asyncio.sleep(ground.rng.uniform(0.2, 1.0))


#: Faults of the nodes' processes; one at a time.
FULL_STOP = "kill all"
PROCESS_FAULTS = {
    "kill node": kill_node,
    FULL_STOP: kill_all,
    "stop node": stop_node,
    "suspend node": suspend_node,
}

#: The store loses its last writes.
RESTORE = "store restored"

#: All faults; the others go on beside those of the processes.
FAULTS = PROCESS_FAULTS | {
    "store refuses": _store(status=503),
    "store silent": _store(silent=True),
    "store cuts": _store(cut=True),
    "store slow": _store(delay_seconds=0.3),
    RESTORE: restore_store,
    "server replaced": replace_server,
    "server crashes": crash_server,
    "server turns cold": chill_server,
    "zone evacuated": evacuate_zone,
    "fatal request": fatal_request,
    "server loses answers": _conduct(1.5, lose_answers=True),
    "server answers twice": _conduct(2.0, extra_answers=True),
    "server cuts answers": _conduct(1.5, unframed="reset"),
    "server refuses": _conduct(2.0, refuse=True),
    "server fails": _conduct(2.0, status=500),
    "server has a neighbour": _conduct(2.0, pace=4.0),
    "configuration": change_configuration,
}
