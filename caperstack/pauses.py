"""Detect that this process or its host was suspended for a while."""

import asyncio

from caperstack.clock import deadline_after, now, suspended_seconds

__all__ = ["PauseDetector"]

#: Interval of the periodic check, in seconds.
CHECK_INTERVAL_SECONDS = 0.25

#: Time since the last check, or delay of a check, beyond which the process counts
#: as paused, in seconds.
PAUSE_THRESHOLD_SECONDS = 0.5

#: How long requests are refused after a pause, in seconds.  Requests that arrived
#: during the pause are in the socket buffers, and are read within a few iterations
#: of the event loop.
REFUSE_AFTER_PAUSE_SECONDS = 0.25


class PauseDetector:
    """Detect pauses of this process, after which buffered requests may be stale.

    Notes
    -----
    If the process is stopped with requests in its socket buffers and resumes
    seconds later, these requests look new.  Their callers have already got
    another outcome, so the requests would run without anybody waiting for them.
    The overdue periodic check reveals the pause before any of these requests is
    handled.
    While the host itself is suspended the monotonic clock stands still and no
    check is overdue, so the suspended time of the host is compared as well.
    """

    def __init__(self):
        self._checked_at = now()
        self._suspended_seconds = suspended_seconds()
        self._refuse_until = 0.0
        self._task = None

    async def start(self, kernel):
        """Start the periodic check."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._checked_at = now()
        self._task = asyncio.create_task(self._check_periodically())

    async def stop(self):
        """Stop the periodic check."""
        self._task.cancel()

    def recently_paused(self):
        """Return whether the process has just resumed after a pause; log and count a new one."""
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
