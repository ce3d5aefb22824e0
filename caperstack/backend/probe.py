"""Ask the backend server's health path often enough to know the pace of its host."""

import asyncio

from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError

__all__ = ["HealthProbe"]

#: A probe that takes longer counts as failed, in seconds.
PROBE_SECONDS = 1.0

#: How long a call waits for a question that is asked before it starts, in seconds:
#: an answer takes 1 ms where the backend server lives.
REFRESH_SECONDS = 0.02

#: Without answers that tell the pace there is a probe each interval; with them one
#: a second at least, which shows the server's own health.
HEALTH_SECONDS = 1.0

#: Failed probes in a row that make a backend server count as down, unless it
#: answers calls: then the calls are believed, not the health path.
MAX_FAILURES = 3

#: Probes a second of a backend server that never told a pace, and after how
#: many of them that is taken for granted.
PROBES_PER_SECOND_WITHOUT_LOAD = 2.0
PROBES_TO_DETECT_LOAD = 5


class HealthProbe:
    """The only one who asks a backend server's health path.

    Notes
    -----
    The pace of a host, how long work takes on it at this moment, changes every
    few hundred milliseconds as its neighbours come and go.  The owner asks for
    it beside the backend server, where asking crosses no zone, and tells peers
    of changes; nobody else asks.
    """

    def __init__(self, health_path, rate):
        self._health_path = health_path
        self._rate = rate
        self._failures = 0
        self._probes = 0
        self._reports_load = False
        self._reported_at = 0.0
        self._refreshing = None
        self._readable = True
        self._task = None

    async def start(self, kernel):
        """Start asking."""
        self._owner = kernel.find("owner")
        self._client = kernel.find("backend client")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._client.listen(self._take_report)
        self._owner.expect_pace(self.refresh)
        self._task = asyncio.create_task(self._probe_forever())

    async def stop(self):
        """Stop asking."""
        self._task.cancel()

    def _take_report(self, report):
        self._owner.hear_instance(report.instance)
        if report.slots:
            self._reports_load = True
            self._reported_at = now()
            self._owner.set_pace(report.pace)

    async def _probe_forever(self):
        while True:
            await self._probe()
            await self._wait_until_due(now())

    async def _wait_until_due(self, asked_at):
        """Wait until no answer has told the pace for an interval, or a health check is due.

        Notes
        -----
        Each answer to a call brings the pace.  Asked beside them, a busy server
        got 12 questions a second that told nothing new, two in three of all.
        """
        while True:
            told_at = max(asked_at, self._reported_at)
            due = min(told_at + self._interval_seconds(), asked_at + HEALTH_SECONDS)
            if due <= now():
                return
            await asyncio.sleep(due - now())

    async def refresh(self):
        """Ask now, for all who want to know, and wait a moment for the answer."""
        if not self._reports_load:
            return
        if self._refreshing is None:
            self._refreshing = asyncio.create_task(self._probe())
            self._refreshing.add_done_callback(self._clear_refresh)
        await asyncio.wait((self._refreshing,), timeout=REFRESH_SECONDS)

    def _clear_refresh(self, _task):
        self._refreshing = None

    def _interval_seconds(self):
        if self._reports_load or self._probes < PROBES_TO_DETECT_LOAD:
            return 1.0 / self._rate()
        return 1.0 / PROBES_PER_SECOND_WITHOUT_LOAD

    async def _probe(self):
        self._probes += 1
        self._metrics.count("measuring_requests")
        try:
            health = await self._client.probe(self._health_path(), deadline_after(PROBE_SECONDS))
            healthy = health.healthy
            self._update_cold(health)
        except BackendError as error:
            self._metrics.count("measuring_failures", kind=error.step)
            healthy = False
        self._failures = 0 if healthy else self._failures + 1
        self._update_health()

    def _update_cold(self, health):
        readable = not health.unreadable
        if self._readable and not readable:
            self._events.belief("foreign header", header="cold", value=health.unreadable)
        self._readable = readable
        self._owner.hear_cold(health.cold_seconds)

    def _update_health(self):
        if self._owner.node_leaves:
            return
        if self._failures >= MAX_FAILURES and not self._owner.answering:
            self._owner.set_health(ServerState.DOWN)
        elif not self._failures:
            self._owner.set_health(ServerState.WARM)
