"""Start settings of a node: a JSON document, validated as a whole."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from caperstack.addresses import split_address
from caperstack.events.log import LINES_PER_SECOND
from caperstack.exception import ConfigurationError

__all__ = ["Address", "StartSettings", "parse_start_settings", "validation_reason"]

MEBIBYTE = 1024 * 1024


def _validate_address(value):
    split_address(value)
    return value


Address = str


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class BackendSettings(_Model):
    """The backend server of the node."""

    address: Address
    service: str = Field(min_length=1, max_length=64)
    slots: int = Field(20, ge=1, le=10_000)
    #: Maximum concurrent calls, as a share of the slots.  Between two calls a slot is
    #: idle while the response travels to the owner and the next call travels back, a
    #: tenth of the time under load; slightly more calls than slots keep the slots busy.
    slots_share: float = Field(1.1, gt=0, le=2)
    connections: int = Field(200, ge=1, le=10_000)
    health_path: str = Field("/health", pattern="^/")
    load_path: str = Field("/load", pattern="^/")

    _address = field_validator("address")(_validate_address)


class PeerSeed(_Model):
    """A peer that the node knows without reading the host list."""

    host: str = Field(min_length=1, max_length=128)
    zone: str = Field(min_length=1, max_length=64)
    region: str = "local"
    service: str = Field(min_length=1, max_length=64)
    peer_address: Address

    _address = field_validator("peer_address")(_validate_address)


class SecuritySettings(_Model):
    """How peers authenticate; there is no default, so ``plain`` must be set explicitly."""

    mode: Literal["tls", "plain"]
    certificate: str = ""
    key: str = ""
    authorities: str = ""


class LogSettings(_Model):
    """Where log lines are written; not to files, as hosts have no disks."""

    to: Literal["stdout", "stderr", "none"] = "stderr"
    lines_per_second: int = Field(LINES_PER_SECOND, ge=1, le=100_000)


class LimitSettings(_Model):
    """Validated form of `caperstack.config.node.Limits`."""

    body_bytes: int = Field(16 * MEBIBYTE, ge=1024, le=64 * MEBIBYTE)
    bodies_bytes: int = Field(96 * MEBIBYTE, ge=1024, le=256 * MEBIBYTE)
    answers_bytes: int = Field(48 * MEBIBYTE, ge=1024, le=256 * MEBIBYTE)
    body_seconds: float = Field(30.0, gt=0, le=600)
    idle_seconds: float = Field(120.0, gt=0, le=3600)
    unread_seconds: float = Field(30.0, gt=0, le=600)
    drain_seconds: float = Field(30.0, gt=0, le=600)
    link_bytes_per_second: float = Field(0.0, ge=0)


class StartSettings(_Model):
    """All settings that a node needs before it can reach other processes."""

    host: str = Field(min_length=1, max_length=128)
    zone: str = Field(min_length=1, max_length=64)
    region: str = Field("local", min_length=1, max_length=64)
    caller_address: Address
    peer_address: Address
    operator_address: Address
    backend: BackendSettings
    configuration: Address | None = None
    host_list: Address | None = None
    peers: tuple[PeerSeed, ...] = ()
    security: SecuritySettings
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
    settings: dict[str, dict] = Field(default_factory=dict)

    _addresses = field_validator("caller_address", "peer_address", "operator_address")(
        _validate_address
    )

    @field_validator("configuration", "host_list")
    @classmethod
    def _optional_address(cls, value):
        return value if value is None else _validate_address(value)


def validation_reason(error):
    """Return ``(field, reason)`` of the first error in a pydantic `ValidationError`."""
    first = error.errors()[0]
    field = ".".join(str(part) for part in first["loc"]) or "document"
    return field, first["msg"]


def parse_start_settings(text):
    """Parse the JSON document `text` and return its `StartSettings`.

    Raises
    ------
    ConfigurationError
        If `text` is not valid; it names the field and the reason.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise ConfigurationError(f"not JSON: {error}", step="start settings") from None
    try:
        return StartSettings.model_validate(document)
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise ConfigurationError(reason, step="start settings", peer=field) from None
