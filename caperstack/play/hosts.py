"""Hosts of a play: the real entry, owner and probe, joined without a network."""

import asyncio
import copy

from caperstack.admission.local import LocalOwner
from caperstack.admission.owner import Owner
from caperstack.backend.probe import HealthProbe
from caperstack.calls.model import Call
from caperstack.clock import deadline_after, now
from caperstack.config.here import Backend, Here
from caperstack.events.ring import EventRing
from caperstack.kernel import Kernel
from caperstack.membership.members import HostEntry, Members
from caperstack.operators.metrics import Metrics
from caperstack.peers.interest import Interest
from caperstack.quarantine.suspects import Suspects
from caperstack.routing.dispatch import Dispatcher
from caperstack.routing.table import EffectiveService

__all__ = ["PlayHost"]

#: One way between hosts of a zone, in seconds.
NEAR_SECONDS = 0.0002

#: Addresses are never used, and all hosts are of one region.
NOWHERE = "127.0.0.1:1"
REGION = "r"

#: How often an owner's crowding is told, in seconds.
TELL_SECONDS = 0.3


class _NoPauses:
    """Nothing is ever suspended in a play."""

    async def start(self, kernel):
        """Nothing to start."""

    async def stop(self):
        """Nothing to stop."""

    def suspect(self):
        """Never."""
        return False


class _OneSetting:
    """The same settings for every service."""

    def __init__(self, policy):
        self._service = EffectiveService(policy=policy)

    async def start(self, kernel):
        """Nothing to start."""

    async def stop(self):
        """Nothing to stop."""

    def service(self, _name):
        """Return the `EffectiveService`."""
        return self._service


class _FarOwner:
    """The way to the owner of another host, with the time it takes."""

    usable = True

    def __init__(self, owner, member, seconds, counts):
        self._owner = owner
        self._member = member
        self._seconds = seconds
        self._counts = counts
        self._interest = Interest()
        owner.listen(self._tell_changed)

    async def run(self, call):
        """Return the outcome of `call`, with the way there and back."""
        self._counts["calls in the zone" if self._seconds == NEAR_SECONDS else "calls out"] += 1
        self._interest.called()
        await asyncio.sleep(self._seconds)
        outcome = await self._owner.run(copy.copy(call), self._tell_later)
        load = self._owner.load
        self._interest.told(load)
        await asyncio.sleep(self._seconds)
        self._member.estimate.take_load(load)
        return outcome

    def freshen(self, _estimate):
        """Nothing: the load is known as it was last told."""

    def touch(self):
        """Nothing to open."""

    def _tell_changed(self):
        if self._interest.wants(self._owner.load):
            self._tell_later()

    def _tell_later(self):
        self._counts["loads told"] += 1
        load = self._owner.load
        self._interest.told(load)
        asyncio.get_running_loop().call_later(
            self._seconds, lambda: self._member.estimate.take_load(load)
        )


class PlayHost:
    """One host: a node's decisions beside a modelled backend server."""

    def __init__(self, name, zone, service, server, options):
        self.name = name
        self.zone = zone
        self.service = service
        self.server = server
        self._options = options
        self._tasks = []
        self.kernel = None

    async def start(self):
        """Start the node with no memory."""
        scenario = self._options.scenario
        backend = Backend(NOWHERE, self.service.name, self.service.slots, scenario.slots_share, 1)
        here = Here(self.name, self.zone, REGION, NOWHERE, NOWHERE, NOWHERE, backend)
        self.kernel = kernel = Kernel()
        allowance = self._options.allowance
        rng = self._options.rng
        kernel.register("metrics", Metrics(self.name))
        kernel.register("events", EventRing(self.name, self._options.log, 1))
        kernel.register("pauses", _NoPauses())
        kernel.register("settings", _OneSetting(self._options.policy))
        kernel.register("members", Members(here))
        kernel.register("backend client", self.server)
        kernel.register("suspects", Suspects())
        kernel.register("owner", Owner(here.backend, self.server))
        rate = scenario.health_per_second
        kernel.register("pace probe", HealthProbe(lambda: "/", lambda: rate))
        kernel.register("dispatcher", Dispatcher(here, rng, allowance))
        await kernel.start()
        self.owner.set_cold_limit(self.service.cold_bears, self.service.cold_seconds)
        self._tasks = [asyncio.create_task(self.server.visits()), asyncio.create_task(self._tell())]

    async def stop(self):
        """Stop the node as a kill does."""
        for task in self._tasks:
            task.cancel()
        await self.kernel.stop()

    @property
    def owner(self):
        """The owner beside the server."""
        return self.kernel.find("owner")

    def join(self, hosts, zone_seconds):
        """Know `hosts` and the ways to them."""
        members = self.kernel.find("members")
        members.take_list(HostEntry(h.name, h.zone, REGION, h.service.name, NOWHERE) for h in hosts)
        for host in hosts:
            member = members.find(host.name)
            if host is self:
                member.owner = LocalOwner(self.owner)
                continue
            way = NEAR_SECONDS if host.zone == self.zone else zone_seconds
            member.owner = _FarOwner(host.owner, member, way, self._options.counts)

    def evacuate(self, zones):
        """No new calls go to `zones` from now on."""
        self.kernel.find("members").evacuated = zones
        self.owner.set_evacuated(self.zone in zones)

    async def _tell(self):
        # Stands in for the pushes of a changed crowding.
        while True:
            await asyncio.sleep(TELL_SECONDS)
            self.owner.tell_listeners()

    async def dispatch(self, kind, name, deadline, objective_at):
        """Return the outcome of one request that begins here."""
        call = Call(
            id=0,
            origin=self.name,
            request_id=name,
            service=kind.service,
            method="GET" if kind.idempotent else "POST",
            target="/",
            headers=[],
            body=b"",
            deadline=min(deadline, deadline_after(kind.timeout_ms / 1000)),
            idempotent=kind.idempotent,
            criticality=kind.criticality,
            route=kind.name,
            attempts=kind.attempts,
        )
        call.objective_at = min(call.deadline, objective_at)
        begun = now()
        outcome = await self.kernel.find("dispatcher").dispatch(call)
        self.kernel.find("events").call("entry", call, outcome, begun)
        return outcome
