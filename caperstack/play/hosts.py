"""Hosts of a simulation: the real entry, owner and health probe, connected without a network."""

import asyncio
import copy

from caperstack.admission.local import LocalOwner
from caperstack.admission.owner import Owner
from caperstack.backend.probe import HealthProbe
from caperstack.calls.model import Call
from caperstack.clock import deadline_after, now
from caperstack.config.node import Backend, NodeSettings
from caperstack.events.ring import EventRing
from caperstack.kernel import Kernel
from caperstack.membership.members import HostEntry, Members
from caperstack.operators.metrics import Metrics
from caperstack.peers.interest import LoadInterest
from caperstack.quarantine.suspects import Suspects
from caperstack.routing.dispatch import Dispatcher
from caperstack.routing.table import EffectiveService
from caperstack.trees.adoption import CallTrees

__all__ = ["PlayHost"]

#: One-way latency between hosts of one zone, in seconds.
ZONE_LATENCY_SECONDS = 0.0002

#: Address of every host; nothing connects to it.
UNUSED_ADDRESS = "127.0.0.1:1"

#: Region of all hosts.
REGION = "r"

#: Interval at which an owner checks whether to send its load to entries, in seconds.
LOAD_UPDATE_SECONDS = 0.3


class _NoPauseDetector:
    """Stands in for the detector of process pauses; a simulation has none."""

    async def start(self, kernel):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""

    def recently_paused(self):
        """Return false: the process never paused."""
        return False


class _FixedSettings:
    """Stands in for the settings; they are the same for every service."""

    def __init__(self, policy):
        self._service = EffectiveService(policy=policy)

    async def start(self, kernel):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""

    def service(self, _name):
        """Return the `EffectiveService` that applies to every service."""
        return self._service


class _RemoteOwner:
    """The owner on another host, reached after the network latency.

    Parameters
    ----------
    owner : caperstack.admission.owner.Owner
        The owner.
    member : caperstack.membership.members.Member
        The entry's member for the owner's host; its load estimate is updated.
    seconds : float
        One-way latency in seconds.
    counts : collections.Counter
        Counts the messages by kind.
    """

    usable = True

    def __init__(self, owner, member, seconds, counts):
        self._owner = owner
        self._member = member
        self._seconds = seconds
        self._counts = counts
        self._interest = LoadInterest()
        owner.listen(self._send_changed_load)

    async def run(self, call):
        """Return the outcome of `call` after the latency of both directions."""
        self._counts[
            "calls in the zone" if self._seconds == ZONE_LATENCY_SECONDS else "calls out"
        ] += 1
        self._interest.record_call()
        await asyncio.sleep(self._seconds)
        outcome = await self._owner.run(copy.copy(call), self._send_load)
        load = self._owner.load
        self._interest.record_load(load)
        await asyncio.sleep(self._seconds)
        self._member.estimate.update_load(load)
        return outcome

    def freshen(self, _estimate):
        """Do nothing: the entry keeps the load that it got last."""

    def touch(self):
        """Do nothing: there is no connection to open."""

    def _send_changed_load(self):
        if self._interest.wants_update(self._owner.load):
            self._send_load()

    def _send_load(self):
        self._counts["loads told"] += 1
        load = self._owner.load
        self._interest.record_load(load)
        asyncio.get_running_loop().call_later(
            self._seconds, lambda: self._member.estimate.update_load(load)
        )


class PlayHost:
    """One host: the decisions of a real node beside a modelled backend server.

    Parameters
    ----------
    name : str
        Name of the host.
    zone : str
        Its availability zone.
    service : caperstack.play.scenario.Service
        Service of its backend server.
    server : caperstack.play.server.ModelServer
        The backend server.
    options : object
        The scenario, routing policy, random generator, retry allowance, log and counter
        that all hosts share.
    """

    def __init__(self, name, zone, service, server, options):
        self.name = name
        self.zone = zone
        self.service = service
        self.server = server
        self._options = options
        self._tasks = []
        self.kernel = None

    async def start(self):
        """Start the node without any state."""
        scenario = self._options.scenario
        backend = Backend(
            UNUSED_ADDRESS, self.service.name, self.service.slots, scenario.slots_share, 1
        )
        here = NodeSettings(
            self.name, self.zone, REGION, UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS, backend
        )
        self.kernel = kernel = Kernel()
        allowance = self._options.allowance
        rng = self._options.rng
        kernel.register("metrics", Metrics(self.name))
        kernel.register("events", EventRing(self.name, self._options.log, 1))
        kernel.register("pauses", _NoPauseDetector())
        kernel.register("settings", _FixedSettings(self._options.policy))
        kernel.register("members", Members(here))
        kernel.register("backend client", self.server)
        kernel.register("suspects", Suspects())
        kernel.register("owner", Owner(here.backend, self.server))
        rate = scenario.health_per_second
        kernel.register("pace probe", HealthProbe(lambda: "/", lambda: rate))
        kernel.register("dispatcher", Dispatcher(here, rng, allowance))
        kernel.register("call trees", CallTrees())
        await kernel.start()
        self.owner.set_cold_limit(self.service.cold_bears, self.service.cold_seconds)
        self._tasks = [
            asyncio.create_task(self.server.run_neighbour()),
            asyncio.create_task(self._send_load_updates()),
        ]

    async def stop(self):
        """Stop the node at once, as if it was killed."""
        for task in self._tasks:
            task.cancel()
        await self.kernel.stop()

    @property
    def owner(self):
        """The owner beside the backend server."""
        return self.kernel.find("owner")

    def connect(self, hosts, zone_seconds):
        """Make `hosts` the members of this node and set the latency to each."""
        members = self.kernel.find("members")
        members.apply_host_list(
            HostEntry(h.name, h.zone, REGION, h.service.name, UNUSED_ADDRESS) for h in hosts
        )
        for host in hosts:
            member = members.find(host.name)
            if host is self:
                member.owner = LocalOwner(self.owner)
                continue
            latency_seconds = ZONE_LATENCY_SECONDS if host.zone == self.zone else zone_seconds
            member.owner = _RemoteOwner(host.owner, member, latency_seconds, self._options.counts)

    def evacuate(self, zones):
        """Send no new calls to `zones`."""
        self.kernel.find("members").evacuated = zones
        self.owner.set_evacuated(self.zone in zones)

    async def _send_load_updates(self):
        # Stands in for the load updates that an owner sends when its occupancy changes.
        while True:
            await asyncio.sleep(LOAD_UPDATE_SECONDS)
            self.owner.notify_listeners()

    async def dispatch(self, kind, name, deadline, objective_at):
        """Dispatch one request, or one nested call, for which this host is the entry.

        Parameters
        ----------
        kind : caperstack.play.scenario.Kind
            The kind of call.
        name : str
            Request id.
        deadline, objective_at : float
            Times of the deadline and of the latency objective.

        Returns
        -------
        object
            The outcome.
        """
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
        self.kernel.find("call trees").adopt(call)
        started = now()
        outcome = await self.kernel.find("dispatcher").dispatch(call)
        self.kernel.find("events").call("entry", call, outcome, started)
        return outcome
