"""What is played: hosts, services, kinds of calls and events, from a JSON file."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from caperstack.config.start import validation_reason
from caperstack.exception import ConfigurationError

__all__ = ["Event", "Kind", "Nested", "Scenario", "Service", "parse_scenario"]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Service(_Model):
    """The backend servers of one service; one host each.

    A cold server that gets more than ``cold_bears`` calls in a second ends, and is
    away for ``down_seconds``; 0 for any number.
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
    """Calls that the work of a call makes, halfway through, at once or one by one."""

    kind: str
    times: int = Field(1, ge=1)
    share: float = Field(1.0, gt=0, le=1)
    in_turn: bool = False


class Kind(_Model):
    """One kind of call; a rate of 0 is for calls that others make."""

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
    """Something that happens at a moment of the play.

    ``burst`` multiplies arrivals by ``factor`` for ``seconds``; ``lose`` takes
    ``count`` servers of ``service`` away for good; ``restart`` makes all nodes
    and servers start anew, cold and without memory; ``chill`` makes ``count``
    servers of ``service`` cold; ``evacuate`` empties ``zone`` for ``seconds``, whose
    servers are cold at the end.  For ``seconds``, ``count``
    servers of ``service`` take ``factor`` times as long (``slow``), refuse a
    ``share`` of their calls without running them (``shed``), or run them and
    fail (``fail``).
    """

    at: float = Field(ge=0)
    what: Literal["burst", "lose", "restart", "chill", "evacuate", "slow", "shed", "fail"]
    seconds: float = Field(1.0, gt=0)
    factor: float = Field(1.5, gt=0)
    share: float = Field(0.5, gt=0, le=1)
    service: str = ""
    zone: str = ""
    count: int = Field(1, ge=1)

    @property
    def affects_servers(self):
        """Whether it happens to servers of one service."""
        return self.what in ("lose", "chill", "slow", "shed", "fail")


class Scenario(_Model):
    """A play."""

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
        """The names of the zones, a list."""
        return [f"zone-{number}" for number in range(self.zones)]

    def kind(self, name):
        """Return the `Kind` of that name."""
        return next(kind for kind in self.kinds if kind.name == name)


def parse_scenario(text):
    """Return the `Scenario` in the JSON `text`.

    Raises
    ------
    ConfigurationError
        Naming the field and the reason.
    """
    try:
        return Scenario.model_validate(json.loads(text))
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise ConfigurationError(reason, step="play", peer=field) from None
    except ValueError as error:
        raise ConfigurationError(f"not JSON: {error}", step="play") from None
