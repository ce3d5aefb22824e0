"""The result of a soak test."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Verdict"]


@dataclass
class Verdict:
    """The broken guarantees and the faults that were exercised.

    Attributes
    ----------
    request_count : int
        Number of requests of callers.
    outcomes : Counter
        Number of requests by status, or by name of the outcome.
    faults : Counter
        Number of faults injected, by kind.
    kinds : frozenset
        All kinds of fault.
    broken : dict
        For each guarantee the requests, or other cases, that broke it.
    """

    request_count: int = 0
    outcomes: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    kinds: frozenset = frozenset()
    broken: dict = field(default_factory=dict)

    @property
    def passed(self):
        """Whether every guarantee held."""
        return not any(self.broken.values())

    @property
    def unexercised(self):
        """The kinds of fault that were never injected."""
        return sorted(self.kinds - set(self.faults))
