"""Membership: merges the host list, the node's own exchanges and peers' messages.

What a node learns from its own exchanges and from peers takes precedence over the
host list, which lags.
"""

from dataclasses import dataclass, field

from caperstack.calls.model import ServerState
from caperstack.routing.estimates import Estimate

__all__ = ["HostEntry", "Member", "Members"]


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of the platform's host list.

    Attributes
    ----------
    leaving : bool
        Whether the list marks the host as leaving.
    instance : str
        Identifies one run of the backend server; changes when the server restarts.
        Empty if the list does not give it.
    """

    host: str
    zone: str
    region: str
    service: str
    peer_address: str
    leaving: bool = False
    instance: str = ""


@dataclass(slots=True)
class Member:
    """A node and its backend server, as known to this node.

    Attributes
    ----------
    incarnation : int
        Identifies one start of the node, as of the last exchange with it; later starts
        have higher values.  0 if there was no exchange.
    leaving_incarnation : int
        The latest incarnation that announced that it is leaving; -1 if none.
    listed_leaving : bool
        Whether the host list marks the host as leaving.
    instance : str
        Identifies one run of the backend server; empty if unknown.
    leaving_run : str
        The latest run of the backend server that stated that it is leaving; empty if none.
    owner : object
        Sends calls to the member's owner: the local owner or a link to a peer.
    estimate : Estimate
        This node's estimate of the backend server's load, latency and failures.
    """

    host: str
    zone: str
    region: str
    service: str
    peer_address: str
    incarnation: int = 0
    leaving_incarnation: int = -1
    listed_leaving: bool = False
    instance: str = ""
    leaving_run: str = ""
    owner: object = None
    estimate: Estimate = field(default_factory=Estimate)

    @property
    def leaving(self):
        """Whether the member is leaving or draining and so must get no new calls.

        Notes
        -----
        The host list lags, so it may still show a leaving host as live; new calls
        would go to a server that is about to stop.  Therefore an announcement to
        leave stays in force until a newer incarnation of the node is seen.  A
        backend server that drains while its node keeps running may return to
        service; there the latest state reported by the owner decides.  If the server has
        stated it in its answers, the statement holds for that run of it, also when its node
        has restarted and does not know of it.
        """
        if self.leaving_run and self.leaving_run == self.instance:
            return True
        drains = self.estimate.state in (ServerState.DRAINING, ServerState.EVACUATED)
        return drains or self.listed_leaving or self.leaving_incarnation >= max(self.incarnation, 0)


class Members:
    """The members that this node knows, by host and by service.

    Parameters
    ----------
    here : object
        The start settings of this node.

    Attributes
    ----------
    version : int
        Incremented whenever a member is added, removed or changes its service.
    evacuated : frozenset of str
        The zones whose backend servers get no new calls.
    """

    def __init__(self, here):
        self._here = here
        self._hosts = {}
        self._services = {}
        self._listeners = []
        self._events = None
        self._listed = set()
        self.version = 0
        self.evacuated = frozenset()

    @property
    def services(self):
        """The names of the services that have members."""
        return tuple(self._services)

    @property
    def here(self):
        """The start settings of this node."""
        return self._here

    async def start(self, kernel):
        """Add this node and the peers that its start settings list."""
        self._events = kernel.find("events")
        self.apply_host_list(self._seeds(), complete=False)

    async def stop(self):
        """Nothing to stop."""

    def _seeds(self):
        here = self._here
        yield HostEntry(here.host, here.zone, here.region, here.backend.service, here.peer_address)
        for seed in here.peers:
            yield HostEntry(seed.host, seed.zone, seed.region, seed.service, seed.peer_address)

    def listen(self, listener):
        """Call ``listener(member, gone)`` whenever a member is added or removed.

        `gone` is whether it was removed.  The listener is called at once for each
        present member.  A member that changes its service is reported as removed and
        then as added.
        """
        self._listeners.append(listener)
        for member in self._hosts.values():
            listener(member, False)

    def of_service(self, service):
        """Return the list of members of `service`."""
        return self._services.get(service, [])

    def __len__(self):
        return len(self._hosts)

    def usable(self, members):
        """Return those of `members` that may get new calls."""
        return [m for m in members if not m.leaving and m.zone not in self.evacuated]

    def unavailable_reason(self, service):
        """Return why no member of `service` can get a call, for the log and the caller."""
        members = self.of_service(service)
        if not members:
            return "no backend server known"
        if all(member.zone in self.evacuated for member in members):
            return "every zone of the service is evacuated"
        return "every backend server is leaving"

    def find(self, host):
        """Return the member with the host name `host`, or ``None``."""
        return self._hosts.get(host)

    def all(self):
        """Return all members."""
        return list(self._hosts.values())

    def apply_host_list(self, entries, complete=True):
        """Add, update and remove members according to a host list.

        Parameters
        ----------
        entries : iterable of HostEntry
            The hosts.
        complete : bool
            Whether to remove members that are missing from `entries`.  Only hosts
            that an earlier list contained are removed: hosts of the start settings
            and peers that connected by themselves stay.
        """
        names = set()
        for entry in entries:
            names.add(entry.host)
            self._apply_entry(entry)
        if complete:
            for host in self._listed - names:
                self._drop(host)
            self._listed = names

    def put(self, entry):
        """Add or update the member of one `HostEntry`; see `apply_host_list`."""
        self._listed.add(entry.host)
        self._apply_entry(entry)

    def remove(self, host):
        """Remove `host` if the host list contained it."""
        if host in self._listed:
            self._listed.discard(host)
            self._drop(host)

    def _apply_entry(self, entry):
        member = self._hosts.get(entry.host)
        is_local = entry.host == self._here.host
        if (
            member is not None
            and not is_local
            and (member.peer_address, member.service)
            != (
                entry.peer_address,
                entry.service,
            )
        ):
            self._drop(entry.host)
            member = None
        if member is not None and is_local and member.service != entry.service:
            self._change_service(member, entry.service)
        if member is None:
            member = Member(entry.host, entry.zone, entry.region, entry.service, entry.peer_address)
            self._hosts[entry.host] = member
            self.version += 1
            self._services.setdefault(entry.service, []).append(member)
            self._events.state("member", "absent", "present", entry.host)
            self._notify(member, False)
        if entry.instance != member.instance:
            self._restart(member, entry.instance)
        if entry.leaving != member.listed_leaving:
            member.listed_leaving = entry.leaving
            self._events.state("listed as leaving", not entry.leaving, entry.leaving, entry.host)

    def _restart(self, member, instance):
        """Reset the estimate: the host runs another backend server, or it restarted."""
        if member.instance:
            self._events.state("instance", member.instance, instance, member.host)
            member.estimate.restart()
        member.instance = instance

    def _change_service(self, member, service):
        # The backend server of this node now belongs to another service.  Members of other
        # nodes are dropped and added again instead.
        self._events.state("service", member.service, service, member.host)
        self._services[member.service].remove(member)
        self._notify(member, True)
        member.service = service
        self._services.setdefault(service, []).append(member)
        self.version += 1
        self._notify(member, False)

    def _drop(self, host):
        if host == self._here.host:
            return
        member = self._hosts.pop(host)
        self.version += 1
        self._services[member.service].remove(member)
        self._events.state("member", "present", "absent", host)
        self._notify(member, True)

    def _notify(self, member, gone):
        for listener in self._listeners:
            listener(member, gone)

    def mark_server_leaving(self, host, run):
        """Record that the backend server of `host` states in its answers that `run` leaves."""
        member = self._hosts.get(host)
        if member is not None and member.leaving_run != run:
            member.leaving_run = run
            self._events.state("server leaves", False, True, host, instance=run)

    def mark_leaving(self, host, incarnation):
        """Record that `incarnation` of `host` is leaving; return whether that is new."""
        member = self._hosts.get(host)
        if member is None or incarnation <= member.leaving_incarnation:
            return False
        member.leaving_incarnation = incarnation
        self._events.state("leaving", False, member.leaving, host)
        return True
