"""What an entry keeps of one service: policy, budgets, and how long calls take."""

from dataclasses import dataclass

from caperstack.averages import TimedAverage
from caperstack.calls.model import initial_estimate_seconds
from caperstack.clock import now
from caperstack.routing.budgets import CallBudget
from caperstack.routing.policies import policy_named

__all__ = ["FIRST_USUAL_SECONDS", "Attempts", "ServiceState"]

#: The usual time of a service before its first answer, in seconds.
FIRST_USUAL_SECONDS = 0.02

#: The time over which the usual times follow, in seconds, and how many times
#: longer than usual a call may count.
USUAL_SECONDS = 10.0
OUTLIER = 10.0

#: Routes whose times are told apart; beyond that they are learnt anew.
ROUTES_MOST = 500

#: Answers after which a route's usual time counts.
ROUTE_ANSWERS = 10

#: A hedge goes out after this many usual times of the service where callers
#: have no objective.
HEDGE_AFTER = 4.0
HEDGE_LEAST_SECONDS = 0.02

#: Where they have one, it goes out when a second answer that takes this many
#: usual times would just be in time, but not before the first has taken as many
#: as nine in ten do.  Where a quick second answer (this many) would be late all
#: the same, it goes out after this many.
HEDGE_ROOM = 1.15
HEDGE_NOT_BEFORE = 1.5
HEDGE_QUICK = 0.9
HEDGE_LATE = 2.5


@dataclass(slots=True)
class Attempts:
    """How many more backend servers one call may be sent to, hedges included."""

    left: int

    def take(self):
        """Reserve one attempt; return whether there was one."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True

    def give_back(self):
        """The reserved attempt was not sent to a backend server."""
        self.left += 1


class ServiceState:
    """What this entry keeps of one service.

    Parameters
    ----------
    policy_name : str
        The way of choosing a server.
    retries : caperstack.routing.budgets.CallBudget
        What may be sent beyond first tries.
    hedges : caperstack.routing.budgets.CallBudget, optional
        What of it may be hedges, if that has a budget of its own.

    Attributes
    ----------
    shared_among : int
        The version of the members among whom the fleet's allowance was shared out.
    """

    def __init__(self, policy_name, retries, hedges=None):
        self.policy_name = policy_name
        self.policy = policy_named(policy_name)
        self.retries = retries
        self.hedges = hedges or CallBudget()
        self.shared_among = -1
        self._usual = TimedAverage(FIRST_USUAL_SECONDS, USUAL_SECONDS)
        self._routes = {}

    @property
    def usual_seconds(self):
        """How long a call usually takes, in seconds."""
        return self._usual.value

    def expect(self, call):
        """Take the guess at the work of `call` for usual until the first answer."""
        guess = initial_estimate_seconds(call)
        if guess:
            self._usual.assume(guess)

    def route_seconds(self, route):
        """How long calls of `route` usually take, in seconds; 0 if it is not known yet."""
        average = self._routes.get(route)
        return average.value if average and average.count >= ROUTE_ANSWERS else 0.0

    def take_time(self, seconds, route=""):
        """Note how long an answered call took; a very long one counts in part."""
        self._usual.add(min(seconds, OUTLIER * self._usual.value))
        average = self._routes.get(route)
        if average is None:
            if len(self._routes) >= ROUTES_MOST:
                self._routes.clear()
            average = self._routes[route] = TimedAverage(seconds, USUAL_SECONDS)
        average.add(min(seconds, HEDGE_LATE * average.value))

    def hedge_delay(self, call):
        """Return after how many seconds a second attempt at `call` makes sense.

        Notes
        -----
        Which load it answers: a backend server runs listings and their answers
        are lost, or it has become slow, and the callers hear nothing until
        their deadline.  A second attempt at the last moment at which it can
        still be in time rescues most of them; sooner, it would repeat calls
        that are only a little slower than usual.
        """
        usual = self.route_seconds(call.route)
        if not call.objective_at or call.objective_at >= call.deadline or not usual:
            return max(HEDGE_LEAST_SECONDS, HEDGE_AFTER * self.usual_seconds)
        left = call.objective_at - now()
        if left < (HEDGE_NOT_BEFORE + HEDGE_QUICK) * usual:
            return HEDGE_LATE * usual
        return max(left - HEDGE_ROOM * usual, HEDGE_NOT_BEFORE * usual)
