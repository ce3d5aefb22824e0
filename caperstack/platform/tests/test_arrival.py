"""Tests of the stand-in of a backend server that reads requests late."""

import asyncio
import socket
import time
import unittest

from caperstack.bench.fleet import free_addresses
from caperstack.clock import now
from caperstack.platform.standin.instance import StandinInstance

#: Requests per second that the cold server tolerates in these tests.
TOLERATED = 4

#: For how long the event loop does not run, in seconds.
PAUSE_SECONDS = 0.9


class TestLateReading(unittest.IsolatedAsyncioTestCase):
    """`StandinInstance` while the event loop does not run for a moment."""

    async def asyncSetUp(self):
        self.crashes = []
        self.server = StandinInstance(free_addresses(1)[0], "rates", "i-1")
        self.server.on_crash = lambda *_: self.crashes.append(now())
        self.server.behaviour.seconds = 0.0
        self.server.behaviour.cold_until = now() + 10.0
        self.server.behaviour.cold_bears = TOLERATED
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def send(self, count):
        """Send `count` requests, each on a connection of its own; return when."""
        host, port = self.server.address.rsplit(":", 1)
        for _ in range(count):
            client = socket.create_connection((host, int(port)))
            self.addCleanup(client.close)
            client.sendall(b"GET /rates/ HTTP/1.1\r\nHost: x\r\n\r\n")
        return now()

    async def test_request_that_is_read_late_counts_when_it_arrived(self):
        sent_at = self.send(1)
        time.sleep(PAUSE_SECONDS)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.server.ledger), 1)
        self.assertLess(abs(self.server.ledger[0].at - sent_at), PAUSE_SECONDS / 3)

    async def test_late_reading_moves_no_requests_into_one_second(self):
        """Guards against a crash for requests that came more than a second apart."""
        self.send(TOLERATED)
        time.sleep(PAUSE_SECONDS)
        await asyncio.sleep(0.2)
        self.send(TOLERATED)
        await asyncio.sleep(0.1)
        self.assertEqual((len(self.server.ledger), self.crashes), (2 * TOLERATED, []))

    async def test_late_reading_hides_no_excess_requests(self):
        """Guards against a cold server that gets too many in a second and stays up."""
        self.send(TOLERATED)
        await asyncio.sleep(0.2)
        self.send(1)
        time.sleep(PAUSE_SECONDS)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.crashes), 1)
