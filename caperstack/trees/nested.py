"""Learn which routes the runs of the local backend server call."""

from dataclasses import dataclass

from caperstack.clock import now

__all__ = ["MAX_ROUTES", "NestedRoutes"]

#: Least length of a window in which a route's arrivals are compared with the idle time, in
#: seconds.  It is of the order of a run, so that few windows see a change of the load.
WINDOW_SECONDS = 0.5

#: Greatest number of calls that one window may add to the evidence.  The calls that arrive
#: during the same run are no independent evidence.
MAX_CALLS_PER_WINDOW = 2.0

#: Calls of a route that would have arrived while nothing ran, if they came from callers, from
#: which the route can be judged; with none of six, chance is one in four hundred.
MIN_EXPECTED_IDLE = 6.0

#: Share of the further ones that may arrive while nothing runs.  A run that was given up may
#: still make a call after its owner has forgotten it.
MAX_IDLE_SHARE = 0.15

#: Evidence beyond which both counts are halved, so that a route whose use has changed is
#: judged anew within as many calls.
MAX_EXPECTED_IDLE = 40.0

#: Largest number of routes that are judged; when it is reached, all are judged anew.
MAX_ROUTES = 500


@dataclass(slots=True)
class _Evidence:
    """Arrivals of one route, and those of them while nothing ran.

    Attributes
    ----------
    began_at, idle_seconds : float
        When the current window began, and the total idle time until then.
    arrivals, idle_arrivals : int
        Calls in the current window, and those of them that arrived while nothing ran.
    expected, counted : float
        Arrivals while nothing ran in earlier windows: expected if callers made them, and
        counted.
    """

    began_at: float
    idle_seconds: float
    arrivals: int = 0
    idle_arrivals: int = 0
    expected: float = 0.0
    counted: float = 0.0

    def close_window(self, moment, idle_seconds):
        """Add the current window to the counts and begin the next one."""
        idle_share = (idle_seconds - self.idle_seconds) / (moment - self.began_at)
        self.expected += min(MAX_CALLS_PER_WINDOW, self.arrivals * idle_share)
        self.counted += min(MAX_CALLS_PER_WINDOW, self.idle_arrivals)
        if self.expected > MAX_EXPECTED_IDLE:
            self.expected /= 2
            self.counted /= 2
        self.began_at, self.idle_seconds = moment, idle_seconds
        self.arrivals = self.idle_arrivals = 0


class NestedRoutes:
    """Tell calls that runs of the local backend server make from those of other callers.

    Notes
    -----
    Both come from the same host, to the same port.  A run's call arrives only while something
    runs; other callers' calls arrive as well while nothing does.  A server that is never idle
    shows no difference, so what was learnt before holds until the evidence changes.

    Arrivals are compared with the idle time of the same window.  Against an average over a
    longer time, all callers' calls would look nested while a burst or one long run keeps a
    server busy that was idle before.
    """

    def __init__(self):
        self._routes = {}

    def record(self, route, running, idle_seconds):
        """Record a call of `route` that arrives while `running` calls run.

        Parameters
        ----------
        route : str
            Name of the route.
        running : int
            Number of calls that the local backend server runs.
        idle_seconds : float
            Total time in which it ran none, in seconds.
        """
        moment = now()
        evidence = self._routes.get(route)
        if evidence is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            self._routes[route] = _Evidence(moment, idle_seconds)
            return
        evidence.arrivals += 1
        evidence.idle_arrivals += not running
        if moment - evidence.began_at >= WINDOW_SECONDS:
            evidence.close_window(moment, idle_seconds)

    def is_nested(self, route):
        """Return whether the local backend server's runs make the calls of `route`."""
        evidence = self._routes.get(route)
        if evidence is None:
            return False
        return evidence.expected >= MIN_EXPECTED_IDLE + evidence.counted / MAX_IDLE_SHARE
