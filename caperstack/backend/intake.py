"""Bounds on what a node spends on the answers that it receives from its backend server."""

import asyncio

__all__ = ["AnswerIntake"]


class AnswerIntake:
    """The answers that are being received, their total size, and whose turn it is to be read.

    Parameters
    ----------
    max_bytes : int
        Maximum total size in bytes.

    Attributes
    ----------
    held_bytes : int
        Total size of what has arrived, in bytes.

    Notes
    -----
    This answers the load of a backend server that sends bytes without end on many
    connections at once.  Each of these answers stays below the limit on a single answer for
    a while, but together they would exceed the memory of the host, and reading them would
    occupy the event loop.  The largest answer gives way: sound answers are usually smaller,
    and complete before one without end has been aborted and sent again.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._sizes = {}
        self._reading = asyncio.Lock()
        self.held_bytes = 0

    def add(self, receiver, size):
        """Record that `size` bytes have arrived, and abort the largest answers if necessary.

        Parameters
        ----------
        receiver : object
            Receives the answer.  Its ``abort(reason)`` discards what has arrived.
        size : int
            Size of the new part in bytes.
        """
        self._sizes[receiver] = self._sizes.get(receiver, 0) + size
        self.held_bytes += size
        while self.held_bytes > self._max_bytes:
            largest = max(self._sizes, key=self._sizes.get)
            self.remove(largest)
            largest.abort("answers of the server take too much memory")

    def remove(self, receiver):
        """Forget an answer that is complete or has been given up."""
        self.held_bytes -= self._sizes.pop(receiver, 0)

    async def turn(self):
        """Wait for the turn to read on; one answer has it in each iteration of the event loop."""
        async with self._reading:
            await asyncio.sleep(0)
