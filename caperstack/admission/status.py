"""State of a backend server, from its list entry, its health checks and its answers."""

from caperstack.calls.model import ServerState, run_id
from caperstack.clock import deadline_after, now

__all__ = ["ServerStatus"]

#: Reasons for the refusal of new calls, by closed state.
CLOSED_REASONS = {
    ServerState.DRAINING: "backend server is leaving",
    ServerState.DOWN: "backend server is down",
    ServerState.EVACUATED: "zone is evacuated",
    ServerState.STOPPING: "node stops",
}

#: Time for which the backend server counts as answering after it has answered a call, in
#: seconds.
ANSWERING_SECONDS = 2.0


class ServerStatus:
    """State and identity of one backend server.

    Attributes
    ----------
    instance, service : str
        Instance name of the backend server and its service; empty if unknown.
    born_ms : int
        Start time of the backend server in milliseconds since 1970; 0 if unknown.
    node_leaves : bool
        Whether the node itself is stopping.
    """

    def __init__(self):
        self._state = ServerState.WARM
        self._health = ServerState.WARM
        self._listed = True
        self._evacuated = False
        self._ended = False
        self._leaving_run = ""
        self._answering_until = 0.0
        self.instance = ""
        self.born_ms = 0
        self.service = ""
        self.node_leaves = False

    @property
    def state(self):
        """The published `ServerState`."""
        return self._state

    @property
    def closed(self):
        """Whether no new call may go to the backend server."""
        return self._state in CLOSED_REASONS

    @property
    def closed_reason(self):
        """Reason why no new call may go to the backend server; empty if calls may."""
        return CLOSED_REASONS.get(self._state, "")

    @property
    def run(self):
        """The `run_id` of the backend server; empty if its instance is unknown."""
        return run_id(self.instance, self.born_ms) if self.instance else ""

    @property
    def leaving_run(self):
        """The `run_id` of the backend server if it has stated that it is leaving, else empty."""
        return self._leaving_run if self._leaving_run == self.run else ""

    @property
    def answering(self):
        """Whether the backend server has answered a call recently."""
        return now() < self._answering_until

    def note_answer(self):
        """Record that the backend server has answered a call."""
        self._answering_until = deadline_after(ANSWERING_SECONDS)

    def set_state(self, state):
        """Set the published state; return whether it changed."""
        changed = state != self._state
        self._state = state
        return changed

    def set_listed(self, listed):
        """Set whether the platform lists the server as serving; return the effective state."""
        self._listed = listed
        return self._effective_state()

    def set_evacuated(self, evacuated):
        """Set whether operators have evacuated the zone; return the effective state."""
        self._evacuated = evacuated
        return self._effective_state()

    def set_health(self, state):
        """Set the state shown by the health path; return the effective state."""
        self._health = state
        if state in (ServerState.WARM, ServerState.COLD) and not self.instance:
            # Without a known instance name, whatever answers at the address is the server.
            self._ended = False
        return self._effective_state()

    def set_ended(self, ended):
        """Set whether the listed server has ended; return the effective state.

        Notes
        -----
        If a backend server ends and a new run of it takes over the address, calls addressed to
        the old run would continue to go there until the list names the new one.  They would be
        rejected one by one (90 of 104 in the first second of such a server, with a service
        that kept crashing), and each counts against the retry budget.  A refused connection,
        or an answer that names another instance, reveals the end at once.
        """
        self._ended = ended
        return self._effective_state()

    def set_leaving(self):
        """Record that this run of the server states that it leaves; return the effective state.

        Notes
        -----
        A server may state it in its answers before the list shows it, or although the list
        never does.  It ends soon, so the statement holds for the rest of the run, whatever
        the list and later answers say.
        """
        self._leaving_run = self.run
        return self._effective_state()

    def _effective_state(self):
        """Combine list entry, statements, evacuation and health into the effective state.

        Notes
        -----
        A draining backend server passes its health checks for a while, or throughout, and
        would get calls after it has announced that it is leaving.  The list therefore decides
        whether it is draining, and the health checks whether it is alive.
        """
        if self.node_leaves:
            return self._state
        if not self._listed or self.leaving_run:
            return ServerState.DRAINING
        if self._evacuated:
            return ServerState.EVACUATED
        return ServerState.DOWN if self._ended else self._health
