"""The settings tree: one JSON document per team's subtree, each validated as a whole."""

from enum import IntEnum
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from caperstack.config.start import validation_reason
from caperstack.exception import ConfigurationError

__all__ = [
    "Criticality",
    "RouteSettings",
    "ServiceSettings",
    "Subtree",
    "TeamGrant",
    "parse_subtree",
    "subtree_schema",
]

PolicyName = Literal["random", "round_robin", "least_reported", "power_of_two", "load_aware"]


class Criticality(IntEnum):
    """Priority of a route under overload; calls of lower criticality are refused first."""

    low = 0
    normal = 1
    high = 2


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class RouteSettings(_Model):
    """A path prefix, for one ``Host`` header or for all, and how its calls are treated.

    ``idempotent`` is unset by default: then the method decides (GET, HEAD,
    OPTIONS and TRACE are idempotent, all other methods are not).  Calls go to
    ``service``, or are distributed by ``split``, which maps services to weights.
    """

    path: str = Field(pattern="^/", max_length=512)
    host: str = Field("", max_length=255)
    methods: tuple[str, ...] = ()
    service: str = Field("", max_length=64)
    split: dict[str, float] = Field(default_factory=dict, max_length=16)
    objective_seconds: float | None = Field(None, gt=0, le=300)
    attempts: int = Field(3, ge=1, le=16)
    idempotent: bool | None = None
    criticality: Literal["low", "normal", "high"] = "normal"
    deadline_seconds: float = Field(5.0, gt=0, le=300)

    @model_validator(mode="after")
    def _validate_destination(self):
        if bool(self.service) == bool(self.split):
            raise ValueError("give either a service or a split")
        if any(weight < 0 for weight in self.split.values()):
            raise ValueError("a weight is below zero")
        if self.split and not sum(self.split.values()):
            raise ValueError("all weights are zero")
        return self


class ServiceSettings(_Model):
    """How one service is called; unset fields come from the parent subtree."""

    policy: PolicyName | None = None
    retry_share: float | None = Field(None, ge=0, le=1)
    hedge_share: float | None = Field(None, ge=0, le=0.5)
    refusals_per_call: int | None = Field(None, ge=0, le=16)
    measuring_per_second: float | None = Field(None, gt=0, le=10)
    key_window_seconds: float | None = Field(None, gt=0, le=86_400)


class TeamGrant(_Model):
    """Path prefixes of routes and the services that a parent lets one child subtree use."""

    routes: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


class Bounds(_Model):
    """Upper bounds on settings of a subtree and those below it; the lowest one applies."""

    retry_share: float | None = Field(None, ge=0, le=1)
    hedge_share: float | None = Field(None, ge=0, le=0.5)
    measuring_per_second: float | None = Field(None, gt=0, le=10)


class Subtree(_Model):
    """One team's settings; ``evacuated_zones`` is for the root alone."""

    defaults: ServiceSettings = ServiceSettings()
    bounds: Bounds = Bounds()
    services: dict[str, ServiceSettings] = Field(default_factory=dict)
    routes: tuple[RouteSettings, ...] = ()
    teams: dict[str, TeamGrant] = Field(default_factory=dict)
    evacuated_zones: tuple[str, ...] = Field((), max_length=256)

    @field_validator("routes")
    @classmethod
    def _validate_unique_routes(cls, routes):
        seen = set()
        for route in routes:
            for method in route.methods or ("*",):
                if (route.path, method) in seen:
                    raise ValueError(f"route {route.path} {method} is given twice")
                seen.add((route.path, method))
        return routes


def parse_subtree(path, document):
    """Validate a decoded JSON value and return its `Subtree`.

    Parameters
    ----------
    path : str
        Path of the subtree, for error messages; empty for the root.
    document : object
        The decoded JSON value.

    Raises
    ------
    ConfigurationError
        If `document` is not valid; it names the subtree, the field and the reason.
    """
    try:
        return Subtree.model_validate(document)
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise ConfigurationError(reason, step=f"subtree {path or '/'}", peer=field) from None


def subtree_schema():
    """Return the JSON Schema of a subtree as a dict."""
    return Subtree.model_json_schema()
