"""The ways to choose a backend server; one is ours, the others are baselines."""

from dataclasses import dataclass, field
from functools import singledispatch

__all__ = [
    "Context",
    "LeastReported",
    "LoadAware",
    "PowerOfTwo",
    "Random",
    "RoundRobin",
    "choose",
    "policy_named",
]

#: What a hop to another zone and to another region costs, both ways, in seconds.
ZONE_HOP_SECONDS = 0.002
REGION_HOP_SECONDS = 0.060

#: How many candidates are compared: all of a small service, a sample of a large one.
SAMPLE_SIZE = 8

#: Scores within this factor of the best count as equal.  Without it, all
#: entries that heard the same report would run to the same server.
NEAR_BEST_FACTOR = 1.1


@dataclass(slots=True)
class Context:
    """Where the choice is made, and what is usual for the service."""

    zone: str
    region: str
    baseline_seconds: float
    rng: object


@dataclass
class Random:
    """Any server with equal chance."""


@dataclass
class RoundRobin:
    """One after the other."""

    turn: int = field(default=-1)


@dataclass
class LeastReported:
    """The least in flight by the published reports."""


@dataclass
class PowerOfTwo:
    """The less loaded of two random servers by the published reports."""


@dataclass
class LoadAware:
    """The least expected time to answer, from own calls and loads that rode back."""


_POLICIES = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_reported": LeastReported,
    "power_of_two": PowerOfTwo,
    "load_aware": LoadAware,
}


def policy_named(name):
    """Return a new policy object of that name."""
    return _POLICIES[name]()


@singledispatch
def choose(policy, members, context):
    """Return the member to call.

    Parameters
    ----------
    policy : object
        One of the policies of this module.
    members : list
        Candidates with ``estimate``, ``zone`` and ``region``; not empty.
    context : Context
        The place, the pace and the source of chance.
    """
    raise TypeError(f"no such policy: {policy!r}")


@choose.register
def _(policy: Random, members, context):
    return context.rng.choice(members)


@choose.register
def _(policy: RoundRobin, members, context):
    policy.turn += 1
    return sorted(members, key=lambda member: member.host)[policy.turn % len(members)]


@choose.register
def _(policy: LeastReported, members, context):
    least = min(member.estimate.published for member in members)
    return context.rng.choice([m for m in members if m.estimate.published == least])


@choose.register
def _(policy: PowerOfTwo, members, context):
    pair = context.rng.sample(members, min(2, len(members)))
    return min(pair, key=lambda member: member.estimate.published)


@choose.register
def _(policy: LoadAware, members, context):
    sample = members if len(members) <= SAMPLE_SIZE else context.rng.sample(members, SAMPLE_SIZE)
    baseline = context.baseline_seconds
    scores = [m.estimate.expected_seconds(baseline) + _hop_seconds(m, context) for m in sample]
    bound = min(scores) * NEAR_BEST_FACTOR
    near = [m for m, score in zip(sample, scores, strict=True) if score <= bound]
    # Among equals the own zone: bytes between zones are paid for.
    return context.rng.choice([m for m in near if m.zone == context.zone] or near)


def _hop_seconds(member, context):
    if member.region != context.region:
        return REGION_HOP_SECONDS
    return 0.0 if member.zone == context.zone else ZONE_HOP_SECONDS
