"""Turns of the large bodies that an owner receives over its host's link."""

import asyncio
import itertools
import math
from dataclasses import dataclass

from caperstack.clock import now

__all__ = ["Transfer", "TransferTurns"]

#: A further body is requested while at least this share of the rate is unused.  Senders with
#: slower links than the owner's leave room for others.
MIN_FREE_SHARE = 0.25


@dataclass(eq=False, slots=True)
class Transfer:
    """A body that an owner is about to receive.

    Attributes
    ----------
    rank : tuple
        Sort key among the transfers that wait; the lowest is next.
    size : int
        Size of the body in bytes.
    sender_bytes_per_second : float
        The rate at which its entry can send; 0 if unknown.
    bytes_per_second : float
        The rate that it may use; 0 while it waits for its turn.
    due_at : float
        Time at which a transfer that has its turn ends at that rate.
    """

    rank: tuple
    size: int
    sender_bytes_per_second: float
    bytes_per_second: float = 0.0
    due_at: float = 0.0
    granted: asyncio.Future = None


class TransferTurns:
    """Let bodies use the link of the owner's host in order of rank, within its rate.

    Parameters
    ----------
    budget : caperstack.transfers.link.LinkBudget
        What bodies may use of the link; anything if it is unknown.

    Notes
    -----
    The load that it answers: entries send large bodies to one host at the same moment, more
    than its link carries.  All of them would arrive late together, and every small message
    of that host with them.  One after the other, in the order of their urgency, each takes only
    its own time, and whoever cannot be served knows before its body is sent.
    """

    def __init__(self, budget):
        self._bytes_per_second = budget.bytes_per_second or math.inf
        self._running = []
        self._waiting = []
        self._arrivals = itertools.count()

    @property
    def waiting(self):
        """Number of transfers that wait for their turn."""
        return len(self._waiting)

    @property
    def _free(self):
        used = sum(transfer.bytes_per_second for transfer in self._running)
        return max(0.0, self._bytes_per_second - used)

    @property
    def _has_room(self):
        return self._free >= MIN_FREE_SHARE * self._bytes_per_second

    def expected_wait(self, rank=None):
        """Return the seconds until a further body gets its turn.

        Parameters
        ----------
        rank : tuple, optional
            Sort key of that body; behind all others if not given.
        """
        ahead = [t for t in self._waiting if rank is None or t.rank[: len(rank)] <= rank]
        if self._has_room and not ahead:
            return 0.0
        moment = now()
        # Nobody knows how much of an overdue body is missing.  It is expected to last as long
        # again as it is overdue.
        rest = sum(abs(t.due_at - moment) * t.bytes_per_second for t in self._running)
        rest += sum(transfer.size for transfer in ahead)
        return rest / self._bytes_per_second

    async def take(self, transfer, until):
        """Wait for the turn of `transfer`; return whether it came before the time `until`.

        A transfer that got its turn must be released.
        """
        transfer.rank = (*transfer.rank, next(self._arrivals))
        transfer.granted = asyncio.get_running_loop().create_future()
        self._waiting.append(transfer)
        self._grant()
        taken = False
        try:
            async with asyncio.timeout_at(until):
                await transfer.granted
            taken = True
        except TimeoutError:
            pass
        finally:
            if not taken:
                self._withdraw(transfer)
        return taken

    def _withdraw(self, transfer):
        # The turn may have come in the same iteration of the event loop in which the wait
        # timed out or was cancelled.
        if transfer in self._waiting:
            self._waiting.remove(transfer)
        else:
            self.release(transfer)

    def release(self, transfer):
        """End the turn of `transfer`, whether or not its body has arrived."""
        if transfer in self._running:
            self._running.remove(transfer)
        self._grant()

    def _grant(self):
        while self._has_room:
            pending = (transfer for transfer in self._waiting if not transfer.granted.done())
            transfer = min(pending, key=lambda waiting: waiting.rank, default=None)
            if transfer is None:
                return
            self._waiting.remove(transfer)
            sender = transfer.sender_bytes_per_second or self._free
            transfer.bytes_per_second = min(sender, self._free)
            transfer.due_at = now() + transfer.size / transfer.bytes_per_second
            self._running.append(transfer)
            transfer.granted.set_result(None)
