"""The faults that a soak test injects into nodes, the store and backend servers."""

import asyncio
import itertools
import signal

from caperstack.clock import now
from caperstack.soak.client import ask, ask_and_pause
from caperstack.soak.state import Change, RateLimitPeriod, SlowReadersPeriod

__all__ = [
    "COLD_TOLERATED_PER_SECOND",
    "FAULTS",
    "KILL_ALL",
    "MOVING_PATH_SERVICES",
    "PROCESS_FAULTS",
    "RESTORE",
    "STATEMENTS",
    "STOP_READING",
    "UNFINISHED",
    "change_configuration",
]

#: A path that each change of the configuration moves between two services.
MOVING_PATH = "/moving/"
MOVING_PATH_SERVICES = ("listings", "rates")

#: How long a departing backend server continues to serve before it ends, in seconds.
DEPARTURE_SECONDS = 4.0

#: Rates that backend servers state, in requests per second, and how long they state one, in
#: seconds.  From `LEAST_RATE_OUTSIDE_HEALTH` on, the health path may leave it out: until the
#: first answer to a call, a node that starts while all others do may fill all slots.
RATES = ("0.4", "2", "5.3")
RATE_SECONDS = (5.0, 8.0)
LEAST_RATE_OUTSIDE_HEALTH = 2.0

_instance_numbers = itertools.count(1)
_fatal_numbers = itertools.count(1)

#: Guarantees that depend on the store must hold again this long after a fault of it, in
#: seconds.
STORE_RECOVERY_SECONDS = 3.0

#: Number of configurations written after the copy is made, which the restore loses.
LOST_VERSIONS = 5

#: Least and greatest age of the copy from which the store is restored, in seconds.
COPY_AGE_SECONDS = (1.0, 6.0)

#: How long a server is cold, in seconds; the cold requests per second that the
#: configuration allows; and the requests per second above which a cold server crashes,
#: 1.5 times that rate plus 8.
COLD_SECONDS = 3.0
COLD_TOLERATED_PER_SECOND = 4
COLD_CAPACITY_PER_SECOND = 14

#: How long a request that crashes servers is repeated, in seconds, and the shortest and
#: longest wait of its callers between repeats.
FATAL_SECONDS = 10.0
FATAL_RETRY_SECONDS = (0.02, 0.5)

#: How long a server that stops in the middle of answers is listed, in seconds.
SILENT_SECONDS = (0.2, 1.0)

#: Callers that stop reading together, for long and for a short time.  With the memory of the
#: soak's hosts, the answers of the former exceed the limit that holds for stalled callers, and
#: all answers together do not exceed the other one.
LONG_PAUSE_CALLERS = 8
SHORT_PAUSE_CALLERS = 3

#: Pauses of these callers in seconds.  A node takes a caller for stalled after 2 s.
LONG_PAUSE_SECONDS = 5.0
SHORT_PAUSE_SECONDS = (0.3, 1.2)

#: Time between the requests of the two kinds, in seconds.
SHORT_PAUSES_DELAY_SECONDS = 0.5


async def _restart_node(state, host, window):
    await host.node.ended()
    await asyncio.sleep(state.rng.uniform(0.0, 1.0))
    state.fleet.start_node(host)
    await state.fleet.until(lambda: state.fleet.ready(host), f"{host.ip} ready again")
    window.end = now()


async def kill_node(state):
    """Kill a node and restart it."""
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
    """Drain and restart a node; it must cut no request and exit with status 0."""
    host = state.random_host()
    host.node.signal(signal.SIGTERM)
    status = await host.node.ended()
    if status != 0:
        state.problems.append(f"{host.ip} exited with status {status}")
    # A refused connection does not count as cut, so the window opens only now.
    await _restart_node(state, host, state.open_window(host))


async def suspend_node(state):
    """Suspend a node and resume it with outdated state."""
    host = state.random_host()
    window = state.open_window(host)
    host.node.signal(signal.SIGSTOP)
    await asyncio.sleep(state.rng.choice((0.7, 2.0, 4.0)))
    host.node.signal(signal.SIGCONT)
    # Its peers correct their state of the node within a few pings.
    await asyncio.sleep(1.5)
    window.end = now()


def _store_fault(**settings):
    async def fault(state):
        addresses = list(state.fleet.store.faults)
        chosen = addresses if state.rng.random() < 0.5 else addresses[:1]
        for address in chosen:
            for name, value in settings.items():
                setattr(state.fleet.store.faults[address], name, value)
        windows = [state.open_window(host, process=False) for host in state.fleet.hosts]
        await asyncio.sleep(state.rng.uniform(1.0, 5.0))
        for address in chosen:
            for name, value in settings.items():
                setattr(state.fleet.store.faults[address], name, type(value)())
        await asyncio.sleep(STORE_RECOVERY_SECONDS)
        for window in windows:
            window.end = now()

    fault.__doc__ = f"The store is faulty at all of its addresses or at the first: {settings}."
    return fault


async def restore_store(state):
    """Restore the store from an older copy; the configuration changes before and after."""
    copy = state.fleet.store.copy()
    # Only the last of several lost versions is written again, so that the next one gets
    # a revision number that had been given out before the restore.
    await _move_path(state, LOST_VERSIONS)
    await asyncio.sleep(state.rng.uniform(*COPY_AGE_SECONDS))
    windows = [state.open_window(host, process=False) for host in state.fleet.hosts]
    await state.fleet.restore_store(copy, state.rng.uniform(0.1, 1.5))
    await asyncio.sleep(state.rng.uniform(0.0, 0.5))
    state.fleet.store.rewrite_lost()
    await _move_path(state, 1)
    await asyncio.sleep(STORE_RECOVERY_SECONDS)
    for window in windows:
        window.end = now()


async def replace_server(state):
    """Replace a backend server, which drains first or is withdrawn without notice."""
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


async def state_departure(state):
    """Replace a backend server that only states in its answers that it is leaving."""
    host = state.random_host()
    instance = host.instance
    instance.behaviour.leaving = "1"
    state.stated_departures.append(Change(now(), instance.name))
    await asyncio.sleep(DEPARTURE_SECONDS)
    state.fleet.withdraw(host)
    instance.behaviour.leaving = ""
    instance.name = f"{instance.name}-{next(_instance_numbers)}"
    await asyncio.sleep(state.rng.uniform(0.0, 0.5))
    state.fleet.register(host)


async def state_rate_limits(state):
    """One server, or all of a service, state a rate limit, then another, then none."""
    chosen = state.random_host()
    hosts = [chosen]
    if state.rng.random() < 0.5:
        hosts = [h for h in state.fleet.hosts if h.instance.service == chosen.instance.service]
    for rate in state.rng.sample(RATES, 2):
        states_in_health = float(rate) < LEAST_RATE_OUTSIDE_HEALTH or state.rng.random() < 0.5
        periods = [RateLimitPeriod(host.ip, float(rate), now()) for host in hosts]
        state.rate_limits += periods
        for host in hosts:
            host.instance.behaviour.health_states_limit = states_in_health
            host.instance.behaviour.rate_limit = rate
        await asyncio.sleep(state.rng.uniform(*RATE_SECONDS))
        for period in periods:
            period.end = now()
    for host in hosts:
        host.instance.behaviour.rate_limit = ""
        host.instance.behaviour.health_states_limit = True


async def fatal_request(state):
    """Repeat a request that crashes every server which runs it, at random nodes."""
    target = f"/listings/fatal-{next(_fatal_numbers)}"
    for host in state.fleet.hosts:
        host.instance.behaviour.fatal |= {target}
    state.fatal.append(target)
    tasks = []
    until = now() + FATAL_SECONDS
    while now() < until:
        tasks.append(asyncio.create_task(ask(state, target, False)))
        await asyncio.sleep(state.rng.uniform(*FATAL_RETRY_SECONDS))
    state.requests += await asyncio.gather(*tasks)


async def stop_reading(state):
    """Callers of one node stop reading large answers, for long and for a short time."""
    host = state.random_host()
    period = SlowReadersPeriod(host.ip, now())
    state.slow_readers.append(period)
    tasks = [
        asyncio.create_task(ask_and_pause(state, host, LONG_PAUSE_SECONDS, may_break_off=True))
        for _ in range(LONG_PAUSE_CALLERS)
    ]
    # Those that pause for long make no progress for longest, so they must give way first.
    await asyncio.sleep(SHORT_PAUSES_DELAY_SECONDS)
    tasks += [
        asyncio.create_task(
            ask_and_pause(state, host, state.rng.uniform(*SHORT_PAUSE_SECONDS), False)
        )
        for _ in range(SHORT_PAUSE_CALLERS)
    ]
    state.requests += await asyncio.gather(*tasks)
    period.end = now()


async def crash_server(state):
    """Crash a backend server independently of the requests it runs; it restarts."""
    state.fleet.crash(state.random_host())
    await asyncio.sleep(state.fleet.down_seconds)


async def fall_silent(state):
    """A backend server stops in the middle of answers without a length; another takes over."""
    host = state.random_host()
    instance = host.instance
    instance.behaviour.unframed = "silent"
    await asyncio.sleep(state.rng.uniform(*SILENT_SECONDS))
    instance.behaviour.unframed = ""
    state.fleet.withdraw(host)
    instance.name = f"{instance.name}-{next(_instance_numbers)}"
    state.fleet.register(host)


async def evacuate_zone(state):
    """Evacuate a zone for a few seconds; its servers are cold afterwards."""
    zone = state.random_host().zone
    evacuation = state.evacuate(zone)
    state.fleet.evacuate(zone)
    await asyncio.sleep(state.rng.uniform(2.0, 6.0))
    evacuation.end = now()
    for host in state.fleet.hosts:
        if host.zone == zone:
            _make_cold(host)
    state.fleet.end_evacuation(zone)
    await asyncio.sleep(COLD_SECONDS)


async def make_server_cold(state):
    """Make a backend server cold; it crashes if it gets more requests than it can handle."""
    _make_cold(state.random_host())
    await asyncio.sleep(COLD_SECONDS)


def _make_cold(host):
    behaviour = host.instance.behaviour
    behaviour.cold_since = now()
    behaviour.cold_until = now() + COLD_SECONDS
    behaviour.cold_bears = COLD_CAPACITY_PER_SECOND


def _server_fault(seconds, **changes):
    async def fault(state):
        behaviour = state.random_host().instance.behaviour
        defaults = {name: getattr(type(behaviour)(), name) for name in changes}
        for name, value in changes.items():
            setattr(behaviour, name, value)
        await asyncio.sleep(seconds)
        for name, value in defaults.items():
            setattr(behaviour, name, value)

    fault.__doc__ = f"A backend server is faulty: {changes}."
    return fault


async def change_configuration(state):
    """Move a path to another service, sometimes several times in quick succession."""
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


#: Faults of the node processes, injected one at a time.
KILL_ALL = "kill all"
PROCESS_FAULTS = {
    "kill node": kill_node,
    KILL_ALL: kill_all,
    "stop node": stop_node,
    "suspend node": suspend_node,
}

#: The fault that loses the last writes to the store.
RESTORE = "store restored"

#: The fault of callers; it runs concurrently with all others.
STOP_READING = "callers stop reading"

#: The faults of servers that state something about themselves in their answers.
STATEMENTS = {
    "server states a rate limit": state_rate_limits,
    "server states that it leaves": state_departure,
}

#: The faults of servers whose answers have no end.
UNFINISHED = {
    "server falls silent": fall_silent,
    "server sends heads without end": _server_fault(1.5, endless="head"),
    "server sends bodies without end": _server_fault(1.5, endless="body"),
}

#: All faults; the others run concurrently with those of the processes.
FAULTS = (
    PROCESS_FAULTS
    | {
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
        STOP_READING: stop_reading,
    }
    | STATEMENTS
    | UNFINISHED
)
