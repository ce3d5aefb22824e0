"""For how long after the store came back from a copy its items may be overtaken."""

from caperstack.clock import deadline_after, now
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

    Parameters
    ----------
    heartbeat_seconds : float
        How often a backend server writes its entry.
    """

    def __init__(self, heartbeat_seconds=HEARTBEAT_SECONDS):
        self._lapse_seconds = HEARTBEATS_TO_LAPSE * heartbeat_seconds
        self._era = None
        self._missing_until = 0.0
        self._overtaken_until = 0.0

    @property
    def missing_may_return(self):
        """Whether what is missing may be written again."""
        return now() < self._missing_until

    @property
    def may_be_overtaken(self):
        """Whether entries may be of servers that have left since the copy was made."""
        return now() < self._overtaken_until

    def note(self, revision):
        """Note the era of a revision, whoever told it."""
        era = era_of(revision)
        former = self._era
        if former is not None and era <= former:
            return
        self._era = era
        if former is None:
            # A node that starts holds nothing that the copy could contradict.
            return
        self._missing_until = deadline_after(RETURN_SECONDS)
        self._overtaken_until = deadline_after(RETURN_SECONDS + self._lapse_seconds)
