"""Hosts in an order by hash that nodes compute alike, kept up as hosts come and go."""

from bisect import bisect_left, insort

import xxhash

__all__ = ["HostOrder", "hash_number"]


def hash_number(text):
    """Return the number by which `text` is ranked."""
    return xxhash.xxh3_64_intdigest(text.encode())


class HostOrder:
    """Host names ranked by a number, kept up by bisection.

    Parameters
    ----------
    hosts : iterable of str
        The first ones.
    number : callable
        ``number(host)`` ranks a host.

    Notes
    -----
    Failure: orders are sorted anew for each host that comes or goes.  A release
    that replaces each of n backend servers makes every node sort n hosts n
    times.  By bisection a change costs an insertion or a removal.
    """

    def __init__(self, hosts=(), number=hash_number):
        self._number = number
        self._entries = sorted((number(host), host) for host in hosts)

    def __len__(self):
        return len(self._entries)

    def add(self, host):
        """Add a host."""
        insort(self._entries, (self._number(host), host))

    def remove(self, host):
        """Take a host out."""
        del self._entries[self.index(host)]

    def index(self, host):
        """Return the place of a host, 0 for the first."""
        return bisect_left(self._entries, (self._number(host), host))

    def at(self, index):
        """Return the host at a place."""
        return self._entries[index][1]

    def entries(self, first, end):
        """Return ``(number, host)`` of the places from `first` to before `end`."""
        return self._entries[first:end]

    def after(self, host):
        """Yield all other hosts, the one after `host` first, round to the one before it."""
        index = self.index(host)
        for step in range(1, len(self._entries)):
            yield self.at((index + step) % len(self._entries))
