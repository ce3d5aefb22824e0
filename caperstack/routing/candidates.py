"""Candidate backend servers for a call, and the choice among them."""

from caperstack.calls.model import ServerState
from caperstack.membership.order import hash_number
from caperstack.membership.subset import Subset
from caperstack.routing.policies import Context, choose
from caperstack.transfers.link import LinkBudget

__all__ = ["Candidates", "QUEUE_WAIT_FACTOR", "baseline_seconds", "patience_seconds"]

#: How long a call may queue at an owner before another server is tried, in baseline
#: service times; the last attempt may queue until the deadline.  Where few calls run at
#: once, it may queue for the mean time until one of them ends.
QUEUE_WAIT_FACTOR = 0.25

#: Largest share of a service's members that may be ejected at the same time.
MAX_EJECTED_SHARE = 0.5


class Candidates:
    """The members that may get calls, and the choice among them.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        The identity and location of this node.
    rng : random.Random
        The source of randomness for the choice.
    link : caperstack.transfers.link.LinkBudget, optional
        What bodies may use of this host's link; unknown if not given.
    """

    def __init__(self, here, rng, link=None):
        self._here = here
        self._rng = rng
        self._link = link or LinkBudget()
        self._subsets = {}
        self._members = None
        self._metrics = None

    def start(self, members, metrics):
        """Start to track the changes of `members`."""
        self._members = members
        self._metrics = metrics
        members.listen(self._on_member)

    def pick_available(self, call, state, tried):
        """Return the best untried member with an expected free slot, or ``None``."""
        return self._choose(call, state, self.free(call, state, tried))

    def pick_any(self, call, state, failed):
        """Return the best member not in `failed`, even if it is busy, or ``None``."""
        return self._choose(call, state, [m for m in self._accepting(call) if m not in failed])

    def pick_deterministic(self, call):
        """Return the member that every entry picks for the request of `call`, or ``None``.

        Notes
        -----
        The choice is by rendezvous hashing of the request's fingerprint and the host
        names, among all members of the service instead of this entry's subset.
        """
        members = self._healthy(self._members.usable(self._members.of_service(call.service)))
        name = call.fingerprint.text
        return max(members, key=lambda m: hash_number(f"{name} {m.host}"), default=None)

    def _accepting(self, call):
        """Return the members of this entry's subset that accept new calls."""
        members = self._members.usable(self.subset(call.service))
        if not members:
            # The whole subset is leaving, gone or in evacuated zones: fall back to all members.
            members = self._members.usable(self._members.of_service(call.service))
        for member in members:
            member.owner.freshen(member.estimate)
        return members

    def _on_member(self, member, gone):
        subset = self._subsets.get(member.service)
        if subset is None:
            subset = self._subsets[member.service] = Subset(self._here)
        if gone:
            subset.remove(member)
        else:
            subset.add(member)

    def subset(self, service):
        """Return the members of `service` that this entry calls."""
        subset = self._subsets.get(service)
        if subset is None:
            return []
        subset.exclude(self._members.evacuated)
        return subset.members

    def free(self, call, state, tried):
        """Return the untried members that are expected to have a free slot about now.

        Notes
        -----
        If every call were offered to each busy server in turn and refused by all,
        the offers would use up the nodes' processors, and an overload would become
        an outage that outlasts its cause.  A refusal carries the owner's exact
        load, so that later calls skip that server.
        """
        members = self._accepting(call)
        baseline = baseline_seconds(members, state)
        return [
            member
            for member in members
            if member not in tried
            and not member.estimate.slowed
            and member.estimate.expected_wait(baseline) <= patience_seconds(member, baseline)
            and self._link_wait(call, member) <= patience_seconds(member, baseline)
        ]

    def _link_wait(self, call, member):
        """Return the seconds until the link of the member's host has room for the call's body."""
        if member.host == self._here.host:
            return 0.0
        rate = member.estimate.body_bytes_per_second
        return member.estimate.link_wait if self._link.is_large(len(call.body), rate) else 0.0

    def _body_seconds(self, call, member):
        """Return the seconds until the call's body would be at the member's host."""
        if member.host == self._here.host:
            return 0.0
        transfer = self._link.seconds(len(call.body), member.estimate.body_bytes_per_second)
        return self._link_wait(call, member) + transfer

    def _choose(self, call, state, members):
        if not members:
            return None
        baseline = baseline_seconds(members, state)
        context = Context(
            self._here.zone,
            self._here.region,
            baseline,
            self._rng,
            lambda member: self._body_seconds(call, member),
        )
        return choose(state.policy, self._healthy(members), context)

    def _healthy(self, members):
        """Return the members that are up and not ejected; all that are up if most are ejected.

        Notes
        -----
        When most servers seem to fail at once, the cause is probably on this node: a
        network partition, or a pause of the process.  Avoiding them all would turn
        that into an outage.  Ejections are therefore ignored if the share of ejected
        members exceeds `MAX_EJECTED_SHARE`, and all members are kept if all seem down.
        """
        usable = [m for m in members if m.owner.usable and m.estimate.state != ServerState.DOWN]
        if not usable:
            usable = members
        healthy = [m for m in usable if not m.estimate.ejected]
        if len(usable) - len(healthy) > len(usable) * MAX_EJECTED_SHARE:
            self._metrics.count("self_doubts")
            return usable
        return healthy or usable


def patience_seconds(member, baseline):
    """Return how long a call may queue at `member` before another server is tried, in seconds.

    Notes
    -----
    A shorter wait than the time until the next slot would be free anywhere only moves calls
    from one full server of few slots to the next, each for an exchange of messages.
    """
    return max(QUEUE_WAIT_FACTOR, 1.0 / max(1, member.estimate.limit)) * baseline


def baseline_seconds(members, state):
    """Return the median service time that the owners of `members` report, in seconds.

    Notes
    -----
    The durations that the entry measures include queueing.  During a slowdown they
    would grow until the slow server no longer stands out, and calls would still be
    sent to it.  The median is the time of a healthy server while fewer than half
    of the servers are slow.  Without reports the entry's own baseline is returned.
    """
    reported = sorted(
        m.estimate.reported_service_seconds
        for m in members
        if m.estimate.reported_service_seconds is not None
    )
    return reported[(len(reported) - 1) // 2] if reported else state.baseline_seconds
