"""Backend servers of tests, on real sockets, that send bytes as they are told."""

import asyncio
import contextlib
import socket
import struct

from caperstack.addresses import split_address
from caperstack.bench.fleet import free_addresses

__all__ = ["RawServer", "reset"]

#: ``struct linger`` with a time of zero: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawServer:
    """Pass each request head that arrives, with the connection's writer, to a function.

    Parameters
    ----------
    reply : callable
        ``async reply(server, head, writer)`` sends what it likes; the connection stays open
        afterwards.

    Attributes
    ----------
    requests : list of str
        Heads of the requests.
    open_connections : int
        Connections that neither side has closed.
    """

    def __init__(self, reply):
        self._reply = reply
        self._server = None
        self._tasks = set()
        self.address = free_addresses(1)[0]
        self.requests = []
        self.open_connections = 0

    async def start(self):
        """Listen."""
        ip, port = split_address(self.address)
        self._server = await asyncio.start_server(self._accept, ip, port)

    async def stop(self):
        """Close the port and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.open_connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head.decode())
                await self._reply(self, head.decode(), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await writer.wait_closed()


def reset(writer):
    """Reset the connection of `writer`."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
