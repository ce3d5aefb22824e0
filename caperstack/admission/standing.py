"""Whether a backend server takes calls: by its list entry, its health and its answers."""

from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now

__all__ = ["ServerStanding"]

#: What calls are told in states in which there are no new ones.
CLOSED_REASONS = {
    ServerState.DRAINING: "backend server is leaving",
    ServerState.DOWN: "backend server is down",
    ServerState.EVACUATED: "zone is evacuated",
    ServerState.STOPPING: "node stops",
}

#: How long an answered call shows that the backend server lives, in seconds.
ANSWERING_SECONDS = 2.0


class ServerStanding:
    """The state of one backend server and the instance that it is.

    Attributes
    ----------
    instance, service : str
        The name of the backend server and its service; empty if unknown.
    born_ms : int
        When it started, in milliseconds since 1970; 0 if nobody says.
    node_leaves : bool
        The node itself stops, for good.
    """

    def __init__(self):
        self._state = ServerState.WARM
        self._health = ServerState.WARM
        self._listed = True
        self._evacuated = False
        self._gone = False
        self._answering_until = 0.0
        self.instance = ""
        self.born_ms = 0
        self.service = ""
        self.node_leaves = False

    @property
    def state(self):
        """The `ServerState` that everyone is told."""
        return self._state

    @property
    def closed(self):
        """Whether no new call may go to the backend server."""
        return self._state in CLOSED_REASONS

    @property
    def closed_reason(self):
        """Why no new call may go to the backend server; empty if calls may."""
        return CLOSED_REASONS.get(self._state, "")

    @property
    def answering(self):
        """Whether the backend server has answered a call lately."""
        return now() < self._answering_until

    def note_answer(self):
        """The backend server has answered a call."""
        self._answering_until = deadline_after(ANSWERING_SECONDS)

    def set_state(self, state):
        """Tell `state` from now on; return whether it is another one."""
        changed = state != self._state
        self._state = state
        return changed

    def set_listed(self, listed):
        """Note whether the platform lists the server as serving; return the state that follows."""
        self._listed = listed
        return self._worse()

    def set_evacuated(self, evacuated):
        """Note whether operators have evacuated the zone; return the state that follows."""
        self._evacuated = evacuated
        return self._worse()

    def set_health(self, state):
        """Note what the health path shows; return the state that follows."""
        self._health = state
        if state in (ServerState.WARM, ServerState.COLD) and not self.instance:
            # Nothing names who answers there: whoever does is the server.
            self._gone = False
        return self._worse()

    def set_gone(self, gone):
        """Note whether the listed server has ended; return the state that follows.

        Notes
        -----
        Failure: a backend server ends and another start of it takes its address.
        Until the list names that one, calls go on to the address, which turns
        them away one by one (90 of 104 in the first second of such a server on a
        day of a crashing service), and each counts against the allowance for
        repeats.  The port that refuses a connection, and an answer that names
        another instance, tell it at once.
        """
        self._gone = gone
        return self._worse()

    def _worse(self):
        """Return the worse of what is listed and what health shows.

        Notes
        -----
        Failure: a backend server that drains has a good health path for a
        while, or for good; calls would go on to it after it said that it
        leaves.  The list counts for that, health for whether it lives.
        """
        if self.node_leaves:
            return self._state
        if not self._listed:
            return ServerState.DRAINING
        if self._evacuated:
            return ServerState.EVACUATED
        return ServerState.DOWN if self._gone else self._health
