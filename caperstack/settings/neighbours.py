"""Which peers a node exchanges settings with, and which nodes read the platform."""

from itertools import islice

from caperstack.membership.order import HostOrder, hash_number

__all__ = ["FAN_OUT", "READERS", "Topology", "is_reader", "parents_of", "ranked"]

#: Nodes of a zone that read the configuration service.
READERS = 2

#: Nodes that have the same first parent.
FAN_OUT = 4


def ranked(hosts):
    """Return host names in an order that every node computes alike."""
    order = HostOrder(hosts)
    return [order.at(index) for index in range(len(order))]


def is_reader(host, zone_hosts):
    """Return whether `host` is among the readers of its zone.

    Notes
    -----
    Nobody is elected.  Two nodes whose views of the zone differ may both read
    or leave it to each other: the first costs a few reads, the second ends
    when the peers' silence makes a node read for itself.
    """
    return host in ranked(zone_hosts)[:READERS]


def parents_of(host, zone_hosts, first_hosts):
    """Return the hosts that `host` dials for settings, the best first.

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
        For a node of rank r the tree parent, then nodes of lower rank.  A
        reader's are the other readers.

    Notes
    -----
    The first parents form a tree of fan-out four, so news crosses a zone of
    183 nodes in four steps and each node passes a body on about four times,
    however large the zone is.
    """
    return list(_parents(host, HostOrder(zone_hosts), first_hosts))


def _parents(host, order, first_hosts):
    rank = order.index(host)
    if rank < READERS:
        yield from (order.at(index) for index in range(min(READERS, len(order))) if index != rank)
        yield from sorted(first_hosts)
        return
    first = (rank - READERS) // FAN_OUT
    second = hash_number(f"second {host}") % rank
    yield order.at(first)
    if second != first:
        yield order.at(second)
    yield from (order.at(index) for index in range(rank) if index not in (first, second))


class Topology:
    """Whether this node reads, and whom it dials, as members come and go."""

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
    def _own(self):
        return self._zones[self._here.zone]

    @property
    def reads(self):
        """Whether this node is a reader of its zone."""
        return self._own.index(self._here.host) < READERS

    def parents(self):
        """Yield the hosts to dial for settings, the best first; see `parents_of`."""
        others = (order for zone, order in self._zones.items() if zone != self._here.zone)
        yield from _parents(self._here.host, self._own, (order.at(0) for order in others))

    def successors(self, count):
        """Yield the next hosts in the order that every node computes alike, at most `count`."""
        return islice(self._ring.after(self._here.host), count)

    def next_of(self, hosts, count):
        """Return those of `hosts` that come next in that order, at most `count`."""
        size = len(self._ring)
        own = self._ring.index(self._here.host)
        return sorted(hosts, key=lambda host: (self._ring.index(host) - own) % size)[:count]

    @property
    def rank(self):
        """This host's place in the order of readers, in which zones take turns.

        Notes
        -----
        Failure: a zone is cut off with all readers in it.  The first places are
        in different zones, so the next reader in order is not cut off with the
        first.
        """
        own = self._own.index(self._here.host)
        others = [(z, len(order)) for z, order in self._zones.items() if z != self._here.zone]
        earlier = sum(size > own and zone < self._here.zone for zone, size in others)
        return own + earlier + sum(min(size, own) for _, size in others)
