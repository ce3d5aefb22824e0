"""Tests of the callers' port with real processes: disconnects and invalid requests."""

import asyncio
import unittest

from caperstack.addresses import split_address
from caperstack.bench.scenario import call, small_fleet
from caperstack.calls.headers import DEPTH, TIME_LEFT
from caperstack.load.ledger import merged_ledger
from caperstack.standin.backend import LEDGER_ID

#: Backend server with one slot and a service time of one second.
HELD = {"slots": 1, "mean_ms": 1000.0, "sigma": 0.01}

#: Time within which a disconnect must be detected, in seconds; less than the five
#: seconds until the deadline.
DETECTION_SECONDS = 3.0


async def send_raw(address, text):
    """Send `text`, a string or bytes, and return the open connection."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(text.encode() if isinstance(text, str) else text)
    await writer.drain()
    return reader, writer


class TestCallerDisconnects(unittest.IsolatedAsyncioTestCase):
    """Callers that close their connection before they have a response."""

    async def asyncSetUp(self):
        fleet = small_fleet(2, backend=HELD)
        for node in fleet.settings.values():
            node["backend"] |= {"slots": 1}
        self.fleet = await self.enterAsyncContext(fleet)

    async def waiting(self):
        """Return the number of calls queued at both owners."""
        loads = [await self.fleet.operator(host, "/health") for host in self.fleet.settings]
        return sum(load["queued"] for load in loads)

    async def running(self):
        """Return the number of calls running at both owners."""
        loads = [await self.fleet.operator(host, "/health") for host in self.fleet.settings]
        return sum(load["in_flight"] for load in loads)

    async def test_queued_call_of_a_gone_caller_is_dropped(self):
        # Five callers share two slots, and the last one disconnects while its call is
        # queued at the owner beside the entry or on another host.  The call must leave
        # the queue before a slot is free; else a booking runs that nobody waits for.
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
        # The caller disconnects while its call runs.  The node must close the
        # connection to the backend server, which frees the slot.
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
    """Requests that the port refuses by itself."""

    async def test_request_without_host_is_refused(self):
        fleet = await self.enterAsyncContext(small_fleet(1))
        reader, writer = await send_raw(
            fleet.caller_address("n0"), "GET /listings HTTP/1.1\r\n\r\n"
        )
        self.assertIn(b" 400 ", await reader.readline())
        writer.close()

    async def test_digits_that_are_no_number_are_refused(self):
        """Guards against "internal error" for a header that is no number."""
        fleet = await self.enterAsyncContext(small_fleet(1))
        for header in (TIME_LEFT, DEPTH):
            for number in ("\xb2", "9" * 5000):
                text = f"GET /listings HTTP/1.1\r\nHost: x\r\n{header}: {number}\r\n\r\n"
                reader, writer = await send_raw(fleet.caller_address("n0"), text.encode("latin-1"))
                self.assertIn(b" 400 ", await reader.readline())
                writer.close()
