"""For how long after the platform's store came back from a copy its items may be overtaken."""

from caperstack.clock import now
from caperstack.settings.revisions import era_of

__all__ = ["HEARTBEAT_SECONDS", "RETURN_SECONDS", "Restores"]

#: For so long after the store was away, entries that are missing may still come
#: back: their servers live and have yet to register again.
RETURN_SECONDS = 2.5

#: After so many heartbeats that did not come the store takes an entry away.
HEARTBEATS_TO_LAPSE = 3

#: How often a backend server writes its entry, where the start settings do not say.
HEARTBEAT_SECONDS = 1.5


class Restores:
    """Notice that the store came back from a copy, and tell what to expect of it.

    Notes
    -----
    Failure: the copy holds entries of backend servers that have left since, or
    that began to leave, and lacks those of servers that came. Taken as it is, it
    sends calls to the former and none to the latter, until all have written
    again what was lost.

    All nodes must count from the same moment, the first reading by any of them.
    Failure: a node reads for all long after the store is back, and keeps what is
    missing as if the store had just come back; calls go on to a server that left.

    Parameters
    ----------
    heartbeat_seconds : float
        How often a backend server writes its entry.
    """

    def __init__(self, heartbeat_seconds=HEARTBEAT_SECONDS):
        self._lapse_seconds = HEARTBEATS_TO_LAPSE * heartbeat_seconds
        self._era = 0
        self._began_at = 0.0

    @property
    def era(self):
        """How often the store has come back from a copy, as far as is known."""
        return self._era

    @property
    def began_at(self):
        """The point at which any node first saw that era, as far as is known."""
        return self._began_at

    @property
    def missing_may_return(self):
        """Whether what is missing may be written again."""
        return self._younger_than(RETURN_SECONDS)

    @property
    def may_be_overtaken(self):
        """Whether entries may be of servers that have left since the copy was made."""
        return self._younger_than(RETURN_SECONDS + self._lapse_seconds)

    def _younger_than(self, seconds):
        return self._era > 0 and now() < self._began_at + seconds

    def note(self, revision):
        """Note the era of a revision that is seen now."""
        self.note_era(era_of(revision), now())

    def note_era(self, era, began_at):
        """Note an era that was seen first at `began_at`, by whomever."""
        if era > self._era:
            self._era = era
            self._began_at = began_at
        elif era == self._era:
            self._began_at = min(self._began_at, began_at)
