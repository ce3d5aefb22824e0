"""Decide which entries an owner sends load updates to."""

from caperstack.calls.model import SLOWED_PACE
from caperstack.clock import deadline_after, now

__all__ = ["CALLS_SECONDS", "LoadInterest"]

#: An entry that has not called for this many seconds gets no load updates; it
#: reads the load from the answer to its next call.  A slow phase caused by another
#: tenant of the host lasts about 0.3 s, and an update costs 60 bytes.  Without the
#: update, a call that the entry sends in that phase is refused and sent elsewhere, which
#: costs 350 bytes and 1 to 2 ms.  An update therefore pays off if the next call comes
#: within 1.7 s.
CALLS_SECONDS = 1.7


class LoadInterest:
    """Decide whether one entry needs load updates, from its calls and the last load it got.

    Notes
    -----
    Load updates would otherwise dominate the traffic where there are many servers and
    each entry rarely calls any one of them, so in general only entries that have called
    lately get them.  With a limit of 5 s rather than `CALLS_SECONDS`, a node among 81
    sends 1,219 updates and 208 calls in a minute.
    """

    def __init__(self):
        self._active_until = deadline_after(CALLS_SECONDS)
        self._last_load_slowed = False

    def record_call(self):
        """Record that the entry has sent a call."""
        self._active_until = deadline_after(CALLS_SECONDS)

    def record_load(self, load):
        """Record that `load` was sent to the entry, with an answer or as an update."""
        self._last_load_slowed = _is_slowed(load)

    def wants_update(self, load):
        """Return whether to send `load` to the entry as an update.

        Notes
        -----
        An entry that last heard that the host is slowed is also told when the slow
        phase ends.  Without that, an entry whose call was refused for the slow phase
        stops calling and avoids the host for 2 s, although the phase may have ended
        after 0.2 s.
        """
        return now() < self._active_until or (self._last_load_slowed and not _is_slowed(load))


def _is_slowed(load):
    return load.pace >= SLOWED_PACE * 100
