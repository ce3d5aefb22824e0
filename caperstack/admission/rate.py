"""Rate limit that a backend server states in its answers."""

from dataclasses import dataclass

from caperstack.clock import now, time_left

__all__ = ["KnownRate", "RateLimit"]

#: Time by which starts may be ahead of an even schedule, in seconds.  It lets calls that
#: arrive unevenly use the whole rate.
BURST_SECONDS = 0.5

#: Least rate at which calls start, in calls per second.  A server that states its rate only
#: in answers to calls, and a rate near zero, could not withdraw it without a call.
MIN_PER_SECOND = 0.1

#: Waits shorter than this, in seconds, are none: timers may fire that much early.
TIMER_TOLERANCE_SECONDS = 1e-6


@dataclass(frozen=True, slots=True)
class KnownRate:
    """A rate limit that an entry knows of another host's backend server.

    Attributes
    ----------
    run : str
        The `caperstack.calls.model.run_id` of the server that stated it.
    per_thousand_seconds : int
        Requests per 1000 seconds; 0 for no limit.
    """

    run: str
    per_thousand_seconds: int

    @property
    def stated(self):
        """Whether a known run of the server has stated a rate limit."""
        return bool(self.run) and self.per_thousand_seconds > 0


class RateLimit:
    """The requests per second that a backend server accepts from all hosts together.

    Notes
    -----
    All calls to a backend server pass through its owner, so this limit of one process is
    the limit of the whole fleet.

    A server under strain states the rate in its answers for as long as it holds.  An answer
    without it withdraws it, with two exceptions.  A refusal or a failure does not: it may
    come from a part of the server that knows nothing of the rate, or from another server at
    the address.  An answer of the health path does so only if the health path has stated the
    rate before: not every server states it there.  A rate that cannot be parsed leaves the
    former one in force, since the server still asks for one.

    Starts follow the generic cell rate algorithm [1]_, whose state is a single point in
    time.  A limit begins without any start in hand: the node's previous process may have
    used up the rate just before it ended.

    References
    ----------
    .. [1] ITU-T Recommendation I.371, annex A.
    """

    def __init__(self):
        self._per_second = None
        self._interval = 0.0
        self._due_at = 0.0
        self._return_at = 0.0
        self._stated_by_probes = False
        self._heard = False

    @property
    def per_second(self):
        """The rate in requests per second; ``None`` if the server states none."""
        return self._per_second

    @property
    def per_thousand_seconds(self):
        """The rate as `caperstack.calls.model.Load` reports it."""
        return max(1, round(self._per_second * 1000)) if self.active else 0

    @property
    def active(self):
        """Whether the server states a rate."""
        return self._per_second is not None

    @property
    def available(self):
        """Number of calls that may start now, if the server states a rate."""
        ahead_of_schedule = BURST_SECONDS - max(0.0, time_left(self._due_at))
        if ahead_of_schedule < -TIMER_TOLERANCE_SECONDS:
            return 0
        return 1 + int(max(0.0, ahead_of_schedule) / self._interval)

    def restart(self):
        """Forget the rate, since another run of the backend server has begun."""
        self._stated_by_probes = False
        self._heard = False
        self._set(None)

    def recall(self, per_second):
        """Apply a rate that an entry knows, unless the server itself has been heard.

        Returns
        -------
        bool
            Whether the rate is in force now and was not before.

        Notes
        -----
        If only answers to calls state the rate, a node that starts would fill all slots
        before the first of them.  One call may start at once, whose answer tells whether
        the rate still holds.
        """
        if self._heard or self.active:
            return False
        self._set(per_second)
        self._due_at = now() + BURST_SECONDS
        return True

    def update(self, report):
        """Apply the `caperstack.calls.dialect.ServerReport` of an answer.

        Returns
        -------
        bool
            Whether the rate changed.
        """
        if report.states_rate_limit:
            if report.rate_limit is None:
                return False
            # An answer to a call that states a rate which the health path has withdrawn shows
            # that the health path no longer tells.
            self._stated_by_probes = report.probed or (self._stated_by_probes and self.active)
        elif not report.successful or (report.probed and not self._stated_by_probes):
            return False
        self._heard = True
        changed = report.rate_limit != self._per_second
        if changed:
            self._set(report.rate_limit)
        return changed

    def _set(self, per_second):
        former, self._per_second = self._interval, per_second
        self._return_at = 0.0
        if per_second is None:
            self._interval = 0.0
            return
        self._interval = 1.0 / max(per_second, MIN_PER_SECOND)
        # What is left of the wait for the next start is left at the new rate.
        wait = time_left(self._due_at) - BURST_SECONDS
        if not former:
            wait = self._interval
        elif wait > 0.0:
            wait *= self._interval / former
        self._due_at = now() + BURST_SECONDS + wait

    def record_start(self):
        """Record the start of a call."""
        if self.active:
            self._due_at = max(self._due_at, now()) + self._interval

    def cancel_start(self):
        """Take back a recorded start: the call was not sent to the server after all."""
        if self.active:
            self._due_at -= self._interval

    def wait(self, ahead=0):
        """Return the seconds until a call may start after `ahead` other calls."""
        if not self.active:
            return 0.0
        wait = max(0.0, time_left(self._due_at)) + ahead * self._interval - BURST_SECONDS
        return wait if wait > TIMER_TOLERANCE_SECONDS else 0.0

    def return_delay(self, wait, latest_start):
        """Return the seconds after which a refused caller should try again.

        Parameters
        ----------
        wait : float
            Seconds until a further call may start.
        latest_start : float
            Time by which the call would have to start to be of use to the caller.

        Notes
        -----
        The rate has room for only one caller in each interval, so each refused caller gets
        an interval of its own.  If all were asked to return at the same time, all but one
        would be refused again.  A caller for whom that would be too late takes no interval.
        """
        at = max(now() + wait, self._return_at)
        if at <= latest_start:
            self._return_at = at + self._interval
        return at - now()
