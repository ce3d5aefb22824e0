"""Budgets for retries and hedges, as a share of first tries."""

from dataclasses import dataclass

from caperstack.clock import now

__all__ = ["CallBudget", "FleetAllowance", "share_at_depth"]

#: Tokens that a quiet service may save up, so that a lone failure can be retried.
MAX_TOKENS = 10.0

#: Tokens of a service that was never called, for its first failures.
INITIAL_TOKENS = 2.0

#: A node that has just started may know itself alone, and would take the whole
#: allowance for its own: it counts on this many others at least.
MIN_NODES = 8


def share_at_depth(share, depth):
    """Return the share that a call `depth` levels down its tree may add.

    Notes
    -----
    If each of seven levels added a tenth, the lowest would see its load
    doubled.  Halving the share at each level keeps the product of all levels
    below ``exp(2 * share)`` however deep the tree is.
    """
    return share / (1 << min(depth, 32))


class CallBudget:
    """A bucket that first tries fill by a share and extra tries empty by one.

    Parameters
    ----------
    reserve : float
        The most tokens that are saved up.
    start : float
        The tokens of a service that was never called.
    per_second : float
        Tokens that come without any calls.

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

    def __init__(self, reserve=MAX_TOKENS, start=INITIAL_TOKENS, per_second=0.0):
        self._reserve = reserve
        self._per_second = per_second
        self._tokens = start
        self._filled_at = now()

    def set_limits(self, reserve, per_second):
        """Save up at most `reserve` tokens from now on, and gain so many a second."""
        self._reserve = reserve
        self._per_second = per_second
        self._tokens = min(self._tokens, reserve)

    def deposit(self, share):
        """Count one first try that earns `share` of an extra one."""
        self._tokens = min(self._reserve, self._tokens + share)

    def withdraw(self):
        """Take one extra try; return whether there was one."""
        moment = now()
        if self._per_second:
            self.deposit((moment - self._filled_at) * self._per_second)
            self._filled_at = moment
        # Sums of shares such as 0.1 fall short of whole numbers by rounding.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class FleetAllowance:
    """What all nodes together may send beyond first tries, for each service.

    Attributes
    ----------
    share : float
        Of first tries.
    floor : float
        Extra tries a window beside the share.
    window_seconds : float
        The length of the window, which may begin at any moment.
    """

    share: float
    floor: float
    window_seconds: float

    def budget(self, nodes):
        """Return the `CallBudget` of one of `nodes`.

        Notes
        -----
        Failure: a service fails part of its calls, each entry repeats within a
        budget of its own, and together they send the service twice its load.
        Each node's part is such that all sum to the whole: in any window a
        bucket gives at most its reserve and what flows in, each a quarter of
        the node's part of the floor.  The other half is left for calls that a
        repeated call makes again, and for nodes that come and go.
        """
        part = self._floor_part(nodes)
        return CallBudget(max(1.0, part), min(1.0, part), part / self.window_seconds)

    def rebalance(self, budget, nodes):
        """Bound `budget` anew: so many nodes are known now."""
        part = self._floor_part(nodes)
        budget.set_limits(max(1.0, part), part / self.window_seconds)

    def _floor_part(self, nodes):
        return self.floor / max(MIN_NODES, nodes) / 4

    def deposit_share(self):
        """Return what each first try earns; half of the share, for the same reason."""
        return self.share / 2
