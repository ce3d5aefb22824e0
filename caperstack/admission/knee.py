"""Learn the concurrency with the highest throughput of a backend server."""

import math
from dataclasses import dataclass

__all__ = ["Knee"]

#: While calls wait, one start in this many is a trial one step below the limit, and another
#: one a trial one step above it. Trials above become rarer, up to the maximum interval, once
#: they are known to lower the throughput. With an interval of 32, trials beyond a knee at which
#: the server slows by a factor of 1.7 cost 2 % of the slots.
TRIAL_INTERVAL = 32
MAX_TRIAL_INTERVAL = 1024

#: Samples needed at the limit and at a trial below or above it to compare them, and the number
#: of standard errors that the difference must exceed. Times of one route spread by 0.3 to 0.5:
#: a slowdown by a factor of 1.7 shows after ten calls, its absence after some seventy.
MIN_SAMPLES_BELOW = 8
MIN_SAMPLES_ABOVE = 24
MIN_STANDARD_ERRORS = 3.0

#: Least gain in throughput for which the limit moves, as a share of the throughput.
MIN_GAIN = 0.05

#: Step of the limit as a share of the slots; at least one.
STEP_SHARE = 1 / 16

#: Lower bound of the limit as a share of the slots.
MIN_LIMIT_SHARE = 0.4


@dataclass(slots=True)
class _RatioStatistics:
    """Running mean and variance of time ratios at one concurrency.

    Notes
    -----
    A ratio is a call's service time divided by the baseline of its route.  `squares` is the
    sum of squared deviations from the mean (Welford's algorithm).
    """

    count: int = 0
    mean: float = 0.0
    squares: float = 0.0

    def add(self, ratio):
        """Add one sample."""
        self.count += 1
        deviation = ratio - self.mean
        self.mean += deviation / self.count
        self.squares += deviation * (ratio - self.mean)

    @property
    def error(self):
        """Relative standard error of the mean."""
        variance = self.squares / (self.count - 1)
        return math.sqrt(variance / self.count) / self.mean


class Knee:
    """Learn from service times the concurrency at which a server's throughput is highest.

    This is the knee of the curve of throughput over concurrency.

    Parameters
    ----------
    slots : int
        The backend server's slots.
    initial : int
        The initial limit.

    Notes
    -----
    The limit is learnt only under overload, while calls wait.  Some servers slow down when
    they are nearly full, others do not.  If the limit is too high, the last slot slows the
    other calls by more than it gains; if it is too low, slots stay empty.  Trial calls that
    start one step above and below the limit, interleaved with the others, show on which
    side of the optimum the limit is, whatever else slows the calls meanwhile.
    """

    def __init__(self, slots, initial):
        self._slots = slots
        # The initial limit exceeds the slots if calls may queue in the server itself.
        self._max_limit = max(slots, initial)
        self._limit = initial
        self._reset()

    @property
    def limit(self):
        """Concurrency with the highest throughput known so far."""
        return self._limit

    def _reset(self):
        self._times = {}
        self._starts = 0
        self._upper_trial_interval = TRIAL_INTERVAL

    @property
    def _step(self):
        return max(1, int(self._slots * STEP_SHARE))

    def allowed(self):
        """Return the concurrency allowed for the next start of a queued call."""
        if self._starts % self._upper_trial_interval == self._upper_trial_interval - 1:
            return min(self._max_limit, self._limit + self._step)
        if self._starts % TRIAL_INTERVAL == TRIAL_INTERVAL // 2:
            return max(self._min_limit, self._limit - self._step)
        return self._limit

    @property
    def _min_limit(self):
        return max(1, int(self._slots * MIN_LIMIT_SHARE))

    def record_start(self):
        """Count the start of a queued call."""
        self._starts += 1

    def record_time(self, concurrency, ratio):
        """Record the time ratio of a call that started at the given concurrency.

        It is ignored unless the concurrency is the limit or one step from it.
        """
        if abs(concurrency - self._limit) not in (0, self._step):
            return
        self._times.setdefault(concurrency, _RatioStatistics()).add(ratio)
        if concurrency != self._limit:
            self._compare(concurrency)

    def _compare(self, other):
        """Move the limit to `other` if the throughput there is significantly higher."""
        here, there = self._times.get(self._limit), self._times[other]
        min_samples = MIN_SAMPLES_ABOVE if other > self._limit else MIN_SAMPLES_BELOW
        if here is None or min(here.count, there.count) < min_samples:
            return
        gain = other / there.mean / (self._limit / here.mean) - 1.0
        error = MIN_STANDARD_ERRORS * math.hypot(here.error, there.error)
        if gain > max(MIN_GAIN, error):
            self._limit = other
            self._reset()
        elif other > self._limit and gain < -error:
            # The throughput is lower above the limit, so trials there become rarer.
            self._upper_trial_interval = min(MAX_TRIAL_INTERVAL, 2 * self._upper_trial_interval)
            del self._times[other]
