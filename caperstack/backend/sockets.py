"""The sockets of a curl client, and whether the other side has closed one."""

import os
import select
import socket

import pycurl

__all__ = ["ClientSockets"]


class ClientSockets:
    """Find the sockets that curl uses, and look at one before it is used again.

    Notes
    -----
    Failure: a server closes an idle connection, curl, which looks at idle
    connections once a second at most, sends the next request on it, and hears
    nothing.  Whether the request ran is then unknown, though it never
    arrived.  A look at the socket just before sending tells; only a close
    that crosses the request on the wire remains unknown.
    """

    def __init__(self):
        self._inodes = {}
        self._by_port = {}

    def install(self, easy):
        """Hear of the sockets that `easy` opens."""
        easy.setopt(pycurl.SOCKOPTFUNCTION, self._opened)

    def closed_by_peer(self, local_port):
        """Return whether the connection from `local_port` can carry no request."""
        descriptor = self._by_port.get(local_port)
        if descriptor is None or not self._ours(descriptor):
            descriptor = self._find(local_port)
        if descriptor is None:
            return False
        look = select.poll()
        look.register(descriptor, select.POLLIN)
        # End of file, an error, or bytes that no request has asked for.
        return bool(look.poll(0))

    def _opened(self, descriptor, _purpose):
        self._inodes[descriptor] = os.fstat(descriptor).st_ino
        return pycurl.SOCKOPT_OK

    def _ours(self, descriptor):
        # curl closes sockets unseen, and the number may be another's by now.
        try:
            return self._inodes.get(descriptor) == os.fstat(descriptor).st_ino
        except OSError:
            return False

    def _find(self, local_port):
        self._inodes = {d: inode for d, inode in self._inodes.items() if self._ours(d)}
        self._by_port = {_local_port(descriptor): descriptor for descriptor in self._inodes}
        return self._by_port.get(local_port)


def _local_port(descriptor):
    borrowed = socket.socket(fileno=descriptor)
    try:
        return borrowed.getsockname()[1]
    finally:
        borrowed.detach()
