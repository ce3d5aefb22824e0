"""Readings of the platform that a node has heard of, told apart by number."""

from collections import OrderedDict

from caperstack.clock import wall_microseconds
from caperstack.membership.order import hash_number

__all__ = ["SeenReads"]

#: Readings that are remembered; a few a second are made in the whole fleet, and news
#: of one goes round in less than a second.
MAX_SEEN_READS = 256

#: A reading that began at most so long after the last one that was passed on, in
#: seconds, is not passed on: it tells little that is new, and after a reader's death
#: many nodes may read at once.
MIN_FORWARD_GAP_SECONDS = 0.2


class SeenReads:
    """Number the readings of this node, and tell new ones of others from known ones.

    Notes
    -----
    Each reading goes round the fleet once: how long ago it began is only estimated,
    too late by all delays on the way, so by its time alone a reading that comes back
    may look newer than it was, and would go round for ever.

    Parameters
    ----------
    host : str
        This node.
    """

    def __init__(self, host):
        self._host = host
        self._known = OrderedDict()
        self._forwarded_at = 0.0

    def begin(self, read_at):
        """Return the number of this node's own reading, which is passed on."""
        number = hash_number(f"{self._host} {wall_microseconds()}")
        self.add(number)
        self._forwarded_at = read_at
        return number

    def add(self, number):
        """Note the reading of that number; return whether it was not known."""
        if number in self._known:
            return False
        self._known[number] = True
        while len(self._known) > MAX_SEEN_READS:
            self._known.popitem(last=False)
        return True

    def should_forward(self, read_at):
        """Return whether to pass on a new reading that began at `read_at`."""
        if read_at < self._forwarded_at + MIN_FORWARD_GAP_SECONDS:
            return False
        self._forwarded_at = read_at
        return True
