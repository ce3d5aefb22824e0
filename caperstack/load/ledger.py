"""Judge outcomes against the ledgers of the stand-in backend servers."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["LedgerCheck", "check_against_ledger", "merged_ledger"]


@dataclass
class LedgerCheck:
    """Broken promises, by the names of the calls."""

    doubled: list = field(default_factory=list)
    false_not_run: list = field(default_factory=list)
    lost: list = field(default_factory=list)
    wrong: list = field(default_factory=list)

    @property
    def clean(self):
        """Whether every promise was kept."""
        return not (self.doubled or self.false_not_run or self.lost or self.wrong)

    def __str__(self):
        return (
            f"doubled {len(self.doubled)}, false not-run {len(self.false_not_run)}, "
            f"answered but not run {len(self.lost)}, wrong or partial {len(self.wrong)}"
        )


def merged_ledger(ledgers):
    """Return how often each call ran over all servers, a `Counter`."""
    total = Counter()
    for ledger in ledgers.values():
        total.update(ledger["ledger"])
    return total


def check_against_ledger(results, ledger):
    """Return the `LedgerCheck` of results.

    Parameters
    ----------
    results : iterable of caperstack.load.generator.CallResult
        What callers were told.
    ledger : dict of str to int
        How often each call ran.
    """
    judgement = LedgerCheck()
    for result in results:
        runs = ledger.get(result.name, 0)
        if runs > 1 and not result.idempotent:
            judgement.doubled.append(result.name)
        if runs and result.outcome == "not-run":
            judgement.false_not_run.append(result.name)
        if not runs and result.outcome == "answered" and result.status == 200:
            judgement.lost.append(result.name)
        if not result.whole:
            judgement.wrong.append(result.name)
    return judgement
