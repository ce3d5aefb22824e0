"""Averages over time that do not depend on the sample rate."""

from caperstack.clock import now

__all__ = ["TimeWeightedAverage"]


class TimeWeightedAverage:
    """An exponential moving average that weights a sample by the time since the last one.

    Parameters
    ----------
    initial : float
        Value before the first sample.
    seconds : float
        Time constant over which old samples fade.
    max_weight : float
        Greatest weight of one sample, so that a sample after a long gap does not
        replace the whole average.  The first samples, which are averaged with equal
        weights, may exceed it.

    Notes
    -----
    With a fixed weight per sample, old samples fade within half a second at
    hundreds of calls per second.  The times of a slowed server then become its
    baseline before the slowdown ends, and the slowdown is no longer visible.
    """

    def __init__(self, initial, seconds, max_weight=0.1):
        self._value = initial
        self._seconds = seconds
        self._max_weight = max_weight
        self._last = now()
        self._count = 0

    @property
    def value(self):
        """The current average."""
        return self._value

    @property
    def count(self):
        """Number of samples added."""
        return self._count

    def set_initial(self, value):
        """Replace the initial value; without effect after the first sample."""
        if not self._count:
            self._value = value

    def add(self, sample):
        """Update the average with one sample."""
        moment = now()
        self._count += 1
        weight = min(self._max_weight, (moment - self._last) / self._seconds)
        # Weight the first samples equally, so that the very first does not dominate.
        weight = max(weight, 1.0 / self._count)
        self._value += weight * (sample - self._value)
        self._last = moment
