"""Run a node with one safeguard switched off, to show that the soak detects its absence."""

import sys

from caperstack.admission.owner import Owner
from caperstack.calls.model import NotRun
from caperstack.clock import TransitClock
from caperstack.idempotency.keeper import Keeper, Verdict
from caperstack.node import main
from caperstack.pauses import PauseDetector

__all__ = ["WEAKENINGS"]


def _without_keeper():
    """Let keepers grant every claim, so that a key never stops a second run."""
    Keeper.claim = lambda self, message: (Verdict.GRANTED, True)


def _without_revocation():
    """Report a call as revoked without stopping it, so that it may run twice."""

    async def revoke(self, origin, number, sent_at):
        return NotRun("revoked, so it is claimed", 0.0)

    Owner.revoke = revoke


def _without_lateness():
    """Switch off the detection of late messages and of pauses of the process."""
    TransitClock.lateness = lambda self, stamp, arrival: 0.0
    PauseDetector.recently_paused = lambda self: False


WEAKENINGS = {
    "keeper": _without_keeper,
    "revocation": _without_revocation,
    "lateness": _without_lateness,
}


if __name__ == "__main__":
    WEAKENINGS[sys.argv[1]]()
    sys.exit(main.main(sys.argv[2:]))
