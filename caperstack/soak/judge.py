"""What callers and backend servers saw, held against the promises."""

from collections import Counter, defaultdict
from itertools import pairwise

from caperstack.soak.asking import CUT, NOBODY_LISTENS, Asked
from caperstack.soak.faults import FAULTS
from caperstack.soak.verdict import Verdict

__all__ = ["CUT", "NOBODY_LISTENS", "Asked", "judge"]

#: A leaving mark and a configuration are in force everywhere this long after the
#: store has them, in seconds.
IN_FORCE_SECONDS = 2.0

#: The scheduling of a busy machine, in seconds.
SLACK_SECONDS = 0.5

#: From so long after its third end, in seconds, a request that ends servers may be
#: sent so many times more by nodes that were themselves for as long.
SETTLED_SECONDS = 3.0
SENDS_MOST = 3

REFUSALS = frozenset((408, 421, 429, 503))


def judge(ground, asked, attempts_most):
    """Return the `caperstack.soak.verdict.Verdict` on a soak.

    Parameters
    ----------
    ground : caperstack.soak.ground.Ground
        The fleet, with the ledgers of its backend servers, and what happened.
    asked : list of Asked
        All requests.
    attempts_most : int
        The most backend servers that one request may be sent to.
    """
    runs = defaultdict(list)
    for host in ground.fleet.hosts:
        for run in host.instance.ledger:
            runs[run.name].append(run)
    broken = defaultdict(list)
    for one in asked:
        for promise in _broken_by(ground, one, runs[one.name], attempts_most):
            at = one.begun - ground.began
            broken[promise].append(f"{one.name} {one.path} {one.code} of {one.host} at {at:.2f} s")
    known = {one.name for one in asked}
    broken["nobody asked"] = [name for name in runs if name not in known]
    broken["after leaving"] = list(_after_leaving(ground))
    broken["evacuated zone"] = list(_in_evacuated_zone(ground))
    broken["cold server spared"] = [
        f"{host.ip} {host.instance.overloaded} times"
        for host in ground.fleet.hosts
        if host.instance.overloaded
    ]
    broken["fatal request kept away"] = list(_fatal_sent_on(ground, runs))
    broken["node"] = list(ground.problems)
    outcomes = Counter(one.code for one in asked)
    found = {promise: cases for promise, cases in broken.items() if cases}
    return Verdict(len(asked), outcomes, Counter(ground.faults), frozenset(FAULTS), found)


def _broken_by(ground, one, runs, attempts_most):
    """Yield the promises that a request shows broken."""
    if one.code == 200 and not one.whole:
        yield "whole and own"
    if one.code == 200 and not runs:
        yield "answered without a run"
    if one.once and len(runs) > 1:
        yield "at most once"
    if one.once and one.code in REFUSALS and runs:
        yield "not run is true"
    if one.code == 404:
        yield "route is there"
    if len(runs) > attempts_most:
        yield "attempts"
    troubled = ground.troubled(one.begun - SLACK_SECONDS, one.ended, one.host)
    if one.code == CUT and not troubled:
        yield "cut by planned work"
    if not _allowed(ground, one, runs):
        yield "configuration in force"


def _allowed(ground, one, runs):
    """Return whether the services that ran a request were those of its path."""
    history = [fact for fact in ground.configurations if fact.subject == one.path]
    if not history:
        return all(run.service == run.target.strip("/").split("/")[0] for run in runs)
    for run in runs:
        since = one.begun - IN_FORCE_SECONDS - SLACK_SECONDS
        before = [fact.value for fact in history if fact.at <= since]
        allowed = set(before[-1:]) | {f.value for f in history if since < f.at <= run.at}
        # The node that the caller reached picks the service.
        calm = not ground.troubled(since, run.at, one.host)
        if run.service not in allowed and calm:
            return False
    return True


def _after_leaving(ground):
    """Yield the runs at instances that had left, as the nodes beside them had to know."""
    left = {fact.subject: fact.at for fact in ground.departures}
    known_after = IN_FORCE_SECONDS + SLACK_SECONDS
    for host in ground.fleet.hosts:
        for run in host.instance.ledger:
            at = left.get(run.instance)
            if at is None or run.at < at + known_after:
                continue
            if not ground.troubled(at, run.at, host.ip):
                yield f"{run.name} at {run.instance}, {run.at - at:.2f} s after it left"


def _in_evacuated_zone(ground):
    """Yield the runs in a zone that was evacuated, as everybody had to know."""
    for evacuation in ground.evacuations:
        known = evacuation.begin + IN_FORCE_SECONDS + SLACK_SECONDS
        for host in ground.fleet.hosts:
            if host.zone != evacuation.zone:
                continue
            for run in host.instance.ledger:
                calm = not ground.troubled(evacuation.begin, run.at, host.ip)
                if known <= run.at < evacuation.end and calm:
                    yield f"{run.name} at {host.ip}, {run.at - evacuation.begin:.2f} s after"


def _fatal_sent_on(ground, runs):
    """Yield the targets of requests that went on to servers though three had ended of them."""
    borders = [0.0, *sorted(ground.full_stops), float("inf")]
    for target in ground.fatal:
        crashes = sorted(end.at for end in ground.fleet.crashes if end.target == target)
        sends = [run for own in runs.values() for run in own if run.target == target]
        for begin, end in pairwise(borders):
            # What nodes knew of it is gone with the last of them.
            own_ends = [at for at in crashes if begin < at <= end]
            late = [run for run in sends if begin < run.at <= end and _late(ground, run, own_ends)]
            if len(late) > SENDS_MOST:
                yield f"{target} {len(late)} times, {len(own_ends)} ended"


def _late(ground, run, crashes):
    """Return whether the node beside the server should have kept a request away from it."""
    settled = SETTLED_SECONDS + SLACK_SECONDS
    host = next(h.ip for h in ground.fleet.hosts if run in h.instance.ledger)
    itself = not ground.troubled(run.at - settled, run.at, host, store=False)
    return itself and len(crashes) >= 3 and run.at > crashes[2] + settled
