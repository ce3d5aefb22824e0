"""The callers' port with real processes: callers that leave, and what is refused at once."""

import asyncio
import unittest

from caperstack.addresses import split_address
from caperstack.bench.scenario import call, small_fleet
from caperstack.load.ledger import merged_ledger
from caperstack.standin.backend import LEDGER_ID

#: One slot that a call holds for this long, in milliseconds.
HELD = {"slots": 1, "mean_ms": 1000.0, "sigma": 0.01}

#: How soon a caller's leaving must show, in seconds; less than the five that
#: the deadline leaves the call.
DETECTION_SECONDS = 3.0


async def send_raw(address, text):
    """Send `text` and return the open connection."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(text.encode())
    await writer.drain()
    return reader, writer


class TestCallerDisconnects(unittest.IsolatedAsyncioTestCase):
    """A caller closes its connection before it has an answer."""

    async def asyncSetUp(self):
        fleet = small_fleet(2, backend=HELD)
        for node in fleet.settings.values():
            node["backend"] |= {"slots": 1}
        self.fleet = await self.enterAsyncContext(fleet)

    async def waiting(self):
        """Return how many calls wait at both owners."""
        loads = [await self.fleet.operator(host, "/health") for host in self.fleet.settings]
        return sum(load["queued"] for load in loads)

    async def running(self):
        """Return how many calls run at both owners."""
        loads = [await self.fleet.operator(host, "/health") for host in self.fleet.settings]
        return sum(load["in_flight"] for load in loads)

    async def test_queued_call_of_a_gone_caller_is_dropped(self):
        # Six golfers ask, two slots are free; the last one in the queues hangs
        # up.  Its call must leave the queue of an owner, beside the entry or
        # on another host, before a slot is free, or a booking runs that nobody
        # waits for.
        others = [asyncio.create_task(call(self.fleet, "n0")) for _ in range(4)]
        await self.until(self.running, 2)
        text = f"POST /bookings HTTP/1.1\r\nHost: x\r\n{LEDGER_ID}: left\r\nContent-Length: 0\r\n"
        _, writer = await send_raw(self.fleet.caller_address("n0"), text + "\r\n")
        await self.until(self.waiting, 3)
        writer.close()
        await self.until(self.waiting, 2)
        await asyncio.gather(*others)
        self.assertNotIn("left", merged_ledger(await self.fleet.ledgers()))

    async def test_running_call_of_a_gone_caller_is_cancelled(self):
        # A golfer hangs up while a listing runs: the backend server learns of
        # it by the close of its connection, and the slot is free again.
        await self.fleet.control("n0", slow_factor=1000.0)
        await self.fleet.control("n1", slow_factor=1000.0)
        _, writer = await send_raw(
            self.fleet.caller_address("n0"), "GET /listings HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await self.until(self.running, 1)
        writer.close()
        await self.until(self.running, 0)

    async def until(self, count, wanted):
        async def condition():
            return await count() == wanted

        what = f"{count.__name__} {wanted}"
        await self.fleet.until(condition, DETECTION_SECONDS, what)


class TestRequests(unittest.IsolatedAsyncioTestCase):
    """What the port refuses by itself."""

    async def test_request_without_host_is_refused(self):
        fleet = await self.enterAsyncContext(small_fleet(1))
        reader, writer = await send_raw(
            fleet.caller_address("n0"), "GET /listings HTTP/1.1\r\n\r\n"
        )
        self.assertIn(b" 400 ", await reader.readline())
        writer.close()
