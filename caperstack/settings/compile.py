"""Compile subtrees into the routing table: routes, and services with defaults applied."""

from dataclasses import fields, replace

from caperstack.config.tree import Criticality, RouteSettings, parse_subtree
from caperstack.routing.table import EffectiveService, Route, RoutingTable, WeightedService

__all__ = ["TreeCodec", "compile_tree", "parent_of"]


class TreeCodec:
    """Parse and compile subtrees for `caperstack.settings.store.SettingsStore`."""

    def parse(self, path, document):
        """Return `document` parsed as a `caperstack.config.tree.Subtree`."""
        return parse_subtree(path, document)

    def is_overtaken(self, held, revision, document):
        """Return whether `document` may be outdated despite its higher revision: never here."""
        return False

    def compile(self, subtrees):
        """Return the `RoutingTable` compiled from `subtrees`, a dict by path."""
        return compile_tree(subtrees)

    def affects_routes(self, path):
        """Return whether subtree `path` affects the routing table: always true here."""
        return True

    def dates_routes(self, path):
        """Return whether `SettingsStore.routes_revision` covers `path`: always true here."""
        return True

    def complete(self, subtrees):
        """Return whether all routes are known: always true, since a tree may have none."""
        return True


def parent_of(path):
    """Return the path of the parent subtree; ``None`` for the root."""
    if not path:
        return None
    return path.rpartition("/")[0]


def compile_tree(subtrees):
    """Return the `RoutingTable` compiled from subtrees.

    Parameters
    ----------
    subtrees : dict of str to caperstack.config.tree.Subtree
        The subtrees in force, by path.

    Notes
    -----
    The result depends on the subtrees only, not on the order in which they were
    received, so that nodes with the same revisions route alike.
    """
    table = RoutingTable()
    if "" in subtrees:
        table.evacuated_zones = frozenset(subtrees[""].evacuated_zones)
    defaults = {}
    bounds = {}
    for path in sorted(subtrees, key=lambda p: (p.count("/") + bool(p), p)):
        subtree = subtrees[path]
        parent = parent_of(path)
        problems = _grant_violations(
            path, subtree, subtrees.get(parent) if parent is not None else None
        )
        inherited = EffectiveService() if parent is None else defaults.get(parent)
        if inherited is None:
            problems.append("the parent subtree is missing")
            inherited = EffectiveService()
        ceiling = _tightened_bounds(bounds.get(parent, {}), subtree.bounds)
        bounds[path] = ceiling
        defaults[path] = _merged_service(inherited, subtree.defaults, ceiling)
        if problems:
            table.problems[path] = problems
            continue
        for name, settings in subtree.services.items():
            table.services[name] = _merged_service(defaults[path], settings, ceiling)
        for route in subtree.routes:
            table.add(_route(route))
    return table


def _route(settings: RouteSettings):
    objective = settings.objective_seconds or settings.deadline_seconds
    shares = settings.split or {settings.service: 1.0}
    return Route(
        path=settings.path,
        host=settings.host,
        parts=tuple(WeightedService(name, weight) for name, weight in shares.items()),
        methods=tuple(method.upper() for method in settings.methods),
        idempotent=settings.idempotent,
        criticality=Criticality[settings.criticality],
        deadline_seconds=settings.deadline_seconds,
        objective_seconds=objective,
        attempts=settings.attempts,
    )


def _grant_violations(path, subtree, parent):
    """Return how `subtree` exceeds the grant of its parent, a list of reasons."""
    if not path:
        return []
    if parent is None:
        return ["the parent subtree is missing"]
    grant = parent.teams.get(path.rpartition("/")[2])
    if grant is None:
        return ["the parent subtree grants this team nothing"]
    if subtree.evacuated_zones:
        return ["evacuated_zones: only the root subtree evacuates zones"]
    services = set(subtree.services)
    for route in subtree.routes:
        services |= set(route.split) or {route.service}
    for child in subtree.teams.values():
        services |= set(child.services)
    paths = [route.path for route in subtree.routes]
    paths += [prefix for child in subtree.teams.values() for prefix in child.routes]
    return [
        f"service {name} is outside the subtree" for name in sorted(services - set(grant.services))
    ] + [f"route {p} is outside the subtree" for p in paths if not _is_granted(p, grant.routes)]


def _is_granted(path, prefixes):
    return any(
        path == prefix.rstrip("/") or path.startswith(prefix.rstrip("/") + "/")
        for prefix in prefixes
    )


def _tightened_bounds(ceiling, bounds):
    """Return the lower of the parent's and the subtree's own ceilings by setting, a dict."""
    result = dict(ceiling)
    for name, value in bounds.model_dump(exclude_none=True).items():
        result[name] = min(value, result.get(name, value))
    return result


def _merged_service(base, settings, ceiling):
    """Return `base` overridden by `settings`, with each value limited by `ceiling`."""
    changes = settings.model_dump(exclude_none=True)
    merged = replace(base, **changes)
    lowered = {
        f.name: min(getattr(merged, f.name), ceiling[f.name])
        for f in fields(merged)
        if f.name in ceiling
    }
    return replace(merged, **lowered)
