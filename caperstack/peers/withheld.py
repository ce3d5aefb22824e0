"""Bodies that an entry keeps until the owner is about to run their calls."""

import asyncio

from caperstack.exception import PeerError
from caperstack.peers.messages import SendBody

__all__ = ["WithheldBodies", "WithheldBody"]


class WithheldBodies:
    """The owner's side: the bodies that were asked for and have not come."""

    def __init__(self):
        self._expected = {}

    def expect(self, connection, number):
        """Return the future of the body of call `number`, which that connection will bring."""
        future = asyncio.get_running_loop().create_future()
        self._expected[connection, number] = future
        return future

    def forget(self, connection, number):
        """Nobody waits for that body any more."""
        self._expected.pop((connection, number), None)

    def deliver(self, connection, number, body):
        """Take a body that has come."""
        future = self._expected.pop((connection, number), None)
        if future is not None and not future.done():
            future.set_result(body)

    def fail_all(self, connection):
        """A connection is closed: what it was to bring does not come."""
        for key in [key for key in self._expected if key[0] is connection]:
            future = self._expected.pop(key)
            if not future.done():
                future.set_exception(
                    PeerError("connection lost", step="body", peer=connection.address)
                )


class WithheldBody:
    """The body of one call, which its entry sends when it is asked for.

    Parameters
    ----------
    bodies : WithheldBodies
        Where it is expected.
    connection : caperstack.peers.connection.PeerConnection
        To the entry.
    number : int
        The call's.
    """

    def __init__(self, bodies, connection, number):
        self._bodies = bodies
        self._connection = connection
        self._number = number

    async def fetch(self, limit):
        """Return the body.

        Raises
        ------
        PeerError
            If it has not come by the point `limit`.
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
