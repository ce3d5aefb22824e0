"""Tests of bytes without end from a backend server, on real sockets."""

import asyncio
import tracemalloc
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.backend.client import BackendClient
from caperstack.backend.monitor import BackendMonitor
from caperstack.backend.tests.servers import RawServer
from caperstack.backend.tests.test_unframed import make_call
from caperstack.calls.dialect import Dialect
from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError

MEBIBYTE = 1024 * 1024
MAX_ANSWER_BYTES = 2 * MEBIBYTE
MAX_HELD_BYTES = 4 * MEBIBYTE

#: What a connection holds besides what is counted: buffers of the stream and of the server in
#: this process, in bytes.
CONNECTION_BYTES = MEBIBYTE // 2

BLOCK = bytes(64 * 1024)
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
STALE = OK + b"Id: other\r\nContent-Length: 2\r\n\r\nok"

#: What comes first, what is repeated without end, and the reason that is told.
ENDLESS = {
    "no HTTP": (b"", BLOCK, "bytes are no answer"),
    "head": (OK + b"Filler: ", b"x" * 4096, "bytes are no answer"),
    "head of many lines": (OK, b"Filler: x\r\n" * 400, "bytes are no answer"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", "bytes are no answer"),
    "answers of other requests": (b"", STALE, "answers of other requests"),
    "answer of another request": (OK + b"Id: other\r\n\r\n", BLOCK, "answers of other requests"),
    "body": (OK + b"\r\n", BLOCK, "answer is too large"),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, "answer is too large"),
    "chunk length": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1", "bytes are no answer"),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;", b"a", "bytes are no answer"),
    "trailers": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"Filler: x\r\n" * 400,
        "bytes are no answer",
    ),
    "body of a length": (OK + b"Content-Length: 1" + b"0" * 15 + b"\r\n\r\n", BLOCK, "too large"),
}


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    """A client of a server that sends the bytes of `first`, then `repeated` until it closes."""

    async def start(self, first, repeated, pause=0.0):
        async def reply(_server, _head, writer):
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(pause)

        await self.serve(reply)

    async def serve(self, reply):
        # The debug mode of asyncio keeps a traceback for each of many thousand writes.
        asyncio.get_running_loop().set_debug(False)
        self.server = RawServer(reply)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        dialect = Dialect(request_id="Id", ends_with_connection=True)
        self.client = BackendClient(
            self.server.address, 64, MAX_ANSWER_BYTES, dialect, max_held_bytes=MAX_HELD_BYTES
        )
        self.addAsyncCleanup(self.client.stop)

    async def connections_closed(self):
        async with asyncio.timeout(10):
            while self.server.open_connections:
                await asyncio.sleep(0.005)

    async def failure(self, work):
        with self.assertRaises(BackendError) as caught:
            await work
        return caught.exception

    def fetch(self, seconds=30.0):
        return self.client.fetch(make_call(seconds))

    def probe(self, seconds=30.0):
        return self.client.probe("/health", deadline_after(seconds))


class TestEndlessBytes(EndlessCase):
    """One request or health check gets bytes without end."""

    async def test_request_ends_before_its_deadline_and_closes_the_connection(self):
        """Guards against a call, a slot and a connection that bytes without end hold."""
        for name, (first, repeated, reason) in ENDLESS.items():
            with self.subTest(name):
                await self.start(first, repeated)
                error = await self.failure(self.fetch())
                self.assertIn(reason, error.message)
                self.assertTrue(error.sent and not error.unheard and not error.closed_here)
                await self.connections_closed()

    async def test_health_check_ends_before_its_deadline_and_closes_the_connection(self):
        """Guards against health checks that hang, or hold a body, for bytes without end."""
        for name, (first, repeated, reason) in ENDLESS.items():
            with self.subTest(name):
                await self.start(first, repeated)
                error = await self.failure(self.probe())
                # A health check has no id, so each answer with one is of another request.
                self.assertIn(reason, error.message)
                self.assertLessEqual(error.received, 2 * len(BLOCK))
                await self.connections_closed()

    async def test_bytes_that_trickle_without_end_stop_at_the_deadline(self):
        """Guards against a call that outlives its deadline since some bytes always come."""
        for name, (first, _, reason) in ENDLESS.items():
            for work in (self.fetch, self.probe):
                with self.subTest(name, work=work.__name__):
                    await self.start(first, b"1", pause=0.01)
                    begun = now()
                    error = await self.failure(work(0.1))
                    self.assertLess(now() - begun, 5.0)
                    self.assertTrue(error.message == "deadline passed" or reason in error.message)
                    await self.connections_closed()

    async def test_bytes_after_a_whole_answer_close_the_connection(self):
        """Guards against idle connections on which bytes without end wait to be read."""
        await self.start(OK + b"Content-Length: 2\r\n\r\nok", BLOCK)
        self.assertEqual((await self.fetch()).body, b"ok")
        await self.connections_closed()


class TestManyEndlessAnswers(EndlessCase):
    """Answers without end on many connections at once."""

    CONNECTIONS = 24

    async def test_memory_is_bounded_over_all_connections(self):
        """Guards against a host without memory: each answer is below its own limit."""
        for name in ("body", "chunks", "head"):
            first, repeated, _ = ENDLESS[name]
            with self.subTest(name):
                await self.start(first, repeated)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                calls = (self.failure(self.fetch()) for _ in range(self.CONNECTIONS))
                await asyncio.gather(*calls)
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertLess(peak, MAX_HELD_BYTES + self.CONNECTIONS * CONNECTION_BYTES)
                await self.connections_closed()
                self.assertEqual(self.client._intake.held_bytes, 0)

    async def test_sound_answers_are_delivered_beside_them(self):
        """Guards against sound answers that are cut for the memory that others take."""
        whole = BLOCK[:10_000]

        async def reply(server, _head, writer):
            if len(server.requests) % 2:
                writer.write(OK + b"\r\n")
                while True:
                    writer.write(BLOCK)
                    await writer.drain()
            writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(whole) + whole)

        await self.serve(reply)
        calls = (self.fetch() for _ in range(2 * self.CONNECTIONS))
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        failed = [outcome for outcome in outcomes if isinstance(outcome, Exception)]
        self.assertEqual(len(failed), self.CONNECTIONS)
        self.assertTrue(all(isinstance(error, BackendError) for error in failed))
        sound = [outcome.body for outcome in outcomes if outcome not in failed]
        self.assertEqual(sound, [whole] * self.CONNECTIONS)


class TestEndlessDocuments(EndlessCase):
    """The product's own health endpoint sends a document without end."""

    async def test_monitor_gives_up_and_closes_the_connection(self):
        """Guards against a monitor that reads an endpoint until the memory is used up."""
        for name in ("head", "body", "chunks"):
            first, repeated, _ = ENDLESS[name]
            with self.subTest(name):
                await self.start(first, repeated)
                peak = await self.peak_of_three_failures()
                self.assertLess(peak, 2 * CONNECTION_BYTES)
                await self.connections_closed()

    async def peak_of_three_failures(self):
        metrics, settings = mock.Mock(), mock.Mock()
        settings.service.return_value = SimpleNamespace(policy="", measuring_per_second=50.0)
        owner = SimpleNamespace(node_leaves=False, answering=False, set_health=mock.Mock())
        services = {"owner": owner, "settings": settings, "metrics": metrics}
        backend = SimpleNamespace(address=self.server.address, health_path="/h", service="s")
        monitor = BackendMonitor(SimpleNamespace(backend=backend))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await monitor.start(SimpleNamespace(find=services.__getitem__))
        async with asyncio.timeout(20):
            while not owner.set_health.called:
                await asyncio.sleep(0.01)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await monitor.stop()
        owner.set_health.assert_called_with(ServerState.DOWN)
        return peak


if __name__ == "__main__":
    unittest.main()
