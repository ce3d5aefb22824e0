"""Split the calls of a route among services in proportion to their weights."""

__all__ = ["Splitter"]

#: Routes whose state is kept; a configuration has a few hundred with a split.
MAX_ROUTES = 1000


class Splitter:
    """Smooth weighted round robin, separately for each route.

    Notes
    -----
    Random sampling misses a weight of one tenth by a third over a hundred calls.
    Round robin is never off by more than one call.

    Examples
    --------
    >>> from caperstack.routing.table import Route, WeightedService
    >>> route = Route("/", (WeightedService("a", 3), WeightedService("b", 1)))
    >>> splitter = Splitter()
    >>> "".join(splitter.choose(route) for _ in range(8))
    'aabaaaba'
    """

    def __init__(self):
        self._credits = {}

    def choose(self, route):
        """Return the name of the service that the next call of `route` goes to."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.host, route.path, route.parts)
        credits = self._credits.get(key)
        if credits is None:
            if len(self._credits) >= MAX_ROUTES:
                self._credits.clear()
            credits = self._credits[key] = dict.fromkeys((p.service for p in route.parts), 0.0)
        for part in route.parts:
            credits[part.service] += part.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= sum(part.weight for part in route.parts)
        return chosen
