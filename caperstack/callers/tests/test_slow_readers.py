"""Tests of the callers' port with sockets on loopback: callers that read slowly or not at all."""

import asyncio
import gc
import socket
import tracemalloc
import unittest

from caperstack.addresses import split_address
from caperstack.bench.client import request
from caperstack.bench.fleet import free_addresses
from caperstack.callers.port import CallerPort
from caperstack.calls.model import Answered
from caperstack.clock import deadline_after, now
from caperstack.config.node import Backend, Limits, NodeSettings
from caperstack.operators.metrics import Metrics

BODY = bytes(range(250)) * 1440

#: Limit on the time without progress, and the time in which a test expects an event, in
#: seconds.
UNREAD_SECONDS = 2.0
PATIENCE_SECONDS = 20.0

#: Receive buffer of slow callers, in bytes, so that the kernel reads little on their behalf.
RECEIVE_BYTES = 4096


class _Kernel:
    """Provides the parts that a port starts with; those not used here are ``None``."""

    names = ()

    def __init__(self):
        self.metrics = Metrics("n0")
        self.lines = []

    def find(self, name):
        return {"metrics": self.metrics, "events": self}.get(name)

    def failure(self, kind, **fields):
        self.lines.append(fields | {"kind": kind})

    def state(self, *_, **__):
        raise AssertionError("a fault of the port")


class _AnsweringPort(CallerPort):
    """A port that answers every request with `BODY` and counts the requests."""

    requests = 0

    async def handle(self, start, headers, body, context):
        self.requests += 1
        identifier = headers.get(self.request_id_header, "")
        return Answered(200, "OK", [], BODY), [(self.request_id_header, identifier)]


class PortCase(unittest.IsolatedAsyncioTestCase):
    """A port on loopback, with limits that a test may replace."""

    limits = Limits(unread_seconds=UNREAD_SECONDS)

    async def asyncSetUp(self):
        (self.address,) = free_addresses(1)
        here = NodeSettings(
            "n0", "a", "r", self.address, "", "", Backend("", "s", 1, 1.0, 1), limits=self.limits
        )
        self.kernel = _Kernel()
        self.port = _AnsweringPort(here)
        await self.port.start(self.kernel)
        self.addAsyncCleanup(self.port.stop)

    async def connect(self, name, count=1, body=b""):
        """Connect a caller with a small buffer, and send `count` requests at once."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, split_address(self.address))
        head = f"POST /x HTTP/1.1\r\nHost: x\r\n{self.port.request_id_header}: {name}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        await loop.sock_sendall(sock, (head.encode() + body) * count)
        return sock

    async def read(self, sock, size=1 << 20, pause=0.0, until=None):
        """Read until the connection ends or `until` bytes; return them and whether it was reset."""
        loop = asyncio.get_running_loop()
        received = b""
        while until is None or len(received) < until:
            try:
                part = await asyncio.wait_for(loop.sock_recv(sock, size), PATIENCE_SECONDS)
            except ConnectionResetError:
                return received, True
            if not part:
                return received, False
            received += part
            await asyncio.sleep(pause)
        return received, False

    async def read_answer(self, sock, size=1 << 20, pause=0.0):
        """Read a whole answer in parts of at most `size` bytes; return its body."""
        received = b""
        while len(body := received.partition(b"\r\n\r\n")[2]) < len(BODY):
            part, ended = await self.read(sock, size, pause, until=1)
            self.assertTrue(part and not ended, "the answer broke off")
            received += part
        return body

    async def until(self, condition):
        limit = deadline_after(PATIENCE_SECONDS)
        while not condition():
            self.assertLess(now(), limit, "did not become true in time")
            await asyncio.sleep(0.01)

    def broken_off(self, reason):
        return self.kernel.metrics.value("answers_broken_off", reason=reason)

    def held(self):
        gauges = {name: value for name, _, value in self.kernel.metrics.gauges()}
        return gauges["unread_answers"], gauges["unread_answer_bytes"]


class TestSlowReaders(PortCase):
    """Callers of answers of 360 kB that read slowly, stop, or read nothing."""

    async def test_others_are_served_beside_callers_that_read_nothing(self):
        # Guards against held answers that delay or break those of other callers.
        stuck = [await self.connect(f"stuck-{n}") for n in range(10)]
        await self.until(lambda: self.held() == (10, 10 * len(BODY)))
        others = await asyncio.gather(
            *(request(self.address, "GET", "/x", {"Host": "x"}) for _ in range(50))
        )
        self.assertEqual({reply.body for reply in others}, {BODY})
        await self.until(lambda: self.broken_off("no progress") == 10)
        self.assertEqual(self.held(), (0, 0))
        for sock in stuck:
            received, reset = await self.read(sock)
            self.assertTrue(reset)
            self.assertNotIn(BODY, received)

    async def test_broken_off_answer_is_logged(self):
        await self.connect("stuck")
        await self.until(lambda: self.kernel.lines)
        (line,) = self.kernel.lines
        self.assertEqual(
            (line["kind"], line["id"], line["reason"], line["held_bytes"]),
            ("answer broken off", "stuck", "no progress", len(BODY)),
        )
        self.assertGreaterEqual(line["stalled_s"], UNREAD_SECONDS)
        self.assertGreater(line["unread_bytes"], len(BODY) // 2)

    async def test_slow_steady_caller_gets_the_whole_answer(self):
        # Guards against a limit on the whole time: the answer takes several times
        # `UNREAD_SECONDS`, with some progress in each fraction of it.
        sock = await self.connect("slow")
        begun = now()
        self.assertEqual(await self.read_answer(sock, 8192, 0.15), BODY)
        self.assertGreater(now() - begun, 3 * UNREAD_SECONDS)
        await self.until(lambda: self.held() == (0, 0))
        self.assertEqual(self.kernel.lines, [])

    async def test_caller_that_stops_in_the_middle_is_disconnected(self):
        sock = await self.connect("stops")
        received, _ = await self.read(sock, 8192, until=len(BODY) // 2)
        self.assertEqual(self.broken_off("no progress"), 0)
        await self.until(lambda: self.broken_off("no progress") == 1)
        rest, reset = await self.read(sock)
        self.assertTrue(reset)
        self.assertLess(len(received + rest), len(BODY))

    async def test_requests_behind_an_unread_answer_are_not_read(self):
        # Guards against a caller that sends requests and never reads: only the first one
        # may run, also when the connection is closed and others have been received.
        await self.connect("pipelined", count=100)
        await self.until(lambda: self.held()[0] == 1)
        await self.until(lambda: self.broken_off("no progress") == 1)
        await self.until(lambda: not self.port.incomplete and not self.port.open_exchanges)
        self.assertEqual((self.port.requests, self.held()), (1, (0, 0)))

    async def test_pipelined_answers_are_whole_and_in_order(self):
        sock = await self.connect("pipelined", count=3)
        received, _ = await self.read(sock, until=3 * len(BODY))
        size = 3 * (received.index(b"\r\n\r\n") + 4 + len(BODY))
        received += (await self.read(sock, until=size - len(received)))[0]
        self.assertEqual((received.count(BODY), len(received)), (3, size))

    async def test_caller_that_leaves_releases_its_answer(self):
        # Guards against a leak of the count: after it the limit would hold for nobody.
        sock = await self.connect("leaves")
        await self.until(lambda: self.held()[0] == 1)
        sock.close()
        await self.until(lambda: self.held() == (0, 0))
        self.assertEqual(self.kernel.lines, [])

    async def test_drain_waits_for_a_slow_caller(self):
        # Guards against a drain that closes a connection in the middle of an answer.
        sock = await self.connect("slow")
        await self.until(lambda: self.held()[0] == 1)
        self.port.stop_listening()
        self.assertEqual((self.port.close_idle(0.0), self.port.open_exchanges), (1, 1))
        self.assertEqual(await self.read_answer(sock), BODY)
        await self.until(lambda: self.port.close_idle(0.0) == 0)


class TestMemoryLimit(PortCase):
    """Unread answers beyond the limits: eight answers, or four if their callers are stalled."""

    limits = Limits(bodies_bytes=8 * len(BODY), unread_seconds=600.0)

    async def test_callers_longest_without_progress_are_disconnected(self):
        # Guards against memory that grows with the number of callers that do not read.
        most = 0
        stuck = []
        for number in range(12):
            stuck.append(await self.connect(f"stuck-{number}"))
            await self.until(lambda n=number: self.port.requests == n + 1)
            most = max(most, self.held()[1])
        await self.until(lambda: self.broken_off("memory") == 8)
        self.assertLessEqual(most, 8 * len(BODY))
        self.assertEqual(self.held(), (4, 4 * len(BODY)))
        # The kernel may acknowledge the first bytes of callers that connect together in any
        # order.
        self.assertCountEqual(
            [line["id"] for line in self.kernel.lines], [f"stuck-{n}" for n in range(8)]
        )
        for sock in stuck[8:]:
            self.assertEqual(await self.read_answer(sock), BODY)
        reply = await request(self.address, "GET", "/x", {"Host": "x"})
        self.assertEqual(reply.body, BODY)


class TestRequestBodies(PortCase):
    """Callers that upload a body and do not read the answer."""

    limits = Limits(unread_seconds=600.0)

    async def test_body_is_released_when_the_answer_is_ready(self):
        # Guards against bodies that are held, but no longer counted, as long as the answer.
        callers, size = 20, 200_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for number in range(callers):
            await self.connect(f"stuck-{number}", body=bytes(size))
        await self.until(lambda: self.held()[0] == callers)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        # The first piece of an answer, the only one that is copied, has 64 kB.
        self.assertLess(after - before, callers * size * 0.75)


if __name__ == "__main__":
    unittest.main()
