"""Detect restores of the platform's store, after which its entries may be outdated for a while."""

from caperstack.clock import now
from caperstack.settings.revisions import era_of

__all__ = ["HEARTBEAT_SECONDS", "RETURN_SECONDS", "Restores"]

#: Time in seconds after an outage or a restore of the store within which missing
#: entries may still return: their backend servers are alive but not yet registered again.
RETURN_SECONDS = 2.5

#: Number of missed heartbeats after which the store removes an entry.
HEARTBEATS_TO_LAPSE = 3

#: Default interval at which a backend server writes its entry, in seconds; the start
#: settings may set another.
HEARTBEAT_SECONDS = 1.5


class Restores:
    """Detect that the store was restored from an older copy, whose entries may be outdated.

    Parameters
    ----------
    heartbeat_seconds : float
        Interval at which a backend server writes its entry.

    Notes
    -----
    The copy contains entries of backend servers that have since left or begun to
    drain, and lacks those of servers that have since started.  If nodes applied it as
    it is, calls would go to the former and not to the latter until all servers have
    written their lost entries again.

    All nodes measure the time since the restore from the first read of the new era by
    any node.  Otherwise a node that becomes the reader long after the restore would
    keep missing entries as if the store had just been restored, and calls would still
    go to a server that left.
    """

    def __init__(self, heartbeat_seconds=HEARTBEAT_SECONDS):
        self._lapse_seconds = HEARTBEATS_TO_LAPSE * heartbeat_seconds
        self._era = 0
        self._began_at = 0.0

    @property
    def era(self):
        """The number of restores of the store that this node knows of."""
        return self._era

    @property
    def began_at(self):
        """The earliest known time at which any node saw the current era, by the monotonic clock."""
        return self._began_at

    @property
    def missing_may_return(self):
        """Whether missing entries may still be written again."""
        return self._younger_than(RETURN_SECONDS)

    @property
    def may_be_overtaken(self):
        """Whether entries may be older than the departure or draining of their servers."""
        return self._younger_than(RETURN_SECONDS + self._lapse_seconds)

    def _younger_than(self, seconds):
        return self._era > 0 and now() < self._began_at + seconds

    def note(self, revision):
        """Record the era of a revision that is read now."""
        self.note_era(era_of(revision), now())

    def note_era(self, era, began_at):
        """Record an era and when any node first saw it, in seconds on the local monotonic clock."""
        if era > self._era:
            self._era = era
            self._began_at = began_at
        elif era == self._era:
            self._began_at = min(self._began_at, began_at)
