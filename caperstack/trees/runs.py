"""The calls that run at the backend server beside this node."""

import math

from caperstack.clock import now

__all__ = ["RunningCalls"]

#: Time constant over which `RunningCalls.idle_share` follows, in seconds.
IDLE_SECONDS = 10.0


class RunningCalls:
    """The calls that the local backend server runs now, and how often it runs none."""

    def __init__(self):
        self._calls = {}
        self._idle_share = 0.0
        self._changed_at = now()

    def __len__(self):
        return len(self._calls)

    def __iter__(self):
        return iter(self._calls.values())

    @property
    def idle_share(self):
        """The share of the last seconds in which nothing ran, from 0 to 1."""
        self._follow()
        return self._idle_share

    def begin(self, call):
        """Record that `call` is sent to the backend server."""
        self._follow()
        self._calls[call.origin, call.id] = call

    def end(self, call):
        """Record that nobody waits for the run of `call` any more."""
        self._follow()
        self._calls.pop((call.origin, call.id), None)

    def _follow(self):
        moment = now()
        weight = 1.0 - math.exp((self._changed_at - moment) / IDLE_SECONDS)
        self._idle_share += weight * ((not self._calls) - self._idle_share)
        self._changed_at = moment
