"""Probe the backend server's health path to track its health and its host's slowdown."""

import asyncio

from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError

__all__ = ["HealthProbe"]

#: Timeout of a probe, in seconds.
PROBE_SECONDS = 1.0

#: Maximum time for which the start of a call waits for a probe, in seconds.  A live
#: backend server answers a probe within 1 ms.
REFRESH_SECONDS = 0.02

#: Maximum time between probes, in seconds.  Load reports in responses to calls make
#: other probes unnecessary, but do not show the server's health.
HEALTH_SECONDS = 1.0

#: Consecutive failed probes after which a backend server counts as down, unless it
#: still answers calls: these are better evidence than the health path.
MAX_FAILURES = 3

#: Rate of probes of a backend server that reports no load, per second, and number of
#: probes without a report after which a server is assumed to report none.
PROBES_PER_SECOND_WITHOUT_LOAD = 2.0
PROBES_TO_DETECT_LOAD = 5


class HealthProbe:
    """Probe the health path of the node's own backend server.

    Parameters
    ----------
    health_path : callable
        Returns the health path.
    rate : callable
        Returns the rate of probes, per second.

    Notes
    -----
    The slowdown of a host changes every few hundred milliseconds, with the load of
    its other tenants.  Only the owner probes the backend server, which is beside it,
    so no probe crosses availability zones; the owner sends changes to its peers.

    Unlike `caperstack.backend.monitor.BackendMonitor`, it needs only the status and the
    headers of one path, as backend servers of the platform send them.
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
        self._unreadable = {}
        self._task = None

    async def start(self, kernel):
        """Start probing."""
        self._owner = kernel.find("owner")
        self._client = kernel.find("backend client")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._client.listen(self._take_report)
        self._owner.expect_slowdown(self.refresh)
        self._task = asyncio.create_task(self._probe_forever())

    async def stop(self):
        """Stop probing."""
        self._task.cancel()

    def _take_report(self, report):
        self._owner.note_instance(report.instance)
        self._log_unreadable(report)
        self._owner.record_report(report)
        if report.slots:
            self._reports_load = True
            self._reported_at = now()
            self._owner.set_slowdown(report.pace)

    def _log_unreadable(self, report):
        """Log each header that could not be parsed, once until its value changes."""
        for header in report.unreadable:
            if self._unreadable.get(header.name) != header.value:
                self._unreadable[header.name] = header.value
                self._events.log_state("foreign header", header=header.name, value=header.value)

    async def _probe_forever(self):
        while True:
            await self._probe()
            await self._wait_until_due(now())

    async def _wait_until_due(self, probed_at):
        """Wait until the load report is older than an interval, or a health check is due.

        Notes
        -----
        Each response to a call reports the load, and with it the slowdown.  Probing
        at a fixed rate sent 12 redundant probes per second to a busy server, two
        thirds of all its probes.
        """
        while True:
            reported_at = max(probed_at, self._reported_at)
            due = min(reported_at + self._interval_seconds(), probed_at + HEALTH_SECONDS)
            if due <= now():
                return
            await asyncio.sleep(due - now())

    async def refresh(self):
        """Probe now, and wait up to `REFRESH_SECONDS` for the response.

        Concurrent calls of this method share one probe.  It does nothing if the
        backend server reports no load.
        """
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
            if error.closed_here:
                return
            healthy = False
        self._failures = 0 if healthy else self._failures + 1
        self._update_health()

    def _update_cold(self, health):
        readable = not health.unreadable
        if self._readable and not readable:
            self._events.log_state("foreign header", header="cold", value=health.unreadable)
        self._readable = readable
        self._owner.set_cold_remaining(health.cold_seconds)

    def _update_health(self):
        if self._owner.node_leaves:
            return
        if self._failures >= MAX_FAILURES and not self._owner.answering:
            self._owner.set_health(ServerState.DOWN)
        elif not self._failures:
            self._owner.set_health(ServerState.WARM)
