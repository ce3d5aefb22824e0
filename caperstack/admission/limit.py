"""Service times, circuit breaker and adaptive concurrency limit of a backend server."""

import math

from caperstack.averages import TimeWeightedAverage
from caperstack.calls.model import initial_estimate_seconds
from caperstack.clock import deadline_after, now

__all__ = ["AdaptiveLimit", "CircuitBreaker", "ServiceTimes"]

#: Weight of one sample in the exponential averages of the recent service time and of the
#: failure share.
SAMPLE_WEIGHT = 0.1

#: Total of slot time, in seconds, beyond which the slot time recorded per route is halved:
#: some 100 calls of 200 ms, or 400 of 50 ms.
MAX_SLOT_SECONDS = 20.0

#: Time constants, in seconds, of the decay of the recent service time without calls: of its
#: excess over the baseline, and of the remainder, which decays to zero.
RECENT_DECAY_SECONDS = 0.2
IDLE_DECAY_SECONDS = 10.0

#: After a time without calls, a server whose last calls took more than this many times the
#: baseline is probed first, with at most `PROBE_CALLS` concurrent calls.
PROBE_THRESHOLD = 2.0
PROBE_CALLS = 2

#: Time constants in seconds of the medium-term average, and of a rise of the baseline.
MEDIUM_SECONDS = 1.0
BASELINE_RISE_SECONDS = 60.0

#: Time constant of a route's average service time in seconds, and the number of routes
#: tracked; when it is exceeded, all routes are discarded and learnt again.
ROUTE_SECONDS = 5.0
MAX_ROUTES = 500

#: Samples from which a route's average counts as reliable.
MIN_ROUTE_SAMPLES = 5

#: Number of first calls during which the baseline follows the medium-term average.
WARMUP_CALLS = 50

#: Ratio of recent service time to baseline from which a backend server counts as slow. With
#: heavy-tailed service times, the mean age of twenty running calls is often twice the
#: baseline by chance, rarely four times.
SLOW_FACTOR = 4.0

#: Lower bound of the adaptive limit as a share of its upper bound, so that a backend server
#: that has recovered gets enough calls to show it.
MIN_LIMIT_SHARE = 0.5

#: Least interval between two adjustments of the limit, in seconds.
ADJUST_SECONDS = 0.1

#: The circuit breaker opens at this failure share if it also exceeds the share at the other
#: servers of the service by the margin. While open it lets one call through as a probe per
#: `PROBE_SECONDS`.
OPEN_FAILURE_SHARE = 0.5
OPEN_MARGIN = 0.25
PROBE_SECONDS = 0.1

#: Time without calls over which the published failure share falls to zero, in seconds.
FAILURE_DECAY_SECONDS = 5.0

#: Service time assumed before the first call, in seconds, and the weight of each call's own
#: estimate until the first answer.
INITIAL_SECONDS = 0.02
ESTIMATE_WEIGHT = 0.2


class ServiceTimes:
    """Service times of one backend server, including calls that still run.

    Notes
    -----
    Times are divided by the host's slowdown at the start of the call, so that a server on a
    host in a slow phase does not itself appear slow.
    """

    def __init__(self):
        self._recent = None
        self._medium = TimeWeightedAverage(INITIAL_SECONDS, MEDIUM_SECONDS)
        self._baseline = INITIAL_SECONDS
        self._seeded = False
        self._slot_seconds = {}
        self._started = {}
        self._routes = {}
        self._last_end = now()

    @property
    def known(self):
        """Whether any call has been answered."""
        return self._recent is not None

    @property
    def baseline(self):
        """Normal service time in seconds.

        Notes
        -----
        It follows the medium-term average down at once and up slowly.  A plain average would
        soon take a lasting slowdown for normal.
        """
        return self._baseline

    @property
    def recent(self):
        """Recent average in seconds, or the mean age of running calls if that is greater.

        Notes
        -----
        A server that slows down answers late, so answers alone would reveal the slowdown
        late.  The age of running calls reveals it while they run.
        """
        recent = self._decayed_average()
        if not self._started:
            return recent
        moment = now()
        ages = sum((moment - start) / slowdown for start, slowdown, _ in self._started.values())
        ages /= len(self._started)
        return max(recent, ages)

    @property
    def warmed_up(self):
        """Whether enough calls were answered for a reliable baseline."""
        return self._medium.count > WARMUP_CALLS

    @property
    def needs_probing(self):
        """Whether the last calls were slow, but so long ago that the server may have recovered."""
        if self._recent is None or now() - self._last_end < RECENT_DECAY_SECONDS:
            return False
        return self._recent > PROBE_THRESHOLD * self._baseline

    def restart(self):
        """Reset the recent average to the baseline, since the backend server has restarted."""
        self._recent = self._baseline if self.known else None

    def _decayed_average(self):
        # A slow server gets no calls, so nothing would show its recovery and it would stay
        # idle permanently. The average therefore decays until entries send calls again, of
        # which `PROBE_CALLS` at a time probe the server.
        if self._recent is None:
            return self._baseline
        idle = now() - self._last_end
        excess = (self._recent - self._baseline) * math.exp(-idle / RECENT_DECAY_SECONDS)
        return self._baseline * math.exp(-idle / IDLE_DECAY_SECONDS) + excess

    def seed(self, call):
        """Adjust the baseline to the estimate for `call`, until the first answer."""
        estimate = initial_estimate_seconds(call)
        if self.known or not estimate:
            return
        weight = ESTIMATE_WEIGHT if self._seeded else 1.0
        self._baseline += weight * (estimate - self._baseline)
        self._seeded = True

    def service_seconds(self, call):
        """Return the expected service time of `call` in seconds."""
        average = self._routes.get(call.route)
        if average is not None:
            return average.value
        return initial_estimate_seconds(call) or self._baseline

    @property
    def median_slot_seconds(self):
        """Slot-weighted median of the routes' service times, in seconds; 0 at first.

        Notes
        -----
        This is the typical service time of a call that occupies a slot at a random moment.
        The median is weighted by slot time, since short calls may be the majority while long
        ones occupy most slots.  With a mean, a few calls of several seconds would make all
        others count as short.
        """
        times = sorted((self._routes[r].value, s) for r, s in self._slot_seconds.items())
        half = sum(self._slot_seconds.values()) / 2
        for seconds, slot_seconds in times:
            half -= slot_seconds
            if half <= 0:
                return seconds
        return 0.0

    def route_seconds(self, route):
        """Return the average service time of `route` in seconds, or 0 with too few samples."""
        average = self._routes.get(route)
        return average.value if average and average.count >= MIN_ROUTE_SAMPLES else 0.0

    def begin(self, key, slowdown=1.0, route=""):
        """Record that the call `key` starts now, with the host's slowdown factor `slowdown`."""
        self._started[key] = (now(), slowdown, route)

    def end(self, key, counts=True):
        """Record that the call `key` ended.

        Parameters
        ----------
        key : hashable
            The call's key.
        counts : bool, optional
            Whether its time is a sample of the service time.

        Returns
        -------
        float
            Ratio of its time to the average of its route so far; 0 if that has too few samples,
            or if the call does not count.
        """
        start, slowdown, route = self._started.pop(key)
        elapsed = (now() - start) / slowdown
        if not counts:
            return 0.0
        baseline = self.route_seconds(route)
        self._learn_route(route, elapsed)
        recent = elapsed if self._recent is None else self._decayed_average()
        self._recent = recent + SAMPLE_WEIGHT * (elapsed - recent)
        self._medium.add(elapsed)
        gap = self._medium.value - self._baseline
        seconds = now() - self._last_end
        follow = gap < 0 or self._medium.count <= WARMUP_CALLS
        self._baseline += gap if follow else gap * min(1.0, seconds / BASELINE_RISE_SECONDS)
        self._last_end = now()
        return elapsed / baseline if baseline else 0.0

    def _learn_route(self, route, elapsed):
        average = self._routes.get(route)
        if average is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
                self._slot_seconds.clear()
            average = self._routes[route] = TimeWeightedAverage(elapsed, ROUTE_SECONDS)
        average.add(elapsed)
        self._slot_seconds[route] = self._slot_seconds.get(route, 0.0) + elapsed
        if sum(self._slot_seconds.values()) > MAX_SLOT_SECONDS:
            self._slot_seconds = {r: s / 2 for r, s in self._slot_seconds.items()}


class CircuitBreaker:
    """Circuit breaker on the share of recent calls that failed.

    Notes
    -----
    A server that fails fast has free slots and the shortest service time, and so attracts
    more and more calls.  While most of its calls fail, the owner refuses further ones,
    except for a few as probes.  A refusal proves that the call did not run, and costs no
    retry.  A call that has no other server left is admitted all the same: when all servers
    fail, their own errors tell the caller more than a refusal.

    The breaker stays closed while the other servers fail about as often.  If nested calls
    to another service fail, all servers of this service answer with errors.  Their breakers
    would open one after the other although the servers are healthy, and these servers would
    be idle while the others are full.
    """

    def __init__(self):
        self._share = 0.0
        self._added_at = 0.0
        self._probe_at = 0.0

    @property
    def failure_percent(self):
        """Published failure share in whole percent; it falls to zero without calls.

        Notes
        -----
        A server can show its recovery only by answering calls, and gets none while it is
        reported to fail more often than others.
        """
        faded = max(0.0, 1.0 - (now() - self._added_at) / FAILURE_DECAY_SECONDS)
        return int(self._share * faded * 100)

    def admits(self, others_share):
        """Return whether a call that has other servers left may run here.

        Parameters
        ----------
        others_share : callable
            ``others_share()`` returns the failure share at the other servers of the service;
            it is called only if this server fails often.
        """
        if self._share < OPEN_FAILURE_SHARE or self._share < others_share() + OPEN_MARGIN:
            return True
        if now() < self._probe_at:
            return False
        self._probe_at = deadline_after(PROBE_SECONDS)
        return True

    def restart(self):
        """Close the breaker, after the backend server was replaced or restarted."""
        self._share = 0.0
        self._probe_at = 0.0

    def add(self, failed):
        """Record whether one more call failed."""
        self._added_at = now()
        self._share += SAMPLE_WEIGHT * (failed - self._share)


class AdaptiveLimit:
    """Adaptive concurrency limit of a backend server.

    Parameters
    ----------
    slots : int
        Upper bound and initial value of the limit.
    times : ServiceTimes
        Service times of the backend server.

    Notes
    -----
    Capacity that a noisy neighbour takes is not reported; it shows only in the service time.
    While the recent service time is far above the baseline, each step lowers the limit by a
    tenth; otherwise each step raises it by one.
    """

    def __init__(self, slots, times):
        self._slots = slots
        self._times = times
        self._min_limit = max(1, int(slots * MIN_LIMIT_SHARE))
        self._limit = slots
        self._next_adjustment = 0.0

    @property
    def limit(self):
        """Number of calls that may run concurrently now."""
        return min(PROBE_CALLS, self._limit) if self._times.needs_probing else self._limit

    def resize(self, slots):
        """Set the upper bound of the limit; a change also resets the limit to it."""
        if slots != self._slots:
            self._slots = self._limit = slots
            self._min_limit = max(1, int(slots * MIN_LIMIT_SHARE))

    def start_cold(self):
        """Begin with the lowest limit and rise from there."""
        self._limit = self._min_limit

    def adjust(self):
        """Move the limit one step up or down, unless the last step was too recent."""
        if now() < self._next_adjustment:
            return
        self._next_adjustment = deadline_after(ADJUST_SECONDS)
        # Before the baseline is reliable, calls that exceed the initial estimate would all
        # look slow, and half the slots of a new owner would stay empty.
        if self._times.warmed_up and self._times.recent > SLOW_FACTOR * self._times.baseline:
            self._limit = max(self._min_limit, int(self._limit * 0.9))
        elif self._limit < self._slots:
            self._limit += 1
