"""Decoding of the start settings that the platform writes for a node."""

import os
from dataclasses import dataclass
from typing import Annotated

import msgspec

from caperstack.addresses import split_address
from caperstack.config.node import Backend, Limits, NodeSettings
from caperstack.exception import ConfigurationError
from caperstack.platform.durations import parse_duration
from caperstack.platform.names import BOOT_VARIABLE
from caperstack.routing.budgets import FleetAllowance

__all__ = ["Boot", "ColdBound", "boot_path", "parse_boot", "read_boot"]

#: The number of slots assumed for a backend server until its entry in the store is known.
INITIAL_SLOTS = 8

#: The maximum number of calls in progress at the backend server.  The ``maxConnections`` of its
#: service in the store does not change it.
MAX_CONNECTIONS = 64

#: The concurrency limit as a share of the slots.  The platform's backend servers slow down
#: when nearly all slots are in use, but not while at most four fifths of them are.
SLOTS_SHARE = 0.8

#: The time between the end of the drain and the moment when the platform kills the process,
#: in seconds.  A slow host needs it to answer the open calls and to stop the services.
KILL_MARGIN_SECONDS = 0.8

#: Shares of the host's memory for the request bodies that the port for callers holds, and for
#: the responses that are being received from the backend server.
BODIES_SHARE = 1 / 4
ANSWERS_SHARE = 1 / 8

MEBIBYTE = 1024 * 1024

#: Bytes in a megabit, the unit of the link's rate.
BYTES_PER_MEGABIT = 125_000

#: The offset of the metrics port from the first port of the range, which is the peer port.
METRICS_PORT_OFFSET = 1


class _Listen(msgspec.Struct):
    outbound: str
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    memory_mb: int = msgspec.field(name="memoryMb", default=256)
    # Megabits per second in each direction; absent or null if the link has no known bound.
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] | None = msgspec.field(
        name="linkMbps", default=None
    )


class _Boot(msgspec.Struct):
    name: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    region: str
    listen: _Listen
    ports: list[int] = msgspec.field(name="portRange")
    # The address of the backend server beside this node, and its service.
    backend_address: str = msgspec.field(name="appAddress")
    service: str
    store: _Store = msgspec.field(name="platformSettings")
    heartbeat: str
    bounds: dict[str, object]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class ColdBound:
    """The bound on the request rate of a cold backend server.

    Attributes
    ----------
    factor : float
        Multiplies the rate that the service's cold servers tolerate.
    slack : float
        Additional requests per second.
    """

    factor: float = 1.0
    slack: float = 0.0

    def per_second(self, tolerated):
        """Return the maximum requests per second; 0 if no tolerated rate is configured."""
        return tolerated * self.factor + self.slack if tolerated > 0 else 0.0


@dataclass(slots=True)
class Boot:
    """The decoded start settings.

    Attributes
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    name : str
        The name that the platform gives this host.
    ready_address, store_address : str
        The ``ip:port`` of the readiness check and of the store.
    allowance : caperstack.routing.budgets.FleetAllowance
        The budget of all nodes together, per service, for retries and other additional
        attempts.
    drain_timeout_seconds : float
        How long the node may drain after SIGTERM.
    cold_bound : ColdBound
        The bound on the request rate of a cold backend server.
    heartbeat_seconds : float
        The interval at which a backend server writes its entry in the store.
    """

    here: NodeSettings
    name: str
    ready_address: str
    store_address: str
    allowance: FleetAllowance
    drain_timeout_seconds: float
    cold_bound: ColdBound
    heartbeat_seconds: float


def boot_path():
    """Return the path of the start settings.

    Raises
    ------
    ConfigurationError
        If the environment variable is not set.
    """
    try:
        return os.environ[BOOT_VARIABLE]
    except KeyError:
        raise ConfigurationError("not set", step="environment", peer=BOOT_VARIABLE) from None


def read_boot(path, metrics_port=None):
    """Return the `Boot` in the file at `path`.

    Parameters
    ----------
    path : str
        The file of the start settings.
    metrics_port : int, optional
        The port of the metrics; by default the second of the host's port range.

    Raises
    ------
    ConfigurationError
        Naming the field and the reason.
    """
    try:
        with open(path, "rb") as file:
            boot = parse_boot(file.read())
    except OSError as error:
        raise ConfigurationError(str(error), step="start settings", peer=path) from None
    if metrics_port is not None:
        boot.here.operator_address = f"{boot.here.host}:{metrics_port}"
    return boot


def parse_boot(text):
    """Return the `Boot` in the JSON `text`.

    Raises
    ------
    ConfigurationError
        Naming the field and the reason.
    """
    try:
        boot = msgspec.json.decode(text, type=_Boot)
        for address in (boot.listen.outbound, boot.listen.ready, boot.backend_address):
            split_address(address)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(str(error), step="start settings") from None
    if len(boot.ports) != 2 or boot.ports[1] - boot.ports[0] < METRICS_PORT_OFFSET:
        reason = "must be the first and the last of at least two ports"
        raise ConfigurationError(reason, step="start settings", peer="portRange")
    return Boot(
        here=_here(boot),
        name=boot.name,
        ready_address=boot.listen.ready,
        store_address=boot.store.address,
        allowance=FleetAllowance(
            share=_number(boot.bounds, "retryBudgetRatio"),
            floor=_number(boot.bounds, "budgetMinRetries"),
            window_seconds=_duration(boot.bounds, "budgetWindow"),
        ),
        drain_timeout_seconds=_duration(boot.bounds, "grace") - KILL_MARGIN_SECONDS,
        cold_bound=_cold_bound(boot.bounds),
        heartbeat_seconds=parse_duration(boot.heartbeat, "heartbeat"),
    )


def _cold_bound(bounds):
    # Platforms whose servers have no cold phase set neither of the two.
    if "coldOverage" not in bounds and "coldSlack" not in bounds:
        return ColdBound()
    return ColdBound(_number(bounds, "coldOverage"), _number(bounds, "coldSlack"))


def _here(boot):
    return NodeSettings(
        # A backend server's entry in the store has the IP of its host but no name, so nodes
        # identify each other by IP.
        host=boot.ip,
        zone=boot.zone,
        region=boot.region,
        caller_address=boot.listen.outbound,
        peer_address=f"{boot.ip}:{boot.ports[0]}",
        operator_address=f"{boot.ip}:{boot.ports[0] + METRICS_PORT_OFFSET}",
        backend=Backend(
            boot.backend_address, boot.service, INITIAL_SLOTS, SLOTS_SHARE, MAX_CONNECTIONS
        ),
        limits=Limits(
            bodies_bytes=int(boot.limits.memory_mb * MEBIBYTE * BODIES_SHARE),
            answers_bytes=int(boot.limits.memory_mb * MEBIBYTE * ANSWERS_SHARE),
            link_bytes_per_second=(boot.limits.link_mbps or 0.0) * BYTES_PER_MEGABIT,
        ),
    )


def _number(bounds, name):
    value = bounds.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ConfigurationError(f"not a number: {value!r}", step="bounds", peer=name)
    return float(value)


def _duration(bounds, name):
    return parse_duration(bounds.get(name), f"bounds.{name}")
