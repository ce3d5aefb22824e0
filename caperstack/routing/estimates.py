"""An entry's estimate of the load and health of each backend server."""

from caperstack.calls.model import SLOW_PHASE_LEFT_SECONDS, SLOWED_PACE, Load, ServerState
from caperstack.clock import deadline_after, now, time_left

__all__ = ["Estimate"]

#: Seconds over which the weight of an observation decays to zero: `LOAD_SECONDS` for
#: the reported counts of calls, `SERVICE_SECONDS` for the reported service time, and for
#: failures and refusals.
LOAD_SECONDS = 0.5
SERVICE_SECONDS = 5.0

#: Seconds for which a reported slowdown of a host is used; longer than the silence
#: after which a link counts as dead.
MAX_SLOWDOWN_AGE_SECONDS = 2.0

#: Penalty of a full server without a queue compared with an empty one, in service times.
OCCUPANCY_PENALTY = 0.2

#: A reported service time counts only from this multiple of the baseline on; smaller
#: differences are random variation.
SLOW_SERVICE_FACTOR = 2.5

#: Additional expected time of a call at a cold server, in baseline durations.
COLD_PENALTY_FACTOR = 1.0

#: Concurrency limit assumed for a server without a recent load report.
UNREPORTED_LIMIT = 2

#: Refresh interval of `Estimate.published` in seconds; only the policies that serve as
#: a comparison for ``load_aware`` use it.
PUBLISHED_SECONDS = 1.0

#: A server is ejected once it has at least this many results and at least this share
#: of failures.  The ejection time doubles with each consecutive ejection.
MIN_RESULTS_TO_EJECT = 5
EJECTION_FAILURE_SHARE = 0.5
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0

#: Weight of the latest result in the moving average of failures.
FAILURE_WEIGHT = 0.2

#: Concurrency limit of the `Load` that stands in until the first load report.
INITIAL_LIMIT = 20

#: A body of at least this size is sent only when the owner is about to run the call,
#: if at least this share of recent calls to that owner was refused.
WITHHELD_BYTES = 1024
WITHHELD_SHARE = 0.1

#: Weight of the latest call in the moving average of refusals.
REFUSAL_WEIGHT = 0.2


class Estimate:
    """An entry's view of one backend server, from its own calls and the load reports.

    Attributes
    ----------
    in_flight : int
        This entry's own calls in flight to the server.
    body_bytes_per_second : float
        What large bodies may use of the link of the server's host; 0 if unknown.
    """

    def __init__(self):
        self.in_flight = 0
        self.body_bytes_per_second = 0.0
        self._load = Load(limit=INITIAL_LIMIT)
        self.restart()

    def restart(self):
        """Reset everything but the calls in flight, for a new or restarted server.

        Notes
        -----
        Otherwise a server that restarts after failures or a drain would get no calls
        while the ejection or the reported state of its previous run lasts.
        """
        self._load = Load(limit=self._load.limit)
        self._in_flight_at_report = self.in_flight
        self._reported_at = 0.0
        self._rate_opens_at = 0.0
        self._link_free_at = 0.0
        self._published = 0
        self._published_until = 0.0
        self._refused = 0.0
        self._refused_at = 0.0
        self._failing = 0.0
        self._result_at = 0.0
        self._results = 0
        self._ejected_until = 0.0
        self._ejections = 0

    @property
    def state(self):
        """The `ServerState` in the last load report."""
        return self._load.state

    @property
    def published(self):
        """The published load, up to `PUBLISHED_SECONDS` older than the owner's own value."""
        return self._published

    @property
    def age_ms(self):
        """Age of the last load report in milliseconds; ``None`` before the first."""
        return round((now() - self._reported_at) * 1000) if self._reported_at else None

    @property
    def slowed(self):
        """Whether the host is so slow at the moment that the owner would refuse calls."""
        return self._slowdown() >= SLOWED_PACE

    @property
    def limit(self):
        """The concurrency limit in the last load report."""
        return self._load.limit

    @property
    def rate_limit(self):
        """The rate limit in the last load report, in requests per 1000 seconds; 0 if none."""
        return self._load.rate_limit

    @property
    def reported_service_seconds(self):
        """The service time last reported by the owner in seconds; ``None`` if not known."""
        return self._load.service_us / 1e6 or None

    @property
    def ejected(self):
        """Whether the server gets no calls for the moment because earlier ones failed."""
        return now() < self._ejected_until

    @property
    def failing(self):
        """The share of recent calls that failed, from 0 to 1.

        Notes
        -----
        The entry's own observations decay like the reported ones.  Only calls can
        show that a server has recovered, and without decay it would get none while
        others look better.
        """
        own = self._failing * _remaining_weight(self._result_at, SERVICE_SECONDS)
        return max(own, self._load.failing / 100 * self._report_weight(SERVICE_SECONDS))

    def _report_weight(self, seconds):
        """Return the weight of the last load report, decaying from 1 to 0 over `seconds`."""
        return _remaining_weight(self._reported_at, seconds)

    def expected_seconds(self, baseline):
        """Return the expected time from arrival to answer, in seconds.

        Parameters
        ----------
        baseline : float
            The service's baseline duration in seconds, used where the last
            report has expired.

        Notes
        -----
        The calls of other entries lose weight as the load report ages; the own
        calls are known exactly.  The estimate of a server without recent calls
        returns to the baseline, so that the server is tried again.
        """
        occupancy = self._occupancy()
        success_share = max(0.05, 1.0 - self.failing)
        service = self._service_seconds(baseline)
        penalty = OCCUPANCY_PENALTY * min(1.0, occupancy)
        delay = SLOW_PHASE_LEFT_SECONDS if self.slowed else 0.0
        delay += self._rate_wait()
        if self.state == ServerState.COLD:
            delay += COLD_PENALTY_FACTOR * baseline
        return delay + service * (max(1.0, occupancy) + penalty) / success_share**2

    def expected_wait(self, baseline):
        """Return the expected time from arrival until a slot is free, in seconds."""
        slot_wait = self._service_seconds(baseline) * max(0.0, self._occupancy() - 1.0)
        return max(slot_wait, self._rate_wait())

    @property
    def link_wait(self):
        """The seconds until the host's link has room for a further large body."""
        return max(0.0, time_left(self._link_free_at))

    def _rate_wait(self):
        """Return the seconds until the rate that the server states lets a further call start."""
        return max(0.0, time_left(self._rate_opens_at))

    def _service_seconds(self, baseline):
        # With heavy-tailed service times the averages of equal servers differ by
        # half from moment to moment.  If such differences counted, all entries would
        # queue at the seemingly fastest server while the others have free slots.
        reported = self._load.service_us / 1e6
        if reported < SLOW_SERVICE_FACTOR * baseline:
            return baseline
        weight = self._report_weight(SERVICE_SECONDS)
        return weight * reported + (1 - weight) * baseline

    def _slowdown(self):
        # The owner reports each change of its host's slowdown at once, so the last
        # value holds for as long as reports arrive at all.
        if now() - self._reported_at > MAX_SLOWDOWN_AGE_SECONDS:
            return 1.0
        return self._load.pace / 100

    def _occupancy(self):
        # A server that has become slow looks free while there is no recent report,
        # and each entry would send it a dozen calls before the first answer shows
        # the slowdown.  Until a report arrives, two calls make it look full.
        load = self._load
        weight = self._report_weight(LOAD_SECONDS)
        if not weight:
            return (self.in_flight + 1) / UNREPORTED_LIMIT
        others = max(0, load.in_flight + load.queued - self._in_flight_at_report)
        return (self.in_flight + others * weight + 1) / max(1, load.limit)

    def begin(self):
        """Count a call sent to the server."""
        self.in_flight += 1

    def end(self):
        """Count a call as ended."""
        self.in_flight -= 1

    def update_load(self, load):
        """Store the `Load` reported by the owner."""
        self._load = load
        self._in_flight_at_report = self.in_flight
        self._reported_at = now()
        self._rate_opens_at = deadline_after(load.rate_wait_ms / 1000)
        self._link_free_at = deadline_after(load.link_wait_ms / 1000)
        if now() >= self._published_until:
            self._published = load.published
            self._published_until = deadline_after(PUBLISHED_SECONDS)

    def mark_down(self):
        """Mark the server as down because its owner cannot be reached."""
        self._load.state = ServerState.DOWN

    def should_withhold_body(self, size):
        """Return whether to hold back a body of `size` bytes until the owner requests it.

        Notes
        -----
        Under overload one call is refused by several owners.  If each offer carried
        the body, the bodies would fill the links of hosts that cannot run the call
        and delay the calls that they do run.
        """
        refused = self._refused * _remaining_weight(self._refused_at, SERVICE_SECONDS)
        return size >= WITHHELD_BYTES and refused >= WITHHELD_SHARE

    def record_admission(self, refused):
        """Record whether the owner refused a call."""
        self._refused += REFUSAL_WEIGHT * (refused - self._refused)
        self._refused_at = now()

    def record_result(self, failed):
        """Record whether a call failed; return whether the server is ejected for it."""
        self._failing += FAILURE_WEIGHT * (failed - self._failing)
        self._result_at = now()
        self._results += 1
        if not failed:
            self._ejections = 0
            return False
        if (
            self._results < MIN_RESULTS_TO_EJECT
            or self._failing < EJECTION_FAILURE_SHARE
            or self.ejected
        ):
            return False
        self._ejections += 1
        seconds = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2 ** (self._ejections - 1))
        self._ejected_until = deadline_after(seconds)
        return True


def _remaining_weight(at, seconds):
    """Return the weight of an observation made at time `at`, from 1 to 0 over `seconds`."""
    return max(0.0, 1.0 - (now() - at) / seconds)
