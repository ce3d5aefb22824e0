"""Start settings as the platform renders them, to the product's own."""

import os
from dataclasses import dataclass

import msgspec

from caperstack.addresses import split_address
from caperstack.config.node import Backend, Limits, NodeSettings
from caperstack.exception import ConfigurationError
from caperstack.platform.durations import seconds_of
from caperstack.platform.names import BOOT_VARIABLE
from caperstack.routing.budgets import FleetAllowance

__all__ = ["Boot", "ColdBound", "boot_path", "parse_boot", "read_boot"]

#: Slots and connections of a backend server until the store tells its own.
FIRST_SLOTS = 8
FIRST_CONNECTIONS = 64

#: Calls at once, as a share of the slots.  The platform's backend servers take
#: longer when they are nearly full; up to four fifths of the slots they do not.
SLOTS_SHARE = 0.8

#: How much sooner than the platform's kill a stopping node ends, in seconds: a
#: slowed host needs that long to answer what is open and to stop its services.
KILL_MARGIN_SECONDS = 0.8

#: Where the counters are shown: the peer port is the first of the range.
METRICS_OFFSET = 1


class _Listen(msgspec.Struct):
    outbound: str
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    memory_mb: int = msgspec.field(name="memoryMb", default=256)


class _Boot(msgspec.Struct):
    name: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    region: str
    listen: _Listen
    ports: list[int] = msgspec.field(name="portRange")
    # The backend server next to this node, and the service that it belongs to.
    backend_address: str = msgspec.field(name="appAddress")
    service: str
    store: _Store = msgspec.field(name="platformSettings")
    heartbeat: str
    bounds: dict[str, object]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class ColdBound:
    """What a cold backend server may get in a second.

    Attributes
    ----------
    factor : float
        Of what the service's servers tolerate.
    slack : float
        Requests beside that.
    """

    factor: float = 1.0
    slack: float = 0.0

    def per_second(self, tolerated):
        """Return the most requests in a second; 0 if servers name nothing that they tolerate."""
        return tolerated * self.factor + self.slack if tolerated > 0 else 0.0


@dataclass(slots=True)
class Boot:
    """The start settings in the product's terms.

    Attributes
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    name : str
        What the platform calls this host.
    ready_address, store_address : str
        Where the platform asks whether the node is ready, and where its store is.
    allowance : caperstack.routing.budgets.FleetAllowance
        What all nodes may send beyond first tries.
    drain_until_seconds : float
        How long after SIGTERM the process may live.
    cold_bound : ColdBound
        What a cold backend server may get beyond what it tolerates.
    heartbeat_seconds : float
        How often a backend server writes its entry in the store.
    """

    here: NodeSettings
    name: str
    ready_address: str
    store_address: str
    allowance: FleetAllowance
    drain_until_seconds: float
    cold_bound: ColdBound
    heartbeat_seconds: float


def boot_path():
    """Return the path of the start settings.

    Raises
    ------
    ConfigurationError
        If the environment does not name it.
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
        Of the start settings.
    metrics_port : int, optional
        Where the counters are shown; the second port of the host's range if
        not given.

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
    if len(boot.ports) != 2 or boot.ports[1] - boot.ports[0] < METRICS_OFFSET:
        reason = "needs a first and a last port, two ports at least"
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
        drain_until_seconds=_duration(boot.bounds, "grace") - KILL_MARGIN_SECONDS,
        cold_bound=_cold_bound(boot.bounds),
        heartbeat_seconds=seconds_of(boot.heartbeat, "heartbeat"),
    )


def _cold_bound(bounds):
    # Platforms whose servers are never cold name neither.
    if "coldOverage" not in bounds and "coldSlack" not in bounds:
        return ColdBound()
    return ColdBound(_number(bounds, "coldOverage"), _number(bounds, "coldSlack"))


def _here(boot):
    return NodeSettings(
        # A backend server's entry in the store tells the IP of its host and no
        # name, so the IP is the name by which nodes know each other.
        host=boot.ip,
        zone=boot.zone,
        region=boot.region,
        caller_address=boot.listen.outbound,
        peer_address=f"{boot.ip}:{boot.ports[0]}",
        operator_address=f"{boot.ip}:{boot.ports[0] + METRICS_OFFSET}",
        backend=Backend(
            boot.backend_address, boot.service, FIRST_SLOTS, SLOTS_SHARE, FIRST_CONNECTIONS
        ),
        limits=Limits(
            bodies_bytes=boot.limits.memory_mb * 1024 * 1024 // 4,
        ),
    )


def _number(bounds, name):
    value = bounds.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ConfigurationError(f"not a number: {value!r}", step="bounds", peer=name)
    return float(value)


def _duration(bounds, name):
    return seconds_of(bounds.get(name), f"bounds.{name}")
