"""Timer that fires at the earliest of the times for which it was set."""

import asyncio

from caperstack.clock import deadline_after

__all__ = ["WakeUp"]


class WakeUp:
    """Call a function once, at the earliest time for which it was set since the last call.

    Parameters
    ----------
    callback : callable
        Called without arguments.
    """

    def __init__(self, callback):
        self._callback = callback
        self._timer = None
        self._due_at = 0.0

    def set(self, seconds):
        """Fire `seconds` from now, or sooner if the timer is already set for sooner."""
        due_at = deadline_after(seconds)
        if self._timer is not None:
            if self._due_at <= due_at:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = asyncio.get_running_loop().call_later(seconds, self._fire)

    def _fire(self):
        self._timer = None
        self._callback()
