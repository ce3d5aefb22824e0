"""Faults that the soak with subtrees injects; each ends before its function returns."""

import asyncio
import signal
import time
from dataclasses import dataclass, field

from caperstack.peers.messages import Answer, Refused, Unsure

__all__ = ["FAULTS", "FaultContext", "FaultWindow"]

ANSWERS = (Answer, Refused, Unsure)


@dataclass
class FaultWindow:
    """An interval in which a process was faulty.

    Attributes
    ----------
    process : str
        The name of the `caperstack.bench.fleet.Process`.
    begin, end : float
        Wall clock times in seconds; ``end`` is infinite while the fault lasts.
    """

    process: str
    begin: float
    end: float = float("inf")


@dataclass
class FaultContext:
    """The fleet that faults act on, and what they record for the check of the guarantees.

    Attributes
    ----------
    proxied : ProxiedFleet
        The nodes, with a proxy between each ordered pair.
    rng : random.Random
        The source of randomness of all faults.
    windows : list of FaultWindow
        The intervals in which processes were faulty.
    counts : dict of str to int
        How often each fault was injected.
    start_time : float
        The wall clock time in seconds at which the load began.
    """

    proxied: object
    rng: object
    windows: list = field(default_factory=list)
    counts: dict = field(default_factory=dict)
    start_time: float = 0.0

    @property
    def fleet(self):
        """The fleet behind the proxies."""
        return self.proxied.fleet

    def note(self, text):
        """Print `text` with the seconds since the start of the load."""
        print(f"  {time.time() - self.start_time:7.2f} s: {text}", flush=True)

    def open_window(self, process):
        """Record that `process` is faulty from now on; return the open `FaultWindow`."""
        self.note(f"fault in {process}")
        window = FaultWindow(process, time.time())
        self.windows.append(window)
        return window

    def random_host(self):
        """Return a random host."""
        return self.rng.choice(sorted(self.fleet.settings))

    def random_proxy(self):
        """Return the proxy of a random ordered pair of nodes."""
        return self.proxied.proxies[self.rng.choice(sorted(self.proxied.proxies))]


async def _kill_node(context):
    """Kill a node and start it again within a second."""
    host = context.random_host()
    window = context.open_window(f"node-{host}")
    context.fleet.nodes[host].signal(signal.SIGKILL)
    await context.fleet.nodes[host].ended()
    await asyncio.sleep(context.rng.uniform(0.0, 1.0))
    context.fleet.start_node(host)
    await context.fleet.ready(host)
    window.end = time.time()


async def _restart_node(context):
    """Drain a node while calls are in flight, then start it again."""
    host = context.random_host()
    context.note(f"restart {host}")
    context.fleet.nodes[host].signal(signal.SIGTERM)
    status = await context.fleet.nodes[host].ended()
    if status != 0:
        raise RuntimeError(
            f"{host} exited with status {status}: {context.fleet.nodes[host].output[-2000:]}"
        )
    # The window opens only now, so that a call cut by the drain itself is still a violation.
    # A call sent to the address while nobody listens there is not one.
    window = context.open_window(f"node-{host}")
    context.fleet.start_node(host)
    await context.fleet.ready(host)
    window.end = time.time()


async def _freeze(context, process):
    """Suspend a process for 0.7 to 5 seconds."""
    window = context.open_window(process.name)
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(context.rng.choice((0.7, 2.0, 5.0)))
    process.signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    window.end = time.time()


async def _freeze_node(context):
    """Suspend a node for a while, so that it resumes with stale state."""
    await _freeze(context, context.fleet.nodes[context.random_host()])


async def _freeze_backend(context):
    """Suspend a backend server for a while."""
    await _freeze(context, context.fleet.backends[context.random_host()])


async def _partition(context):
    """Hold all frames between a node and the others, in both directions."""
    host = context.random_host()
    cut = [proxy for pair, proxy in context.proxied.proxies.items() if host in pair]
    for proxy in cut:
        proxy.partition()
    await asyncio.sleep(context.rng.uniform(1.0, 4.0))
    for proxy in cut:
        proxy.partition(False)


async def _partition_one_way(context):
    """Hold the answers between one pair of nodes, but not the calls."""
    proxy = context.random_proxy()
    proxy.answers.hold = True
    await asyncio.sleep(context.rng.uniform(1.0, 4.0))
    proxy.answers.hold = False


async def _cut_connections(context):
    """Reset the connections between all pairs of nodes eight times."""
    for _ in range(8):
        for proxy in context.proxied.proxies.values():
            proxy.cut()
        await asyncio.sleep(context.rng.uniform(0.1, 0.4))


def _answer_fault(name, share):
    """Return a fault that affects a share of the answers between all nodes for 2 s.

    Parameters
    ----------
    name : {"lose", "duplicate", "reorder"}
        The attribute of `caperstack.bench.proxy.FrameFaults` to set.
    share : float
        The share of answers affected.
    """

    async def fault(context):
        proxies = list(context.proxied.proxies.values())
        for proxy in proxies:
            proxy.answers.kinds = ANSWERS
            setattr(proxy.answers, name, share)
        await asyncio.sleep(2.0)
        for proxy in proxies:
            setattr(proxy.answers, name, 0.0)

    fault.__doc__ = f"Inject a fault into answers between nodes: {name}."
    return fault


async def _late_answers(context):
    """Delay the answers between one pair of nodes by 0.2 s."""
    proxy = context.random_proxy()
    proxy.answers.delay_seconds = 0.2
    await asyncio.sleep(2.0)
    proxy.answers.delay_seconds = 0.0


def _backend_fault(seconds, **faults):
    """Return a fault that sets these options of a random backend server for some seconds."""

    async def fault(context):
        host = context.random_host()
        process = context.fleet.backends[host]
        reset = {name: type(value)(name == "slow_factor") for name, value in faults.items()}
        if any(w.process == process.name and w.end > time.time() for w in context.windows):
            await asyncio.sleep(seconds)
        await context.fleet.control(host, **faults)
        await asyncio.sleep(seconds)
        await context.fleet.control(host, **reset)

    fault.__doc__ = f"Inject faults into a backend server: {faults}."
    return fault


FAULTS = {
    "kill node": _kill_node,
    "restart node": _restart_node,
    "freeze node": _freeze_node,
    "freeze backend": _freeze_backend,
    "partition": _partition,
    "one-way partition": _partition_one_way,
    "cut connections": _cut_connections,
    "lost answers": _answer_fault("lose", 0.1),
    "duplicated answers": _answer_fault("duplicate", 0.3),
    "reordered answers": _answer_fault("reorder", 0.3),
    "late answers": _late_answers,
    "slow backend": _backend_fault(2.0, slow_factor=10.0),
    "failing backend": _backend_fault(2.0, fail_status=500),
    "dying after run": _backend_fault(1.5, die_after_run=True),
    "dying mid answer": _backend_fault(1.5, die_mid_answer=True),
    "draining backend": _backend_fault(6.0, draining=True),
}
