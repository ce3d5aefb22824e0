"""Which entries have use for news of an owner's load."""

from caperstack.calls.model import SLOWED_PACE
from caperstack.clock import deadline_after, now

__all__ = ["CALLS_SECONDS", "LoadInterest"]

#: An entry that has not called for so long is not told of loads, in seconds; it
#: hears of them with the answer to its next call.  News of a neighbour's visit
#: is good for 0.3 s and costs a message of 60 bytes; without it a call that goes
#: there is refused and moves on, at 350 bytes and a way of one or two
#: milliseconds.  So a message pays where the next call comes within 1.7 s.
CALLS_SECONDS = 1.7


class LoadInterest:
    """Whether one entry has use for news, from when it called and what it was told.

    Notes
    -----
    Which load it answers: many servers, and few calls from each entry to each.
    Told to all who had called in the last five seconds, a node among 81 sent
    1,219 loads and 208 calls in a minute.  A play of 60 hosts told 364,000 loads so
    and tells 171,000 (three seeds); its callers earn 0.984 in place of 0.986 (four
    seeds, which lie 0.033 apart).
    """

    def __init__(self):
        self._active_until = deadline_after(CALLS_SECONDS)
        self._last_load_slowed = False

    def record_call(self):
        """The entry has sent a call."""
        self._active_until = deadline_after(CALLS_SECONDS)

    def record_load(self, load):
        """The entry was told `load`, with an answer or by itself."""
        self._last_load_slowed = _is_slowed(load)

    def wants_update(self, load):
        """Return whether to tell the entry `load` by itself.

        Notes
        -----
        Failure: an entry is refused since the host is slowed, and does not
        call again.  For two seconds it takes the host for slowed, though the
        neighbour left after 0.2.  Whoever was told of a visit hears of its end.
        """
        return now() < self._active_until or (self._last_load_slowed and not _is_slowed(load))


def _is_slowed(load):
    return load.pace >= SLOWED_PACE * 100
