"""Policies that choose a backend server: ``load_aware`` and others to compare it with."""

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

#: Round-trip time of a hop to another zone and to another region, in seconds.
ZONE_HOP_SECONDS = 0.002
REGION_HOP_SECONDS = 0.060

#: Largest number of candidates that are compared; of more, a random sample is taken.
SAMPLE_SIZE = 8

#: Expected times within this factor of the shortest count as equal.  Otherwise all
#: entries with the same load report would choose the same server.
NEAR_BEST_FACTOR = 1.1


@dataclass(slots=True)
class Context:
    """Location of the entry, baseline duration of the service, and source of randomness.

    ``body_seconds(member)`` is how long the call's body takes to the member's host.
    """

    zone: str
    region: str
    baseline_seconds: float
    rng: object
    body_seconds: object = lambda _member: 0.0


@dataclass
class Random:
    """Choose uniformly at random."""


@dataclass
class RoundRobin:
    """Choose the servers in turn, in the order of their hosts."""

    turn: int = field(default=-1)


@dataclass
class LeastReported:
    """Choose a server with the lowest published load."""


@dataclass
class PowerOfTwo:
    """Choose the server with the lower published load of two random ones."""


@dataclass
class LoadAware:
    """Choose among the servers with nearly the shortest expected time to answer.

    The expected time comes from the entry's own calls and the load reports.
    """


_POLICIES = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_reported": LeastReported,
    "power_of_two": PowerOfTwo,
    "load_aware": LoadAware,
}


def policy_named(name):
    """Return a new instance of the policy called `name`."""
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
        Location, baseline duration and source of randomness.
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
    scores = [
        m.estimate.expected_seconds(baseline) + _hop_seconds(m, context) + context.body_seconds(m)
        for m in sample
    ]
    threshold = min(scores) * NEAR_BEST_FACTOR
    near = [m for m, score in zip(sample, scores, strict=True) if score <= threshold]
    # Prefer the entry's zone among equals, since traffic between zones is billed.
    return context.rng.choice([m for m in near if m.zone == context.zone] or near)


def _hop_seconds(member, context):
    if member.region != context.region:
        return REGION_HOP_SECONDS
    return 0.0 if member.zone == context.zone else ZONE_HOP_SECONDS
