"""Scenarios of a simulation: hosts, services, kinds of calls and events, from a JSON file."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from caperstack.config.start import validation_reason
from caperstack.exception import ConfigurationError

__all__ = ["Event", "Kind", "Nested", "Scenario", "Service", "parse_scenario"]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Service(_Model):
    """The backend servers of one service, each on a host of its own.

    A cold server that gets more than ``cold_bears`` calls in a second crashes and is
    down for ``down_seconds``. With ``cold_bears`` 0 it bears any number of calls.
    """

    name: str = Field(min_length=1)
    servers: int = Field(ge=1, le=200)
    slots: int = Field(18, ge=1)
    queue: int = Field(30, ge=0)
    knee: float = Field(0.8, gt=0, le=1)
    knee_factor: float = Field(1.7, ge=1)
    cold_seconds: float = Field(3.0, ge=0)
    cold_factor: float = Field(2.0, ge=1)
    cold_bears: float = Field(0.0, ge=0)
    visit_share: float = Field(0.25, ge=0, lt=1)
    visit_factor: float = Field(4.0, ge=1)
    visit_seconds: float = Field(0.3, gt=0)
    down_seconds: float = Field(2.0, ge=0)


class Nested(_Model):
    """Calls that a call makes halfway through its work, concurrently or one after the other."""

    kind: str
    times: int = Field(1, ge=1)
    share: float = Field(1.0, gt=0, le=1)
    in_turn: bool = False


class Kind(_Model):
    """One kind of call; a rate of 0 means that only other calls make it."""

    name: str = Field(min_length=1)
    service: str
    per_second: float = Field(0.0, ge=0)
    work_ms: float = Field(gt=0)
    spread: float = Field(0.3, ge=0)
    objective_ms: float = Field(gt=0)
    timeout_ms: float = Field(gt=0)
    patience_ms: float = Field(gt=0)
    idempotent: bool = True
    criticality: int = 0
    retries: int = Field(2, ge=0)
    worth: float = Field(1.0, ge=0)
    late_worth: float = Field(0.1, ge=0)
    attempts: int = Field(2, ge=1)
    calls: tuple[Nested, ...] = ()


class Event(_Model):
    """An event at a given time of the simulation.

    ``burst`` multiplies the arrival rate by ``factor`` for ``seconds``. ``lose`` removes
    ``count`` servers of ``service`` permanently. ``restart`` restarts all nodes and
    servers, which are then cold and without state. ``chill`` makes ``count`` servers of
    ``service`` cold. ``evacuate`` keeps new calls away from ``zone`` for ``seconds``;
    its servers are cold afterwards. For ``seconds``, ``count`` servers of ``service``
    take ``factor`` times as long (``slow``), refuse a ``share`` of their calls without
    running them (``shed``), run that share and then answer with an error (``fail``), or
    state in their answers that they accept ``factor`` calls per second (``limit``).
    """

    at: float = Field(ge=0)
    what: Literal["burst", "lose", "restart", "chill", "evacuate", "slow", "shed", "fail", "limit"]
    seconds: float = Field(1.0, gt=0)
    factor: float = Field(1.5, gt=0)
    share: float = Field(0.5, gt=0, le=1)
    service: str = ""
    zone: str = ""
    count: int = Field(1, ge=1)

    @property
    def affects_servers(self):
        """Whether the event affects servers of one service."""
        return self.what in ("lose", "chill", "slow", "shed", "fail", "limit")


class Scenario(_Model):
    """Everything that is simulated."""

    seconds: float = Field(30.0, gt=0, le=3600)
    seed: int = 1
    zones: int = Field(3, ge=1)
    zone_ms: float = Field(0.9, ge=0)
    slots_share: float = Field(0.8, gt=0, le=2)
    health_per_second: float = Field(12.0, gt=0)
    retry_share: float = Field(0.2, ge=0)
    retry_floor: float = Field(64, ge=0)
    retry_window_seconds: float = Field(10.0, gt=0)
    services: tuple[Service, ...] = Field(min_length=1)
    kinds: tuple[Kind, ...] = Field(min_length=1)
    events: tuple[Event, ...] = ()

    @model_validator(mode="after")
    def _names_exist(self):
        services = {service.name for service in self.services}
        kinds = {kind.name for kind in self.kinds}
        for kind in self.kinds:
            if kind.service not in services:
                raise ValueError(f"kinds.{kind.name}.service: no service {kind.service!r}")
            for nested in kind.calls:
                if nested.kind not in kinds:
                    raise ValueError(f"kinds.{kind.name}.calls: no kind {nested.kind!r}")
        for event in self.events:
            if event.affects_servers and event.service not in services:
                raise ValueError(f"events at {event.at}: no service {event.service!r}")
            if event.what == "evacuate" and event.zone not in self.zone_names:
                raise ValueError(f"events at {event.at}: no zone {event.zone!r}")
        return self

    @property
    def zone_names(self):
        """The list of zone names."""
        return [f"zone-{number}" for number in range(self.zones)]

    def kind(self, name):
        """Return the `Kind` with the given name."""
        return next(kind for kind in self.kinds if kind.name == name)


def parse_scenario(text):
    """Return the `Scenario` in the JSON `text`.

    Raises
    ------
    ConfigurationError
        If `text` is not valid; the error names the field and the reason.
    """
    try:
        return Scenario.model_validate(json.loads(text))
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise ConfigurationError(reason, step="play", peer=field) from None
    except ValueError as error:
        raise ConfigurationError(f"not JSON: {error}", step="play") from None
