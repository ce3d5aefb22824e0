"""What a node knows of itself, as plain data classes.

`caperstack.config.start.StartSettings` has the same attributes, validated; a
deployment that brings settings in a format of its own fills these instead.
"""

from dataclasses import dataclass, field

__all__ = ["Backend", "Limits", "NodeSettings"]

MEBIBYTE = 1024 * 1024


@dataclass(slots=True)
class Backend:
    """The backend server beside the node; ``slots_share`` as in the start settings."""

    address: str
    service: str
    slots: int
    slots_share: float
    connections: int


@dataclass(slots=True)
class Limits:
    """Bounds on what callers and peers may hold in this process."""

    body_bytes: int = 16 * MEBIBYTE
    bodies_bytes: int = 32 * MEBIBYTE
    body_seconds: float = 30.0
    idle_seconds: float = 120.0
    drain_seconds: float = 30.0


@dataclass(slots=True)
class NodeSettings:
    """This node: its place, its addresses and its backend server."""

    host: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    operator_address: str
    backend: Backend
    peers: tuple = ()
    limits: Limits = field(default_factory=Limits)
