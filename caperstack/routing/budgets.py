"""Budgets that limit retries and hedges to a share of first attempts."""

from dataclasses import dataclass

from caperstack.clock import now

__all__ = ["CallBudget", "FleetAllowance", "share_at_depth"]

#: Capacity of the bucket.  A service with few calls saves up tokens, so that a single
#: failure can be retried.
MAX_TOKENS = 10.0

#: Tokens of a new bucket, for failures among the first calls.
INITIAL_TOKENS = 2.0

#: Smallest number of nodes among which the fleet's allowance is divided.  A node that
#: has just started may know no other and would claim the whole allowance.
MIN_NODES = 8


def share_at_depth(share, depth):
    """Return the share of extra attempts for a call at `depth` in its call tree.

    Notes
    -----
    If each of seven levels added a tenth, the load of the lowest level would
    double.  Halving the share at each level keeps the product of all levels
    below ``exp(2 * share)`` for a tree of any depth.
    """
    return share / (1 << min(depth, 32))


class CallBudget:
    """Token bucket: first attempts add a share of a token, extra attempts take one.

    Parameters
    ----------
    capacity : float
        The capacity in tokens.
    start : float
        The initial number of tokens.
    per_second : float
        Tokens added per second regardless of calls.

    Examples
    --------
    >>> budget = CallBudget()
    >>> [budget.withdraw() for _ in range(3)]
    [True, True, False]
    >>> for _ in range(10):
    ...     budget.deposit(0.1)
    >>> budget.withdraw()
    True
    """

    def __init__(self, capacity=MAX_TOKENS, start=INITIAL_TOKENS, per_second=0.0):
        self._capacity = capacity
        self._per_second = per_second
        self._tokens = start
        self._filled_at = now()

    def set_limits(self, capacity, per_second):
        """Set the capacity in tokens and the tokens added per second."""
        self._capacity = capacity
        self._per_second = per_second
        self._tokens = min(self._tokens, capacity)

    def deposit(self, share):
        """Add the `share` of a token that one first attempt earns."""
        self._tokens = min(self._capacity, self._tokens + share)

    def withdraw(self):
        """Take one token for an extra attempt; return whether one was left."""
        moment = now()
        if self._per_second:
            self.deposit((moment - self._filled_at) * self._per_second)
            self._filled_at = moment
        # Sums of shares such as 0.1 fall short of whole numbers by rounding errors.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FleetAllowance:
    """Limit of the extra attempts of all nodes together, for each service.

    Attributes
    ----------
    share : float
        Extra attempts as a share of first attempts.
    floor : float
        Extra attempts per window in addition to the share.
    window_seconds : float
        The length of the sliding window in seconds.
    """

    share: float
    floor: float
    window_seconds: float

    def budget(self, nodes):
        """Return the `CallBudget` of one node among `nodes`.

        Notes
        -----
        With independent budgets, the retries of all entries together could double
        the load of a service that fails part of its calls.  The parts of all nodes
        therefore sum to at most the whole.  Besides the tokens earned by first attempts,
        a bucket grants in any window at most its capacity and the tokens added over
        time, each a quarter of the node's part of the floor (the capacity is at least
        one token).  The other half is left for the calls that a retried call makes
        downstream, and for nodes that join and leave.
        """
        part = self._floor_part(nodes)
        return CallBudget(max(1.0, part), min(1.0, part), part / self.window_seconds)

    def rebalance(self, budget, nodes):
        """Adjust the limits of `budget` to the current number of nodes."""
        part = self._floor_part(nodes)
        budget.set_limits(max(1.0, part), part / self.window_seconds)

    def _floor_part(self, nodes):
        return self.floor / max(MIN_NODES, nodes) / 4

    def deposit_share(self):
        """Return the share of a token that a first attempt earns; see `budget` for the half."""
        return self.share / 2
