"""State and load of the owner's backend server, with change notifications."""

import asyncio
import math

from caperstack.admission.cold import ColdLimit
from caperstack.admission.gate import SlotGate
from caperstack.admission.limit import CircuitBreaker, ServiceTimes
from caperstack.admission.rate import RateLimit
from caperstack.admission.slowdown import FIRST_READING_SECONDS, HostSlowdown
from caperstack.admission.starts import StartLimits
from caperstack.admission.status import ServerStatus
from caperstack.calls.model import Load, ServerState
from caperstack.quarantine.crash import CrashDetector
from caperstack.transfers.link import LinkBudget
from caperstack.transfers.turns import TransferTurns

__all__ = ["ServerTracker"]


class ServerTracker:
    """Track whether one backend server is listed, healthy, cold, restarted or ended.

    Parameters
    ----------
    settings : caperstack.config.start.BackendSettings
        The backend server.
    client : object
        With ``restart()`` and ``async listens(deadline)``, as
        `caperstack.backend.client.BackendClient`.
    link : caperstack.transfers.link.LinkBudget, optional
        What bodies may use of the host's link; unknown if not given.
    """

    def __init__(self, settings, client, link=None):
        self._client = client
        self._link = link or LinkBudget()
        self._transfers = TransferTurns(self._link)
        self._times = ServiceTimes()
        self._slowdown = HostSlowdown()
        self._cold = ColdLimit()
        self._rate = RateLimit()
        self._known_rate = None
        self._gate = SlotGate(
            settings.slots,
            settings.slots_share,
            self._times,
            self._slowdown,
            StartLimits(self._cold, self._rate),
        )
        self._status = ServerStatus()
        self._listeners = []
        self._breaker = CircuitBreaker()
        self._published = 0
        self._watch = CrashDetector(client, self._status)
        self._watch.listen(self._on_crash)
        self._refresh = None
        self._metrics = None
        self._events = None
        self._suspects = None

    @property
    def state(self):
        """The published `ServerState`."""
        return self._status.state

    @property
    def answering(self):
        """Whether the backend server has answered a call recently."""
        return self._status.answering

    @property
    def node_leaves(self):
        """Whether the node is stopping."""
        return self._status.node_leaves

    @property
    def idle(self):
        """Whether no call runs or waits."""
        return self._gate.running == 0 and self._gate.waiting == 0

    @property
    def instance(self):
        """Instance of the backend server to which calls are addressed; empty for any."""
        return self._status.instance

    @property
    def load(self):
        """The current, exact `Load`."""
        return Load(
            self._gate.running,
            self._gate.waiting,
            self._gate.limit,
            int(self._times.recent * self._slowdown.baseline * 1e6) if self._times.known else 0,
            self._status.state,
            self._breaker.failure_percent,
            self._published,
            round(self._slowdown.relative * 100),
            self._rate.per_thousand_seconds,
            math.ceil(self._gate.rate_wait * 1000),
            self._status.leaving_run,
            math.ceil(self._transfers.expected_wait() * 1000),
        )

    async def start(self, kernel):
        """Look up the services that the tracker depends on."""
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects = kernel.find("suspects")
        self._metrics.gauge(
            "server_rate_limit",
            "requests per second that the backend server accepts, -1 without a limit",
            lambda: -1 if self._rate.per_second is None else self._rate.per_second,
        )

    def leave(self):
        """Refuse new calls permanently, since the node is stopping."""
        self._status.node_leaves = True
        self.set_state(ServerState.STOPPING)

    def set_listed(self, listed):
        """Set whether the platform lists the backend server as serving."""
        self.set_state(self._status.set_listed(listed))

    def set_evacuated(self, evacuated):
        """Set whether operators have evacuated the zone."""
        self.set_state(self._status.set_evacuated(evacuated))

    def set_health(self, state):
        """Set the state that the backend server's health path shows."""
        if state == ServerState.WARM and self._cold.cold:
            state = ServerState.COLD
        self.set_state(self._status.set_health(state))

    def set_cold_remaining(self, seconds):
        """Record the report that the server stays cold for `seconds` more, or is warm if 0."""
        self._cold.set_remaining(seconds)
        self._gate.start_waiting()

    def set_cold_limit(self, per_second, cold_seconds=0.0):
        """Limit the calls to the backend server while it is cold.

        Parameters
        ----------
        per_second : float
            Calls per second that a cold server sustains; 0 for no bound.
        cold_seconds : float
            Time for which a server is cold after its start, in seconds; 0 if unknown.
        """
        self._cold.resize(per_second, cold_seconds)

    def note_instance(self, instance):
        """Record which instance has answered; if it isn't the assigned one, that one has ended."""
        if instance == self._status.instance:
            self._watch.record_response()
        if instance and self._status.instance:
            self.set_state(self._status.set_ended(instance != self._status.instance))

    def record_report(self, report):
        """Record what the backend server states in an answer: a rate limit, that it leaves.

        Parameters
        ----------
        report : caperstack.calls.dialect.ServerReport
            The statements in the headers of the answer.
        """
        if self._is_of_another_instance(report):
            return
        stated = {
            "instance": report.instance or self._status.instance,
            "stated_by": "health path" if report.probed else "answer to a call",
        }
        before = self._rate.per_second
        if self._rate.update(report):
            self._events.state("rate limit", before, self._rate.per_second, **stated)
            self._gate.apply_rate()
        if report.leaving and not self._status.leaving_run:
            self.set_state(self._status.set_leaving())
            if self._status.leaving_run:
                self._events.state("server leaves", False, True, **stated)

    def recall_rate(self, known):
        """Apply the rate limit that an entry knows, unless the server itself has been heard.

        Parameters
        ----------
        known : caperstack.admission.rate.KnownRate
            What the entry knows.

        Notes
        -----
        If the run of the backend server is not known yet, it is applied once it is.
        """
        self._known_rate = known
        if known.run == self._status.run and self._rate.recall(known.per_thousand_seconds / 1000):
            self._events.state(
                "rate limit",
                None,
                self._rate.per_second,
                instance=self._status.instance,
                stated_by="an entry",
            )

    def _is_of_another_instance(self, report):
        return "" not in (report.instance, self.instance) and report.instance != self.instance

    def set_state(self, state):
        """Publish `state`; if it is a closed state, refuse waiting calls.

        Returns
        -------
        bool
            Whether the state changed.
        """
        old = self._status.state
        if not self._status.set_state(state):
            return False
        self._events.state("backend server", old=old, new=state)
        if self._status.closed:
            self._gate.refuse_all(self._status.closed_reason)
            self._transfers.refuse_all(self._status.closed_reason)
        self.notify_listeners()
        return True

    def notify_listeners(self):
        """Call the listeners, which send the load to peers."""
        for listener in self._listeners:
            listener()

    def assign(self, instance, service, born_ms=0):
        """Set the instance, start time and service of the backend server.

        Parameters
        ----------
        instance : str
            Name of the instance.
        service : str
            Its service.
        born_ms : int, optional
            Start of the server in milliseconds since 1970; 0 if unknown.

        Notes
        -----
        The start time reveals a restart under the same instance name.  If only names were
        compared, calls would wait for slots that calls of the previous run held, use its
        connections, and be refused for its failures.  Calls that ran there end as `Unknown`,
        not as `NotRun`.
        """
        status = self._status
        if (instance, born_ms, service) == (status.instance, status.born_ms, status.service):
            return
        self._events.state("instance", status.instance, f"{instance} of {service}, {born_ms}")
        first = not status.instance
        if not first:
            self._watch.on_server_restart()
        moved = status.service not in ("", service)
        status.instance = instance
        status.born_ms = born_ms
        status.service = service
        self.set_state(status.set_ended(False))
        self._slowdown.restart()
        if not first:
            self._reset_for_restart(moved)
        if self._known_rate is not None:
            self.recall_rate(self._known_rate)

    def _reset_for_restart(self, moved):
        self._breaker.restart()
        self._times.restart()
        self._gate.restart()
        self._cold.restart()
        self._rate.restart()
        self._client.restart()
        if self._refresh is not None:
            self._expect_reading()
        # Waiting calls must not be sent to the new instance: if the address now belongs to
        # another service, they would run there.
        reason = "backend server is of another service" if moved else "backend server started anew"
        self._gate.refuse_all(reason)
        if moved:
            self._transfers.refuse_all(reason)

    def _on_crash(self, crash):
        self._metrics.count("backend_ends")
        pending_calls = crash.pending_calls.values()
        self._suspects.record_crash(
            crash.number,
            [pending.fingerprint for pending in pending_calls],
            {pending.fingerprint.request for pending in pending_calls if pending.isolated},
        )
        self._events.log_state(
            "backend server ended",
            instance=crash.instance,
            end=f"{crash.number:016x}",
            at_work={pending.request_id: pending.fingerprint.text for pending in pending_calls},
        )
        self.set_state(self._status.set_ended(True))

    def resize(self, slots):
        """Set the number of slots of the backend server."""
        self._gate.resize(slots)

    def listen(self, listener):
        """Call ``listener()`` when the state changes, or the slowdown changes significantly."""
        self._listeners.append(listener)

    def expect_slowdown(self, refresh=None):
        """Defer calls until the first reading of the host's slowdown, since polling begins.

        Parameters
        ----------
        refresh : callable, optional
            ``await refresh()`` takes a reading at once.
        """
        self._refresh = refresh
        self._expect_reading()

    def _expect_reading(self):
        self._slowdown.expect_reading()
        # If no reading arrives in time, the calls that wait for it start without one.
        asyncio.get_running_loop().call_later(FIRST_READING_SECONDS, self._gate.start_waiting)

    def set_slowdown(self, slowdown):
        """Record a reading: work on the host now takes `slowdown` times the nominal time."""
        first = self._slowdown.awaiting_reading
        if self._slowdown.record_reading(slowdown) or first:
            self.notify_listeners()
            self._gate.start_waiting()

    def set_published(self, in_flight):
        """Set the calls in flight as published by the backend server's load endpoint."""
        self._published = in_flight

    def start_cold(self):
        """Begin with the lowest concurrency limit, since the backend server has just started."""
        self._gate.start_cold()
