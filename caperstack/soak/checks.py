"""Check the guarantees of the nodes against what callers and backend servers saw."""

from collections import Counter, defaultdict
from itertools import pairwise

from caperstack.platform.standin.arrival import max_in_window
from caperstack.soak.client import (
    BROKEN_OFF,
    CONNECTION_CLOSED,
    CONNECTION_REFUSED,
    LARGE_PATH,
    RequestRecord,
)
from caperstack.soak.faults import FAULTS
from caperstack.soak.verdict import Verdict

__all__ = [
    "BROKEN_OFF",
    "CONNECTION_CLOSED",
    "CONNECTION_REFUSED",
    "RequestRecord",
    "check_guarantees",
]

#: A draining state and a configuration must be in force on all nodes this long after
#: they were written to the store, in seconds.
PROPAGATION_SECONDS = 2.0

#: Allowance for scheduling delays on a busy machine, in seconds.
SCHEDULING_SLACK_SECONDS = 0.5

#: A request that crashes servers must be blocked this long after its third crash, in
#: seconds, by nodes that no fault has affected for as long.  `MAX_SENDS` further sends
#: by such nodes are allowed.
BLOCKED_AFTER_SECONDS = 3.0
MAX_SENDS = 3

#: A rate limit must be in force this long after a backend server first states it, in
#: seconds.  From then on it may get `MAX_RATE_FACTOR` times the rate and `RATE_SLACK`
#: requests in any window of `RATE_WINDOW_SECONDS`.
RATE_KNOWN_SECONDS = 0.5
RATE_WINDOW_SECONDS = 4.0
MAX_RATE_FACTOR = 1.5
RATE_SLACK = 5

#: Beside callers that do not read, at least this share of the requests of others must be
#: answered with 200, if there are this many.  Faults of servers fail the rest.
SERVED_SHARE = 0.25
MIN_OTHERS = 10

REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


def check_guarantees(state, requests, max_attempts):
    """Check all guarantees and return the `caperstack.soak.verdict.Verdict` on a soak.

    Parameters
    ----------
    state : caperstack.soak.state.SoakState
        The fleet, with the ledgers of its backend servers, and the record of faults.
    requests : list of RequestRecord
        All requests of callers.
    max_attempts : int
        Maximum number of backend servers that one request may be sent to.
    """
    runs = defaultdict(list)
    for host in state.fleet.hosts:
        for run in host.instance.ledger:
            runs[run.name].append(run)
    broken = defaultdict(list)
    for request in requests:
        for guarantee in _broken_guarantees(state, request, runs[request.name], max_attempts):
            at = request.begun - state.began
            broken[guarantee].append(
                f"{request.name} {request.path} {request.code} of {request.host} at {at:.2f} s"
            )
    known = {request.name for request in requests}
    broken["nobody asked"] = [name for name in runs if name not in known]
    broken["after leaving"] = [
        *_runs_after_departure(state, state.departures),
        *_runs_after_departure(state, state.stated_departures, store=False),
    ]
    broken["rate limit"] = list(_rate_limits_exceeded(state))
    broken["evacuated zone"] = list(_runs_in_evacuated_zone(state))
    broken["cold server spared"] = [
        f"{host.ip} {host.instance.overloaded} times"
        for host in state.fleet.hosts
        if host.instance.overloaded
    ]
    broken["fatal request kept away"] = list(_fatal_requests_not_blocked(state, runs))
    broken["others are served"] = list(_unserved_beside_slow_readers(state, requests))
    broken["node"] = list(state.problems)
    outcomes = Counter(request.code for request in requests)
    found = {guarantee: cases for guarantee, cases in broken.items() if cases}
    return Verdict(len(requests), outcomes, Counter(state.faults), frozenset(FAULTS), found)


def _broken_guarantees(state, request, runs, max_attempts):
    """Yield the guarantees that were broken for a request."""
    if request.code == 200 and not request.complete:
        yield "whole and own"
    if request.code == 200 and not runs:
        yield "answered without a run"
    if request.at_most_once and len(runs) > 1:
        yield "at most once"
    if request.at_most_once and request.code in REFUSAL_STATUSES and runs:
        yield "not run is true"
    if request.code == 404:
        yield "route is there"
    if len(runs) > max_attempts:
        yield "attempts"
    fault_active = state.fault_active(
        request.begun - SCHEDULING_SLACK_SECONDS, request.ended, request.host
    )
    cut = request.code == CONNECTION_CLOSED
    cut |= request.code == BROKEN_OFF and not request.may_break_off
    if cut and not fault_active:
        yield "cut by planned work"
    if not _ran_configured_service(state, request, runs):
        yield "configuration in force"


def _ran_configured_service(state, request, runs):
    """Return whether each run of a request was at the service configured for its path."""
    history = [change for change in state.configurations if change.subject == request.path]
    if not history:
        return all(run.service == run.target.strip("/").split("/")[0] for run in runs)
    for run in runs:
        since = request.begun - PROPAGATION_SECONDS - SCHEDULING_SLACK_SECONDS
        before = [change.value for change in history if change.at <= since]
        allowed = set(before[-1:]) | {
            change.value for change in history if since < change.at <= run.at
        }
        # The node that the caller reached picks the service.
        unaffected = not state.fault_active(since, run.at, request.host)
        if run.service not in allowed and unaffected:
            return False
    return True


def _runs_after_departure(state, departures, store=True):
    """Yield the runs at instances that had left, once the nodes beside them had to know it.

    Faults of the store excuse them only if `store` is true.
    """
    left = {change.subject: change.at for change in departures}
    known_after = PROPAGATION_SECONDS + SCHEDULING_SLACK_SECONDS
    for host in state.fleet.hosts:
        for run in host.instance.ledger:
            at = left.get(run.instance)
            if at is None or run.at < at + known_after:
                continue
            if not state.fault_active(at, run.at, host.ip, store):
                yield f"{run.name} at {run.instance}, {run.at - at:.2f} s after it left"


def _rate_limits_exceeded(state):
    """Yield the rate limits of which a backend server got too many requests in some window.

    A fault of the node beside the server excuses it only until the node has heard the limit:
    whatever restarts or pauses later, the limit must hold.
    """
    for period in state.rate_limits:
        since = _rate_limit_known_at(state, period)
        host = next(host for host in state.fleet.hosts if host.ip == period.host)
        times = (run.at for run in host.instance.ledger if since <= run.at < period.end)
        allowed = MAX_RATE_FACTOR * period.per_second * RATE_WINDOW_SECONDS + RATE_SLACK
        most = max_in_window(times, RATE_WINDOW_SECONDS)
        if most > allowed:
            yield f"{period.host} got {most} at {period.per_second} per second"


def _rate_limit_known_at(state, period):
    """Return when the node beside the server must know a rate limit."""
    delay = RATE_KNOWN_SECONDS + SCHEDULING_SLACK_SECONDS
    ends = [
        window.end
        for window in state.windows
        if window.process
        and window.host == period.host
        and window.begin <= period.begin + delay
        and window.end >= period.begin
    ]
    return max([period.begin, *ends]) + delay


def _runs_in_evacuated_zone(state):
    """Yield the runs in a zone that was evacuated, once all nodes had to know it."""
    for evacuation in state.evacuations:
        known = evacuation.begin + PROPAGATION_SECONDS + SCHEDULING_SLACK_SECONDS
        for host in state.fleet.hosts:
            if host.zone != evacuation.zone:
                continue
            for run in host.instance.ledger:
                unaffected = not state.fault_active(evacuation.begin, run.at, host.ip)
                if known <= run.at < evacuation.end and unaffected:
                    yield f"{run.name} at {host.ip}, {run.at - evacuation.begin:.2f} s after"


def _unserved_beside_slow_readers(state, requests):
    """Yield the periods in which too few other requests succeeded beside slow readers."""
    for period in state.slow_readers:
        if state.fault_active(period.begin - SCHEDULING_SLACK_SECONDS, period.end, period.host):
            continue
        codes = [
            request.code
            for request in requests
            if request.host == period.host
            and request.path != LARGE_PATH
            and period.begin <= request.begun <= period.end
        ]
        served = codes.count(200)
        if len(codes) >= MIN_OTHERS and served < SERVED_SHARE * len(codes):
            yield f"{period.host} served {served} of {len(codes)}"


def _fatal_requests_not_blocked(state, runs):
    """Yield the fatal targets that were sent to servers too often after their third crash."""
    period_limits = [0.0, *sorted(state.kill_all_times), float("inf")]
    for target in state.fatal:
        crashes = sorted(end.at for end in state.fleet.crashes if end.target == target)
        sends = [run for own in runs.values() for run in own if run.target == target]
        for begin, end in pairwise(period_limits):
            # Killing all nodes at once loses their record of crashes, so the count starts again.
            own_crash_times = [at for at in crashes if begin < at <= end]
            unblocked = [
                run
                for run in sends
                if begin < run.at <= end and _must_be_blocked(state, run, own_crash_times)
            ]
            if len(unblocked) > MAX_SENDS:
                yield f"{target} {len(unblocked)} times, {len(own_crash_times)} crashed"


def _must_be_blocked(state, run, crashes):
    """Return whether the node beside the server should have blocked a run of a fatal request.

    `crashes` are the times at which the request had crashed servers, in order.
    """
    settled = BLOCKED_AFTER_SECONDS + SCHEDULING_SLACK_SECONDS
    host = next(h.ip for h in state.fleet.hosts if run in h.instance.ledger)
    unaffected = not state.fault_active(run.at - settled, run.at, host, store=False)
    return unaffected and len(crashes) >= 3 and run.at > crashes[2] + settled
