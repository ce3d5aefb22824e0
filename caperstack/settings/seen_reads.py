"""Detect duplicate announcements of platform reads by their numbers."""

from collections import OrderedDict

from caperstack.clock import wall_microseconds
from caperstack.membership.order import hash_number

__all__ = ["SeenReads"]

#: Number of reads remembered.  The whole fleet makes a few per second, and the
#: announcement of each reaches all nodes in less than a second.
MAX_SEEN_READS = 256

#: A read that began less than this many seconds after the last forwarded one is not
#: forwarded: it adds little, and after the failure of a reader many nodes may read at
#: once.
MIN_FORWARD_GAP_SECONDS = 0.2


class SeenReads:
    """Number the platform reads of this node and recognise announced reads already seen.

    Parameters
    ----------
    host : str
        The name of this node's host.

    Notes
    -----
    Each node forwards the announcement of a read at most once.  The time at which the
    read began is only estimated, and each hop makes the estimate later by its delay.
    If nodes compared these times alone, an announcement that comes back could look
    newer than before and would circulate for ever.
    """

    def __init__(self, host):
        self._host = host
        self._known = OrderedDict()
        self._forwarded_at = 0.0

    def begin(self, read_at):
        """Return a new number for a read by this node at `read_at`, which counts as forwarded."""
        number = hash_number(f"{self._host} {wall_microseconds()}")
        self.add(number)
        self._forwarded_at = read_at
        return number

    def add(self, number):
        """Record a read by its number and return whether it is new."""
        if number in self._known:
            return False
        self._known[number] = True
        while len(self._known) > MAX_SEEN_READS:
            self._known.popitem(last=False)
        return True

    def should_forward(self, read_at):
        """Return whether to forward a new read that began at `read_at`, and record it if so."""
        if read_at < self._forwarded_at + MIN_FORWARD_GAP_SECONDS:
            return False
        self._forwarded_at = read_at
        return True
