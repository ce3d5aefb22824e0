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
    begin_until : float
        Time until which the turn is of use.
    granted : asyncio.Future
        Resolves to whether the turn came.
    refusal : str
        Reason for which it was refused while it waited; empty if its turn would come too late.
    """

    rank: tuple
    size: int
    sender_bytes_per_second: float
    bytes_per_second: float = 0.0
    due_at: float = 0.0
    begin_until: float = 0.0
    granted: asyncio.Future = None
    refusal: str = ""


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
        rest = self._rest_bytes + sum(transfer.size for transfer in ahead)
        return rest / self._bytes_per_second

    @property
    def _rest_bytes(self):
        """What the transfers that have their turn are expected to need yet, in bytes.

        Notes
        -----
        Nobody knows how much of an overdue body is missing.  It is expected to last as long
        again as it is overdue.
        """
        moment = now()
        return sum(abs(t.due_at - moment) * t.bytes_per_second for t in self._running)

    async def take(self, transfer, until):
        """Wait for the turn of `transfer`; return whether it came before the time `until`.

        A transfer that got its turn must be released.
        """
        transfer.rank = (*transfer.rank, next(self._arrivals))
        transfer.begin_until = until
        transfer.granted = asyncio.get_running_loop().create_future()
        self._waiting.append(transfer)
        self._grant()
        self._refuse_late()
        taken = False
        try:
            async with asyncio.timeout_at(until):
                taken = await transfer.granted
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

    def refuse_all(self, reason):
        """Refuse every waiting transfer with `reason`; those that have their turn go on."""
        for transfer in self._pending():
            self._refuse(transfer, reason)

    def _refuse_late(self):
        """Refuse the waiting transfers whose turn would come too late.

        Notes
        -----
        A more urgent body that arrives moves the turns of all that rank behind it.  Those
        that it makes too late would otherwise wait in vain.
        """
        begin_at = now() + self._rest_bytes / self._bytes_per_second
        for transfer in self._pending():
            if begin_at > transfer.begin_until:
                self._refuse(transfer, "")
            else:
                begin_at += transfer.size / self._bytes_per_second

    def _refuse(self, transfer, reason):
        self._waiting.remove(transfer)
        transfer.refusal = reason
        transfer.granted.set_result(False)

    def _pending(self):
        """Return the transfers that wait and whose callers have not left, in order of rank."""
        pending = (transfer for transfer in self._waiting if not transfer.granted.done())
        return sorted(pending, key=lambda transfer: transfer.rank)

    def _grant(self):
        for transfer in self._pending():
            if not self._has_room:
                return
            self._waiting.remove(transfer)
            sender = transfer.sender_bytes_per_second or self._free
            transfer.bytes_per_second = min(sender, self._free)
            transfer.due_at = now() + transfer.size / transfer.bytes_per_second
            self._running.append(transfer)
            transfer.granted.set_result(True)
