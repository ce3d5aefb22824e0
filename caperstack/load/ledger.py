"""Check the outcomes of calls against the ledgers of the stand-in backend servers."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["LedgerCheck", "check_against_ledger", "merged_ledger"]


@dataclass
class LedgerCheck:
    """Names of the calls that violate a guarantee.

    Attributes
    ----------
    doubled : list of str
        Calls that are not idempotent and ran more than once.
    false_not_run : list of str
        Calls that ran although the caller was told that they did not.
    lost : list of str
        Calls with an answer of status 200 that did not run.
    wrong : list of str
        Calls with an answer that is incomplete or belongs to another call.
    """

    doubled: list = field(default_factory=list)
    false_not_run: list = field(default_factory=list)
    lost: list = field(default_factory=list)
    wrong: list = field(default_factory=list)

    @property
    def clean(self):
        """Whether no call violates a guarantee."""
        return not (self.doubled or self.false_not_run or self.lost or self.wrong)

    def __str__(self):
        return (
            f"doubled {len(self.doubled)}, false not-run {len(self.false_not_run)}, "
            f"answered but not run {len(self.lost)}, wrong or partial {len(self.wrong)}"
        )


def merged_ledger(ledgers):
    """Return a `Counter` of how often each call ran on all servers together.

    Parameters
    ----------
    ledgers : dict
        For each server the document of its ``/ledger`` endpoint.
    """
    total = Counter()
    for ledger in ledgers.values():
        total.update(ledger["ledger"])
    return total


def check_against_ledger(results, ledger):
    """Return a `LedgerCheck` that compares results with the ledger.

    Parameters
    ----------
    results : iterable of caperstack.load.generator.CallResult
        What the callers were told.
    ledger : dict of str to int
        How often each call ran.
    """
    check = LedgerCheck()
    for result in results:
        runs = ledger.get(result.name, 0)
        if runs > 1 and not result.idempotent:
            check.doubled.append(result.name)
        if runs and result.outcome == "not-run":
            check.false_not_run.append(result.name)
        if not runs and result.outcome == "answered" and result.status == 200:
            check.lost.append(result.name)
        if not result.whole:
            check.wrong.append(result.name)
    return check
