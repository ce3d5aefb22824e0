"""How many calls at once a backend server runs best, learnt from its own work times."""

import math
from dataclasses import dataclass

__all__ = ["Knee"]

#: One start in so many, while calls wait, is made with one call fewer at once, and
#: one with one more; a start with one more that is known to slow the server comes
#: ever more rarely.  At 32 what is lost beyond a slope of 1.7 is 2 % of the slots.
TRIAL_INTERVAL = 32
MAX_TRIAL_INTERVAL = 1024

#: Times of calls before a comparison says anything, and by how many standard
#: errors it must.  Times of one route spread by 0.3 to 0.5; a slope of 1.7
#: shows after ten calls, that there is none after some seventy.
MIN_SAMPLES_BELOW = 8
MIN_SAMPLES_ABOVE = 24
MIN_STANDARD_ERRORS = 3.0

#: What a change must bring at least, as a share of what the server gets done.
MIN_GAIN = 0.05

#: The limit moves by this share of the slots, or by one.
STEP_SHARE = 1 / 16

#: Bounds of the limit, as shares of the slots.
MIN_LIMIT_SHARE = 0.4


@dataclass(slots=True)
class _RatioStatistics:
    """Times of calls that started with equally many at once, against their route's usual."""

    count: int = 0
    mean: float = 0.0
    squares: float = 0.0

    def add(self, ratio):
        """Take one time in."""
        self.count += 1
        before = ratio - self.mean
        self.mean += before / self.count
        self.squares += before * (ratio - self.mean)

    @property
    def error(self):
        """The standard error of the mean, as a share of it."""
        variance = self.squares / (self.count - 1)
        return math.sqrt(variance / self.count) / self.mean


class Knee:
    """Learn from work times at how many calls at once a server gets most done.

    Notes
    -----
    Which load it answers: more calls than slots.  Some servers slow down when
    they are nearly full, others do not.  With too many at once each call is
    slower by more than the last slot brings; with too few slots stand empty.
    Calls that start with one more and one fewer at once than the rest, in the
    same seconds, show on which side of the best the limit is, whatever else
    makes work slow meanwhile.

    Parameters
    ----------
    slots : int
        The backend server's slots.
    first : int
        The limit to begin with.
    """

    def __init__(self, slots, first):
        self._slots = slots
        # A share of the slots above one lets calls queue in the server itself.
        self._max_limit = max(slots, first)
        self._limit = first
        self._reset()

    @property
    def limit(self):
        """The calls at once at which the server gets most done, as far as is known."""
        return self._limit

    def _reset(self):
        self._times = {}
        self._starts = 0
        self._upper_trial_interval = TRIAL_INTERVAL

    @property
    def _step(self):
        return max(1, int(self._slots * STEP_SHARE))

    def allowed(self):
        """Return how many calls may be at work with the next start, while others wait."""
        if self._starts % self._upper_trial_interval == self._upper_trial_interval - 1:
            return min(self._max_limit, self._limit + self._step)
        if self._starts % TRIAL_INTERVAL == TRIAL_INTERVAL // 2:
            return max(self._min_limit, self._limit - self._step)
        return self._limit

    @property
    def _min_limit(self):
        return max(1, int(self._slots * MIN_LIMIT_SHARE))

    def record_start(self):
        """A call that waited has started."""
        self._starts += 1

    def record_time(self, concurrency, ratio):
        """Note a call's time against its route's usual; it started with so many at once."""
        if abs(concurrency - self._limit) not in (0, self._step):
            return
        self._times.setdefault(concurrency, _RatioStatistics()).add(ratio)
        if concurrency != self._limit:
            self._compare(concurrency)

    def _compare(self, other):
        """Move to `other` calls at once if the server gets more done with these."""
        here, there = self._times.get(self._limit), self._times[other]
        least = MIN_SAMPLES_ABOVE if other > self._limit else MIN_SAMPLES_BELOW
        if here is None or min(here.count, there.count) < least:
            return
        gain = other / there.mean / (self._limit / here.mean) - 1.0
        error = MIN_STANDARD_ERRORS * math.hypot(here.error, there.error)
        if gain > max(MIN_GAIN, error):
            self._limit = other
            self._reset()
        elif other > self._limit and gain < -error:
            # Known to be worse: tried ever more rarely.
            self._upper_trial_interval = min(MAX_TRIAL_INTERVAL, 2 * self._upper_trial_interval)
            del self._times[other]
