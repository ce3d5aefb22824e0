"""The adaptive limit: how many calls a backend server may run at once."""

from caperstack.clock import deadline_after, now

__all__ = ["FailureShare", "ServiceTimes", "SlotLimit"]

#: Weight of one sample in the fast and in the slow average of service times.
FAST_WEIGHT = 0.1
SLOW_WEIGHT = 0.005

#: A backend server is slowed once its fast average exceeds the slow one by this.
TOLERANCE = 2.0

#: The limit never falls below this share of the slots, so that a backend
#: server whose load is cured can show it.
LEAST_SHARE = 0.25

#: How long the limit rests after a change, in seconds.
REST_SECONDS = 0.1

#: Service time that is assumed before the first answer, in seconds.
FIRST_GUESS = 0.02


class ServiceTimes:
    """Recent service times of one backend server, calls still running included."""

    def __init__(self):
        self._fast = None
        self._slow = None
        self._started = {}

    @property
    def usual(self):
        """The slow average in seconds."""
        return FIRST_GUESS if self._slow is None else self._slow

    @property
    def recent(self):
        """The fast average in seconds, or the mean age of running calls if that is more.

        Notes
        -----
        A server that slows down answers late, so answers alone would show it
        late.  The age of the calls that still run shows it while they run.
        """
        fast = FIRST_GUESS if self._fast is None else self._fast
        if not self._started:
            return fast
        moment = now()
        ages = sum(moment - start for start in self._started.values()) / len(self._started)
        return max(fast, ages)

    def begin(self, number):
        """Note that call `number` starts now."""
        self._started[number] = now()

    def end(self, number, counts=True):
        """Note that call `number` ended; with `counts` its time is a sample."""
        elapsed = now() - self._started.pop(number)
        if not counts:
            return
        if self._fast is None:
            self._fast = self._slow = elapsed
            return
        self._fast += FAST_WEIGHT * (elapsed - self._fast)
        self._slow += SLOW_WEIGHT * (elapsed - self._slow)


class FailureShare:
    """The share of recent calls that failed."""

    def __init__(self):
        self._share = 0.0

    @property
    def percent(self):
        """The share as whole percent."""
        return int(self._share * 100)

    def add(self, failed):
        """Note one more call."""
        self._share += FAST_WEIGHT * (failed - self._share)


class SlotLimit:
    """The number of calls allowed at once, at most `slots`.

    Notes
    -----
    Slots that a noisy neighbour has taken do not show in any report, only in
    the service time.  While the recent service time is far above the usual
    one, the limit sinks by a tenth a step; it climbs by one a step when calls
    are quick again.
    """

    def __init__(self, slots, times):
        self._slots = slots
        self._times = times
        self._least = max(1, int(slots * LEAST_SHARE))
        self._limit = slots
        self._rest_until = 0.0

    @property
    def limit(self):
        """The calls that may run at once now."""
        return self._limit

    def start_cold(self):
        """Begin with the least limit and climb from there."""
        self._limit = self._least

    def adjust(self):
        """Take one step up or down if the last step is long enough ago."""
        if now() < self._rest_until:
            return
        self._rest_until = deadline_after(REST_SECONDS)
        if self._times.recent > TOLERANCE * self._times.usual:
            self._limit = max(self._least, int(self._limit * 0.9))
        elif self._limit < self._slots:
            self._limit += 1
