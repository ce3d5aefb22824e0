"""Tests of answers without a length, which end with their connection."""

import asyncio
import socket
import unittest

from caperstack.backend.client import BackendClient
from caperstack.backend.tests.servers import RawServer, reset
from caperstack.calls.dialect import Dialect
from caperstack.calls.model import Call
from caperstack.clock import deadline_after
from caperstack.exception import BackendError

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
HALF = b"first half"
REST = b", second half"


def make_call(seconds=5.0):
    return Call(
        id=1,
        origin="h",
        request_id="r",
        service="s",
        method="POST",
        target="/",
        headers=[],
        body=b"",
        deadline=deadline_after(seconds),
        idempotent=False,
    )


class TestUnframedAnswer(unittest.IsolatedAsyncioTestCase):
    """An answer without a length is whole only if the backend server has ended it."""

    async def asyncSetUp(self):
        self.server = RawServer(self.reply)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.head_read = asyncio.Event()
        self.client = self.client_of(lambda _report: self.head_read.set())

    def client_of(self, on_report):
        dialect = Dialect(ends_with_connection=True)
        client = BackendClient(self.server.address, 10, 1024, dialect, on_report)
        self.addAsyncCleanup(client.stop)
        return client

    async def reply(self, _server, _head, writer):
        self.writer = writer
        writer.write(HEAD + HALF)
        await writer.drain()

    async def half_answered(self, work):
        """Return the task of `work`, whose answer has come by half."""
        self.head_read.clear()
        task = asyncio.create_task(work)
        await self.head_read.wait()
        return task

    async def failure(self, task):
        with self.assertRaises(BackendError) as caught:
            await task
        self.assertTrue(caught.exception.sent)
        return caught.exception

    async def test_half_an_answer_is_not_whole_after_a_restart_of_its_server(self):
        """Guards against half an answer passed on as whole when the node drops connections."""
        task = await self.half_answered(self.client.fetch(make_call()))
        self.client.restart()
        self.assertIn("closed by this node", (await self.failure(task)).message)

    async def test_half_an_answer_is_not_whole_when_the_client_stops(self):
        """Guards against half an answer passed on as whole by a node that stops."""
        task = await self.half_answered(self.client.fetch(make_call()))
        await self.client.stop()
        await self.failure(task)

    async def test_half_an_answer_is_not_whole_if_its_head_tells_of_a_restart(self):
        """Guards against a connection that closes while its own head is being read."""
        client = self.client_of(lambda _report: client.restart())
        await self.failure(asyncio.create_task(client.fetch(make_call())))

    async def test_half_an_answer_is_not_whole_at_the_deadline(self):
        """Guards against half an answer passed on as whole because the deadline came."""
        error = await self.failure(asyncio.create_task(self.client.fetch(make_call(0.2))))
        self.assertEqual(error.message, "deadline passed")

    async def test_withdrawn_call_gets_no_half_answer(self):
        """Guards against a withdrawn call that ends with what had come of its answer."""
        task = await self.half_answered(self.client.fetch(make_call()))
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.client.in_flight, 0)

    async def test_half_a_health_answer_shows_no_health(self):
        """Guards against a health check that succeeds since the node closed its connection."""
        task = await self.half_answered(self.client.probe("/health", deadline_after(5.0)))
        self.client.restart()
        await self.failure(task)

    async def test_answer_that_has_arrived_is_delivered_after_a_restart(self):
        """Guards against the loss of answers that are ready when a restart becomes known."""
        task = await self.half_answered(self.client.fetch(make_call()))
        self.writer.write(REST)
        self.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.client.restart()
        self.assertEqual((await task).body, HALF + REST)

    async def test_cut_after_a_restart_is_told_from_a_loss(self):
        """Guards against a node that takes its own close for a fault of its backend server."""
        task = await self.half_answered(self.client.fetch(make_call()))
        self.client.restart()
        self.assertTrue((await self.failure(task)).closed_here)
        task = await self.half_answered(self.client.fetch(make_call()))
        reset(self.writer)
        self.assertFalse((await self.failure(task)).closed_here)

    async def test_answer_ends_when_the_server_closes(self):
        task = await self.half_answered(self.client.fetch(make_call()))
        self.writer.write(REST)
        self.writer.close()
        self.assertEqual((await task).body, HALF + REST)

    async def test_answer_that_is_reset_is_not_whole(self):
        task = await self.half_answered(self.client.fetch(make_call()))
        reset(self.writer)
        self.assertEqual((await self.failure(task)).message, "connection reset")
