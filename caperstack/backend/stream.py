"""The byte stream of a connection to a backend server."""

from tornado.iostream import IOStream

__all__ = ["BackendStream"]

#: Bytes of a response beyond which its parts are read in turn with those of other large ones.
LARGE_BYTES = 64 * 1024


class BackendStream(IOStream):
    """An `IOStream` that counts unconsumed bytes, and knows whether the server has ended it.

    Parameters
    ----------
    sock : socket.socket
        The socket.
    intake : caperstack.backend.intake.AnswerIntake
        Tells when the next part of a large response may be read.
    """

    def __init__(self, sock, intake):
        self._intake = intake
        self._received = 0
        self._consumed = 0
        self._response_from = 0
        self._ended_by_server = False
        super().__init__(sock)

    def begin_response(self):
        """Record that the bytes from here on belong to the next response."""
        self._response_from = self._consumed

    @property
    def ended_by_server(self):
        """Whether the server has closed the connection, and all that it sent was received."""
        return self._ended_by_server

    @property
    def surplus(self):
        """Number of received bytes that no read has consumed."""
        return self._received - self._consumed

    def read_from_fd(self, buf):
        """Read from the socket, and count the bytes received."""
        count = super().read_from_fd(buf)
        self._received += count or 0
        self._ended_by_server = self._ended_by_server or count == 0
        return count

    def read_until_regex(self, regex, max_bytes=None):
        """Read up to a match, and count the bytes consumed."""
        return self._counted(super().read_until_regex(regex, max_bytes))

    def read_until(self, delimiter, max_bytes=None):
        """Read up to a delimiter, and count the bytes consumed."""
        return self._counted(super().read_until(delimiter, max_bytes))

    def read_bytes(self, num_bytes, partial=False):
        """Read `num_bytes` bytes, and count the bytes consumed."""
        if self._consumed - self._response_from > LARGE_BYTES:
            return self._read_in_turn(num_bytes, partial)
        return self._counted(super().read_bytes(num_bytes, partial))

    async def _read_in_turn(self, num_bytes, partial):
        await self._intake.turn()
        return await self._counted(super().read_bytes(num_bytes, partial))

    def read_until_close(self):
        """Read until the connection closes, and count the bytes consumed."""
        return self._counted(super().read_until_close())

    def _counted(self, future):
        # The callback of a future that is done would run only after the bytes are used.
        if future.done():
            self._count(future)
        else:
            future.add_done_callback(self._count)
        return future

    def _count(self, future):
        if not future.cancelled() and future.exception() is None:
            self._consumed += len(future.result())
