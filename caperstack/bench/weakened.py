"""Run a node with one safeguard switched off, to show that the soak notices."""

import sys

from caperstack.admission.owner import Owner
from caperstack.calls.model import NotRun
from caperstack.clock import TransitClock
from caperstack.idempotency.keeper import Keeper, Verdict
from caperstack.node import main
from caperstack.pauses import PauseDetector

__all__ = ["WEAKENINGS"]


def _without_keeper():
    Keeper.claim = lambda self, message: (Verdict.GRANTED, True)


def _without_revocation():
    async def revoke(self, origin, number, sent_at):
        return NotRun("revoked, so it is claimed", 0.0)

    Owner.revoke = revoke


def _without_lateness():
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
