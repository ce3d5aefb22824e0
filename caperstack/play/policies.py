"""Policies of a play: what is decided as shipped, and with one gain switched off."""

import contextlib
from unittest import mock

from caperstack.exception import ConfigurationError

__all__ = ["POLICIES", "policy_in_force"]


def _by_arrival(waiter, _moment, _short_takes):
    return (waiter.sequence,) * 2


def _until_the_deadline(_gate, call, takes):
    return min(call.queue_until, call.deadline - takes)


_QUEUE = "caperstack.admission.queue"
_GATE = "caperstack.admission.gate"
_PACE = "caperstack.admission.pace"

#: For each policy how entries choose, and the constants that it changes.
POLICIES = {
    "shipped": ("load_aware", {}),
    "random entry": ("random", {}),
    "two choices": ("power_of_two", {}),
    "first come first served": ("load_aware", {f"{_QUEUE}.Waiter.rank": _by_arrival}),
    "short calls wait": ("load_aware", {f"{_GATE}.SHORT_SHARE": 0.0}),
    "fixed first guess": ("load_aware", {"caperstack.calls.model.WORK_SHARE": 0.0}),
    "first pace believed": ("load_aware", {f"{_PACE}.FIRST_USUAL_MOST": 1e9}),
    "visits ignored": (
        "load_aware",
        {
            f"{_PACE}.SLOWED_PACE": 1e9,
            "caperstack.routing.estimates.SLOWED_PACE": 1e9,
        },
    ),
    "no question before a start": (
        "load_aware",
        {"caperstack.admission.owner.FRESH_READING_SECONDS": 1e9},
    ),
    "plain queue": (
        "load_aware",
        {
            f"{_QUEUE}.Waiter.rank": _by_arrival,
            f"{_GATE}.SlotGate._last_start": _until_the_deadline,
        },
    ),
    "slots rounded up": ("load_aware", {f"{_GATE}.ROUNDING": 1.0}),
    "late calls wait": ("load_aware", {f"{_GATE}.SlotGate._last_start": _until_the_deadline}),
    "return later after a refusal": (
        "load_aware",
        {"caperstack.play.server.REFUSED_SECONDS": 0.2},
    ),
}


@contextlib.contextmanager
def policy_in_force(name):
    """Decide by the policy of that name meanwhile; the value is the entries' way to choose.

    Raises
    ------
    ConfigurationError
        If there is no such policy.
    """
    if name not in POLICIES:
        known = ", ".join(POLICIES)
        raise ConfigurationError(f"not one of {known}", step="play", peer=name)
    choice, changes = POLICIES[name]
    with contextlib.ExitStack() as stack:
        for place, value in changes.items():
            stack.enter_context(mock.patch(place, value))
        yield choice
