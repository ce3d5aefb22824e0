"""Pacing of the large bodies that an entry sends over its host's link."""

import asyncio
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

    async def pieces(self, body, bytes_per_second):
        """Yield the pieces of `body`, each when it may be sent.

        Parameters
        ----------
        body : bytes
            The whole body.
        bytes_per_second : float
            The rate that the receiver grants.
        """
        own = self._budget.bytes_per_second or math.inf
        rate = min(own, bytes_per_second)
        size = min(max(int(rate * PIECE_SECONDS), MIN_PIECE_BYTES), MAX_PIECE_BYTES)
        next_at = now()
        for start in range(0, len(body), size):
            piece = body[start : start + size]
            # Taken before the sleep, so that a timer that fires late does not lower the rate.
            next_at = max(next_at, now())
            await _sleep_until(next_at)
            # The link is taken only once the piece may go, so that a body at a low rate does
            # not keep it from others between two pieces.
            next_at = max(next_at, self._link_free_at)
            self._link_free_at = next_at + len(piece) / own
            await _sleep_until(next_at)
            yield piece
            next_at += len(piece) / rate


async def _sleep_until(moment):
    if moment > now():
        await asyncio.sleep(moment - now())
