"""The readiness check that the platform calls."""

from caperstack.operators.pages import Page, PagePort
from caperstack.platform.names import READY_PATH

__all__ = ["ReadyPort"]


class ReadyPort:
    """Answers readiness checks: 200 while the node accepts requests, otherwise 503."""

    def __init__(self, address):
        self._port = PagePort(address, {READY_PATH: self._page})
        self._last = None

    async def start(self, kernel):
        """Open the port."""
        self._callers = kernel.find("callers")
        self._settings = kernel.find("settings")
        self._pauses = kernel.find("pauses")
        self._events = kernel.find("events")
        self._port.listen()

    async def stop(self):
        """Close the port."""
        await self._port.close()

    def _reason(self):
        """Return why the node does not accept requests; empty if it does."""
        if self._callers.draining:
            return "draining"
        if not self._settings.known:
            return "no settings yet"
        # A node that was short of processor time while it started refuses calls for a moment.
        # Once it has been ready, such a moment is over before the platform would react.
        has_been_ready = self._last == ""
        return "" if has_been_ready or not self._pauses.recently_paused() else "node was paused"

    def _page(self, _request):
        reason = self._reason()
        if reason != self._last:
            self._events.state("ready", self._last, reason or "ready")
            self._last = reason
        return Page(reason.encode(), 503 if reason else 200)
