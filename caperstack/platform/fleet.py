"""From what the store holds to members, the owner's backend server and its limits."""

from caperstack.membership.members import HostEntry
from caperstack.platform.items import ServerEntry
from caperstack.platform.names import CONFIGURATION_KEY

__all__ = ["FleetView"]


class FleetView:
    """Keep members and the owner in step with the store.

    Parameters
    ----------
    here : caperstack.config.here.Here
        This node.
    """

    def __init__(self, here):
        self._here = here
        self._registered = False

    async def start(self, kernel):
        """Follow the settings."""
        self._settings = kernel.find("settings")
        self._members = kernel.find("members")
        self._owner = kernel.find("owner")
        self._settings.listen(self._on_change)

    async def stop(self):
        """Nothing to stop."""

    @property
    def registered(self):
        """Whether the backend server beside this node has been listed."""
        return self._registered

    @property
    def configuration(self):
        """The `caperstack.platform.items.Configuration` in force, or ``None``."""
        held = self._settings.get(CONFIGURATION_KEY)
        return None if held is None else held.parsed

    def health_path(self):
        """Return the health path of the service beside this node."""
        configuration = self.configuration
        limits = configuration and configuration.services.get(self._here.backend.service)
        return limits.health_path if limits else "/health"

    def _on_change(self, held):
        if held.path == CONFIGURATION_KEY:
            self._apply_limits(held.parsed)
        else:
            self._apply_servers()

    def _apply_limits(self, configuration):
        limits = self._here.limits
        limits.body_bytes = configuration.body_bytes
        # A caller may send on a connection that was idle for as long as any
        # configuration in force allows.
        limits.idle_seconds = max(limits.idle_seconds, configuration.idle_seconds)

    def _apply_servers(self):
        newest = {}
        for entry in self._entries():
            present = newest.get(entry.host)
            if present is None or entry.created > present.created:
                newest[entry.host] = entry
        self._members.take_list([self._host_entry(entry) for entry in newest.values()])
        self._apply_own(newest.get(self._here.host))

    def _entries(self):
        for held in self._settings.held():
            if isinstance(held.parsed, ServerEntry):
                yield held.parsed

    def _host_entry(self, entry):
        port = self._here.peer_address.rpartition(":")[2]
        return HostEntry(
            entry.host,
            entry.zone,
            self._here.region,
            entry.service,
            f"{entry.host}:{port}",
            entry.leaving,
        )

    def _apply_own(self, entry):
        if entry is None:
            # Before the first registration the backend server may be up all
            # the same; after it, a missing entry means that it is gone.
            if self._registered:
                self._owner.set_listed(False)
            return
        self._registered = True
        self._owner.assign(entry.instance, entry.service)
        self._owner.resize(entry.slots)
        self._owner.set_listed(not entry.leaving)
