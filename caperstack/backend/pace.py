"""Ask the backend server's health path often enough to know the pace of its host."""

import asyncio

from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError

__all__ = ["PaceProbe"]

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
FAILURES_MOST = 3

#: Probes a second of a backend server that never told a pace, and after how
#: many of them that is taken for granted.
WITHOUT_PACE = 2.0
PROBES_TO_KNOW = 5


class PaceProbe:
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
        self._paced = False
        self._told_at = 0.0
        self._asking = None
        self._readable = True
        self._task = None

    async def start(self, kernel):
        """Start asking."""
        self._owner = kernel.find("owner")
        self._client = kernel.find("backend client")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._client.listen(self._take_report)
        self._owner.expect_slowdown(self.refresh)
        self._task = asyncio.create_task(self._ask_for_ever())

    async def stop(self):
        """Stop asking."""
        self._task.cancel()

    def _take_report(self, report):
        self._owner.note_instance(report.instance)
        if report.slots:
            self._paced = True
            self._told_at = now()
            self._owner.set_slowdown(report.pace)

    async def _ask_for_ever(self):
        while True:
            await self._ask()
            await self._until_stale(now())

    async def _until_stale(self, asked_at):
        """Wait until no answer has told the pace for an interval, or a health check is due.

        Notes
        -----
        Each answer to a call brings the pace.  Asked beside them, a busy server
        got 12 questions a second that told nothing new, two in three of all.
        """
        while True:
            told_at = max(asked_at, self._told_at)
            due = min(told_at + self._interval(), asked_at + HEALTH_SECONDS)
            if due <= now():
                return
            await asyncio.sleep(due - now())

    async def refresh(self):
        """Ask now, for all who want to know, and wait a moment for the answer."""
        if not self._paced:
            return
        if self._asking is None:
            self._asking = asyncio.create_task(self._ask())
            self._asking.add_done_callback(self._asked)
        await asyncio.wait((self._asking,), timeout=REFRESH_SECONDS)

    def _asked(self, _task):
        self._asking = None

    def _interval(self):
        if self._paced or self._probes < PROBES_TO_KNOW:
            return 1.0 / self._rate()
        return 1.0 / WITHOUT_PACE

    async def _ask(self):
        self._probes += 1
        self._metrics.count("measuring_requests")
        try:
            health = await self._client.probe(self._health_path(), deadline_after(PROBE_SECONDS))
            healthy = health.healthy
            self._hear_cold(health)
        except BackendError as error:
            self._metrics.count("measuring_failures", kind=error.step)
            healthy = False
        self._failures = 0 if healthy else self._failures + 1
        self._judge()

    def _hear_cold(self, health):
        readable = not health.unreadable
        if self._readable and not readable:
            self._events.log_state("foreign header", header="cold", value=health.unreadable)
        self._readable = readable
        self._owner.set_cold_remaining(health.cold_seconds)

    def _judge(self):
        if self._owner.node_leaves:
            return
        if self._failures >= FAILURES_MOST and not self._owner.answering:
            self._owner.set_health(ServerState.DOWN)
        elif not self._failures:
            self._owner.set_health(ServerState.WARM)
