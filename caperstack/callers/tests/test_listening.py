"""Tests of the end of listening at the callers' port, with sockets on loopback."""

import socket

from caperstack.addresses import split_address
from caperstack.callers.tests.test_slow_readers import BODY, PortCase


class TestStopListening(PortCase):
    """Callers that connect at the moment when the port stops listening."""

    def connect_unaccepted(self):
        """Connect and send a request; the event loop can't accept the connection meanwhile."""
        sock = socket.create_connection(split_address(self.address))
        self.addCleanup(sock.close)
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        sock.setblocking(False)
        return sock

    async def test_connections_that_wait_to_be_accepted_are_served(self):
        """Guards against callers that are reset without an answer because the node drains."""
        callers = [self.connect_unaccepted() for _ in range(20)]
        self.port.stop_listening()
        for sock in callers:
            self.assertEqual(await self.read_answer(sock), BODY)
        self.assertEqual(self.port.requests, len(callers))

    async def test_later_connections_are_refused(self):
        self.port.stop_listening()
        with self.assertRaises(ConnectionRefusedError):
            self.connect_unaccepted()
