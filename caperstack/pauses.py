"""Notice when this process was stopped and woke up late."""

import asyncio

from caperstack.clock import deadline_after, now, suspended_seconds

__all__ = ["PauseWatch"]

#: How often the running loop looks at itself, and how late makes a pause.
TICK_SECONDS = 0.25
PAUSE_SECONDS = 0.5

#: How long requests are refused after a pause, in seconds: what arrived in it
#: lies in the socket buffers and is read within a few turns of the loop.
AFTER_PAUSE_SECONDS = 0.25


class PauseWatch:
    """Tell whether what this process holds may be older than it looks.

    Notes
    -----
    Failure: the process is stopped with requests in its buffers and wakes
    seconds later, believing them fresh; their callers have long been told
    something else, and a booking would run that nobody waits for.  The tick
    that did not happen shows the pause before any request is looked at.  While
    a host is suspended the monotonic clock stands still, and no tick is late;
    the time that the host was suspended shows it.
    """

    def __init__(self):
        self._ticked_at = now()
        self._suspended = suspended_seconds()
        self._suspect_until = 0.0
        self._ticker = None

    async def start(self, kernel):
        """Begin to tick."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._ticked_at = now()
        self._ticker = asyncio.create_task(self._tick())

    async def stop(self):
        """Stop ticking."""
        self._ticker.cancel()

    def suspect(self):
        """Return whether the process has just woken from a pause."""
        moment = now()
        suspended = suspended_seconds()
        away = moment - self._ticked_at + suspended - self._suspended
        if away > PAUSE_SECONDS:
            self._suspect_until = moment + AFTER_PAUSE_SECONDS
            self._metrics.count("pauses")
            self._events.state("process", "paused", f"woke {away:.1f} s later")
            self._ticked_at = moment
            self._suspended = suspended
        return moment < self._suspect_until

    async def _tick(self):
        while True:
            due = deadline_after(TICK_SECONDS)
            await asyncio.sleep(TICK_SECONDS)
            if now() - due + suspended_seconds() - self._suspended > PAUSE_SECONDS:
                self.suspect()
            self._ticked_at = now()
            self._suspended = suspended_seconds()
