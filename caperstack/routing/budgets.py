"""Budgets for retries and hedges, as a share of first tries."""

__all__ = ["CallBudget", "share_at_depth"]

#: Tokens that a quiet service may save up, so that a lone failure can be retried.
RESERVE = 10.0

#: Tokens of a service that was never called, for its first failures.
START_TOKENS = 2.0


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

    def __init__(self):
        self._tokens = START_TOKENS

    def deposit(self, share):
        """Count one first try that earns `share` of an extra one."""
        self._tokens = min(RESERVE, self._tokens + share)

    def withdraw(self):
        """Take one extra try; return whether there was one."""
        # Sums of shares such as 0.1 fall short of whole numbers by rounding.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
