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
    cold_bound : caperstack.platform.boot.ColdBound
        What a cold backend server may get in a second.

    Notes
    -----
    Failure: each change of one backend server's entry makes every node take in
    the whole list again.  When a fleet is replaced, that is the square of its
    size: at 195 hosts 20 ms of a weak core for each change, a fifth of all that
    a node used.  Only the hosts whose entries changed are looked at; two
    entries may name one host for a while, so those of a host are kept together.
    """

    def __init__(self, here, cold_bound):
        self._here = here
        self._cold_bound = cold_bound
        self._port = here.peer_address.rpartition(":")[2]
        self._registered = False
        self._entries = {}
        self._at_host = {}
        self._due = {}
        self._services = None
        self._unnamed = set()

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
        if not self._due:
            # A node that starts takes in all entries in one turn of the loop;
            # two entries of a host are judged together.
            asyncio.get_running_loop().call_soon(self._apply)
        # A dict serves as an ordered set: hosts are looked at in the order of the
        # changes.  The own host is always among them, so that an apply is due.
        self._due[self._here.host] = True
        if held.path == CONFIGURATION_KEY:
            self._apply_limits(held.parsed)
            self._name_services(held.parsed)
        elif isinstance(held.parsed, ServerEntry | None):
            self._note(held.path, held.parsed)

    def _apply_limits(self, configuration):
        limits = self._here.limits
        limits.body_bytes = configuration.body_bytes
        # A caller may send on a connection that was idle for as long as any
        # configuration in force allows.
        limits.idle_seconds = max(limits.idle_seconds, configuration.idle_seconds)

    def _apply_cold_limit(self):
        configuration = self.configuration
        limits = configuration and configuration.services.get(self._here.backend.service)
        if limits:
            most = self._cold_bound.per_second(limits.cold_per_second)
            self._owner.set_cold_limit(most, limits.cold_seconds)

    def _name_services(self, configuration):
        # A service may be named only by a later configuration than its servers.
        services = frozenset(configuration.services)
        if services != self._services:
            self._services = services
            self._due.update(dict.fromkeys(self._at_host))

    def _note(self, path, entry):
        """The entry at that path is `entry` now, or gone if ``None``."""
        former = self._entries.pop(path, None)
        if former is not None:
            self._due[former.host] = True
            neighbours = self._at_host[former.host]
            del neighbours[path]
            if not neighbours:
                del self._at_host[former.host]
        if entry is None:
            self._unnamed.discard(path)
            return
        self._due[entry.host] = True
        self._entries[path] = entry
        self._at_host.setdefault(entry.host, {})[path] = entry

    def _apply(self):
        due, self._due = self._due, {}
        for host in due:
            entry = self._newest(host)
            if entry is None:
                self._members.remove(host)
            else:
                self._members.put(self._host_entry(entry))
            if host == self._here.host:
                self._apply_own(entry)
                self._apply_cold_limit()

    def _newest(self, host):
        """Return the entry that holds `host`, or ``None``."""
        entries = self._at_host.get(host, {}).items()
        named = [entry for path, entry in entries if self._names(path, entry)]
        return max(named, key=lambda entry: entry.order, default=None)

    def _names(self, path, entry):
        """Return whether the configuration, if one is known, names the entry's service."""
        if self._services is None or entry.service in self._services:
            self._unnamed.discard(path)
            return True
        if path not in self._unnamed:
            self._unnamed.add(path)
            self._events.log_state(
                "foreign entry", key=entry.instance, reason="service: not configured"
            )
        return False

    def _host_entry(self, entry):
        return HostEntry(
            entry.host,
            entry.zone,
            self._here.region,
            entry.service,
            f"{entry.host}:{self._port}",
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
        # Its service's limits come with the configuration: no call before.
        self._owner.set_listed(not entry.leaving and self.configuration is not None)
