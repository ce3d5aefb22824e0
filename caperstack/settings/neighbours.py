"""Choose the peers that a node exchanges settings with and the nodes that read the platform."""

from itertools import islice

from caperstack.membership.order import HostOrder, hash_number

__all__ = ["FAN_OUT", "READERS_PER_ZONE", "Topology", "is_reader", "parents_of", "ranked"]

#: Number of nodes in each zone that read the configuration service.
READERS_PER_ZONE = 2

#: Number of nodes that have the same first parent.
FAN_OUT = 4


def ranked(hosts):
    """Return host names in a deterministic order that is the same on every node."""
    order = HostOrder(hosts)
    return [order.at(index) for index in range(len(order))]


def is_reader(host, zone_hosts):
    """Return whether `host` is among the readers of its zone.

    Notes
    -----
    There is no election.  Nodes whose views of the zone differ may all read, which
    costs a few reads, or none may read; then each reads directly once its peers
    have been silent for long enough.
    """
    return host in ranked(zone_hosts)[:READERS_PER_ZONE]


def parents_of(host, zone_hosts, first_hosts):
    """Return the hosts that `host` dials for settings, in order of preference.

    Parameters
    ----------
    host : str
        The node.
    zone_hosts : iterable of str
        The hosts of its zone.
    first_hosts : iterable of str
        The first reader of each other zone.

    Returns
    -------
    list of str
        For a reader, the other readers of its zone, then `first_hosts`.  For any other
        node, its tree parent, then one pseudo-randomly chosen node before it in the
        order of the zone, then the rest of those before it.

    Notes
    -----
    The first parents form a tree of fan-out four, so a change crosses a zone of 183
    nodes in four steps, and each node forwards a body about four times whatever the
    size of the zone.
    """
    return list(_parents(host, HostOrder(zone_hosts), first_hosts))


def _parents(host, order, first_hosts):
    rank = order.index(host)
    if rank < READERS_PER_ZONE:
        yield from (
            order.at(index) for index in range(min(READERS_PER_ZONE, len(order))) if index != rank
        )
        yield from sorted(first_hosts)
        return
    first = (rank - READERS_PER_ZONE) // FAN_OUT
    second = hash_number(f"second {host}") % rank
    yield order.at(first)
    if second != first:
        yield order.at(second)
    yield from (order.at(index) for index in range(rank) if index not in (first, second))


class Topology:
    """Track members and derive this node's role as a reader and the hosts that it dials."""

    def __init__(self, here, members):
        self._here = here
        self._ring = HostOrder()
        self._zones = {}
        members.listen(self._on_member)

    def _on_member(self, member, gone):
        zone = self._zones.setdefault(member.zone, HostOrder())
        for order in (self._ring, zone):
            if gone:
                order.remove(member.host)
            else:
                order.add(member.host)
        if not len(zone):
            del self._zones[member.zone]

    @property
    def _own_zone(self):
        return self._zones[self._here.zone]

    @property
    def reads(self):
        """Whether this node is a reader of its zone."""
        return self._own_zone.index(self._here.host) < READERS_PER_ZONE

    def parents(self):
        """Yield the hosts to dial for settings, in order of preference; see `parents_of`."""
        others = (order for zone, order in self._zones.items() if zone != self._here.zone)
        yield from _parents(self._here.host, self._own_zone, (order.at(0) for order in others))

    def successors(self, count):
        """Yield up to `count` hosts that follow this one in the order of all hosts."""
        return islice(self._ring.after(self._here.host), count)

    def nearest_successors(self, hosts, count):
        """Return up to `count` of `hosts`, the first that follow this one in the order of all."""
        size = len(self._ring)
        own = self._ring.index(self._here.host)
        return sorted(hosts, key=lambda host: (self._ring.index(host) - own) % size)[:count]

    @property
    def rank(self):
        """This host's rank in the fleet-wide order of readers, which alternates zones.

        Notes
        -----
        The first ranks are in different zones, so a network partition that cuts off a
        zone with all its readers leaves the host of the next rank connected.
        """
        own = self._own_zone.index(self._here.host)
        others = [(z, len(order)) for z, order in self._zones.items() if z != self._here.zone]
        earlier = sum(size > own and zone < self._here.zone for zone, size in others)
        return own + earlier + sum(min(size, own) for _, size in others)
