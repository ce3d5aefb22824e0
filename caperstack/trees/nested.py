"""Learn which routes the runs of the local backend server call."""

from dataclasses import dataclass

__all__ = ["NestedRoutes"]

#: Calls of a route that would have arrived while nothing ran, if they came from callers, from
#: which the route can be judged; with none of six, chance is one in four hundred.
MIN_EXPECTED_IDLE = 6.0

#: Share of them up to which a route counts as called by runs.  A run that was given up may
#: still make a call after its owner has forgotten it.
MAX_IDLE_SHARE = 0.15

#: Evidence beyond which both counts are halved, so that a route whose use has changed is
#: judged anew within as many calls.
MAX_EXPECTED_IDLE = 40.0

#: Largest number of routes that are judged; when it is reached, all are judged anew.
MAX_ROUTES = 500


@dataclass(slots=True)
class _Evidence:
    """Arrivals of one route while nothing ran: expected if callers made them, and counted."""

    expected: float = 0.0
    counted: float = 0.0


class NestedRoutes:
    """Tell calls that runs of the local backend server make from those of other callers.

    Notes
    -----
    Both come from the same host, to the same port.  A run's call arrives only while something
    runs; other callers' calls arrive as well while nothing does.  A server that is never idle
    shows no difference, so what was learnt before holds until the evidence changes.
    """

    def __init__(self):
        self._routes = {}

    def record(self, route, running, idle_share):
        """Record a call of `route` that arrives while `running` calls run.

        Parameters
        ----------
        route : str
            Name of the route.
        running : int
            Number of calls that the local backend server runs.
        idle_share : float
            Share of the last seconds in which it ran none.
        """
        evidence = self._routes.get(route)
        if evidence is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            evidence = self._routes[route] = _Evidence()
        evidence.expected += idle_share
        evidence.counted += not running
        if evidence.expected > MAX_EXPECTED_IDLE:
            evidence.expected /= 2
            evidence.counted /= 2

    def is_nested(self, route):
        """Return whether the local backend server's runs make the calls of `route`."""
        evidence = self._routes.get(route)
        if evidence is None or evidence.expected < MIN_EXPECTED_IDLE:
            return False
        return evidence.counted <= MAX_IDLE_SHARE * evidence.expected
