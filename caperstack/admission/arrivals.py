"""Checks that refuse calls at the owner before they compete for a slot."""

from caperstack.calls.model import NotRun
from caperstack.clock import now, time_left

__all__ = ["ArrivalChecks"]

#: Calls with less time left than this share of their route's service time are refused. They
#: would occupy slots, and with a spread of service times of 0.3 fewer than one in a hundred
#: would end in time. Such calls occur because callers retry with as little as a tenth of
#: their time left.
MIN_TIME_LEFT_SHARE = 0.5

#: Advised retry delay, in seconds, for calls refused because the backend server fails or its
#: host is slowed or not yet measured: a third of a slow phase of 300 ms.
REDIRECT_RETRY_SECONDS = 0.1

#: Advised retry delay after a pause of this node, in seconds; the pause is over by the time
#: it is detected.
PAUSE_RETRY_SECONDS = 0.05


class ArrivalChecks:
    """Check calls on arrival, and again before they are dispatched.

    Parameters
    ----------
    status : caperstack.admission.status.ServerStatus
        Provides whether the backend server accepts calls, and its service.
    breaker : caperstack.admission.limit.CircuitBreaker
        Circuit breaker of the backend server.
    times : caperstack.admission.limit.ServiceTimes
        Service times of the backend server.
    slowdown : caperstack.admission.slowdown.HostSlowdown
        Slowdown of the host.
    pauses : object
        ``recently_paused()`` returns whether this process has just resumed after a pause.
    members : caperstack.membership.members.Members
        Provides the failure shares of the other servers of the service.
    suspects : caperstack.quarantine.suspects.Suspects
        Requests suspected of crashing the servers that run them.
    """

    def __init__(self, status, breaker, times, slowdown, pauses, members, suspects):
        self._status = status
        self._breaker = breaker
        self._times = times
        self._slowdown = slowdown
        self._pauses = pauses
        self._members = members
        self._suspects = suspects

    def refusal(self, call):
        """Return the refusal of an arriving call, or ``None`` if it may compete for a slot.

        Notes
        -----
        A call that has no other server left to try is not redirected.
        """
        refusal = self.blocked(call) or self.too_late(call)
        return refusal or (None if call.last else self._redirect(call.service))

    def blocked(self, call):
        """Return the refusal of a call that must not reach the backend server, or ``None``."""
        if self._status.closed:
            return NotRun(self._status.closed_reason, 0.0)
        if self._status.service not in ("", call.service):
            # The address was reassigned, and the entry's server list is older than this node's.
            return NotRun("backend server is of another service", 0.0)
        return self._suspects.refusal(call)

    def _redirect(self, service):
        """Return the refusal of a call that should try another server, or ``None``."""
        if not self._breaker.admits(lambda: self._others_failing(service)):
            return NotRun("backend server fails", REDIRECT_RETRY_SECONDS)
        if self._slowdown.slowed:
            return NotRun("host is slowed at this moment", REDIRECT_RETRY_SECONDS)
        if self._slowdown.awaiting_reading:
            return NotRun("pace of the host is not known yet", REDIRECT_RETRY_SECONDS)
        return None

    def _others_failing(self, service):
        """Return the median failure share at the other servers of the service.

        Notes
        -----
        In a large service this node has load reports from a few servers only.  The others
        are left out: if they counted as healthy, the circuit breaker would open although all
        servers fail alike.
        """
        here = self._members.here.host
        members = self._members.of_service(service)
        known = [m.estimate for m in members if m.host != here and m.estimate.age_ms is not None]
        shares = sorted(estimate.failing for estimate in known)
        return shares[len(shares) // 2] if shares else 0.0

    def too_late(self, call):
        """Return the refusal of a call that is too late to dispatch, or ``None``.

        Notes
        -----
        After a pause of this node, every call is refused for a moment.
        """
        if self._pauses.recently_paused():
            return NotRun("node was paused", PAUSE_RETRY_SECONDS)
        if now() >= call.deadline:
            return NotRun("deadline passed before dispatch", 0.0)
        service_seconds = self._times.route_seconds(call.route) * self._slowdown.baseline
        if time_left(call.deadline) < MIN_TIME_LEFT_SHARE * service_seconds:
            return NotRun("too little time left to run", 0.0)
        return None
