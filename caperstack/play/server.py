"""A modelled backend server with slots, a knee, a cold start and a noisy neighbour."""

import asyncio
import math
from collections import deque

from caperstack.backend.client import REFUSED_SECONDS, ServerHealth
from caperstack.calls.dialect import ServerReport
from caperstack.calls.model import Answered, NotRun
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import BackendError

__all__ = ["ModelServer"]


class ModelServer:
    """A backend server as its owner sees it, modelled without a network.

    It has the interface of `caperstack.backend.client.BackendClient`.

    Parameters
    ----------
    service : caperstack.play.scenario.Service
        The parameters of its behaviour.
    kind_of : callable
        ``kind_of(call)`` returns the `caperstack.play.scenario.Kind` of a call.
    call_nested : callable
        ``await call_nested(kind, call)`` makes the nested calls of a call and returns
        whether all succeeded.
    rng : random.Random
        Random generator of service times and faults.
    neighbour_rng : random.Random
        Random generator of the slow phases of the host. It is separate so that they are
        the same under every policy.

    Attributes
    ----------
    running : int
        Calls that run now.
    neighbour_factor : float
        Factor by which the noisy neighbour slows work down now.
    is_down : bool
        Whether the server accepts no connections.
    crashes : int
        Number of crashes.
    fault : caperstack.play.scenario.Event or None
        The fault that affects the server now.
    """

    def __init__(self, service, kind_of, call_nested, rng, neighbour_rng):
        self._service = service
        self._kind_of = kind_of
        self._call_nested = call_nested
        self._rng = rng
        self._neighbour_rng = neighbour_rng
        self._waiting = deque()
        self._cold_since = 0.0
        self._cold_until = 0.0
        self._starts = deque()
        self._on_report = None
        self.running = 0
        self.neighbour_factor = 1.0
        self.is_down = False
        self.crashes = 0
        self.fault = None

    async def start(self, kernel):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""

    def listen(self, on_report):
        """Call ``on_report(report)`` with the `ServerReport` of each answer."""
        self._on_report = on_report

    def restart(self):
        """Restart the server: it is cold and runs no calls."""
        self.make_cold()
        self.running = 0
        self._waiting.clear()

    def make_cold(self):
        """Make the server cold from now on for its cold time."""
        self._cold_since = now()
        self._cold_until = deadline_after(self._service.cold_seconds)

    @property
    def slowdown(self):
        """Factor by which work takes longer than nominally at this moment."""
        cold = self._service.cold_factor if now() < self._cold_until else 1.0
        return cold * self.neighbour_factor

    async def run_neighbour(self):
        """Start and end slow phases caused by a noisy neighbour, until cancelled."""
        service = self._service
        while True:
            is_slow = self._neighbour_rng.random() < service.visit_share
            self.neighbour_factor = service.visit_factor if is_slow else 1.0
            await asyncio.sleep(self._neighbour_rng.expovariate(1 / service.visit_seconds))

    async def probe(self, _path, _deadline):
        """Report the load and return the health of the server."""
        if self.is_down:
            raise BackendError("no connection", step="connect", sent=False)
        self._send_report(probed=True)
        return ServerHealth(True, max(0.0, time_left(self._cold_until)))

    async def listens(self, _deadline):
        """Return whether the server accepts connections."""
        return not self.is_down

    def _send_report(self, probed=False):
        report = ServerReport(
            "", self.running, len(self._waiting), self._service.slots, self.slowdown
        )
        report.probed = probed
        if self.fault is not None and self.fault.what == "limit":
            report.states_rate_limit = True
            report.rate_limit = self.fault.factor
        self._on_report(report)

    async def fetch(self, call, _instance=""):
        """Run `call` on the modelled server and return its answer or refusal."""
        if self.is_down:
            raise BackendError("no connection", step="connect", sent=False)
        self._count_start()
        if self._fault_applies("shed"):
            return NotRun("server sheds", REFUSED_SECONDS, offered=True)
        kind = self._kind_of(call)
        try:
            async with asyncio.timeout_at(call.deadline):
                if not await self._acquire_slot():
                    return NotRun("server is full", REFUSED_SECONDS, offered=True)
                try:
                    return await self._run(kind, call)
                finally:
                    self._release_slot()
        except TimeoutError:
            raise BackendError("deadline passed", step="backend") from None

    def _count_start(self):
        """Count the start of a call; crash if the cold server got too many in a second."""
        max_starts = self._service.cold_bears
        moment = now()
        if not max_starts or moment >= self._cold_until:
            return
        self._starts.append(moment)
        since = max(self._cold_since, moment - 1.0)
        while self._starts[0] < since:
            self._starts.popleft()
        if len(self._starts) > max_starts:
            self._crash()
            raise BackendError("connection closed", step="backend", unheard=True)

    def _crash(self):
        self.is_down = True
        self.crashes += 1
        asyncio.get_running_loop().call_later(self._service.down_seconds, self._restart_after_crash)

    def _restart_after_crash(self):
        self.is_down = False
        self.restart()

    def _fault_applies(self, what):
        """Return whether a current fault of the kind `what` affects this call."""
        fault = self.fault
        return fault is not None and fault.what == what and self._rng.random() < fault.share

    async def _acquire_slot(self):
        if self.running < self._service.slots:
            self.running += 1
            return True
        if len(self._waiting) >= self._service.queue:
            return False
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append(granted)
        await granted
        return True

    def _release_slot(self):
        while self._waiting:
            granted = self._waiting.popleft()
            if not granted.done():
                granted.set_result(None)
                return
        self.running = max(0, self.running - 1)

    async def _run(self, kind, call):
        seconds = self._service_seconds(kind)
        if not kind.calls:
            await asyncio.sleep(seconds)
        else:
            await asyncio.sleep(seconds / 2)
            if not await self._call_nested(kind, call):
                return Answered(500, "Internal Server Error", [], b"")
            await asyncio.sleep(seconds / 2)
        if self._fault_applies("fail"):
            return Answered(500, "Internal Server Error", [], b"")
        if time_left(call.deadline) <= 0:
            return Answered(504, "Gateway Timeout", [], b"")
        self._send_report()
        return Answered(200, "OK", [], b"")

    def _service_seconds(self, kind):
        service = self._service
        factor = self.slowdown
        if self.fault is not None and self.fault.what == "slow":
            factor *= self.fault.factor
        if self.running > service.knee * service.slots:
            factor *= service.knee_factor
        mean = math.log(kind.work_ms / 1000) - kind.spread**2 / 2
        return factor * self._rng.lognormvariate(mean, kind.spread)
