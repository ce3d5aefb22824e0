"""What a soak found."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Verdict"]


@dataclass
class Verdict:
    """What broke, by promise, and what was exercised.

    Attributes
    ----------
    request_count : int
        Requests of callers.
    outcomes : Counter
        How their tries ended, by status or by the product's name of the outcome.
    faults : Counter
        The faults that happened, by kind.
    kinds : frozenset
        The kinds of fault that there are.
    broken : dict
        For each promise the requests that show it broken.
    """

    request_count: int = 0
    outcomes: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    kinds: frozenset = frozenset()
    broken: dict = field(default_factory=dict)

    @property
    def passed(self):
        """Whether every promise held."""
        return not any(self.broken.values())

    @property
    def unexercised(self):
        """The kinds of fault that never happened."""
        return sorted(self.kinds - set(self.faults))
