"""Policies of a simulation: the decisions as shipped, and with single mechanisms disabled."""

import contextlib
from unittest import mock

from caperstack.exception import ConfigurationError

__all__ = ["POLICIES", "policy_in_force"]


def _rank_by_arrival(waiter, _moment, _short_takes):
    return (waiter.sequence,) * 2


def _last_start_before_deadline(_gate, call, takes):
    return min(call.queue_until, call.deadline - takes)


def _always_false(*_arguments):
    return False


def _no_candidates(*_arguments):
    return []


def _zero_wait(*_arguments):
    return 0.0


def _wait_alone(_limit, wait, _latest_start):
    return wait


def _limit_without_trials(knee):
    return knee.limit


def _keep_limit(_limit):
    """Leave the limit unchanged."""


def _leave_call(_trees, _call):
    """Leave the call as it arrived."""


def _keep_unlimited(_limit, _per_second, _cold_seconds=0.0):
    """Leave the number of starts at a cold server unlimited."""


_QUEUE = "caperstack.admission.queue"
_GATE = "caperstack.admission.gate"
_LIMIT = "caperstack.admission.limit"
_PACE = "caperstack.admission.slowdown"
_DISPATCH = "caperstack.routing.dispatch.Dispatcher"
_ESTIMATES = "caperstack.routing.estimates"

#: For each policy the routing policy of entries, and the patches: the dotted name of each
#: replaced attribute and its replacement.
POLICIES = {
    "shipped": ("load_aware", {}),
    "random entry": ("random", {}),
    "two choices": ("power_of_two", {}),
    "first come first served": ("load_aware", {f"{_QUEUE}.Waiter.rank": _rank_by_arrival}),
    "late calls wait": (
        "load_aware",
        {f"{_GATE}.SlotGate._last_start": _last_start_before_deadline},
    ),
    "plain queue": (
        "load_aware",
        {
            f"{_QUEUE}.Waiter.rank": _rank_by_arrival,
            f"{_GATE}.SlotGate._last_start": _last_start_before_deadline,
        },
    ),
    "short calls wait": ("load_aware", {f"{_GATE}.SHORT_CALL_SHARE": 0.0}),
    "all wait, none is refused": (
        "load_aware",
        {f"{_GATE}.SlotGate._expected_wait": _zero_wait},
    ),
    "slots rounded up": ("load_aware", {f"{_GATE}.ROUNDING_TOLERANCE": 1.0}),
    "limit is not learnt": (
        "load_aware",
        {"caperstack.admission.knee.Knee.allowed": _limit_without_trials},
    ),
    "slots rounded up, not learnt": (
        "load_aware",
        {
            f"{_GATE}.ROUNDING_TOLERANCE": 1.0,
            "caperstack.admission.knee.Knee.allowed": _limit_without_trials,
        },
    ),
    "cold servers get any number": (
        "load_aware",
        {"caperstack.admission.cold.ColdLimit.resize": _keep_unlimited},
    ),
    "stated rates ignored": (
        "load_aware",
        {"caperstack.admission.rate.RateLimit.update": _always_false},
    ),
    "stated rates known to owners only": (
        "load_aware",
        {f"{_ESTIMATES}.Estimate._rate_wait": _zero_wait},
    ),
    "returns under a rate not spread": (
        "load_aware",
        {"caperstack.admission.rate.RateLimit.return_delay": _wait_alone},
    ),
    "late turns under a rate wait": (
        "load_aware",
        {f"{_GATE}.SlotGate._refuse_beyond_rate": _keep_limit},
    ),
    "limit does not adapt": ("load_aware", {f"{_LIMIT}.AdaptiveLimit.adjust": _keep_limit}),
    "slow servers are not doubted": ("load_aware", {f"{_LIMIT}.PROBE_THRESHOLD": 1e9}),
    "failing servers are not gated": ("load_aware", {f"{_LIMIT}.OPEN_FAILURE_SHARE": 2.0}),
    "nobody is ejected": ("load_aware", {f"{_ESTIMATES}.EJECTION_FAILURE_SHARE": 2.0}),
    "fixed first guess": ("load_aware", {"caperstack.calls.model.WORK_SHARE": 0.0}),
    "first pace believed": ("load_aware", {f"{_PACE}.MAX_INITIAL_BASELINE": 1e9}),
    "visits ignored": (
        "load_aware",
        {f"{_PACE}.SLOWED_PACE": 1e9, f"{_ESTIMATES}.SLOWED_PACE": 1e9},
    ),
    "nothing is held": ("load_aware", {f"{_GATE}.SlotGate._defers": _always_false}),
    "no question before a start": (
        "load_aware",
        {"caperstack.admission.owner.MAX_READING_AGE_SECONDS": 1e9},
    ),
    "no hedges": ("load_aware", {f"{_DISPATCH}._may_hedge": _always_false}),
    "no repeats": ("load_aware", {f"{_DISPATCH}._may_repeat": _always_false}),
    "no moves": ("load_aware", {"caperstack.routing.candidates.Candidates.free": _no_candidates}),
    "loads told to all": (
        "load_aware",
        {"caperstack.peers.interest.CALLS_SECONDS": 1e9},
    ),
    "loads told for five seconds": (
        "load_aware",
        {"caperstack.peers.interest.CALLS_SECONDS": 5.0},
    ),
    "no zone is nearer": ("load_aware", {"caperstack.routing.policies.ZONE_HOP_SECONDS": 0.0}),
    "callers return at once": ("load_aware", {f"{_GATE}.RETRY_DELAY_SHARE": 0.0}),
    "nested calls like others": (
        "load_aware",
        {"caperstack.trees.adoption.CallTrees.adopt": _leave_call},
    ),
    "returns not spread": ("load_aware", {f"{_GATE}.RETRY_JITTER": 0.0}),
    "return later after a refusal": (
        "load_aware",
        {"caperstack.play.server.REFUSED_SECONDS": 0.2},
    ),
}


@contextlib.contextmanager
def policy_in_force(name):
    """Apply the named policy within the context; yield the routing policy of entries.

    Parameters
    ----------
    name : str
        A key of `POLICIES`.

    Raises
    ------
    ConfigurationError
        If there is no such policy.
    """
    if name not in POLICIES:
        known = ", ".join(POLICIES)
        raise ConfigurationError(f"not one of {known}", step="play", peer=name)
    routing_policy, changes = POLICIES[name]
    with contextlib.ExitStack() as stack:
        for place, value in changes.items():
            stack.enter_context(mock.patch(place, value))
        yield routing_policy
