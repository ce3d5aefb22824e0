"""Hosts in the order of a hash of their names, updated incrementally."""

from bisect import bisect_left, insort

import xxhash

__all__ = ["HostOrder", "hash_number"]


def hash_number(text):
    """Return the 64-bit hash of `text`, the same on every node."""
    return xxhash.xxh3_64_intdigest(text.encode())


class HostOrder:
    """Host names sorted by a numeric key, updated by bisection.

    Parameters
    ----------
    hosts : iterable of str
        The initial hosts.
    number : callable
        ``number(host)`` returns the sort key of a host.

    Notes
    -----
    With the default key all nodes compute the same order.

    Sorting again for each change would make every node sort n hosts n times during
    a release that replaces each of n backend servers.  With bisection a change
    costs one insertion or one removal.
    """

    def __init__(self, hosts=(), number=hash_number):
        self._number = number
        self._entries = sorted((number(host), host) for host in hosts)

    def __len__(self):
        return len(self._entries)

    def add(self, host):
        """Insert `host`, which must not be present."""
        insort(self._entries, (self._number(host), host))

    def remove(self, host):
        """Remove `host`, which must be present."""
        del self._entries[self.index(host)]

    def index(self, host):
        """Return the position of `host`, which must be present; 0 for the first."""
        return bisect_left(self._entries, (self._number(host), host))

    def at(self, index):
        """Return the host at position `index`."""
        return self._entries[index][1]

    def entries(self, first, end):
        """Return ``(number, host)`` of the positions from `first` up to, not including, `end`."""
        return self._entries[first:end]

    def after(self, host):
        """Yield all other hosts in circular order, starting after `host`."""
        index = self.index(host)
        for step in range(1, len(self._entries)):
            yield self.at((index + step) % len(self._entries))
