"""Which peers a node exchanges settings with, and which nodes read the platform."""

import xxhash

__all__ = ["FAN_OUT", "READERS", "Topology", "is_reader", "parents_of", "ranked"]

#: Nodes of a zone that read the configuration service.
READERS = 2

#: Nodes that have the same first parent.
FAN_OUT = 4


def ranked(hosts):
    """Return host names in an order that every node computes alike."""
    return sorted(hosts, key=lambda host: xxhash.xxh3_64_intdigest(host.encode()))


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
    order = ranked(zone_hosts)
    rank = order.index(host)
    if rank < READERS:
        readers = [name for name in order[:READERS] if name != host]
        return readers + sorted(first_hosts)
    first = (rank - READERS) // FAN_OUT
    second = xxhash.xxh3_64_intdigest(f"second {host}".encode()) % rank
    chosen = [order[first], order[second]]
    return list(dict.fromkeys(chosen + order[:rank]))


class Topology:
    """Whether this node reads, and whom it dials, worked out anew when members change."""

    def __init__(self, here, members):
        self._here = here
        self._members = members
        self._version = None
        self._reads = False
        self._parents = []
        self._successors = []
        self._rank = 0

    @property
    def reads(self):
        """Whether this node is a reader of its zone."""
        self._work_out()
        return self._reads

    @property
    def parents(self):
        """The hosts to dial for settings, the best first."""
        self._work_out()
        return self._parents

    @property
    def successors(self):
        """All other hosts in the order that every node computes alike, the next one first."""
        self._work_out()
        return self._successors

    @property
    def rank(self):
        """This host's place in the order of readers, in which zones take turns."""
        self._work_out()
        return self._rank

    def _work_out(self):
        if self._version == self._members.version:
            return
        self._version = self._members.version
        zones = {}
        for member in self._members.all():
            zones.setdefault(member.zone, []).append(member.host)
        self._rank = _rank_over_zones(self._here.host, zones)
        ring = ranked(host for hosts in zones.values() for host in hosts)
        place = ring.index(self._here.host)
        self._successors = ring[place + 1 :] + ring[:place]
        own = zones.pop(self._here.zone)
        firsts = [ranked(hosts)[0] for hosts in zones.values()]
        self._reads = is_reader(self._here.host, own)
        self._parents = parents_of(self._here.host, own, firsts)


def _rank_over_zones(host, zones):
    """Return the place of `host` where each zone in turn gives its next one.

    Notes
    -----
    Failure: a zone is cut off with all readers in it.  The first places are in
    different zones, so the next reader in order is not cut off with the first.
    """
    orders = [ranked(zones[zone]) for zone in sorted(zones)]
    turns = max(len(order) for order in orders)
    in_turn = [order[n] for n in range(turns) for order in orders if n < len(order)]
    return in_turn.index(host)
