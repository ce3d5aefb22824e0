"""Request bodies that an entry sends only when the owner requests them."""

import asyncio
import math
from dataclasses import dataclass, field

from caperstack.exception import PeerError
from caperstack.peers.messages import SendBody

__all__ = ["WithheldBodies", "WithheldBody"]


@dataclass(eq=False, slots=True)
class _Expected:
    """A body that has been requested; `size` is 0 if it comes in one piece of any size."""

    size: int
    arrived: asyncio.Future
    pieces: bytearray = field(default_factory=bytearray)


class WithheldBodies:
    """Track the bodies that the owner has requested and not yet received."""

    def __init__(self):
        self._expected = {}

    def expect(self, connection, number, size=0):
        """Return a future for the body of call `number`, to be received on `connection`.

        Parameters
        ----------
        connection : caperstack.peers.connection.PeerConnection
            The connection to the entry.
        number : int
            The id of the call.
        size : int, optional
            Size of the whole body in bytes; 0 if it comes in one piece.
        """
        future = asyncio.get_running_loop().create_future()
        self._expected[connection, number] = _Expected(size, future)
        return future

    def forget(self, connection, number):
        """Stop waiting for the body of call `number`."""
        self._expected.pop((connection, number), None)

    def deliver(self, connection, number, piece):
        """Add a received piece to its body, and complete the body's future with the last one."""
        expected = self._expected.get((connection, number))
        if expected is None:
            return
        expected.pieces += piece
        if len(expected.pieces) < expected.size:
            return
        self.forget(connection, number)
        if expected.arrived.done():
            return
        if expected.size and len(expected.pieces) > expected.size:
            expected.arrived.set_exception(
                PeerError("longer than declared", step="body", peer=connection.address)
            )
        else:
            expected.arrived.set_result(bytes(expected.pieces))

    def fail_all(self, connection):
        """Fail the futures of all bodies expected on a closed connection."""
        for key in [key for key in self._expected if key[0] is connection]:
            arrived = self._expected.pop(key).arrived
            if not arrived.done():
                arrived.set_exception(
                    PeerError("connection lost", step="body", peer=connection.address)
                )


class WithheldBody:
    """The body of one call, which its entry sends on request.

    Parameters
    ----------
    bodies : WithheldBodies
        Tracks the request.
    connection : caperstack.peers.connection.PeerConnection
        The connection to the entry.
    number : int
        The id of the call.
    size : int, optional
        Size of the body in bytes; 0 if the entry has not told it.
    sender_bytes_per_second : float, optional
        The rate at which the entry can send it; 0 if unknown.
    """

    def __init__(self, bodies, connection, number, size=0, sender_bytes_per_second=0.0):
        self._bodies = bodies
        self._connection = connection
        self._number = number
        self.size = size
        self.sender_bytes_per_second = sender_bytes_per_second

    async def fetch(self, limit, bytes_per_second=0.0):
        """Request the body and return it.

        Parameters
        ----------
        limit : float
            Deadline, in seconds on the local monotonic clock.
        bytes_per_second : float, optional
            The rate at which the entry may send; 0 for all at once.

        Raises
        ------
        PeerError
            If the body has not arrived by `limit` or the connection is lost.
        """
        connection = self._connection
        future = self._bodies.expect(connection, self._number, self.size)
        try:
            rate = int(bytes_per_second) if math.isfinite(bytes_per_second) else 0
            connection.send(SendBody(self._number, rate))
            async with asyncio.timeout_at(limit):
                return await future
        except TimeoutError:
            raise PeerError("not sent in time", step="body", peer=connection.address) from None
        finally:
            self._bodies.forget(connection, self._number)
