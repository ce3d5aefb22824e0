"""Averages over time, whatever the rate of samples."""

from caperstack.clock import now

__all__ = ["TimeWeightedAverage"]


class TimeWeightedAverage:
    """An exponential average in which a sample weighs by the time since the last one.

    Parameters
    ----------
    first : float
        The value before the first sample.
    seconds : float
        The time over which old samples fade.
    most : float
        The greatest weight of one sample, so that one after a long silence
        does not replace all that was known.

    Notes
    -----
    A fixed weight per sample forgets within half a second at hundreds of
    calls a second: a slow server's times became its usual ones before the
    slowdown ended, and nothing looked slow any more.
    """

    def __init__(self, first, seconds, most=0.1):
        self._value = first
        self._seconds = seconds
        self._most = most
        self._last = now()
        self._count = 0

    @property
    def value(self):
        """The average."""
        return self._value

    @property
    def count(self):
        """How many samples it has taken in."""
        return self._count

    def set_initial(self, value):
        """Let `value` stand until the first sample."""
        if not self._count:
            self._value = value

    def add(self, sample):
        """Take in one sample."""
        moment = now()
        self._count += 1
        weight = min(self._most, (moment - self._last) / self._seconds)
        # The first samples count alike, lest the very first stand for all.
        weight = max(weight, 1.0 / self._count)
        self._value += weight * (sample - self._value)
        self._last = moment
