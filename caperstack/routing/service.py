"""Routing state of one service at an entry: policy, budgets and call durations."""

from dataclasses import dataclass

from caperstack.averages import TimeWeightedAverage
from caperstack.calls.model import initial_estimate_seconds
from caperstack.clock import now
from caperstack.routing.budgets import CallBudget
from caperstack.routing.policies import policy_named

__all__ = ["INITIAL_BASELINE_SECONDS", "Attempts", "ServiceState"]

#: Baseline duration of a service before its first answer, in seconds.
INITIAL_BASELINE_SECONDS = 0.02

#: Time constant of the moving averages of durations, in seconds.
AVERAGING_SECONDS = 10.0

#: Durations enter the average of a service as at most this multiple of it.
OUTLIER_FACTOR = 10.0

#: Largest number of routes with their own average; when it is reached, all averages are
#: dropped and measured again.
MAX_ROUTES = 500

#: Number of answers of a route before its average duration is used.
MIN_ROUTE_ANSWERS = 10

#: Delay of a hedge in baseline durations of the service, and its minimum, where
#: callers have no latency objective.
HEDGE_DELAY_FACTOR = 4.0
MIN_HEDGE_DELAY_SECONDS = 0.02

#: With an objective the hedge is sent as late as possible: when a second answer that
#: takes HEDGE_MARGIN_FACTOR baseline durations of the route would just meet the
#: objective, but not before MIN_HEDGE_DELAY_FACTOR durations, within which nine in ten
#: calls are answered.  If even a fast second answer, after FAST_ANSWER_FACTOR
#: durations, would miss the objective, the delay is LATE_HEDGE_DELAY_FACTOR durations.
HEDGE_MARGIN_FACTOR = 1.15
MIN_HEDGE_DELAY_FACTOR = 1.5
FAST_ANSWER_FACTOR = 0.9
LATE_HEDGE_DELAY_FACTOR = 2.5


@dataclass(slots=True)
class Attempts:
    """The number of attempts that one call has left, including hedges."""

    left: int

    def take(self):
        """Reserve one attempt; return whether one was left."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True

    def give_back(self):
        """Return a reserved attempt that no backend server received."""
        self.left += 1


class ServiceState:
    """Routing state of one service at this entry.

    Parameters
    ----------
    policy_name : str
        The name of the policy that chooses a server.
    retries : caperstack.routing.budgets.CallBudget
        The budget for attempts beyond the first.
    hedges : caperstack.routing.budgets.CallBudget, optional
        The budget for hedges; a separate new one if not given.

    Attributes
    ----------
    allowance_version : int
        The version of the membership when the fleet's allowance was last divided.
    """

    def __init__(self, policy_name, retries, hedges=None):
        self.policy_name = policy_name
        self.policy = policy_named(policy_name)
        self.retries = retries
        self.hedges = hedges or CallBudget()
        self.allowance_version = -1
        self._baseline = TimeWeightedAverage(INITIAL_BASELINE_SECONDS, AVERAGING_SECONDS)
        self._routes = {}

    @property
    def baseline_seconds(self):
        """The average duration of a call, in seconds."""
        return self._baseline.value

    def assume_duration(self, call):
        """Use the estimated work of `call` as the baseline until the first answer."""
        guess = initial_estimate_seconds(call)
        if guess:
            self._baseline.set_initial(guess)

    def route_seconds(self, route):
        """Return the average duration of calls of `route` in seconds; 0 if not yet known."""
        average = self._routes.get(route)
        return average.value if average and average.count >= MIN_ROUTE_ANSWERS else 0.0

    def record_duration(self, seconds, route=""):
        """Record the duration of an answered call; very long ones are capped."""
        self._baseline.add(min(seconds, OUTLIER_FACTOR * self._baseline.value))
        average = self._routes.get(route)
        if average is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            average = self._routes[route] = TimeWeightedAverage(seconds, AVERAGING_SECONDS)
        average.add(min(seconds, LATE_HEDGE_DELAY_FACTOR * average.value))

    def hedge_delay(self, call):
        """Return the delay in seconds after which to hedge `call`.

        Notes
        -----
        Hedging covers servers whose answers get lost or that have become slow, so
        that callers would get no answer until their deadline.  A hedge at the last
        moment at which it can still meet the objective saves most of these calls;
        an earlier one would duplicate calls that are only slightly slow.
        """
        baseline = self.route_seconds(call.route)
        if not call.objective_at or call.objective_at >= call.deadline or not baseline:
            return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * self.baseline_seconds)
        left = call.objective_at - now()
        if left < (MIN_HEDGE_DELAY_FACTOR + FAST_ANSWER_FACTOR) * baseline:
            return LATE_HEDGE_DELAY_FACTOR * baseline
        return max(left - HEDGE_MARGIN_FACTOR * baseline, MIN_HEDGE_DELAY_FACTOR * baseline)
