"""All hosts of a play, and what happens to them."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from caperstack.calls.model import Answered
from caperstack.clock import deadline_after
from caperstack.events.log import LogWriter
from caperstack.play.hosts import PlayHost
from caperstack.play.server import ModelServer
from caperstack.routing.budgets import FleetAllowance

__all__ = ["PlayFleet"]


@dataclass(slots=True)
class _Options:
    scenario: object
    policy: str
    rng: object
    allowance: FleetAllowance
    log: LogWriter
    counts: Counter


class PlayFleet:
    """The hosts of a scenario.

    Parameters
    ----------
    scenario : caperstack.play.scenario.Scenario
        What is played.
    policy : str
        How entries choose: a name of `caperstack.routing.policies`.
    rng : random.Random
        The chance in it.
    counts : collections.Counter, optional
        Counts what hosts send each other, by kind.
    """

    def __init__(self, scenario, policy, rng, log=None, counts=None):
        self._scenario = scenario
        self._rng = rng
        allowance = FleetAllowance(
            scenario.retry_share, scenario.retry_floor, scenario.retry_window_seconds
        )
        log = log or LogWriter(None)
        counts = Counter() if counts is None else counts
        self._options = _Options(scenario, policy, rng, allowance, log, counts)
        self.hosts = [
            self._host(f"{service.name}-{number}", number, service)
            for service in scenario.services
            for number in range(service.servers)
        ]

    def _host(self, name, number, service):
        host = None

        async def nested(kind, call):
            return await self._call_nested(host, kind, call)

        work_rng = random.Random(f"{self._scenario.seed} {name} work")
        neighbour_rng = random.Random(f"{self._scenario.seed} {name} visits")
        server = ModelServer(service, self._kind_of, nested, work_rng, neighbour_rng)
        zone = self._scenario.zone_names[number % self._scenario.zones]
        host = PlayHost(name, zone, service, server, self._options)
        return host

    def _kind_of(self, call):
        return self._scenario.kind(call.route)

    async def _call_nested(self, host, kind, call):
        made = [nested for nested in kind.calls if self._rng.random() < nested.share]
        asked = [self._call_repeatedly(host, nested, call) for nested in made]
        return all(await asyncio.gather(*asked))

    async def _call_repeatedly(self, host, nested, call):
        """Return whether all calls of one kind were answered."""
        kind = self._scenario.kind(nested.kind)
        if nested.in_turn:
            for _ in range(nested.times):
                if not _succeeded(await self._call_once(host, kind, call)):
                    return False
            return True
        asked = [self._call_once(host, kind, call) for _ in range(nested.times)]
        return all(_succeeded(outcome) for outcome in await asyncio.gather(*asked))

    async def _call_once(self, host, kind, call):
        deadline = min(call.deadline, deadline_after(kind.patience_ms / 1000))
        name = f"{call.request_id}.{self._rng.getrandbits(32):08x}"
        return await host.dispatch(kind, name, deadline, deadline_after(kind.objective_ms / 1000))

    async def start(self):
        """Start all nodes, and let them know each other."""
        for host in self.hosts:
            await host.start()
        self._connect_hosts()

    async def stop(self):
        """Stop all nodes."""
        for host in self.hosts:
            await host.stop()

    def _connect_hosts(self):
        for host in self.hosts:
            host.connect(self.hosts, self._scenario.zone_ms / 1000)

    def random_host(self):
        """Return the host at which a caller asks."""
        return self._rng.choice(self.hosts)

    async def remove_servers(self, service, count):
        """Take servers away for good, with their hosts."""
        for host in [h for h in self.hosts if h.service.name == service][:count]:
            host.server.is_down = True
            self.hosts.remove(host)
            await host.stop()
        self._connect_hosts()

    def make_cold(self, service, count):
        """Let servers of a service turn cold."""
        for host in [h for h in self.hosts if h.service.name == service][:count]:
            host.server.make_cold()

    async def evacuate(self, zone, seconds):
        """Let a zone get no new calls for some seconds; its servers are cold at the end."""
        for host in self.hosts:
            host.evacuate(frozenset((zone,)))
        await asyncio.sleep(seconds)
        for host in self.hosts:
            if host.zone == zone:
                host.server.make_cold()
            host.evacuate(frozenset())

    async def inject_fault(self, event):
        """Let servers of a service have the fault of `event` for its time."""
        ailing = [h.server for h in self.hosts if h.service.name == event.service][: event.count]
        for server in ailing:
            server.fault = event
        await asyncio.sleep(event.seconds)
        for server in ailing:
            server.fault = None

    async def restart(self):
        """Let all nodes and servers start anew."""
        for host in self.hosts:
            await host.stop()
            host.server.restart()
        await self.start()


def _succeeded(outcome):
    return isinstance(outcome, Answered) and outcome.status == 200
