"""Store the settings in force: the highest valid revision of each team's subtree."""

from dataclasses import dataclass, field

from caperstack.clock import wall_microseconds
from caperstack.exception import ConfigurationError
from caperstack.routing.table import ANY_HOST, EffectiveService
from caperstack.settings.digest import RevisionDigest, bucket_of
from caperstack.settings.revisions import format_revision

__all__ = ["HeldSubtree", "SettingsStore"]

#: Settings of a service that no subtree declares.
NO_SETTINGS = EffectiveService()


@dataclass(slots=True)
class HeldSubtree:
    """State of a subtree on this node: the revision in force and the last refused one.

    Attributes
    ----------
    path : str
        The subtree's path, ``""`` for the root.
    revision : int
        The revision in force, negative if there is none.
    document : dict or None
        Its decoded JSON value; ``None`` for a deletion.
    parsed : object or None
        What the codec parsed from the document; ``None`` for a deletion.
    since_us : int
        Wall clock time at which the revision came into force, in microseconds.
    source : str
        Who sent the revision: a host, the platform or the start settings.
    refused_revision : int
        The last revision that was refused, negative if there is none.
    refused_reason : str
        Why it was refused.
    problems : list of str
        Why the subtree's own routes and services are not in force.
    """

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
    """Hold all subtrees known to this node and the routing table compiled from them.

    Parameters
    ----------
    codec : object
        Provides ``parse(path, document)``, ``is_overtaken(held, revision, document)``,
        ``compile(parsed by path)``, ``affects_routes(path)``, ``dates_routes(path)`` and
        ``complete(parsed by path)``; see `caperstack.settings.compile.TreeCodec`.
    initial : dict, optional
        Documents by path from the start settings.

    Notes
    -----
    The revision of a subtree never decreases, deletions included: a lower revision
    is ignored whoever sends it.  A subtree is accepted or refused as a whole; after a
    refusal its last valid revision stays in force and other subtrees are not affected.
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
        """Apply the documents of the start settings, at revision 0."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        for path, document in self._initial.items():
            self.take(path, 0, document, "start settings")

    async def stop(self):
        """Do nothing; the store runs no task."""

    def listen(self, listener):
        """Call ``listener(held)`` with the `HeldSubtree` after each change."""
        self._listeners.append(listener)

    @property
    def known(self):
        """Whether all routes are held, so that a route not found here does not exist."""
        return self._codec.complete(self._parsed())

    @property
    def routes_revision(self):
        """The highest revision in force of the subtrees that define routes, for the log.

        The codec's ``dates_routes`` tells which subtrees these are; -1 before the first.
        """
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
        """Return the revisions in force of the subtrees in the digest's `buckets`, a dict."""
        wanted = frozenset(buckets)
        return {p: r for p, r in self.revisions.items() if bucket_of(p) in wanted}

    def held(self):
        """Return all `HeldSubtree` objects, ordered by path."""
        return [self._held[path] for path in sorted(self._held)]

    def get(self, path):
        """Return the `HeldSubtree` of `path`, or ``None``."""
        return self._held.get(path)

    def wants(self, path, revision):
        """Return whether `revision` is higher than the one held and not the one last refused."""
        held = self._held.get(path)
        if held is None:
            return True
        return revision > held.revision and revision != held.refused_revision

    def take(self, path, revision, document, source):
        """Apply a revision of a subtree if it is higher than the one held.

        Parameters
        ----------
        path : str
            The subtree's path, ``""`` for the root.
        revision : int
            Orders the documents written to this path.
        document : dict or None
            The decoded JSON value; ``None`` for a deletion.
        source : str
            Who sent it: a host, the platform or the start settings.

        Returns
        -------
        bool
            Whether the revision came into force by this call.
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
        already_reported = held.refused_reason == reason
        held.refused_revision = revision
        held.refused_reason = reason
        self._metrics.count("settings_refused")
        if already_reported:
            # A fault is logged once, not each time that the document is written again.
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
        """The zones whose backend servers receive no new calls, a frozenset."""
        return self._table.evacuated_zones

    def service(self, name):
        """Return the `EffectiveService` of service `name`, `NO_SETTINGS` if it is not declared."""
        return self._table.services.get(name, NO_SETTINGS)
