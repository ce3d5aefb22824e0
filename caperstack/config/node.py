"""Settings of a node as plain data classes.

`caperstack.config.start.StartSettings` has these attributes and more, validates them,
and has a higher default of ``bodies_bytes``.  A deployment with its own settings format
creates the classes of this module instead.
"""

from dataclasses import dataclass, field

__all__ = ["Backend", "Limits", "NodeSettings"]

MEBIBYTE = 1024 * 1024


@dataclass(slots=True)
class Backend:
    """The backend server of the node.

    Attributes
    ----------
    slots : int
        Number of calls that the backend server processes at the same time.
    slots_share : float
        Maximum concurrent calls as a share of the slots.
    connections : int
        Maximum number of connections to the backend server.
    """

    address: str
    service: str
    slots: int
    slots_share: float
    connections: int


@dataclass(slots=True)
class Limits:
    """Limits on the resources that callers and peers may use in this process.

    Attributes
    ----------
    body_bytes : int
        Maximum size of one request body, and of one response of the backend server.
    bodies_bytes : int
        Maximum total size of the request bodies that the port for callers holds, and of the
        answers that callers have not read.
    answers_bytes : int
        Maximum total size of the responses that are being received from the backend server.
    body_seconds : float
        Time in which a caller must send a whole request after its head.
    idle_seconds : float
        Time after which an idle connection of a caller is closed.
    unread_seconds : float
        Time after which the connection of a caller that reads nothing of its answer is closed.
    drain_seconds : float
        Maximum duration of a drain.
    link_bytes_per_second : float
        What the host's link sustains in each direction; 0 if unknown.
    """

    body_bytes: int = 16 * MEBIBYTE
    bodies_bytes: int = 32 * MEBIBYTE
    answers_bytes: int = 16 * MEBIBYTE
    body_seconds: float = 30.0
    idle_seconds: float = 120.0
    unread_seconds: float = 30.0
    drain_seconds: float = 30.0
    link_bytes_per_second: float = 0.0


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
