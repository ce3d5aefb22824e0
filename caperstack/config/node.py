"""Settings of a node as plain data classes.

`caperstack.config.start.StartSettings` has the same attributes and validates them.
A deployment with its own settings format creates these classes instead.
"""

from dataclasses import dataclass, field

__all__ = ["Backend", "Limits", "NodeSettings"]

MEBIBYTE = 1024 * 1024


@dataclass(slots=True)
class Backend:
    """The backend server of the node; ``slots_share`` is as in the start settings."""

    address: str
    service: str
    slots: int
    slots_share: float
    connections: int


@dataclass(slots=True)
class Limits:
    """Limits on the resources that callers and peers may use in this process."""

    body_bytes: int = 16 * MEBIBYTE
    bodies_bytes: int = 32 * MEBIBYTE
    body_seconds: float = 30.0
    idle_seconds: float = 120.0
    drain_seconds: float = 30.0


@dataclass(slots=True)
class NodeSettings:
    """The node's host, zone and region, its addresses, its backend server and its limits."""

    host: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    operator_address: str
    backend: Backend
    peers: tuple = ()
    limits: Limits = field(default_factory=Limits)
