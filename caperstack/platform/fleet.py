"""From what the store holds to members, the owner's backend server and its limits."""

import asyncio

from caperstack.membership.members import HostEntry
from caperstack.platform.entries import ServerEntry
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
        self._servers_due = False
        self._unnamed = {}

    async def start(self, kernel):
        """Follow the settings."""
        self._events = kernel.find("events")
        self._settings = kernel.find("settings")
        self._members = kernel.find("members")
        self._owner = kernel.find("owner")
        # Failure: a node starts while the address of its backend server has
        # gone to one of another service.  The settings still name the old one,
        # no instance is known to ask for, and the other service runs what no
        # configuration sends it.  Until the server is listed it gets no call.
        self._owner.set_listed(False)
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
        # A service may be named only by a later configuration than its servers.
        if not self._servers_due:
            # A node that starts takes in all entries in one turn of the loop;
            # applied one by one that would cost the square of the fleet, 25 ms
            # for 33 of them on a weak host.
            self._servers_due = True
            asyncio.get_running_loop().call_soon(self._apply_servers)

    def _apply_limits(self, configuration):
        limits = self._here.limits
        limits.body_bytes = configuration.body_bytes
        # A caller may send on a connection that was idle for as long as any
        # configuration in force allows.
        limits.idle_seconds = max(limits.idle_seconds, configuration.idle_seconds)

    def _apply_servers(self):
        self._servers_due = False
        newest = {}
        for entry in self._named(self._entries()):
            present = newest.get(entry.host)
            if present is None or entry.order > present.order:
                newest[entry.host] = entry
        self._members.take_list([self._host_entry(entry) for entry in newest.values()])
        self._apply_own(newest.get(self._here.host))

    def _entries(self):
        for held in self._settings.held():
            if isinstance(held.parsed, ServerEntry):
                yield held.parsed

    def _named(self, entries):
        """Yield the entries of services that the configuration names, if one is known."""
        configuration = self.configuration
        unnamed = {}
        for entry in entries:
            if configuration is None or entry.service in configuration.services:
                yield entry
            else:
                unnamed[entry.instance] = entry.service
        for instance in unnamed.keys() - self._unnamed.keys():
            self._events.line("foreign entry", key=instance, reason="service: not configured")
        self._unnamed = unnamed

    def _host_entry(self, entry):
        port = self._here.peer_address.rpartition(":")[2]
        return HostEntry(
            entry.host,
            entry.zone,
            self._here.region,
            entry.service,
            f"{entry.host}:{port}",
            entry.leaving,
            entry.incarnation,
        )

    def _apply_own(self, entry):
        if entry is None:
            self._owner.set_listed(False)
            return
        self._registered = True
        self._owner.assign(entry.instance, entry.service, entry.born_ms)
        self._owner.resize(entry.slots)
        self._owner.set_listed(not entry.leaving)
