"""The calls that run at the backend server beside this node."""

from caperstack.clock import now

__all__ = ["RunningCalls"]


class RunningCalls:
    """The calls that the local backend server runs now, and for how long it ran none."""

    def __init__(self):
        self._calls = {}
        self._idle_seconds = 0.0
        self._idle_since = now()

    def __len__(self):
        return len(self._calls)

    def __iter__(self):
        return iter(self._calls.values())

    @property
    def idle_seconds(self):
        """The total time in which nothing ran, in seconds."""
        if self._calls:
            return self._idle_seconds
        return self._idle_seconds + now() - self._idle_since

    def begin(self, call):
        """Record that `call` is sent to the backend server."""
        self._idle_seconds = self.idle_seconds
        self._calls[call.origin, call.id] = call

    def end(self, call):
        """Record that nobody waits for the run of `call` any more."""
        if self._calls.pop((call.origin, call.id), None) is not None and not self._calls:
            self._idle_since = now()
