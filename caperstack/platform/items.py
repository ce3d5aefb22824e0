"""Decoding of the operators' configuration in the store and its compilation to routes."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from caperstack.exception import ConfigurationError
from caperstack.platform.durations import parse_duration
from caperstack.platform.entries import StartTimes, parse_entry
from caperstack.platform.names import CONFIGURATION_KEY, EVACUATIONS_PREFIX, SERVERS_PREFIX
from caperstack.routing.table import EffectiveService, Route, RoutingTable, WeightedService
from caperstack.settings.restores import Restores
from caperstack.settings.revisions import era_of

__all__ = ["Configuration", "StoreCodec", "UnknownKind", "decode_configuration"]

#: Whether requests of a kind of route may run more than once.  Uploads carry large bodies.
IDEMPOTENT_BY_KIND = {"idempotent": True, "non_idempotent": False, "upload": False}

#: The rate of probes of the health path, per second, while no answer to a call shows the
#: slowdown; a server that never reports its load is probed less often.
MEASURING_PER_SECOND = 12.0


_Rate = Annotated[float, msgspec.Meta(ge=0)]


class _SplitPart(msgspec.Struct):
    service: str
    weight: float


class _RouteRow(msgspec.Struct):
    name: str
    host: str = msgspec.field(name="authority")
    prefix: str
    kind: str
    timeout: str
    # The response time within which an answer has its full value; not an average.
    objective: str = msgspec.field(name="targetLatency")
    # 0 is the highest priority.
    priority: int
    attempts: int = msgspec.field(name="maxAttempts")
    service: str | None = None
    split: list[_SplitPart] | None = msgspec.field(name="trafficSplit", default=None)


class _ServiceRow(msgspec.Struct):
    name: str
    health_path: str = msgspec.field(name="healthPath")
    connections: int = msgspec.field(name="maxConnections")
    # How long a server is cold and the request rate that it tolerates then, which is not the
    # rate that it gets; 0 or absent if there is no bound.
    cold: str = "0s"
    cold_per_second: _Rate = msgspec.field(name="coldPerS", default=0.0)


class _Columns(msgspec.Struct):
    columns: list[str]
    rows: list[list]


class _LimitsRow(msgspec.Struct):
    body_bytes: int = msgspec.field(name="maxBodyBytes")
    idle: str = msgspec.field(name="idleTimeout")


class _Versioned(msgspec.Struct):
    # Increases with each configuration that operators write.
    version: Annotated[int, msgspec.Meta(ge=0)]


class _Configuration(_Versioned):
    routes: _Columns
    services: _Columns
    limits: _LimitsRow


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """The health path of a service and the limits of each of its servers.

    Attributes
    ----------
    health_path : str
        The path of the health check.
    connections : int
        The maximum number of connections to a server.
    cold_per_second : float
        The requests per second that a cold server tolerates; 0 if not configured.
    cold_seconds : float
        How long a server is cold after its start; 0 if not configured.
    """

    health_path: str
    connections: int
    cold_per_second: float = 0.0
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class UnknownKind:
    """A route whose kind this version does not know; its requests run at most once."""

    route: str
    kind: str


@dataclass(slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    unknown_kinds : tuple of UnknownKind
        The routes of a kind that this version does not know.
    """

    version: int
    routes: tuple
    unknown_kinds: tuple = ()
    services: dict = field(default_factory=dict)
    body_bytes: int = 0
    idle_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class EvacuatedZone:
    """A zone whose backend servers get no new calls."""

    zone: str


class StoreCodec:
    """Parses and compiles the store's items for `caperstack.settings.store.SettingsStore`.

    Parameters
    ----------
    restores : caperstack.settings.restores.Restores, optional
        Tells whether the store was restored from an older copy recently.
    """

    def __init__(self, restores=None):
        self._start_times = StartTimes()
        self._restores = restores or Restores()

    @property
    def measuring_per_second(self):
        """The rate of probes of the health path, per second."""
        return MEASURING_PER_SECOND

    def parse(self, key, document):
        """Return the `Configuration`, `EvacuatedZone` or `ServerEntry` in `document`.

        Raises
        ------
        ConfigurationError
            Naming the key, the field and the reason.
        """
        try:
            if key == CONFIGURATION_KEY:
                return _convert_configuration(msgspec.convert(document, _Configuration))
        except (msgspec.MsgspecError, ValueError) as error:
            raise ConfigurationError(str(error), step=key) from None
        if key.startswith(EVACUATIONS_PREFIX):
            return _evacuated_zone(key)
        entry = parse_entry(key, document)
        self._start_times.check(entry)
        return entry

    def is_overtaken(self, held, revision, document):
        """Return whether `document` may be older than the held setting despite its revision.

        Notes
        -----
        A store that is restored from an older copy lists servers that have left since
        the copy was made, and lists draining servers as ready.  If a node accepted such an
        entry from the store, or from a peer that has just started, calls would be sent to
        these servers again.
        """
        if held.path == CONFIGURATION_KEY:
            # It is ordered by its version, which is not a revision of the store.
            return False
        self._restores.note(revision)
        if document is None or held.revision < 0 or not held.path.startswith(SERVERS_PREFIX):
            return False
        if era_of(held.revision) == era_of(revision) or not self._restores.may_be_overtaken:
            return False
        return self._reverts_departure(held, document)

    def _reverts_departure(self, held, document):
        """Return whether `document` would make a server that left or is draining ready again."""
        entry = parse_entry(held.path, document)
        if held.deleted:
            return self._start_times.knows(entry.instance, entry.born_ms)
        same_start = held.parsed.born_ms == entry.born_ms
        return same_start and held.parsed.leaving and not entry.leaving

    def compile(self, parsed):
        """Return the `RoutingTable` for `parsed`, the parsed settings by key."""
        table = RoutingTable()
        marks = [mark for mark in parsed.values() if isinstance(mark, EvacuatedZone)]
        table.evacuated_zones = frozenset(mark.zone for mark in marks)
        configuration = parsed.get(CONFIGURATION_KEY)
        if configuration is None:
            return table
        for route in configuration.routes:
            table.add(route)
        for name in configuration.services:
            table.services[name] = EffectiveService(measuring_per_second=MEASURING_PER_SECOND)
        return table

    def affects_routes(self, key):
        """Return whether a change of `key` changes the routing table."""
        return key == CONFIGURATION_KEY or key.startswith(EVACUATIONS_PREFIX)

    def dates_routes(self, key):
        """Return whether `key` is the configuration's, whose revision dates the routing table."""
        return key == CONFIGURATION_KEY

    def complete(self, parsed):
        """Return whether `parsed` holds all routes."""
        return CONFIGURATION_KEY in parsed


def decode_configuration(key, value):
    """Decode a configuration and return its document and its version, which orders it.

    Raises
    ------
    ConfigurationError
        Naming the key and the reason, if `value` is not JSON with a valid version.
    """
    try:
        document = msgspec.json.decode(value)
        version = msgspec.convert(document, _Versioned).version
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ConfigurationError(str(error), step=key) from None
    return document, version


def _evacuated_zone(key):
    zone = key.removeprefix(EVACUATIONS_PREFIX)
    if not zone:
        raise ConfigurationError("names no zone", step=key)
    return EvacuatedZone(zone)


def _convert_configuration(wire):
    services = {row.name: _convert_limits(row) for row in _decode_rows(wire.services, _ServiceRow)}
    rows = list(_decode_rows(wire.routes, _RouteRow))
    return Configuration(
        version=wire.version,
        routes=tuple(_convert_route(row) for row in rows),
        unknown_kinds=tuple(
            UnknownKind(row.name, row.kind) for row in rows if row.kind not in IDEMPOTENT_BY_KIND
        ),
        services=services,
        body_bytes=wire.limits.body_bytes,
        idle_seconds=parse_duration(wire.limits.idle, "limits.idleTimeout"),
    )


def _convert_limits(row):
    cold_seconds = parse_duration(row.cold, f"services.{row.name}.cold")
    return ServiceLimits(row.health_path, row.connections, row.cold_per_second, cold_seconds)


def _decode_rows(table, row_type):
    for values in table.rows:
        fields = {
            name: value
            for name, value in zip(table.columns, values, strict=True)
            if value is not None
        }
        yield msgspec.convert(fields, row_type)


def _convert_route(row):
    field_path = f"routes.{row.name}"
    if row.split:
        parts = tuple(WeightedService(part.service, part.weight) for part in row.split)
    elif row.service:
        parts = (WeightedService(row.service, 1.0),)
    else:
        raise ConfigurationError("neither a service nor a split", step=field_path, peer="service")
    return Route(
        path=row.prefix,
        parts=parts,
        name=row.name,
        host=row.host,
        # An unknown kind costs its own route the repeats, and no other route anything.
        idempotent=IDEMPOTENT_BY_KIND.get(row.kind, False),
        criticality=-row.priority,
        deadline_seconds=parse_duration(row.timeout, f"{field_path}.timeout"),
        objective_seconds=parse_duration(row.objective, f"{field_path}.targetLatency"),
        attempts=row.attempts,
    )
