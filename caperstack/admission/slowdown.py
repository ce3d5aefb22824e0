"""Slowdown of a host: current service time of work relative to its recent baseline."""

from collections import deque

from caperstack.calls.model import SLOWED_PACE
from caperstack.clock import now

__all__ = ["FIRST_READING_SECONDS", "HostSlowdown"]

#: The lowest slowdown in this window, in seconds, is the host's baseline. A slow phase lasts
#: 300 ms (the figure given by operators), and one in four is followed by another: one in 250
#: lasts longer than the window. A longer slowdown, as from a cold start or a slow host,
#: counts as normal.
BASELINE_SECONDS = 1.2

#: Greatest baseline until a host has been observed for the whole window. A server that has
#: just started is twice as slow, and a noisy neighbour makes it four times slower still.
MAX_INITIAL_BASELINE = 2.0

#: Time for which an owner waits for the first reading, in seconds. A reading takes 1 ms if
#: the backend server is alive.
FIRST_READING_SECONDS = 0.25

#: Factor by which the slowdown must change to be reported.
REPORTED_CHANGE = 1.25


class HostSlowdown:
    """Slowdown of a host and its baseline.

    Attributes
    ----------
    value : float
        Last reading: the factor by which work takes longer than nominally.

    Notes
    -----
    A server that has just started is twice as slow for seconds, and a noisy neighbour makes
    it eight times as slow for a moment.  Compared with a warm server, it would count as
    slowed throughout, and calls would start at eight times their nominal service time as
    readily as at twice.  Readings are therefore compared with the host's recent baseline.

    If the first reading falls into a slow phase, there is no lower one to compare with.
    After a stop of all nodes, one node in four would fill its slots with calls that take
    eight times as long and reach their deadlines.  `MAX_INITIAL_BASELINE` prevents that.
    """

    def __init__(self):
        # Recent readings (time, slowdown) that are lower than all later ones, the oldest first.
        self._minima = deque()
        self._read_at = 0.0
        self._observed_since = now()
        self._await_until = 0.0
        self.value = 1.0

    @property
    def awaiting_reading(self):
        """Whether polling began a short time ago and has given no reading yet.

        Notes
        -----
        Calls wait for the first reading.  If they started without one as soon as the owner
        runs, and its host was in a slow phase, a booking would run for 2.5 s and be cut off
        at its deadline.
        """
        return not self._minima and now() < self._await_until

    @property
    def baseline(self):
        """Lowest recent slowdown, bounded at first by `MAX_INITIAL_BASELINE`."""
        self._drop_old()
        lowest = self._minima[0][1] if self._minima else 1.0
        long_observed = now() - self._observed_since >= BASELINE_SECONDS
        return lowest if long_observed else min(lowest, MAX_INITIAL_BASELINE)

    @property
    def relative(self):
        """Ratio of the current slowdown to the baseline."""
        return self.value / self.baseline

    @property
    def slowed(self):
        """Whether the host is in a slow phase, well above its baseline."""
        return self.relative >= SLOWED_PACE

    @property
    def age(self):
        """Age of the last reading in seconds; 0 if there is none."""
        return now() - self._read_at if self._minima else 0.0

    def expect_reading(self):
        """Record that polling begins, so that calls wait for the first reading."""
        self._await_until = now() + FIRST_READING_SECONDS

    def record_reading(self, slowdown):
        """Record a reading; return whether the slowdown changed enough to be reported."""
        changed = not 1 / REPORTED_CHANGE < slowdown / self.value < REPORTED_CHANGE
        self.value = slowdown
        self._read_at = now()
        if not self._minima:
            self._observed_since = self._read_at
        while self._minima and self._minima[-1][1] >= slowdown:
            self._minima.pop()
        self._minima.append((self._read_at, slowdown))
        return changed

    def restart(self):
        """Discard all readings, since another instance of the backend server has started."""
        self._minima.clear()

    def _drop_old(self):
        # The last reading is kept whatever its age, since there is no later one.
        oldest = now() - BASELINE_SECONDS
        while len(self._minima) > 1 and self._minima[0][0] < oldest:
            self._minima.popleft()
