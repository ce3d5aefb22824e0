"""Evacuated zones, whose backend servers get no new calls."""

__all__ = ["Evacuation"]


class Evacuation:
    """Apply the evacuated zones of the settings tree to the members and to the owner.

    Notes
    -----
    The list of zones is part of the settings tree, so it is distributed to all nodes
    and reverted like any other setting.  An entry selects no member in an evacuated zone.
    An owner there refuses new calls and reports that they did not run, so entries
    that have not received the change yet can retry them elsewhere.  Running calls
    complete.

    Parameters
    ----------
    here : object
        The start settings of this node; its ``zone`` is read.
    """

    def __init__(self, here):
        self._here = here
        self._settings = None
        self._members = None
        self._owner = None
        self._events = None

    async def start(self, kernel):
        """Apply the current settings and subscribe to changes."""
        self._settings = kernel.find("settings")
        self._members = kernel.find("members")
        self._owner = kernel.find("owner")
        self._events = kernel.find("events")
        metrics = kernel.find("metrics")
        metrics.gauge("zones_evacuated", "zones that get no new calls", self._count)
        self._settings.listen(self._on_change)
        self._apply()

    async def stop(self):
        """Nothing to stop."""

    def _count(self):
        return len(self._members.evacuated)

    def _on_change(self, _held):
        self._apply()

    def _apply(self):
        before, zones = self._members.evacuated, self._settings.evacuated_zones
        if zones == before:
            return
        for zone in sorted(zones ^ before):
            self._events.state("zone evacuated", zone in before, zone in zones, zone)
        self._members.evacuated = zones
        self._owner.set_evacuated(self._here.zone in zones)
