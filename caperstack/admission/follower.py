"""What an owner knows of its backend server, and whom it tells."""

import asyncio

from caperstack.admission.cold import ColdLimit
from caperstack.admission.gate import SlotGate
from caperstack.admission.limit import FailureShare, ServiceTimes
from caperstack.admission.pace import FIRST_READING_SECONDS, HostPace
from caperstack.admission.standing import ServerStanding
from caperstack.calls.model import Load, ServerState
from caperstack.quarantine.crash import CrashWatch

__all__ = ["ServerFollower"]


class ServerFollower:
    """Follow the life of one backend server: listed, healthy, cold, started anew, ended.

    Parameters
    ----------
    settings : caperstack.config.start.BackendSettings
        The backend server.
    client : object
        With ``restart()`` and ``async listens(deadline)``, as
        `caperstack.backend.client.BackendClient`.
    """

    def __init__(self, settings, client):
        self._client = client
        self._times = ServiceTimes()
        self._pace = HostPace()
        self._cold = ColdLimit()
        self._gate = SlotGate(
            settings.slots, settings.slots_share, self._times, self._pace, self._cold
        )
        self._standing = ServerStanding()
        self._listeners = []
        self._failures = FailureShare()
        self._published = 0
        self._watch = CrashWatch(client, self._standing)
        self._watch.listen(self._on_end)
        self._refresh = None
        self._metrics = None
        self._events = None
        self._suspects = None

    @property
    def state(self):
        """The `ServerState` that this owner tells everyone."""
        return self._standing.state

    @property
    def answering(self):
        """Whether the backend server has answered a call lately."""
        return self._standing.answering

    @property
    def node_leaves(self):
        """Whether the node itself stops."""
        return self._standing.node_leaves

    @property
    def idle(self):
        """Whether no call runs or waits."""
        return self._gate.running == 0 and self._gate.waiting == 0

    @property
    def instance(self):
        """The instance of the backend server that calls are meant for; empty for any."""
        return self._standing.instance

    @property
    def load(self):
        """The exact `Load` now."""
        return Load(
            self._gate.running,
            self._gate.waiting,
            self._gate.limit,
            int(self._times.recent * self._pace.usual * 1e6) if self._times.known else 0,
            self._standing.state,
            self._failures.percent,
            self._published,
            round(self._pace.relative * 100),
        )

    async def start(self, kernel):
        """Find the services that this one needs."""
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects = kernel.find("suspects")

    def leave(self):
        """The node itself stops: refuse new calls from now on, for good."""
        self._standing.node_leaves = True
        self.set_state(ServerState.STOPPING)

    def set_listed(self, listed):
        """Note whether the platform lists the backend server as serving."""
        self.set_state(self._standing.set_listed(listed))

    def set_evacuated(self, evacuated):
        """Note whether operators have evacuated the zone."""
        self.set_state(self._standing.set_evacuated(evacuated))

    def set_health(self, state):
        """Note what the backend server's health path shows."""
        if state == ServerState.WARM and self._cold.cold:
            state = ServerState.COLD
        self.set_state(self._standing.set_health(state))

    def hear_cold(self, seconds):
        """The backend server says that it will be cold for so many seconds more; 0 if warm."""
        self._cold.hear(seconds)
        self._gate.start_waiting()

    def set_cold_limit(self, per_second, cold_seconds=0.0):
        """A cold backend server bears so many calls in a second, 0 for any number.

        Parameters
        ----------
        per_second : float
            Calls.
        cold_seconds : float
            For how long a server that has just started is cold; 0 if nobody says.
        """
        self._cold.resize(per_second, cold_seconds)

    def hear_instance(self, instance):
        """Note which instance has answered; another one holds the address of one that ended."""
        if instance == self._standing.instance:
            self._watch.note_life()
        if instance and self._standing.instance:
            self.set_state(self._standing.set_gone(instance != self._standing.instance))

    def set_state(self, state):
        """Tell everyone `state` from now on; a closed one refuses new calls.

        Returns
        -------
        bool
            Whether the state changed.
        """
        old = self._standing.state
        if not self._standing.set_state(state):
            return False
        self._events.state("backend server", old=old, new=state)
        if self._standing.closed:
            self._gate.refuse_all(self._standing.closed_reason)
        self.tell_listeners()
        return True

    def tell_listeners(self):
        """Tell peers the load now."""
        for listener in self._listeners:
            listener()

    def assign(self, instance, service, born_ms=0):
        """The backend server is this start of this instance, of this service, from now on.

        Notes
        -----
        Failure: a backend server starts again under the name that it had.  By
        its name alone it looks like the one before: calls wait for slots that
        the former run held, go out on connections that it had open, and are
        refused for failures that were not this one's.  What ran there before
        ends as unknown, not as not run.
        """
        standing = self._standing
        if (instance, born_ms, service) == (standing.instance, standing.born_ms, standing.service):
            return
        self._events.state("instance", standing.instance, f"{instance} of {service}, {born_ms}")
        first = not standing.instance
        if not first:
            self._watch.started_anew()
        moved = standing.service not in ("", service)
        standing.instance = instance
        standing.born_ms = born_ms
        standing.service = service
        self.set_state(standing.set_gone(False))
        self._pace.restart()
        if not first:
            self._start_anew(moved)

    def _start_anew(self, moved):
        self._failures.restart()
        self._times.restart()
        self._gate.restart()
        self._cold.restart()
        self._client.restart()
        if self._refresh is not None:
            self._expect_reading()
        # Failure: a call waits here while the address goes to another service;
        # named to the new instance, it runs there.
        reason = "backend server is of another service" if moved else "backend server started anew"
        self._gate.refuse_all(reason)

    def _on_end(self, end):
        self._metrics.count("backend_ends")
        self._suspects.note_end(end.number, [work.fingerprint for work in end.works.values()])
        self._events.log_state(
            "backend server ended",
            instance=end.instance,
            end=f"{end.number:016x}",
            at_work={work.request_id: work.fingerprint.text for work in end.works.values()},
        )
        self.set_state(self._standing.set_gone(True))

    def resize(self, slots):
        """The backend server has so many slots from now on."""
        self._gate.resize(slots)

    def listen(self, listener):
        """Call ``listener()`` when the state, or the pace by enough, has changed."""
        self._listeners.append(listener)

    def expect_pace(self, refresh=None):
        """Somebody has begun to ask for the host's pace; calls wait for the first reading.

        Parameters
        ----------
        refresh : callable, optional
            ``await refresh()`` asks once more, now.
        """
        self._refresh = refresh
        self._expect_reading()

    def _expect_reading(self):
        self._pace.expect_reading()
        # Where none comes, what waited for it starts without.
        asyncio.get_running_loop().call_later(FIRST_READING_SECONDS, self._gate.start_waiting)

    def set_pace(self, pace):
        """Work on the host takes `pace` times the usual at this moment."""
        first = self._pace.unread
        if self._pace.read(pace) or first:
            self.tell_listeners()
            self._gate.start_waiting()

    def set_published(self, in_flight):
        """Note what the backend server's load endpoint gave."""
        self._published = in_flight

    def start_cold(self):
        """The backend server has just started: begin with few slots."""
        self._gate.start_cold()
