"""How many calls at once a backend server runs best, learnt from its own work times."""

import math
from dataclasses import dataclass

__all__ = ["Knee"]

#: One start in so many, while calls wait, is made with one call fewer at once, and
#: one with one more; a start with one more that is known to slow the server comes
#: ever more rarely.  At 32 what is lost beyond a slope of 1.7 is 2 % of the slots.
TRIAL_EVERY = 32
TRIAL_EVERY_MOST = 1024

#: Times of calls before a comparison says anything, and by how many standard
#: errors it must.  Times of one route spread by 0.3 to 0.5; a slope of 1.7
#: shows after ten calls, that there is none after some seventy.
FEWER_AFTER = 8
MORE_AFTER = 24
ERRORS = 3.0

#: What a change must bring at least, as a share of what the server gets done.
GAIN = 0.05

#: The limit moves by this share of the slots, or by one.
STEP_SHARE = 1 / 16

#: Bounds of the limit, as shares of the slots.
LEAST_SHARE = 0.4


@dataclass(slots=True)
class _Times:
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
        self._most = max(slots, first)
        self._limit = first
        self._forget()

    @property
    def limit(self):
        """The calls at once at which the server gets most done, as far as is known."""
        return self._limit

    def _forget(self):
        self._times = {}
        self._starts = 0
        self._more_every = TRIAL_EVERY

    @property
    def _step(self):
        return max(1, int(self._slots * STEP_SHARE))

    def allowed(self):
        """Return how many calls may be at work with the next start, while others wait."""
        if self._starts % self._more_every == self._more_every - 1:
            return min(self._most, self._limit + self._step)
        if self._starts % TRIAL_EVERY == TRIAL_EVERY // 2:
            return max(self._least, self._limit - self._step)
        return self._limit

    @property
    def _least(self):
        return max(1, int(self._slots * LEAST_SHARE))

    def note_start(self):
        """A call that waited has started."""
        self._starts += 1

    def note_time(self, at_once, ratio):
        """Note a call's time against its route's usual; it started with so many at once."""
        if abs(at_once - self._limit) not in (0, self._step):
            return
        self._times.setdefault(at_once, _Times()).add(ratio)
        if at_once != self._limit:
            self._judge(at_once)

    def _judge(self, other):
        """Move to `other` calls at once if the server gets more done with these."""
        here, there = self._times.get(self._limit), self._times[other]
        least = MORE_AFTER if other > self._limit else FEWER_AFTER
        if here is None or min(here.count, there.count) < least:
            return
        gain = other / there.mean / (self._limit / here.mean) - 1.0
        error = ERRORS * math.hypot(here.error, there.error)
        if gain > max(GAIN, error):
            self._limit = other
            self._forget()
        elif other > self._limit and gain < -error:
            # Known to be worse: tried ever more rarely.
            self._more_every = min(TRIAL_EVERY_MOST, 2 * self._more_every)
            del self._times[other]
