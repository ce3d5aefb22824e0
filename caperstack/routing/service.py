"""What an entry keeps of one service: policy, budgets, and how long calls take."""

from dataclasses import dataclass

from caperstack.averages import TimedAverage
from caperstack.calls.model import guessed_seconds
from caperstack.clock import now
from caperstack.routing.budgets import CallBudget
from caperstack.routing.policies import policy_named

__all__ = ["INITIAL_BASELINE_SECONDS", "Attempts", "ServiceState"]

#: The usual time of a service before its first answer, in seconds.
INITIAL_BASELINE_SECONDS = 0.02

#: The time over which the usual times follow, in seconds, and how many times
#: longer than usual a call may count.
AVERAGING_SECONDS = 10.0
OUTLIER_FACTOR = 10.0

#: Routes whose times are told apart; beyond that they are learnt anew.
MAX_ROUTES = 500

#: Answers after which a route's usual time counts.
MIN_ROUTE_ANSWERS = 10

#: A hedge goes out after this many usual times of the service where callers
#: have no objective.
HEDGE_DELAY_FACTOR = 4.0
MIN_HEDGE_DELAY_SECONDS = 0.02

#: Where they have one, it goes out when a second answer that takes this many
#: usual times would just be in time, but not before the first has taken as many
#: as nine in ten do.  Where a quick second answer (this many) would be late all
#: the same, it goes out after this many.
HEDGE_MARGIN_FACTOR = 1.15
MIN_HEDGE_DELAY_FACTOR = 1.5
FAST_ANSWER_FACTOR = 0.9
LATE_HEDGE_DELAY_FACTOR = 2.5


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
    allowance_version : int
        The version of the members among whom the fleet's allowance was shared out.
    """

    def __init__(self, policy_name, retries, hedges=None):
        self.policy_name = policy_name
        self.policy = policy_named(policy_name)
        self.retries = retries
        self.hedges = hedges or CallBudget()
        self.allowance_version = -1
        self._baseline = TimedAverage(INITIAL_BASELINE_SECONDS, AVERAGING_SECONDS)
        self._routes = {}

    @property
    def baseline_seconds(self):
        """How long a call usually takes, in seconds."""
        return self._baseline.value

    def assume_duration(self, call):
        """Take the guess at the work of `call` for usual until the first answer."""
        guess = guessed_seconds(call)
        if guess:
            self._baseline.assume(guess)

    def route_seconds(self, route):
        """How long calls of `route` usually take, in seconds; 0 if it is not known yet."""
        average = self._routes.get(route)
        return average.value if average and average.count >= MIN_ROUTE_ANSWERS else 0.0

    def record_duration(self, seconds, route=""):
        """Note how long an answered call took; a very long one counts in part."""
        self._baseline.add(min(seconds, OUTLIER_FACTOR * self._baseline.value))
        average = self._routes.get(route)
        if average is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            average = self._routes[route] = TimedAverage(seconds, AVERAGING_SECONDS)
        average.add(min(seconds, LATE_HEDGE_DELAY_FACTOR * average.value))

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
        baseline = self.route_seconds(call.route)
        if not call.objective_at or call.objective_at >= call.deadline or not baseline:
            return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * self.baseline_seconds)
        left = call.objective_at - now()
        if left < (MIN_HEDGE_DELAY_FACTOR + FAST_ANSWER_FACTOR) * baseline:
            return LATE_HEDGE_DELAY_FACTOR * baseline
        return max(left - HEDGE_MARGIN_FACTOR * baseline, MIN_HEDGE_DELAY_FACTOR * baseline)
