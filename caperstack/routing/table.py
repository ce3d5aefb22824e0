"""Routing table: routes by host and path prefix, and the settings of each service."""

from dataclasses import dataclass, field

__all__ = ["ANY_HOST", "EffectiveService", "Route", "RoutingTable", "WeightedService"]

#: The host of a route that matches every Host header.
ANY_HOST = ""

#: Default number of backend servers that one call may be sent to.
DEFAULT_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in the split of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route: how calls with one host and path prefix are handled.

    Attributes
    ----------
    path : str
        The prefix, by whole segments: ``/book`` does not match ``/bookings``, and
        ``/book/`` does not match ``/book``.
    parts : tuple of WeightedService
        The services among which the traffic is split; one for most routes.
    methods : tuple of str
        The HTTP methods that the route matches; empty for all.
    idempotent : bool or None
        Whether calls may run more than once; ``None`` derives it from the method.
    criticality : int
        Under overload, calls of routes with a lower value are refused first.
    deadline_seconds : float
        The longest time that a caller waits, in seconds.
    objective_seconds : float
        The latency objective in seconds, within which an answer is worth most; the
        deadline if the configuration gives none.
    attempts : int
        The most backend servers that one call may be sent to.
    """

    path: str
    parts: tuple
    name: str = ""
    host: str = ANY_HOST
    methods: tuple = ()
    idempotent: bool | None = None
    criticality: int = 1
    deadline_seconds: float = 5.0
    objective_seconds: float = 5.0
    attempts: int = DEFAULT_ATTEMPTS

    @property
    def service(self):
        """The first service; the only one for a route without a split."""
        return self.parts[0].service

    def allows(self, method, path):
        """Return whether the route matches `method`, and `path` if its prefix ends in a slash."""
        if self.path.endswith("/") and not path.startswith(self.path):
            return False
        return not self.methods or method in self.methods


@dataclass(frozen=True, slots=True)
class EffectiveService:
    """The settings of a service with all defaults filled in."""

    policy: str = "load_aware"
    retry_share: float = 0.1
    hedge_share: float = 0.04
    refusals_per_call: int = 3
    measuring_per_second: float = 1.0
    key_window_seconds: float = 120.0


@dataclass(slots=True)
class RoutingTable:
    """Routes, settings of services, and the rejected subtrees of the settings.

    Attributes
    ----------
    routes : dict
        Lists of `Route` by host and path prefix.
    services : dict
        The `EffectiveService` of each service by its name.
    problems : dict
        The reasons why a subtree was rejected, as a list by its path.
    evacuated_zones : frozenset of str
        The zones whose backend servers get no new calls.
    """

    routes: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    problems: dict = field(default_factory=dict)
    evacuated_zones: frozenset = frozenset()

    def add(self, route):
        """Add a `Route`; for equal prefixes, routes restricted to methods take precedence."""
        key = (route.host.lower(), _path_key(route.path))
        found = self.routes.setdefault(key, [])
        found.append(route)
        found.sort(key=lambda r: not r.methods)

    def route(self, method, path, host=ANY_HOST):
        """Return the `Route` with the longest prefix of `path` that matches `method`.

        Parameters
        ----------
        method, path : str
            The method and path of the request, without the query string.
        host : str
            The Host header; routes of that host take precedence over those of any host.

        Returns
        -------
        Route or None
        """
        parts = path.split("/")
        for name in dict.fromkeys((_host_key(host), ANY_HOST)):
            for length in range(len(parts), 0, -1):
                for route in self.routes.get((name, "/".join(parts[:length]) or "/"), ()):
                    if route.allows(method, path):
                        return route
        return None


def _path_key(path):
    return path.rstrip("/") or "/"


def _host_key(host):
    name, colon, port = host.lower().rpartition(":")
    return name if colon and port.isdigit() else host.lower()
