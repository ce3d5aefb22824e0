"""Pacing of the large bodies that an entry sends over its host's link."""

import asyncio
import heapq
import itertools
import math

from caperstack.clock import now

__all__ = ["BodyPacer"]

#: Time on the link that one piece of a body may take, in seconds, and the bounds of its size in
#: bytes.  Small messages of the host wait for at most one piece.
PIECE_SECONDS = 0.01
MIN_PIECE_BYTES = 2 * 1024
MAX_PIECE_BYTES = 64 * 1024


class BodyPacer:
    """Cut bodies into pieces and space these at the rate that both links bear.

    Parameters
    ----------
    budget : caperstack.transfers.link.LinkBudget
        What bodies may use of the link of this host, all of them together.
    """

    def __init__(self, budget):
        self._budget = budget
        self._link_free_at = 0.0
        self._arrivals = itertools.count()
        self._waiting = []
        self._timer = None

    async def pieces(self, body, bytes_per_second):
        """Yield the pieces of `body`, each when it may be sent.

        Parameters
        ----------
        body : bytes
            The whole body.
        bytes_per_second : float
            The rate that the receiver grants.

        Notes
        -----
        If the link can't carry all bodies, the earlier ones go first.  With equal shares all of
        them would come too late.
        """
        own = self._budget.bytes_per_second or math.inf
        rate = min(own, bytes_per_second)
        size = min(max(int(rate * PIECE_SECONDS), MIN_PIECE_BYTES), MAX_PIECE_BYTES)
        order = next(self._arrivals)
        next_at = now()
        for start in range(0, len(body), size):
            piece = body[start : start + size]
            if next_at > now():
                await asyncio.sleep(next_at - now())
            await self._take_link(order, len(piece) / own)
            yield piece
            # A piece that goes late does not delay the following ones, by up to one piece.
            next_at = max(next_at, now() - size / rate) + len(piece) / rate

    async def _take_link(self, order, seconds):
        """Take the link for `seconds` once it is free and no earlier body waits for it."""
        if not self._waiting and now() >= self._link_free_at:
            self._occupy(seconds)
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (order, seconds, turn))
        self._set_timer()
        await turn

    def _occupy(self, seconds):
        # A timer that fires late, by up to one piece, does not lower the rate of the link.
        self._link_free_at = max(self._link_free_at, now() - PIECE_SECONDS) + seconds

    def _set_timer(self):
        if self._timer is None and self._waiting:
            wait = max(0.0, self._link_free_at - now())
            self._timer = asyncio.get_running_loop().call_later(wait, self._wake_next)

    def _wake_next(self):
        self._timer = None
        _, seconds, turn = heapq.heappop(self._waiting)
        if not turn.done():
            self._occupy(seconds)
            turn.set_result(None)
        self._set_timer()
