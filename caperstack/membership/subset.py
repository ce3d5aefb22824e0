"""Deterministic subsetting: the bounded number of members of a service that an entry calls."""

from caperstack.membership.order import HostOrder, hash_number

__all__ = ["SUBSET_SIZE", "Subset", "subset_of"]

#: Maximum number of members of one service that an entry calls; half of them are in its
#: own zone if there are enough members inside and outside it.  Owners send load updates
#: to the entries that call them, so the traffic of the fleet grows with this number:
#: with subsets of 24 members in a fleet of 73 hosts every owner sent updates to 72
#: peers.  With 8 members, each slowed by a noisy neighbour with probability 1/4, all are
#: slow with probability 1 in 65,000.
SUBSET_SIZE = 8


class Subset:
    """The members of one service that an entry calls, updated incrementally.

    Parameters
    ----------
    here : object
        The entry; its ``host`` and ``zone`` are read.

    Notes
    -----
    Each entry ranks the members by a hash of both host names, so that entries have
    different subsets and each member is in about equally many of them.
    """

    def __init__(self, here):
        self._here = here
        self._members = {}
        self._zones = {}
        self._excluded = frozenset()
        self._chosen = None

    def _number(self, host):
        return hash_number(f"{self._here.host}\0{host}")

    def add(self, member):
        """Add a member of the service."""
        self._members[member.host] = member
        if member.zone not in self._zones:
            self._zones[member.zone] = HostOrder(number=self._number)
        self._zones[member.zone].add(member.host)
        self._chosen = None

    def remove(self, member):
        """Remove a member."""
        del self._members[member.host]
        order = self._zones[member.zone]
        order.remove(member.host)
        if not len(order):
            del self._zones[member.zone]
        self._chosen = None

    def exclude(self, zones):
        """Exclude the members in `zones`, and only those, from the subset."""
        if zones != self._excluded:
            self._excluded = zones
            self._chosen = None

    @property
    def members(self):
        """At most `SUBSET_SIZE` members, half in the entry's zone, the rest spread over others."""
        if self._chosen is None:
            self._chosen = [self._members[host] for host in self._choose()]
        return self._chosen

    def _choose(self):
        orders = {z: order for z, order in self._zones.items() if z not in self._excluded}
        count = sum(len(order) for order in orders.values())
        if count <= SUBSET_SIZE:
            return [h for h, member in self._members.items() if member.zone in orders]
        own = orders.pop(self._here.zone, HostOrder())
        far_count = count - len(own)
        near = own.entries(0, max(SUBSET_SIZE // 2, SUBSET_SIZE - far_count))
        far = _round_robin(list(orders.values()), SUBSET_SIZE - len(near))
        return [host for _, host in (*near, *far)]


def subset_of(members, here):
    """Return the subset of `members` for the entry `here`; see `Subset`."""
    subset = Subset(here)
    for member in members:
        subset.add(member)
    return subset.members


def _round_robin(orders, count):
    """Return the first `count` entries of `orders`, taken from them in turn."""
    chosen = []
    position = 0
    while len(chosen) < count:
        batch = sorted(entry for order in orders for entry in order.entries(position, position + 1))
        if not batch:
            break
        chosen += batch
        position += 1
    return chosen[:count]
