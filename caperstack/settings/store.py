"""The settings in force: the highest good revision of each team's subtree."""

from dataclasses import dataclass, field

from caperstack.clock import wall_microseconds
from caperstack.exception import ConfigurationError
from caperstack.routing.table import ANY_HOST, EffectiveService
from caperstack.settings.digest import RevisionDigest, bucket_of
from caperstack.settings.revisions import format_revision

__all__ = ["HeldSubtree", "SettingsStore"]

#: The default of a service that no subtree names.
NO_SETTINGS = EffectiveService()


@dataclass(slots=True)
class HeldSubtree:
    """A subtree as held: the revision in force and the one last refused."""

    path: str
    revision: int = -1
    document: dict | None = None
    parsed: object = None
    since_us: int = 0
    source: str = ""
    refused_revision: int = -1
    refused_reason: str = ""
    problems: list = field(default_factory=list)

    @property
    def deleted(self):
        """Whether the revision in force is a deletion."""
        return self.revision >= 0 and self.document is None


class SettingsStore:
    """All subtrees that this node holds, and what follows from them.

    Notes
    -----
    A subtree's revision only ever rises here, deletions included: a lower one
    is ignored whoever sends it.  A subtree is taken whole or refused whole; a
    refused one leaves the last good in force and other teams untouched.

    Parameters
    ----------
    codec : object
        With ``parse(path, document)``, ``is_overtaken(held, revision, document)``,
        ``compile(parsed by path)``, ``affects_routes(path)``, ``dates_routes(path)`` and
        ``complete(parsed by path)``.
    initial : dict, optional
        Documents by path that came with the start settings.
    """

    def __init__(self, codec, initial=None):
        self._codec = codec
        self._held = {}
        self._initial = initial or {}
        self._listeners = []
        self._digest = RevisionDigest()
        self._routes_revision = -1
        self._table = codec.compile({})
        self._events = None

    async def start(self, kernel):
        """Take the settings that came with the start settings, at revision 0."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        for path, document in self._initial.items():
            self.take(path, 0, document, "start settings")

    async def stop(self):
        """Nothing to stop."""

    def listen(self, listener):
        """Call ``listener(held)`` after each change."""
        self._listeners.append(listener)

    @property
    def known(self):
        """Whether enough is held that a missing route is missing for certain."""
        return self._codec.complete(self._parsed())

    @property
    def routes_revision(self):
        """The revision of the settings that the routes follow from, for the log."""
        return self._routes_revision

    @property
    def revisions(self):
        """The revision in force of each subtree, a dict."""
        return {path: held.revision for path, held in self._held.items() if held.revision >= 0}

    @property
    def digest(self):
        """The `caperstack.settings.digest.RevisionDigest` of the revisions in force."""
        return self._digest

    def revisions_in(self, buckets):
        """Return the revisions in force of the subtrees in those buckets, a dict."""
        wanted = frozenset(buckets)
        return {p: r for p, r in self.revisions.items() if bucket_of(p) in wanted}

    def held(self):
        """Return all `HeldSubtree` subtrees, by path."""
        return [self._held[path] for path in sorted(self._held)]

    def get(self, path):
        """Return the `HeldSubtree` subtree of that path, or ``None``."""
        return self._held.get(path)

    def wants(self, path, revision):
        """Return whether a body of that revision would be news."""
        held = self._held.get(path)
        if held is None:
            return True
        return revision > held.revision and revision != held.refused_revision

    def take(self, path, revision, document, source):
        """Take over a subtree's revision if it is higher; return whether it is in force now.

        Parameters
        ----------
        path : str
            The subtree, ``""`` for the root.
        revision : int
            Where the document stands in the order of all that was written there.
        document : dict or None
            The decoded JSON value; ``None`` for a deletion.
        source : str
            Who it came from.
        """
        if not self.wants(path, revision):
            return False
        held = self._held.setdefault(path, HeldSubtree(path))
        try:
            if self._codec.is_overtaken(held, revision, document):
                return False
            parsed = None if document is None else self._codec.parse(path, document)
        except ConfigurationError as error:
            self._refuse(held, revision, str(error))
            return False
        self._digest.change(path, held.revision, revision)
        if self._codec.dates_routes(path):
            self._routes_revision = max(self._routes_revision, revision)
        held.revision = revision
        held.document = document
        held.parsed = parsed
        held.source = source
        held.since_us = wall_microseconds()
        self._metrics.count("settings_changes")
        self._events.state(f"settings {path or '/'}", "older", format_revision(revision), source)
        if self._codec.affects_routes(path):
            self._compile()
        for listener in self._listeners:
            listener(held)
        return True

    def _refuse(self, held, revision, reason):
        told = held.refused_reason == reason
        held.refused_revision = revision
        held.refused_reason = reason
        self._metrics.count("settings_refused")
        if told:
            # One line for a fault, not one for each time that it is written again.
            return
        self._events.state(f"settings {held.path or '/'}", "offered", f"refused: {reason}")

    def _parsed(self):
        return {path: h.parsed for path, h in self._held.items() if h.parsed is not None}

    def _compile(self):
        self._table = self._codec.compile(self._parsed())
        for path, held in self._held.items():
            held.problems = self._table.problems.get(path, [])

    def route(self, method, path, host=ANY_HOST):
        """Return the `caperstack.routing.table.Route` of a request, or ``None``."""
        return self._table.route(method, path, host)

    @property
    def evacuated_zones(self):
        """The zones whose backend servers get no new calls, a frozenset."""
        return self._table.evacuated_zones

    def service(self, name):
        """Return the `EffectiveService` of that name."""
        return self._table.services.get(name, NO_SETTINGS)
