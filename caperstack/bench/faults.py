"""The faults that a soak with subtrees brings about, each with its end."""

import asyncio
import signal
import time
from dataclasses import dataclass, field

from caperstack.peers.messages import Answer, Refused, Unsure

__all__ = ["FAULTS", "FaultContext", "FaultWindow"]

ANSWERS = (Answer, Refused, Unsure)


@dataclass
class FaultWindow:
    """A time in which a process was not itself; wall clock seconds."""

    process: str
    begin: float
    end: float = float("inf")


@dataclass
class FaultContext:
    """What faults act on, and what they note for the judge."""

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
        """Tell what happens now, for whoever reads the run."""
        print(f"  {time.time() - self.start_time:7.2f} s: {text}", flush=True)

    def open_window(self, process):
        """Note that `process` is not itself from now on; return the `FaultWindow`."""
        self.note(f"trouble for {process}")
        window = FaultWindow(process, time.time())
        self.windows.append(window)
        return window

    def random_host(self):
        """Return a host at random."""
        return self.rng.choice(sorted(self.fleet.settings))

    def random_proxy(self):
        """Return a proxy at random."""
        return self.proxied.proxies[self.rng.choice(sorted(self.proxied.proxies))]


async def _kill_node(context):
    """Kill a node and start it anew."""
    host = context.random_host()
    window = context.open_window(f"node-{host}")
    context.fleet.nodes[host].signal(signal.SIGKILL)
    await context.fleet.nodes[host].ended()
    await asyncio.sleep(context.rng.uniform(0.0, 1.0))
    context.fleet.start_node(host)
    await context.fleet.ready(host)
    window.end = time.time()


async def _restart_node(context):
    """Drain a node with calls in flight, and start it anew."""
    host = context.random_host()
    context.note(f"restart {host}")
    context.fleet.nodes[host].signal(signal.SIGTERM)
    status = await context.fleet.nodes[host].ended()
    if status != 0:
        raise RuntimeError(
            f"{host} ended with {status}: {context.fleet.nodes[host].output[-2000:]}"
        )
    # Who still sends to an address where nobody listens is not cut.
    window = context.open_window(f"node-{host}")
    context.fleet.start_node(host)
    await context.fleet.ready(host)
    window.end = time.time()


async def _freeze(context, process):
    window = context.open_window(process.name)
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(context.rng.choice((0.7, 2.0, 5.0)))
    process.signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    window.end = time.time()


async def _freeze_node(context):
    """Stop a node for a while, then let it wake with old beliefs."""
    await _freeze(context, context.fleet.nodes[context.random_host()])


async def _freeze_backend(context):
    """Stop a backend server for a while."""
    await _freeze(context, context.fleet.backends[context.random_host()])


async def _partition(context):
    """Hold both directions between a node and all others."""
    host = context.random_host()
    cut = [proxy for pair, proxy in context.proxied.proxies.items() if host in pair]
    for proxy in cut:
        proxy.partition()
    await asyncio.sleep(context.rng.uniform(1.0, 4.0))
    for proxy in cut:
        proxy.partition(False)


async def _partition_one_way(context):
    """Hold the answers of one pair of nodes, but not the calls."""
    proxy = context.random_proxy()
    proxy.answers.hold = True
    await asyncio.sleep(context.rng.uniform(1.0, 4.0))
    proxy.answers.hold = False


async def _cut_connections(context):
    """Reset the connections of all pairs of nodes, again and again."""
    for _ in range(8):
        for proxy in context.proxied.proxies.values():
            proxy.cut()
        await asyncio.sleep(context.rng.uniform(0.1, 0.4))


def _answer_fault(name, share):
    async def fault(context):
        proxies = list(context.proxied.proxies.values())
        for proxy in proxies:
            proxy.answers.kinds = ANSWERS
            setattr(proxy.answers, name, share)
        await asyncio.sleep(2.0)
        for proxy in proxies:
            setattr(proxy.answers, name, 0.0)

    fault.__doc__ = f"Let answers between nodes suffer: {name}."
    return fault


async def _late_answers(context):
    """Delay the answers of one pair of nodes."""
    proxy = context.random_proxy()
    proxy.answers.delay_seconds = 0.2
    await asyncio.sleep(2.0)
    proxy.answers.delay_seconds = 0.0


def _backend_fault(seconds, **faults):
    async def fault(context):
        host = context.random_host()
        process = context.fleet.backends[host]
        reset = {name: type(value)(name == "slow_factor") for name, value in faults.items()}
        if any(w.process == process.name and w.end > time.time() for w in context.windows):
            await asyncio.sleep(seconds)
        await context.fleet.control(host, **faults)
        await asyncio.sleep(seconds)
        await context.fleet.control(host, **reset)

    fault.__doc__ = f"Trouble a backend server: {faults}."
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
