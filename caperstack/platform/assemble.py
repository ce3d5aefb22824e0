"""Creation of the services of a node on the platform."""

from caperstack.admission.owner import Owner
from caperstack.backend.client import BackendClient
from caperstack.backend.probe import HealthProbe
from caperstack.callers.port import CallerPort
from caperstack.events.ring import EventRing
from caperstack.kernel import Kernel
from caperstack.membership.evacuation import Evacuation
from caperstack.membership.members import Members
from caperstack.operators.metrics import Metrics
from caperstack.operators.port import OperatorPort
from caperstack.pauses import PauseDetector
from caperstack.peers.links import Links
from caperstack.peers.port import PeerPort
from caperstack.peers.security import PlaintextSecurity
from caperstack.platform.fleet import FleetView
from caperstack.platform.items import StoreCodec
from caperstack.platform.names import DIALECT
from caperstack.platform.reader import StoreReader
from caperstack.platform.ready import ReadyPort
from caperstack.platform.store import StoreClient
from caperstack.platform.watch import OperatorWatch
from caperstack.quarantine.exchange import SuspectExchange
from caperstack.quarantine.suspects import Suspects
from caperstack.routing.dispatch import Dispatcher
from caperstack.settings.restores import Restores
from caperstack.settings.store import SettingsStore
from caperstack.settings.sync import SettingsSync
from caperstack.transfers.link import LinkBudget
from caperstack.trees.adoption import CallTrees

__all__ = ["assemble"]

#: The number of most recent events that are kept in memory, to inspect a running node; the
#: log has all of them.  3,000 events would take 1 MB, and the platform charges for memory.
RING_EVENTS = 200


def assemble(boot, log):
    """Return the `Kernel` of a node, with its services registered in the order of starting.

    Parameters
    ----------
    boot : caperstack.platform.boot.Boot
        The start settings.
    log : caperstack.events.log.LogWriter
        The log of the node.

    Notes
    -----
    Some services of other deployments are not used on the platform: keepers of idempotency
    keys, since each attempt has its own id, the readers of settings subtrees and of the
    host list, since the store holds hosts and routes, and TLS between nodes.
    """
    here = boot.here
    kernel = Kernel()
    plain = PlaintextSecurity()
    metrics = Metrics(here.host)
    restores = Restores(boot.heartbeat_seconds)
    codec = StoreCodec(restores)
    client = BackendClient(
        here.backend.address,
        here.backend.connections,
        here.limits.body_bytes,
        DIALECT,
        max_held_bytes=here.limits.answers_bytes,
    )
    fleet = FleetView(here, boot.cold_bound)
    link = LinkBudget(here.limits.link_bytes_per_second)
    kernel.register("metrics", metrics)
    kernel.register("events", EventRing(here.host, log, RING_EVENTS))
    kernel.register("pauses", PauseDetector())
    kernel.register("settings", SettingsStore(codec))
    kernel.register("members", Members(here))
    kernel.register("backend client", client)
    kernel.register("suspects", Suspects())
    kernel.register("owner", Owner(here.backend, client, link))
    kernel.register("links", Links(here, plain))
    kernel.register("peer port", PeerPort(here, plain))
    kernel.register("suspect exchange", SuspectExchange())
    kernel.register("settings sync", SettingsSync(here, restores))
    kernel.register("fleet", fleet)
    kernel.register("evacuation", Evacuation(here))
    store = StoreClient(boot.store_address, metrics)
    reader = StoreReader(here, store, restores)
    kernel.register("store reader", reader)
    kernel.register("operator watch", OperatorWatch(here, store, reader))
    kernel.register(
        "pace probe", HealthProbe(fleet.health_path, lambda: codec.measuring_per_second)
    )
    kernel.register("dispatcher", Dispatcher(here, allowance=boot.allowance, link=link))
    kernel.register("call trees", CallTrees())
    kernel.register("callers", CallerPort(here, DIALECT))
    kernel.register("ready", ReadyPort(boot.ready_address))
    kernel.register("operators", OperatorPort(here))
    return kernel
