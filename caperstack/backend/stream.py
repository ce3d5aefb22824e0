"""The byte stream of a connection to a backend server."""

from tornado.iostream import IOStream

__all__ = ["BackendStream"]


class BackendStream(IOStream):
    """An `IOStream` that counts unconsumed bytes, and knows whether the server has ended it."""

    def __init__(self, *arguments, **options):
        self._received = 0
        self._consumed = 0
        self._ended_by_server = False
        super().__init__(*arguments, **options)

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
        return self._counted(super().read_bytes(num_bytes, partial))

    def read_until_close(self):
        """Read until the connection closes, and count the bytes consumed."""
        return self._counted(super().read_until_close())

    def _counted(self, future):
        future.add_done_callback(self._count)
        return future

    def _count(self, future):
        if not future.cancelled() and future.exception() is None:
            self._consumed += len(future.result())
