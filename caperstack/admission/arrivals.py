"""Which calls an owner refuses at once, before any slot is looked for."""

from caperstack.calls.model import NotRun
from caperstack.clock import now, time_left

__all__ = ["Arrivals"]

#: Calls that are left less than this share of their route's usual time are
#: refused: fewer than one in a hundred would end in time (work times spread by
#: 0.3), and the slot is lost for others.  Callers come back with a tenth of
#: their time left.
SHORTEST_SHARE = 0.5

#: How soon a call may come back that a failing server, or a host with a
#: neighbour, sent elsewhere, in seconds: a third of a neighbour's visit.
ELSEWHERE_SECONDS = 0.1

#: The same after a pause of this node, which is over by the time that it shows.
PAUSED_SECONDS = 0.05


class Arrivals:
    """Judge calls as they arrive, and once more before they are dispatched.

    Parameters
    ----------
    standing : caperstack.admission.standing.ServerStanding
        Whether the backend server takes calls, and for which service.
    failures : caperstack.admission.limit.FailureShare
        How many of its calls fail.
    times : caperstack.admission.limit.ServiceTimes
        How long calls take.
    pace : caperstack.admission.pace.HostPace
        How long work takes on the host now.
    pauses : object
        ``suspect()`` tells whether this process may have stood still.
    members : caperstack.membership.members.Members
        How many calls fail at the other servers of the service.
    suspects : caperstack.quarantine.suspects.Suspects
        Which requests end the servers that run them.
    """

    def __init__(self, standing, failures, times, pace, pauses, members, suspects):
        self._standing = standing
        self._failures = failures
        self._times = times
        self._pace = pace
        self._pauses = pauses
        self._members = members
        self._suspects = suspects

    def refusal(self, call):
        """Return the `NotRun` for a call that is refused at once, or ``None``."""
        refusal = self.barred(call) or self.too_late(call)
        return refusal or (None if call.last else self._better_elsewhere(call.service))

    def barred(self, call):
        """Return the `NotRun` for a call that the backend server must not get, or ``None``."""
        if self._standing.closed:
            return NotRun(self._standing.closed_reason, 0.0)
        if self._standing.service not in ("", call.service):
            # An address is used again: the entry's list is older than ours.
            return NotRun("backend server is of another service", 0.0)
        return self._suspects.refusal(call)

    def _better_elsewhere(self, service):
        """Return the `NotRun` for a call that has other servers left to try, or ``None``."""
        if not self._failures.passes(lambda: self._others_failing(service)):
            return NotRun("backend server fails", ELSEWHERE_SECONDS)
        if self._pace.slowed:
            return NotRun("host is slowed at this moment", ELSEWHERE_SECONDS)
        if self._pace.unread:
            return NotRun("pace of the host is not known yet", ELSEWHERE_SECONDS)
        return None

    def _others_failing(self, service):
        """Return the share of calls that fail at the other servers, the median of them.

        Notes
        -----
        Of a large service this node hears of a few servers only; the others
        would count as sound, and the gate would close as if there were none.
        """
        here = self._members.here.host
        members = self._members.of_service(service)
        heard = [m.estimate for m in members if m.host != here and m.estimate.age_ms is not None]
        others = sorted(estimate.failing for estimate in heard)
        return others[len(others) // 2] if others else 0.0

    def too_late(self, call):
        """Return the `NotRun` for a call that must not be dispatched any more, or ``None``."""
        if self._pauses.recently_paused():
            return NotRun("node was paused", PAUSED_SECONDS)
        if now() >= call.deadline:
            return NotRun("deadline passed before dispatch", 0.0)
        takes = self._times.route_known(call.route) * self._pace.usual
        if time_left(call.deadline) < SHORTEST_SHARE * takes:
            return NotRun("too little time left to run", 0.0)
        return None
