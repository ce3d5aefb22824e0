"""Request bodies that an entry sends only when the owner is about to run the call."""

import asyncio

from caperstack.exception import PeerError
from caperstack.peers.messages import SendBody

__all__ = ["WithheldBodies", "WithheldBody"]


class WithheldBodies:
    """Track the bodies that the owner has requested and not yet received."""

    def __init__(self):
        self._expected = {}

    def expect(self, connection, number):
        """Return a future for the body of call `number`, to be received on `connection`."""
        future = asyncio.get_running_loop().create_future()
        self._expected[connection, number] = future
        return future

    def forget(self, connection, number):
        """Stop waiting for the body of call `number`."""
        self._expected.pop((connection, number), None)

    def deliver(self, connection, number, body):
        """Complete the future of a received body, if one is still waiting."""
        future = self._expected.pop((connection, number), None)
        if future is not None and not future.done():
            future.set_result(body)

    def fail_all(self, connection):
        """Fail the futures of all bodies expected on a closed connection."""
        for key in [key for key in self._expected if key[0] is connection]:
            future = self._expected.pop(key)
            if not future.done():
                future.set_exception(
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
    """

    def __init__(self, bodies, connection, number):
        self._bodies = bodies
        self._connection = connection
        self._number = number

    async def fetch(self, limit):
        """Request the body and return it.

        Parameters
        ----------
        limit : float
            Deadline, in seconds on the local monotonic clock.

        Raises
        ------
        PeerError
            If the body has not arrived by `limit` or the connection is lost.
        """
        connection = self._connection
        future = self._bodies.expect(connection, self._number)
        try:
            connection.send(SendBody(self._number))
            async with asyncio.timeout_at(limit):
                return await future
        except TimeoutError:
            raise PeerError("not sent in time", step="body", peer=connection.address) from None
        finally:
            self._bodies.forget(connection, self._number)
