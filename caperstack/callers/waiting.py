"""How long callers of a route wait in all, and so how long one has waited already."""

import math
from dataclasses import dataclass

__all__ = ["WaitEstimator"]

#: Times left that differ by less than this factor are told as one class.
BUCKET_RATIO = 1.05

#: A class that holds this share of the calls belongs to first tries, and so do
#: those next below it that hold as much: callers of one kind differ in patience
#: by a sixth or so.  Callers who come back have all kinds of time left.
FIRST_TRY_SHARE = 0.1

#: Calls before which nothing is known.
MIN_CALLS = 20

#: Calls after which old ones count half.
HALVE_AT_CALLS = 400

#: Routes that are told apart; beyond that they are learnt anew.
MAX_ROUTES = 500


@dataclass(slots=True)
class _Bucket:
    """Calls with about the same time left: how many, and the sum of it in seconds."""

    calls: float = 0.0
    seconds: float = 0.0

    def add(self, seconds):
        self.calls += 1
        self.seconds += seconds

    def halve(self):
        self.calls /= 2
        self.seconds /= 2


class WaitEstimator:
    """Tell callers who come back from those who ask for the first time.

    Notes
    -----
    Which load it answers: after an outage all callers come back at once, and
    whoever asks for the first time waits behind them.  A caller's objective
    counts from its first try, so one who comes back after a refusal can rarely
    be in time.  How much less time it has left than usual tells how long it
    has waited already.

    Classes are by ratio, not by seconds.  Failure: with classes of 50 ms first
    tries with 1.3 to 1.5 s left counted as callers who had waited for up to
    0.2 of their 0.6 s, and one with 0.2 s left of 0.4 as a first try.

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
        """Return how long a caller with `time_left` seconds has waited, in seconds."""
        classes = self._routes.get(route)
        if classes is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            classes = self._routes[route] = {}
        step = math.floor(math.log(max(time_left, 0.001), BUCKET_RATIO))
        classes.setdefault(step, _Bucket()).add(time_left)
        total = sum(one.calls for one in classes.values())
        if total < MIN_CALLS:
            return 0.0
        first_tries = _first_tries(classes, FIRST_TRY_SHARE * total)
        if total >= HALVE_AT_CALLS:
            _halve(classes)
        if not first_tries or step >= min(first_tries) - 1:
            return 0.0
        usual = sum(classes[s].seconds for s in first_tries)
        usual /= sum(classes[s].calls for s in first_tries)
        return round(usual - time_left, 3)


def _first_tries(classes, least):
    """Return the steps of the highest class of at least `least` calls and of those next to it."""
    steps = []
    for step in sorted((s for s, one in classes.items() if one.calls >= least), reverse=True):
        if steps and step < steps[-1] - 1:
            break
        steps.append(step)
    return steps


def _halve(classes):
    for step in list(classes):
        classes[step].halve()
        if classes[step].calls < 1:
            del classes[step]
