"""Applies the settings from the store to the members and to the owner's backend server."""

import asyncio

from caperstack.membership.members import HostEntry
from caperstack.platform.entries import ServerEntry
from caperstack.platform.names import CONFIGURATION_KEY

__all__ = ["FleetView"]


class FleetView:
    """Keeps the members and the owner up to date with the settings from the store.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    cold_bound : caperstack.platform.boot.ColdBound
        Bounds the request rate of a cold backend server.

    Notes
    -----
    Only the hosts whose entries changed are processed.  Processing all entries at each
    change makes the replacement of a whole fleet quadratic in its size: at 195 hosts it
    took 20 ms of a slow core for each change, a fifth of a node's CPU time.  Entries are
    indexed by host because two of them may name the same host for a while.
    """

    def __init__(self, here, cold_bound):
        self._here = here
        self._cold_bound = cold_bound
        self._port = here.peer_address.rpartition(":")[2]
        self._registered = False
        self._entries = {}
        self._entries_by_host = {}
        self._changed_hosts = {}
        self._services = None
        self._unconfigured = set()
        self._unknown_kinds = frozenset()

    async def start(self, kernel):
        """Subscribe to changes of the settings."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._settings = kernel.find("settings")
        self._members = kernel.find("members")
        self._owner = kernel.find("owner")
        # The server gets no call until it is listed.  Its address may have been reused by
        # a server of another service while the start settings still name the old one.  No
        # instance name is known yet with which calls could be addressed, so the other
        # service would run calls that no configuration routes to it.
        self._owner.set_listed(False)
        self._settings.listen(self._on_change)

    async def stop(self):
        """Do nothing; the view has no task."""

    @property
    def registered(self):
        """Whether an entry of the backend server beside this node has been applied so far."""
        return self._registered

    @property
    def configuration(self):
        """The `caperstack.platform.items.Configuration` in force, or ``None``."""
        held = self._settings.get(CONFIGURATION_KEY)
        return None if held is None else held.parsed

    def health_path(self):
        """Return the health path of the backend server's service, ``/health`` if unknown."""
        configuration = self.configuration
        limits = configuration and configuration.services.get(self._here.backend.service)
        return limits.health_path if limits else "/health"

    def _on_change(self, held):
        if not self._changed_hosts:
            # Deferred, so that a starting node applies all entries in one iteration of the
            # event loop, and two entries of a host are compared with each other.
            asyncio.get_running_loop().call_soon(self._apply_changes)
        # The dict is used as an ordered set: hosts are processed in the order of the
        # changes.  The node's own host is always added, so that the dict is not empty while
        # a call of _apply_changes is scheduled.
        self._changed_hosts[self._here.host] = True
        if held.path == CONFIGURATION_KEY:
            self._apply_limits(held.parsed)
            self._update_services(held.parsed)
            self._report_unknown_kinds(held.parsed)
        elif isinstance(held.parsed, ServerEntry | None):
            self._index_entry(held.path, held.parsed)

    def _apply_limits(self, configuration):
        limits = self._here.limits
        limits.body_bytes = configuration.body_bytes
        # Never reduced: a caller may still use a connection that was idle for as long as
        # an earlier configuration allowed.
        limits.idle_seconds = max(limits.idle_seconds, configuration.idle_seconds)

    def _apply_cold_limit(self):
        configuration = self.configuration
        limits = configuration and configuration.services.get(self._here.backend.service)
        if limits:
            max_per_second = self._cold_bound.per_second(limits.cold_per_second)
            self._owner.set_cold_limit(max_per_second, limits.cold_seconds)

    def _update_services(self, configuration):
        # Servers may register before the configuration that names their service, so all
        # hosts are checked again.
        services = frozenset(configuration.services)
        if services != self._services:
            self._services = services
            self._changed_hosts.update(dict.fromkeys(self._entries_by_host))

    def _report_unknown_kinds(self, configuration):
        """Log once which routes are of a kind that this version does not know."""
        known = self._unknown_kinds
        self._unknown_kinds = frozenset(configuration.unknown_kinds)
        for unknown in sorted(self._unknown_kinds - known, key=lambda unknown: unknown.route):
            self._metrics.count("unknown_route_kinds")
            self._events.log_state(
                "unknown route kind",
                route=unknown.route,
                route_kind=unknown.kind,
                version=configuration.version,
                outcome="runs at most once",
            )

    def _index_entry(self, path, entry):
        """Replace the entry at `path` in the index; ``None`` removes it."""
        former = self._entries.pop(path, None)
        if former is not None:
            self._changed_hosts[former.host] = True
            at_host = self._entries_by_host[former.host]
            del at_host[path]
            if not at_host:
                del self._entries_by_host[former.host]
        if entry is None:
            self._unconfigured.discard(path)
            return
        self._changed_hosts[entry.host] = True
        self._entries[path] = entry
        self._entries_by_host.setdefault(entry.host, {})[path] = entry

    def _apply_changes(self):
        changed, self._changed_hosts = self._changed_hosts, {}
        for host in changed:
            entry = self._newest(host)
            if entry is None:
                self._members.remove(host)
            else:
                self._members.put(self._host_entry(entry))
            if host == self._here.host:
                self._apply_own_entry(entry)
                self._apply_cold_limit()

    def _newest(self, host):
        """Return the newest configured entry of `host`, or ``None``."""
        entries = self._entries_by_host.get(host, {}).items()
        configured = [entry for path, entry in entries if self._is_configured(path, entry)]
        return max(configured, key=lambda entry: entry.order, default=None)

    def _is_configured(self, path, entry):
        """Return whether the entry's service is configured; ``True`` without a configuration."""
        if self._services is None or entry.service in self._services:
            self._unconfigured.discard(path)
            return True
        if path not in self._unconfigured:
            self._unconfigured.add(path)
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

    def _apply_own_entry(self, entry):
        if entry is None:
            self._owner.set_listed(False)
            return
        self._registered = True
        self._owner.assign(entry.instance, entry.service, entry.born_ms)
        self._owner.resize(entry.slots)
        # The configuration holds the limits of the service, so the server gets no call before
        # it is known.
        self._owner.set_listed(not entry.leaving and self.configuration is not None)
