"""What callers and backend servers saw, held against the promises."""

from collections import Counter, defaultdict
from itertools import pairwise

from caperstack.soak.client import CONNECTION_CLOSED, CONNECTION_REFUSED, RequestRecord
from caperstack.soak.faults import FAULTS
from caperstack.soak.verdict import Verdict

__all__ = ["CONNECTION_CLOSED", "CONNECTION_REFUSED", "RequestRecord", "check_guarantees"]

#: A leaving mark and a configuration are in force everywhere this long after the
#: store has them, in seconds.
PROPAGATION_SECONDS = 2.0

#: The scheduling of a busy machine, in seconds.
SCHEDULING_SLACK_SECONDS = 0.5

#: From so long after its third end, in seconds, a request that ends servers may be
#: sent so many times more by nodes that were themselves for as long.
BLOCKED_AFTER_SECONDS = 3.0
MAX_SENDS = 3

REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


def check_guarantees(state, requests, max_attempts):
    """Return the `caperstack.soak.verdict.Verdict` on a soak.

    Parameters
    ----------
    state : caperstack.soak.state.SoakState
        The fleet, with the ledgers of its backend servers, and what happened.
    requests : list of Asked
        All requests.
    max_attempts : int
        The most backend servers that one request may be sent to.
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
    broken["after leaving"] = list(_runs_after_departure(state))
    broken["evacuated zone"] = list(_runs_in_evacuated_zone(state))
    broken["cold server spared"] = [
        f"{host.ip} {host.instance.overwhelmed} times"
        for host in state.fleet.hosts
        if host.instance.overwhelmed
    ]
    broken["fatal request kept away"] = list(_fatal_requests_not_blocked(state, runs))
    broken["node"] = list(state.problems)
    outcomes = Counter(request.code for request in requests)
    found = {guarantee: cases for guarantee, cases in broken.items() if cases}
    return Verdict(len(requests), outcomes, Counter(state.faults), frozenset(FAULTS), found)


def _broken_guarantees(state, request, runs, max_attempts):
    """Yield the promises that a request shows broken."""
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
    if request.code == CONNECTION_CLOSED and not fault_active:
        yield "cut by planned work"
    if not _ran_configured_service(state, request, runs):
        yield "configuration in force"


def _ran_configured_service(state, request, runs):
    """Return whether the services that ran a request were those of its path."""
    history = [fact for fact in state.configurations if fact.subject == request.path]
    if not history:
        return all(run.service == run.target.strip("/").split("/")[0] for run in runs)
    for run in runs:
        since = request.begun - PROPAGATION_SECONDS - SCHEDULING_SLACK_SECONDS
        before = [fact.value for fact in history if fact.at <= since]
        allowed = set(before[-1:]) | {f.value for f in history if since < f.at <= run.at}
        # The node that the caller reached picks the service.
        calm = not state.fault_active(since, run.at, request.host)
        if run.service not in allowed and calm:
            return False
    return True


def _runs_after_departure(state):
    """Yield the runs at instances that had left, as the nodes beside them had to know."""
    left = {fact.subject: fact.at for fact in state.departures}
    known_after = PROPAGATION_SECONDS + SCHEDULING_SLACK_SECONDS
    for host in state.fleet.hosts:
        for run in host.instance.ledger:
            at = left.get(run.instance)
            if at is None or run.at < at + known_after:
                continue
            if not state.fault_active(at, run.at, host.ip):
                yield f"{run.name} at {run.instance}, {run.at - at:.2f} s after it left"


def _runs_in_evacuated_zone(state):
    """Yield the runs in a zone that was evacuated, as everybody had to know."""
    for evacuation in state.evacuations:
        known = evacuation.begin + PROPAGATION_SECONDS + SCHEDULING_SLACK_SECONDS
        for host in state.fleet.hosts:
            if host.zone != evacuation.zone:
                continue
            for run in host.instance.ledger:
                calm = not state.fault_active(evacuation.begin, run.at, host.ip)
                if known <= run.at < evacuation.end and calm:
                    yield f"{run.name} at {host.ip}, {run.at - evacuation.begin:.2f} s after"


def _fatal_requests_not_blocked(state, runs):
    """Yield the targets of requests that went on to servers though three had ended of them."""
    borders = [0.0, *sorted(state.kill_all_times), float("inf")]
    for target in state.fatal:
        ends = sorted(end.at for end in state.fleet.ends if end.target == target)
        sends = [run for own in runs.values() for run in own if run.target == target]
        for begin, end in pairwise(borders):
            # What nodes knew of it is gone with the last of them.
            own_crash_times = [at for at in ends if begin < at <= end]
            late = [
                run
                for run in sends
                if begin < run.at <= end and _must_be_blocked(state, run, own_crash_times)
            ]
            if len(late) > MAX_SENDS:
                yield f"{target} {len(late)} times, {len(own_crash_times)} ended"


def _must_be_blocked(state, run, ends):
    """Return whether the node beside the server should have kept a request away from it."""
    settled = BLOCKED_AFTER_SECONDS + SCHEDULING_SLACK_SECONDS
    host = next(h.ip for h in state.fleet.hosts if run in h.instance.ledger)
    itself = not state.fault_active(run.at - settled, run.at, host, store=False)
    return itself and len(ends) >= 3 and run.at > ends[2] + settled
