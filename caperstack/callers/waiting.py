"""Estimate how long retrying callers have waited since their first try."""

import math
from dataclasses import dataclass

__all__ = ["WaitEstimator"]

#: Ratio between the upper and lower bound of a bucket of times left.
BUCKET_RATIO = 1.05

#: First tries are the calls in the highest bucket with at least this share of all calls,
#: and in the adjacent lower buckets with at least this share, because the timeouts of
#: callers of one kind differ by about a sixth.  The times left of retries are spread
#: over a wider range.
FIRST_TRY_SHARE = 0.1

#: Number of calls of a route before retries are estimated.
MIN_CALLS = 20

#: Number of calls of a route at which the counts of all buckets are halved, so that
#: older calls weigh less.
HALVE_AT_CALLS = 400

#: Maximum number of routes; when it is exceeded, the counts of all routes are dropped.
MAX_ROUTES = 500


@dataclass(slots=True)
class _Bucket:
    """Calls with about the same time left.

    Attributes
    ----------
    calls : float
        Number of calls, where older ones count less.
    seconds : float
        Sum of their times left, in seconds.
    """

    calls: float = 0.0
    seconds: float = 0.0

    def add(self, seconds):
        self.calls += 1
        self.seconds += seconds

    def halve(self):
        self.calls /= 2
        self.seconds /= 2


class WaitEstimator:
    """Distinguish retries from first tries by the time that callers have left.

    Notes
    -----
    After an outage all callers retry at once, and first tries queue behind the
    retries.  A caller's objective counts from its first try, so a retry after a
    refusal can rarely meet it.  A retry has less time left than the first tries
    of the same route, and the difference is how long its caller has waited.

    The bounds of the buckets have a constant ratio instead of a constant difference.
    With buckets of 50 ms, first tries with 1.3 to 1.5 s left were taken for retries that
    had waited for up to 0.2 s of an objective of 0.6 s, and a retry with 0.2 s left of a
    timeout of 0.4 s was taken for a first try.

    Examples
    --------
    >>> estimator = WaitEstimator()
    >>> for _ in range(50):
    ...     wait = estimator.elapsed_wait("route", 4.0)
    >>> estimator.elapsed_wait("route", 3.0)
    1.0
    """

    def __init__(self):
        self._routes = {}

    def elapsed_wait(self, route, time_left):
        """Record a call, and return how long its caller has waited since its first try.

        Parameters
        ----------
        route : str
            Name of the route.
        time_left : float
            Seconds for which the caller still waits.

        Returns
        -------
        float
            Seconds; 0 for a first try, or if the route has too few calls.
        """
        buckets = self._routes.get(route)
        if buckets is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            buckets = self._routes[route] = {}
        index = math.floor(math.log(max(time_left, 0.001), BUCKET_RATIO))
        buckets.setdefault(index, _Bucket()).add(time_left)
        total = sum(bucket.calls for bucket in buckets.values())
        if total < MIN_CALLS:
            return 0.0
        first_tries = _first_tries(buckets, FIRST_TRY_SHARE * total)
        if total >= HALVE_AT_CALLS:
            _halve(buckets)
        # The bucket directly below those of first tries is counted among them.
        if not first_tries or index >= min(first_tries) - 1:
            return 0.0
        mean = sum(buckets[i].seconds for i in first_tries)
        mean /= sum(buckets[i].calls for i in first_tries)
        return round(mean - time_left, 3)


def _first_tries(buckets, min_calls):
    """Return the indices of the buckets that belong to first tries, highest first.

    These are the highest bucket with at least `min_calls` calls and the adjacent lower
    ones with as many.
    """
    indices = []
    for index in sorted((i for i, b in buckets.items() if b.calls >= min_calls), reverse=True):
        if indices and index < indices[-1] - 1:
            break
        indices.append(index)
    return indices


def _halve(buckets):
    for index in list(buckets):
        buckets[index].halve()
        if buckets[index].calls < 1:
            del buckets[index]
