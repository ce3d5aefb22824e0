"""Who serves what: the host list, own exchanges and peers' words, by strength."""

from dataclasses import dataclass, field

from caperstack.calls.model import ServerState
from caperstack.routing.estimates import Estimate

__all__ = ["HostEntry", "Member", "Members"]


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the platform's host list.

    Attributes
    ----------
    instance : str
        Tells the starts of its backend server apart; empty if the list does not.
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
    """A node and the backend server beside it, as this node believes.

    Attributes
    ----------
    incarnation : int
        The start of the node that was last spoken to; 0 if never.
    leaving_incarnation : int
        The latest incarnation that is known to leave; -1 if none.
    owner : object
        The way to its owner: a local one or a link.
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
    owner: object = None
    estimate: Estimate = field(default_factory=Estimate)

    @property
    def leaving(self):
        """Whether no new work may go there.

        Notes
        -----
        Failure: the host list lags, and an old copy shows a leaving host as
        live; new work would go to a server about to stop.  A leaving mark
        holds for its incarnation, and only a newer incarnation lifts it.  A
        backend server that drains while its node stays may come back; there
        the owner's last word counts.
        """
        drains = self.estimate.state in (ServerState.DRAINING, ServerState.EVACUATED)
        return drains or self.listed_leaving or self.leaving_incarnation >= max(self.incarnation, 0)


class Members:
    """The members that this node knows, by host and by service.

    Attributes
    ----------
    version : int
        Rises with each member that comes or goes.
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
        """Take in the hosts of the start settings."""
        self._events = kernel.find("events")
        self.take_list(self._seeds(), complete=False)

    async def stop(self):
        """Nothing to stop."""

    def _seeds(self):
        here = self._here
        yield HostEntry(here.host, here.zone, here.region, here.backend.service, here.peer_address)
        for seed in here.peers:
            yield HostEntry(seed.host, seed.zone, seed.region, seed.service, seed.peer_address)

    def listen(self, listener):
        """Call ``listener(member, gone)`` for each member that comes or goes.

        One that changes its service goes and comes.
        """
        self._listeners.append(listener)
        for member in self._hosts.values():
            listener(member, False)

    def of_service(self, service):
        """Return the list of members that serve `service`."""
        return self._services.get(service, [])

    def __len__(self):
        return len(self._hosts)

    def usable(self, members):
        """Return those of `members` that may get new calls."""
        return [m for m in members if not m.leaving and m.zone not in self.evacuated]

    def lacks(self, service):
        """Return why a call of `service` has no server to go to, for the log and the caller."""
        members = self.of_service(service)
        if not members:
            return "no backend server known"
        if all(member.zone in self.evacuated for member in members):
            return "every zone of the service is evacuated"
        return "every backend server is leaving"

    def find(self, host):
        """Return the member of that host name, or ``None``."""
        return self._hosts.get(host)

    def all(self):
        """Return all members."""
        return list(self._hosts.values())

    def take_list(self, entries, complete=True):
        """Take over a host list.

        Parameters
        ----------
        entries : iterable of HostEntry
            The hosts.
        complete : bool
            Whether hosts that are missing are gone.  Only hosts that the list
            once had are dropped: seeds and peers that came by themselves stay.
        """
        names = set()
        for entry in entries:
            names.add(entry.host)
            self._take_entry(entry)
        if complete:
            for host in self._listed - names:
                self._drop(host)
            self._listed = names

    def put(self, entry):
        """Take over one `HostEntry` of the list, as `take_list` does all."""
        self._listed.add(entry.host)
        self._take_entry(entry)

    def remove(self, host):
        """The list does not hold `host` any more, if it did."""
        if host in self._listed:
            self._listed.discard(host)
            self._drop(host)

    def _take_entry(self, entry):
        member = self._hosts.get(entry.host)
        mine = entry.host == self._here.host
        if (
            member is not None
            and not mine
            and (member.peer_address, member.service)
            != (
                entry.peer_address,
                entry.service,
            )
        ):
            self._drop(entry.host)
            member = None
        if member is not None and mine and member.service != entry.service:
            self._move(member, entry.service)
        if member is None:
            member = Member(entry.host, entry.zone, entry.region, entry.service, entry.peer_address)
            self._hosts[entry.host] = member
            self.version += 1
            self._services.setdefault(entry.service, []).append(member)
            self._events.state("member", "absent", "present", entry.host)
            self._tell(member, False)
        if entry.instance != member.instance:
            self._start_anew(member, entry.instance)
        if entry.leaving != member.listed_leaving:
            member.listed_leaving = entry.leaving
            self._events.state("listed as leaving", not entry.leaving, entry.leaving, entry.host)

    def _start_anew(self, member, instance):
        """Another backend server, or another start of it, is at that host."""
        if member.instance:
            self._events.state("instance", member.instance, instance, member.host)
            member.estimate.restart()
        member.instance = instance

    def _move(self, member, service):
        # The backend server beside this node is now one of another service.
        self._events.state("service", member.service, service, member.host)
        self._services[member.service].remove(member)
        self._tell(member, True)
        member.service = service
        self._services.setdefault(service, []).append(member)
        self.version += 1
        self._tell(member, False)

    def _drop(self, host):
        if host == self._here.host:
            return
        member = self._hosts.pop(host)
        self.version += 1
        self._services[member.service].remove(member)
        self._events.state("member", "present", "absent", host)
        self._tell(member, True)

    def _tell(self, member, gone):
        for listener in self._listeners:
            listener(member, gone)

    def mark_leaving(self, host, incarnation):
        """Note that `incarnation` of `host` is leaving; return whether that is news."""
        member = self._hosts.get(host)
        if member is None or incarnation <= member.leaving_incarnation:
            return False
        member.leaving_incarnation = incarnation
        self._events.state("leaving", False, member.leaving, host)
        return True
