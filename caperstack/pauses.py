"""Notice when this process was stopped and woke up late."""

import asyncio

from caperstack.clock import deadline_after, now, suspended_seconds

__all__ = ["PauseDetector"]

#: How often the running loop looks at itself, and how late makes a pause.
CHECK_INTERVAL_SECONDS = 0.25
PAUSE_THRESHOLD_SECONDS = 0.5

#: How long requests are refused after a pause, in seconds: what arrived in it
#: lies in the socket buffers and is read within a few turns of the loop.
REFUSE_AFTER_PAUSE_SECONDS = 0.25


class PauseDetector:
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
        self._checked_at = now()
        self._suspended_seconds = suspended_seconds()
        self._refuse_until = 0.0
        self._task = None

    async def start(self, kernel):
        """Begin to tick."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._checked_at = now()
        self._task = asyncio.create_task(self._check_periodically())

    async def stop(self):
        """Stop ticking."""
        self._task.cancel()

    def recently_paused(self):
        """Return whether the process has just woken from a pause."""
        moment = now()
        suspended = suspended_seconds()
        away = moment - self._checked_at + suspended - self._suspended_seconds
        if away > PAUSE_THRESHOLD_SECONDS:
            self._refuse_until = moment + REFUSE_AFTER_PAUSE_SECONDS
            self._metrics.count("pauses")
            self._events.state("process", "paused", f"woke {away:.1f} s later")
            self._checked_at = moment
            self._suspended_seconds = suspended
        return moment < self._refuse_until

    async def _check_periodically(self):
        while True:
            due = deadline_after(CHECK_INTERVAL_SECONDS)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if (
                now() - due + suspended_seconds() - self._suspended_seconds
                > PAUSE_THRESHOLD_SECONDS
            ):
                self.recently_paused()
            self._checked_at = now()
            self._suspended_seconds = suspended_seconds()
