"""From subtrees to what a node looks up: routes and services with defaults filled in."""

from dataclasses import dataclass, field, fields, replace

from caperstack.config.tree import RouteSettings

__all__ = ["EffectiveService", "RoutingTable", "compile_tree", "parent_of"]


@dataclass(frozen=True, slots=True)
class EffectiveService:
    """How a service is called, every field set."""

    policy: str = "load_aware"
    retry_share: float = 0.1
    hedge_share: float = 0.04
    refusals_per_call: int = 3
    measuring_per_second: float = 1.0
    key_window_seconds: float = 120.0


@dataclass(slots=True)
class RoutingTable:
    """Routes by prefix, services by name, and what was left out and why."""

    routes: dict = field(default_factory=dict)
    lengths: list = field(default_factory=list)
    services: dict = field(default_factory=dict)
    problems: dict = field(default_factory=dict)

    def route(self, method, path):
        """Return the route with the longest prefix of `path` that allows `method`.

        Notes
        -----
        A prefix ends at a slash: ``/book`` is no prefix of ``/bookings``.
        """
        parts = path.split("/")
        for length in range(len(parts), 0, -1):
            candidates = self.routes.get("/".join(parts[:length]) or "/", ())
            for route in candidates:
                if not route.methods or method in route.methods:
                    return route
        return None


def parent_of(path):
    """Return the path of the parent subtree; ``None`` for the root."""
    if not path:
        return None
    return path.rpartition("/")[0]


def compile_tree(subtrees):
    """Return the `RoutingTable` of subtrees.

    Parameters
    ----------
    subtrees : dict of str to caperstack.config.tree.Subtree
        The subtrees in force, by path.

    Notes
    -----
    The result depends on the subtrees alone, not on the order in which they
    came, so that nodes with the same revisions do the same.
    """
    table = RoutingTable()
    defaults = {}
    bounds = {}
    for path in sorted(subtrees, key=lambda p: (p.count("/") + bool(p), p)):
        subtree = subtrees[path]
        parent = parent_of(path)
        problems = _outside(path, subtree, subtrees.get(parent) if parent is not None else None)
        inherited = EffectiveService() if parent is None else defaults.get(parent)
        if inherited is None:
            problems.append("the parent subtree is missing")
            inherited = EffectiveService()
        ceiling = _tightened(bounds.get(parent, {}), subtree.bounds)
        bounds[path] = ceiling
        defaults[path] = _merged(inherited, subtree.defaults, ceiling)
        if problems:
            table.problems[path] = problems
            continue
        for name, settings in subtree.services.items():
            table.services[name] = _merged(defaults[path], settings, ceiling)
        _add_routes(table, path, subtree.routes)
    return table


def _add_routes(table, path, routes):
    for route in routes:
        key = route.path.rstrip("/") or "/"
        table.routes.setdefault(key, []).append(_with_upper_methods(route))
    for candidates in table.routes.values():
        candidates.sort(key=lambda route: not route.methods)


def _with_upper_methods(route: RouteSettings):
    return route.model_copy(update={"methods": tuple(m.upper() for m in route.methods)})


def _outside(path, subtree, parent):
    """Return what `subtree` claims beyond its grant, a list of reasons."""
    if not path:
        return []
    if parent is None:
        return ["the parent subtree is missing"]
    grant = parent.teams.get(path.rpartition("/")[2])
    if grant is None:
        return ["the parent subtree grants this team nothing"]
    services = set(subtree.services) | {route.service for route in subtree.routes}
    for child in subtree.teams.values():
        services |= set(child.services)
    paths = [route.path for route in subtree.routes]
    paths += [prefix for child in subtree.teams.values() for prefix in child.routes]
    return [
        f"service {name} is outside the subtree" for name in sorted(services - set(grant.services))
    ] + [f"route {p} is outside the subtree" for p in paths if not _granted(p, grant.routes)]


def _granted(path, prefixes):
    return any(
        path == prefix.rstrip("/") or path.startswith(prefix.rstrip("/") + "/")
        for prefix in prefixes
    )


def _tightened(ceiling, bounds):
    """Return the lower of the parent's and the subtree's own ceilings."""
    result = dict(ceiling)
    for name, value in bounds.model_dump(exclude_none=True).items():
        result[name] = min(value, result.get(name, value))
    return result


def _merged(base, settings, ceiling):
    changes = settings.model_dump(exclude_none=True)
    merged = replace(base, **changes)
    lowered = {
        f.name: min(getattr(merged, f.name), ceiling[f.name])
        for f in fields(merged)
        if f.name in ceiling
    }
    return replace(merged, **lowered)
