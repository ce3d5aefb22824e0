"""Put the services of a node on the platform together."""

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
from caperstack.pauses import PauseWatch
from caperstack.peers.links import Links
from caperstack.peers.port import PeerPort
from caperstack.peers.security import Plain
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

__all__ = ["assemble"]

#: Events kept in memory beside the log, which tells them all; the last few are
#: for a look at a node that lives.  3,000 would take 1 MB, and memory is paid for.
RING_EVENTS = 200


def assemble(boot, log):
    """Return the `Kernel` of a node, its services in the order of starting.

    Keepers of idempotency keys, TLS between nodes, the readers of subtrees and
    of the host list are the product's for other deployments; each attempt has
    its own id here, and the store tells hosts and routes.
    """
    here = boot.here
    kernel = Kernel()
    plain = Plain()
    metrics = Metrics(here.host)
    restores = Restores(boot.heartbeat_seconds)
    codec = StoreCodec(restores)
    client = BackendClient(
        here.backend.address, here.backend.connections, here.limits.body_bytes, DIALECT
    )
    fleet = FleetView(here, boot.cold_bound)
    kernel.register("metrics", metrics)
    kernel.register("events", EventRing(here.host, log, RING_EVENTS))
    kernel.register("pauses", PauseWatch())
    kernel.register("settings", SettingsStore(codec))
    kernel.register("members", Members(here))
    kernel.register("backend client", client)
    kernel.register("suspects", Suspects())
    kernel.register("owner", Owner(here.backend, client))
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
    kernel.register("dispatcher", Dispatcher(here, allowance=boot.allowance))
    kernel.register("callers", CallerPort(here, DIALECT))
    kernel.register("ready", ReadyPort(boot.ready_address))
    kernel.register("operators", OperatorPort(here))
    return kernel
