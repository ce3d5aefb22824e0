"""Create the services of a node."""

from caperstack.admission.owner import Owner
from caperstack.backend.client import BackendClient
from caperstack.backend.monitor import BackendMonitor
from caperstack.callers.port import CallerPort
from caperstack.events.ring import EventRing
from caperstack.idempotency.claims import KeyClaims
from caperstack.idempotency.keeper import Keeper
from caperstack.kernel import Kernel
from caperstack.membership.evacuation import Evacuation
from caperstack.membership.hostlist import HostListReader
from caperstack.membership.members import Members
from caperstack.operators.metrics import Metrics
from caperstack.operators.port import OperatorPort
from caperstack.pauses import PauseDetector
from caperstack.peers.links import Links
from caperstack.peers.port import PeerPort
from caperstack.peers.security import PeerSecurity
from caperstack.quarantine.exchange import SuspectExchange
from caperstack.quarantine.suspects import Suspects
from caperstack.routing.dispatch import Dispatcher
from caperstack.settings.compile import TreeCodec
from caperstack.settings.reader import SettingsReader
from caperstack.settings.store import SettingsStore
from caperstack.settings.sync import SettingsSync
from caperstack.transfers.link import LinkBudget
from caperstack.trees.adoption import CallTrees

__all__ = ["assemble"]


def assemble(here, log=None):
    """Return the `Kernel` of a node, with its services in the order in which they start.

    Parameters
    ----------
    here : caperstack.config.start.StartSettings
        The start settings.
    log : caperstack.events.log.LogWriter, optional
        Writes the events as log lines.
    """
    kernel = Kernel()
    security = PeerSecurity(here.security)
    client = BackendClient(
        here.backend.address,
        here.backend.connections,
        here.limits.body_bytes,
        max_held_bytes=here.limits.answers_bytes,
    )
    link = LinkBudget(here.limits.link_bytes_per_second)
    kernel.register("metrics", Metrics(here.host))
    kernel.register("events", EventRing(here.host, log))
    kernel.register("pauses", PauseDetector())
    kernel.register("security", security)
    kernel.register("settings", SettingsStore(TreeCodec(), here.settings))
    kernel.register("members", Members(here))
    kernel.register("backend client", client)
    kernel.register("suspects", Suspects())
    kernel.register("owner", Owner(here.backend, client, link))
    kernel.register("keeper", Keeper(here))
    kernel.register("links", Links(here, security))
    kernel.register("peer port", PeerPort(here, security))
    kernel.register("backend monitor", BackendMonitor(here))
    kernel.register("host list", HostListReader(here.host_list))
    kernel.register("evacuation", Evacuation(here))
    kernel.register("suspect exchange", SuspectExchange())
    kernel.register("settings sync", SettingsSync(here))
    kernel.register("settings reader", SettingsReader(here))
    kernel.register("dispatcher", Dispatcher(here, link=link))
    kernel.register("claims", KeyClaims(here))
    kernel.register("call trees", CallTrees())
    kernel.register("callers", CallerPort(here))
    kernel.register("operators", OperatorPort(here))
    return kernel
