"""The pace of a host: how long work takes on it now, against what it takes lately."""

from collections import deque

from caperstack.calls.model import SLOWED_PACE
from caperstack.clock import now

__all__ = ["FIRST_READING_SECONDS", "HostSlowdown"]

#: The lowest pace of so many seconds is the host's usual one.  A neighbour's
#: visit lasts 300 ms (the figure that operators give), and one in four is
#: followed by another: one in 250 lasts longer than this.  What lasts longer, a
#: cold start or a slow host, is usual.
BASELINE_SECONDS = 1.2

#: Before a host was watched for that long, at most this pace counts as usual: a
#: server that has just started is twice as slow, and a neighbour makes it four
#: times slower still.
MAX_INITIAL_BASELINE = 2.0

#: For so long after it began to ask an owner waits for the first reading, in seconds;
#: one takes 1 ms where the backend server lives.
FIRST_READING_SECONDS = 0.25

#: How far the pace must move before it is news, as a factor.
REPORTED_CHANGE = 1.25


class HostSlowdown:
    """The pace of a host and what is usual for it.

    Notes
    -----
    Failure: a server that has just started is twice as slow for seconds, and a
    neighbour makes it eight times as slow for a moment.  Measured against a
    warm server it would look slowed all the time, and work would start at
    eight times its cost as readily as at twice.

    A host whose first reading falls into a visit has no lower one to compare
    with.  Failure: after a stop of all nodes one in four filled its slots at
    eight times the cost, and the calls ran into their deadlines.
    """

    def __init__(self):
        # Of the readings lately only those that no later one is below.
        self._minima = deque()
        self._read_at = 0.0
        self._watched_since = now()
        self._await_until = 0.0
        self.value = 1.0

    @property
    def awaiting_reading(self):
        """Whether the owner has just begun to ask and the first reading is still to come.

        Notes
        -----
        Failure: an owner starts, calls come at once, and its server's host is
        being visited: a booking ran for 2.5 s and was cut off at its deadline.
        """
        return not self._minima and now() < self._await_until

    @property
    def baseline(self):
        """The lowest pace lately."""
        self._drop_old()
        lowest = self._minima[0][1] if self._minima else 1.0
        watched = now() - self._watched_since >= BASELINE_SECONDS
        return lowest if watched else min(lowest, MAX_INITIAL_BASELINE)

    @property
    def relative(self):
        """The pace against the usual one."""
        return self.value / self.baseline

    @property
    def slowed(self):
        """Whether the host is slower than usual, so that it may soon be quick again."""
        return self.relative >= SLOWED_PACE

    @property
    def age(self):
        """How old the last reading is, in seconds; 0 where none ever came."""
        return now() - self._read_at if self._minima else 0.0

    def expect_reading(self):
        """Somebody has begun to ask for the pace."""
        self._await_until = now() + FIRST_READING_SECONDS

    def record_reading(self, pace):
        """Take a reading; return whether the pace has moved by enough to tell others."""
        changed = not 1 / REPORTED_CHANGE < pace / self.value < REPORTED_CHANGE
        self.value = pace
        self._read_at = now()
        if not self._minima:
            self._watched_since = self._read_at
        while self._minima and self._minima[-1][1] >= pace:
            self._minima.pop()
        self._minima.append((self._read_at, pace))
        return changed

    def restart(self):
        """Another instance of the backend server has begun: forget the old one's pace."""
        self._minima.clear()

    def _drop_old(self):
        # The last reading stays, however old: nothing later is known.
        limit = now() - BASELINE_SECONDS
        while len(self._minima) > 1 and self._minima[0][0] < limit:
            self._minima.popleft()
