"""HTTP server that knows when a request arrived, however late it is read."""

import struct
import time
from bisect import bisect_left

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from caperstack.clock import now

__all__ = ["ArrivalServer", "max_in_window"]

# SOL_SOCKET and SO_TIMESTAMPNS on Linux; the latter is also the type of the control message.
SOL_SOCKET = 1
SO_TIMESTAMPNS = 35

#: Format of the timestamp in the control message: seconds and nanoseconds since 1970.
TIMESTAMP = struct.Struct("@ll")

#: Size of the buffer for control messages, in bytes.
CONTROL_BYTES = 128


class ArrivalStream(IOStream):
    """Stream of a socket on which the kernel notes when bytes arrive.

    Attributes
    ----------
    arrived_at : float
        When the bytes that were read last arrived, in the time of `caperstack.clock.now`.
    """

    arrived_at = 0.0

    def read_from_fd(self, buf):
        """Read into `buf`; return the number of bytes, or ``None`` if there are none."""
        try:
            count, control, _, _ = self.socket.recvmsg_into([buf], CONTROL_BYTES)
        except BlockingIOError:
            return None
        finally:
            # As in `IOStream`: the caller needs the only reference to the buffer.
            del buf
        self.arrived_at = now() - _age(control)
        return count


class ArrivalServer(HTTPServer):
    """`HTTPServer` whose streams are instances of `ArrivalStream`."""

    def listen(self, port, address):
        """Listen at the address; accepted sockets inherit the option that is set here."""
        sockets = bind_sockets(port, address)
        for sock in sockets:
            sock.setsockopt(SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.add_sockets(sockets)

    def handle_stream(self, stream, address):
        """Serve the connection of `stream` through an `ArrivalStream`."""
        super().handle_stream(ArrivalStream(stream.socket), address)


def max_in_window(times, seconds):
    """Return the greatest number of `times` within any window of `seconds`; 0 if there are none."""
    times = sorted(times)
    return max((bisect_left(times, t + seconds) - i for i, t in enumerate(times)), default=0)


def _age(control):
    """Return how long ago the bytes arrived that came with control messages, in seconds."""
    for level, kind, content in control:
        if (level, kind) == (SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESTAMP.unpack(content[: TIMESTAMP.size])
            return max(0.0, time.time() - seconds - nanoseconds / 1e9)
    return 0.0
