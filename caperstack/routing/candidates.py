"""The backend servers that an entry may send a call to, and the one that it picks."""

from caperstack.calls.model import ServerState
from caperstack.membership.order import hash_number
from caperstack.membership.subset import Subset
from caperstack.routing.policies import Context, choose

__all__ = ["Candidates", "PATIENCE", "usual_seconds"]

#: How long an owner may hold a call before it is better moved on, in usual
#: service times; the last try may wait until its deadline.
PATIENCE = 0.25

#: At most this share of a service's members is ejected at once.
EJECTED_MOST = 0.5


class Candidates:
    """The members that may get calls, and the choice among them.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        Where the choice is made.
    rng : random.Random
        The chance in it.
    """

    def __init__(self, here, rng):
        self._here = here
        self._rng = rng
        self._subsets = {}
        self._members = None
        self._metrics = None

    def start(self, members, metrics):
        """Follow `members`."""
        self._members = members
        self._metrics = metrics
        members.listen(self._on_member)

    def free_one(self, call, state, tried):
        """Return the best untried member that may run `call` about now, or ``None``."""
        return self._choose(state, self.free(call, state, tried))

    def any_one(self, call, state, failed):
        """Return the best of all members but those in `failed`, busy or not, or ``None``."""
        return self._choose(state, [m for m in self._accepting(call) if m not in failed])

    def first_for(self, call):
        """Return the member that every entry picks for the request of `call`, or ``None``."""
        members = self._sound(self._members.usable(self._members.of_service(call.service)))
        name = call.fingerprint.text
        return max(members, key=lambda m: hash_number(f"{name} {m.host}"), default=None)

    def _accepting(self, call):
        """Return the members of this entry's subset that may get new work."""
        members = self._members.usable(self.subset(call.service))
        if not members:
            # The whole subset is leaving or gone: any member will do.
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
        """Return the untried members that may run a call about now.

        Notes
        -----
        Failure: when all servers are busy, each call asks one after the other
        and is refused by all; the asking takes the nodes' processors, and what
        was a full queue becomes an outage that outlasts its cause.  A refusal
        brings the owner's exact load, so the next call knows and does not ask.
        """
        members = self._accepting(call)
        usual = usual_seconds(members, state)
        return [
            member
            for member in members
            if member not in tried
            and not member.estimate.slowed
            and member.estimate.expected_wait(usual) <= PATIENCE * usual
        ]

    def _choose(self, state, members):
        if not members:
            return None
        usual = usual_seconds(members, state)
        context = Context(self._here.zone, self._here.region, usual, self._rng)
        return choose(state.policy, self._sound(members), context)

    def _sound(self, members):
        """Return the members fit for work, or all if too many seem unfit.

        Notes
        -----
        When most servers seem dead at once, the fault is likely on this side:
        a partition, or a pause of this process.  Ejecting them all would turn
        it into an outage, so beyond a bound nobody is ejected.
        """
        usable = [m for m in members if m.owner.usable and m.estimate.state != ServerState.DOWN]
        if not usable:
            usable = members
        healthy = [m for m in usable if not m.estimate.ejected]
        if len(usable) - len(healthy) > len(usable) * EJECTED_MOST:
            self._metrics.count("self_doubts")
            return usable
        return healthy or usable


def usual_seconds(members, state):
    """Return the service time that most of `members` have, in seconds.

    Notes
    -----
    Failure: the entry's own times of calls include their waiting.  In a
    slowdown they grew until the slow server no longer stood out, and calls
    went on to it.  The median of what the owners tell is that of a healthy
    server while fewer than half are slow.
    """
    told = sorted(m.estimate.told_seconds for m in members if m.estimate.told_seconds is not None)
    return told[(len(told) - 1) // 2] if told else state.usual_seconds
