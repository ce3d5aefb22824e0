"""The faults of a soak: signals, a store in trouble, servers that come and go, changes."""

import asyncio
import itertools
import signal

from caperstack.clock import now
from caperstack.soak.client import ask
from caperstack.soak.state import Change

__all__ = [
    "COLD_TOLERATED_PER_SECOND",
    "FAULTS",
    "KILL_ALL",
    "PROCESS_FAULTS",
    "RESTORE",
    "MOVING_PATH_SERVICES",
    "change_configuration",
]

#: The services between which one path moves with each configuration.
MOVING_PATH = "/moving/"
MOVING_PATH_SERVICES = ("listings", "rates")

#: A leaving backend server serves on for so long before it ends, in seconds.
DEPARTURE_SECONDS = 4.0

_instance_numbers = itertools.count(1)
_fatal_numbers = itertools.count(1)

#: Promises that hang on the store hold again so long after its trouble, in seconds.
STORE_RECOVERY_SECONDS = 3.0

#: Configurations that are written after the copy is made.
LOST_VERSIONS = 5

#: How old the copy is from which the store comes back, at least and at most, in seconds.
COPY_AGE_SECONDS = (1.0, 6.0)

#: How long a server is cold, in seconds, and the requests in a second that it bears
#: then: one and a half times what the configuration says, and eight.
COLD_SECONDS = 3.0
COLD_TOLERATED_PER_SECOND = 4
COLD_CAPACITY_PER_SECOND = 14

#: For how long a request that ends servers comes again and again, in seconds, and
#: how long its callers wait in between, at least and at most.
FATAL_SECONDS = 10.0
FATAL_RETRY_SECONDS = (0.02, 0.5)


async def _restart_node(state, host, window):
    await host.node.ended()
    await asyncio.sleep(state.rng.uniform(0.0, 1.0))
    state.fleet.start_node(host)
    await state.fleet.until(lambda: state.fleet.ready(host), f"{host.ip} ready again")
    window.end = now()


async def kill_node(state):
    """Kill a node and start it anew."""
    host = state.random_host()
    window = state.open_window(host)
    host.node.signal(signal.SIGKILL)
    await _restart_node(state, host, window)


async def kill_all(state):
    """Kill all nodes at the same moment."""
    state.kill_all_times.append(now())
    windows = [state.open_window(host) for host in state.fleet.hosts]
    for host in state.fleet.hosts:
        host.node.signal(signal.SIGKILL)
    pairs = zip(state.fleet.hosts, windows, strict=True)
    await asyncio.gather(*(_restart_node(state, host, window) for host, window in pairs))


async def stop_node(state):
    """Let a node drain and start it anew; it must cut nothing and end with status 0."""
    host = state.random_host()
    host.node.signal(signal.SIGTERM)
    status = await host.node.ended()
    if status != 0:
        state.problems.append(f"{host.ip} ended with {status}")
    # Who asks where nobody listens any more is not cut.
    await _restart_node(state, host, state.open_window(host))


async def suspend_node(state):
    """Suspend a node, then let it wake with old beliefs."""
    host = state.random_host()
    window = state.open_window(host)
    host.node.signal(signal.SIGSTOP)
    await asyncio.sleep(state.rng.choice((0.7, 2.0, 4.0)))
    host.node.signal(signal.SIGCONT)
    # What peers believe of it is set right within a few heartbeats.
    await asyncio.sleep(1.5)
    window.end = now()


def _store_fault(**troubles):
    async def fault(state):
        addresses = list(state.fleet.store.troubles)
        chosen = addresses if state.rng.random() < 0.5 else addresses[:1]
        for address in chosen:
            for name, value in troubles.items():
                setattr(state.fleet.store.troubles[address], name, value)
        windows = [state.open_window(host, process=False) for host in state.fleet.hosts]
        await asyncio.sleep(state.rng.uniform(1.0, 5.0))
        for address in chosen:
            for name, value in troubles.items():
                setattr(state.fleet.store.troubles[address], name, type(value)())
        await asyncio.sleep(STORE_RECOVERY_SECONDS)
        for window in windows:
            window.end = now()

    fault.__doc__ = f"The store is in trouble for all readers or some: {troubles}."
    return fault


async def restore_store(state):
    """The store comes back from a copy; configurations change before and after."""
    copy = state.fleet.store.copy()
    # Of several versions that are lost only the last is written again, so that the
    # next one lies at a revision that was given out before.
    await _move_path(state, LOST_VERSIONS)
    await asyncio.sleep(state.rng.uniform(*COPY_AGE_SECONDS))
    windows = [state.open_window(host, process=False) for host in state.fleet.hosts]
    await state.fleet.restore_store(copy, state.rng.uniform(0.1, 1.5))
    await asyncio.sleep(state.rng.uniform(0.0, 0.5))
    state.fleet.store.write_again()
    await _move_path(state, 1)
    await asyncio.sleep(STORE_RECOVERY_SECONDS)
    for window in windows:
        window.end = now()


async def replace_server(state):
    """A backend server drains or leaves without a word, and another takes its place."""
    host = state.random_host()
    instance = host.instance
    if state.rng.random() < 0.5:
        state.fleet.register(host, "draining")
    else:
        state.fleet.withdraw(host)
    state.departures.append(Change(now(), instance.name))
    await asyncio.sleep(DEPARTURE_SECONDS)
    state.fleet.withdraw(host)
    instance.name = f"{instance.name}-{next(_instance_numbers)}"
    await asyncio.sleep(state.rng.uniform(0.0, 0.5))
    state.fleet.register(host)


async def fatal_request(state):
    """A request ends each server that runs it, and comes again at any node."""
    target = f"/listings/fatal-{next(_fatal_numbers)}"
    for host in state.fleet.hosts:
        host.instance.conduct.fatal |= {target}
    state.fatal.append(target)
    tasks = []
    until = now() + FATAL_SECONDS
    while now() < until:
        tasks.append(asyncio.create_task(ask(state, target, False)))
        await asyncio.sleep(state.rng.uniform(*FATAL_RETRY_SECONDS))
    state.requests += await asyncio.gather(*tasks)


async def crash_server(state):
    """A backend server ends without a cause in what it runs, and starts again."""
    state.fleet.crash(state.random_host())
    await asyncio.sleep(state.fleet.down_seconds)


async def evacuate_zone(state):
    """A zone is evacuated for some seconds, and its servers are cold when it is back."""
    zone = state.random_host().zone
    evacuation = state.evacuate(zone)
    state.fleet.evacuate(zone)
    await asyncio.sleep(state.rng.uniform(2.0, 6.0))
    evacuation.end = now()
    for host in state.fleet.hosts:
        if host.zone == zone:
            _make_cold(host)
    state.fleet.take_back(zone)
    await asyncio.sleep(COLD_SECONDS)


async def make_server_cold(state):
    """A backend server turns cold, and ends if it gets more than it bears."""
    _make_cold(state.random_host())
    await asyncio.sleep(COLD_SECONDS)


def _make_cold(host):
    conduct = host.instance.conduct
    conduct.cold_since = now()
    conduct.cold_until = now() + COLD_SECONDS
    conduct.cold_bears = COLD_CAPACITY_PER_SECOND


def _server_fault(seconds, **troubles):
    async def fault(state):
        conduct = state.random_host().instance.conduct
        calm = {name: getattr(type(conduct)(), name) for name in troubles}
        for name, value in troubles.items():
            setattr(conduct, name, value)
        await asyncio.sleep(seconds)
        for name, value in calm.items():
            setattr(conduct, name, value)

    fault.__doc__ = f"A backend server is in trouble: {troubles}."
    return fault


async def change_configuration(state):
    """Move a path to another service, several times in quick succession at times."""
    await _move_path(state, state.rng.choice((1, 1, 3)))


async def _move_path(state, times):
    for _ in range(times):
        row = next(row for row in state.fleet.routes if MOVING_PATH in row)
        place = next(i for i, value in enumerate(row) if value in MOVING_PATH_SERVICES)
        first, second = MOVING_PATH_SERVICES
        row[place] = second if row[place] == first else first
        state.fleet.configure()
        state.configurations.append(Change(now(), MOVING_PATH, row[place]))
        await asyncio.sleep(state.rng.uniform(0.2, 1.0))


#: Faults of the nodes' processes; one at a time.
KILL_ALL = "kill all"
PROCESS_FAULTS = {
    "kill node": kill_node,
    KILL_ALL: kill_all,
    "stop node": stop_node,
    "suspend node": suspend_node,
}

#: The store loses its last writes.
RESTORE = "store restored"

#: All faults; the others go on beside those of the processes.
FAULTS = PROCESS_FAULTS | {
    "store refuses": _store_fault(status=503),
    "store silent": _store_fault(silent=True),
    "store cuts": _store_fault(cut=True),
    "store slow": _store_fault(delay_seconds=0.3),
    RESTORE: restore_store,
    "server replaced": replace_server,
    "server crashes": crash_server,
    "server turns cold": make_server_cold,
    "zone evacuated": evacuate_zone,
    "fatal request": fatal_request,
    "server loses answers": _server_fault(1.5, lose_answers=True),
    "server answers twice": _server_fault(2.0, extra_answers=True),
    "server cuts answers": _server_fault(1.5, unframed="reset"),
    "server refuses": _server_fault(2.0, refuse=True),
    "server fails": _server_fault(2.0, status=500),
    "server has a neighbour": _server_fault(2.0, pace=4.0),
    "configuration": change_configuration,
}
