"""All hosts of a simulation and the events that affect them."""

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
        The scenario.
    policy : str
        The routing policy of entries, a name of `caperstack.routing.policies`.
    rng : random.Random
        Source of randomness.
    log : caperstack.events.log.LogWriter, optional
        The log to which hosts write their decisions.
    counts : collections.Counter, optional
        Counts the messages between hosts by kind.

    Attributes
    ----------
    hosts : list of caperstack.play.hosts.PlayHost
        The hosts that have not been removed.
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
            self._create_host(f"{service.name}-{number}", number, service)
            for service in scenario.services
            for number in range(service.servers)
        ]

    def _create_host(self, name, number, service):
        host = None

        async def call_nested(kind, call):
            return await self._call_nested(host, kind, call)

        work_rng = random.Random(f"{self._scenario.seed} {name} work")
        neighbour_rng = random.Random(f"{self._scenario.seed} {name} visits")
        server = ModelServer(service, self._kind_of, call_nested, work_rng, neighbour_rng)
        zone = self._scenario.zone_names[number % self._scenario.zones]
        host = PlayHost(name, zone, service, server, self._options)
        return host

    def _kind_of(self, call):
        return self._scenario.kind(call.route)

    async def _call_nested(self, host, kind, call):
        chosen = [nested for nested in kind.calls if self._rng.random() < nested.share]
        groups = [self._call_repeatedly(host, nested, call) for nested in chosen]
        return all(await asyncio.gather(*groups))

    async def _call_repeatedly(self, host, nested, call):
        """Make the nested calls of one kind; return whether all succeeded."""
        kind = self._scenario.kind(nested.kind)
        if nested.in_turn:
            for _ in range(nested.times):
                if not _succeeded(await self._call_once(host, kind, call)):
                    return False
            return True
        calls = [self._call_once(host, kind, call) for _ in range(nested.times)]
        return all(_succeeded(outcome) for outcome in await asyncio.gather(*calls))

    async def _call_once(self, host, kind, call):
        deadline = min(call.deadline, deadline_after(kind.patience_ms / 1000))
        name = f"{call.request_id}.{self._rng.getrandbits(32):08x}"
        return await host.dispatch(kind, name, deadline, deadline_after(kind.objective_ms / 1000))

    async def start(self):
        """Start all nodes and connect them with each other."""
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
        """Return a random host, to which a caller sends a request."""
        return self._rng.choice(self.hosts)

    async def remove_servers(self, service, count):
        """Remove the first `count` servers of `service` and their hosts permanently."""
        for host in [h for h in self.hosts if h.service.name == service][:count]:
            host.server.is_down = True
            self.hosts.remove(host)
            await host.stop()
        self._connect_hosts()

    def make_cold(self, service, count):
        """Make the first `count` servers of `service` cold."""
        for host in [h for h in self.hosts if h.service.name == service][:count]:
            host.server.make_cold()

    async def evacuate(self, zone, seconds):
        """Keep new calls away from `zone` for `seconds`; its servers are cold afterwards."""
        for host in self.hosts:
            host.evacuate(frozenset((zone,)))
        await asyncio.sleep(seconds)
        for host in self.hosts:
            if host.zone == zone:
                host.server.make_cold()
            host.evacuate(frozenset())

    async def inject_fault(self, event):
        """Apply the fault `event` to servers of its service for its duration."""
        affected = [h.server for h in self.hosts if h.service.name == event.service][: event.count]
        for server in affected:
            server.fault = event
        await asyncio.sleep(event.seconds)
        for server in affected:
            server.fault = None

    async def restart(self):
        """Restart all nodes and servers."""
        for host in self.hosts:
            await host.stop()
            host.server.restart()
        await self.start()


def _succeeded(outcome):
    return isinstance(outcome, Answered) and outcome.status == 200
