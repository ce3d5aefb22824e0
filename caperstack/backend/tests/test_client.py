"""Tests of `BackendClient` against servers that misbehave on keep-alive connections."""

import asyncio
import contextlib
import socket
import unittest

from caperstack.addresses import split_address
from caperstack.backend.client import BackendClient
from caperstack.backend.tests.servers import RawServer
from caperstack.bench.fleet import free_addresses
from caperstack.calls.dialect import Dialect
from caperstack.calls.model import Call, NotRun
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def make_call(method="POST", idempotent=False, body=b"", seconds=5.0):
    return Call(
        id=1,
        origin="h",
        request_id="r",
        service="s",
        method=method,
        target="/",
        headers=[],
        body=body,
        deadline=deadline_after(seconds),
        idempotent=idempotent,
    )


class ScriptedServer:
    """Answer the n-th request with the n-th reply.

    The connection is closed after a reply that does not end with "ok", and if no reply
    is left.  For the reply ``None`` the server sends nothing until the client disconnects.
    """

    def __init__(self, *replies):
        self._replies = list(replies)
        self.requests = 0
        self.disconnects = 0
        self._writers = []
        self.address = free_addresses(1)[0]

    async def start(self):
        ip, port = split_address(self.address)
        self._server = await asyncio.start_server(self._accept, ip, port)

    def close_connections(self):
        """Shut down the open connections."""
        for writer in self._writers:
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    async def _accept(self, reader, writer):
        self._writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                reply = self._replies.pop(0) if self._replies else b""
                if reply is None:
                    await reader.read()
                    self.disconnects += 1
                    return
                writer.write(reply)
                if not reply.endswith(b"ok"):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class TestReports(unittest.IsolatedAsyncioTestCase):
    """Reports of a server in the heads of its responses."""

    async def test_late_response_to_another_request_reports_nothing(self):
        """Guards against a rate limit that a late response without it withdraws."""
        late = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok"
        own = b"HTTP/1.1 200 OK\r\nId: r\r\nRate: 5\r\nContent-Length: 2\r\n\r\nok"
        server = ScriptedServer(late + own)
        await server.start()
        reports = []
        dialect = Dialect(request_id="Id", rate_limit="Rate")
        client = BackendClient(server.address, 10, 1024, dialect, reports.append)
        answer = await client.fetch(make_call())
        self.assertEqual((answer.status, len(reports)), (200, 1))
        self.assertEqual((reports[0].rate_limit, reports[0].probed), (5.0, False))
        await client.stop()

    async def test_report_tells_refusals_and_failures_from_successes(self):
        server = ScriptedServer(GOOD, GOOD.replace(b"200 OK", b"503 Full"))
        await server.start()
        reports = []
        client = BackendClient(server.address, 10, 1024, Dialect(rate_limit="Rate"), reports.append)
        for _ in range(2):
            await client.fetch(make_call())
        self.assertEqual([report.successful for report in reports], [True, False])
        await client.stop()


class TestChangedAddress(unittest.IsolatedAsyncioTestCase):
    """A backend server whose address changes while a request is in progress."""

    async def test_connection_to_the_former_address_is_not_used_again(self):
        """Guards against requests that still go to the server at the former address."""
        ready = asyncio.Event()

        async def reply(_server, _head, writer):
            await ready.wait()
            writer.write(GOOD)

        former, current = RawServer(reply), RawServer(reply)
        for server in (former, current):
            await server.start()
            self.addAsyncCleanup(server.stop)
        client = BackendClient(former.address, 10, 1024)
        self.addAsyncCleanup(client.stop)
        first = asyncio.create_task(client.fetch(make_call()))
        while not former.requests:
            await asyncio.sleep(0.001)
        client.set_address(current.address)
        ready.set()
        self.assertEqual((await first).status, 200)
        await client.fetch(make_call())
        await client.probe("/health", deadline_after(2.0))
        self.assertEqual((len(former.requests), len(current.requests)), (1, 2))


class TestOddNumbers(unittest.IsolatedAsyncioTestCase):
    """Digits in headers that are no ASCII digits, or too many of them."""

    HEADS = (
        "Content-Length: {}\r\n",
        "Load: {},0,8\r\nContent-Length: 2\r\n",
        "Keep-Alive: timeout={}\r\nContent-Length: 2\r\n",
    )

    async def test_no_request_or_health_check_fails_with_another_error(self):
        """Guards against health checks that stop for good after bytes that are no number."""
        dialect = Dialect(load="Load", ends_with_connection=True)
        for head in self.HEADS:
            for number in ("\xb2", "9" * 5000):
                reply = f"HTTP/1.1 200 OK\r\n{head.format(number)}\r\nok".encode("latin-1")
                server = ScriptedServer(reply, reply)
                await server.start()
                client = BackendClient(server.address, 10, 1024, dialect)
                self.addAsyncCleanup(client.stop)
                for work in (
                    client.probe("/", deadline_after(5.0)),
                    client.fetch(make_call()),
                ):
                    case = self.subTest(head=head, number=number[:9])
                    with case, contextlib.suppress(BackendError):
                        await work


class TestUnprovenRefusals(unittest.IsolatedAsyncioTestCase):
    """Statuses that callers take for a promise that the request has not run."""

    async def fetch(self, reply, idempotent=False):
        server = ScriptedServer(reply)
        await server.start()
        client = BackendClient(server.address, 10, 1024, Dialect(not_executed="Not-Run"))
        self.addAsyncCleanup(client.stop)
        return await client.fetch(make_call(idempotent=idempotent))

    async def test_unmarked_refusal_of_a_non_idempotent_request_promises_nothing(self):
        """Guards against a 503 for a request that ran, which its caller would send again."""
        for status in (408, 421, 429, 503):
            reply = GOOD.replace(b"200 OK", b"%d No" % status)
            with self.assertRaises(BackendError) as caught:
                await self.fetch(reply)
            self.assertTrue(caught.exception.sent)

    async def test_marked_refusal_is_reported_as_not_run(self):
        marked = GOOD.replace(b"200 OK\r\n", b"503 No\r\nNot-Run: 1\r\n")
        self.assertIsInstance(await self.fetch(marked), NotRun)

    async def test_other_answers_pass_unchanged(self):
        refused = GOOD.replace(b"200 OK", b"503 No")
        self.assertEqual((await self.fetch(refused, idempotent=True)).status, 503)
        failed = GOOD.replace(b"200 OK", b"500 No")
        self.assertEqual((await self.fetch(failed)).status, 500)


class TestBackendClient(unittest.IsolatedAsyncioTestCase):
    """Tests of `BackendClient.fetch`."""

    async def client_for(self, *replies):
        self.server = ScriptedServer(*replies)
        await self.server.start()
        client = BackendClient(self.server.address, 10, 1024)
        self.addAsyncCleanup(client.stop)
        return client

    async def failure(self, client, call):
        with self.assertRaises(BackendError) as caught:
            await client.fetch(call)
        return caught.exception

    async def test_non_idempotent_request_is_not_resent_after_connection_loss(self):
        # The backend server runs a request from a keep-alive connection and crashes
        # before it responds.  An HTTP library that resends requests on a new
        # connection, assuming an idle timeout, would run the request twice.
        for body in (b"", b"sweep"):
            client = await self.client_for(GOOD, b"", GOOD)
            await client.fetch(make_call())
            error = await self.failure(client, make_call(body=body))
            self.assertTrue(error.sent)
            self.assertEqual(self.server.requests, 2)

    async def test_idempotent_request_is_not_resent_by_the_client(self):
        # The backend server crashes while it runs an idempotent request.  If the
        # client resent it, the retry would bypass the retry budget of the entries.
        # It reports that the request was sent, and the entry decides.
        client = await self.client_for(GOOD, b"", GOOD)
        await client.fetch(make_call("GET", True))
        error = await self.failure(client, make_call("GET", True))
        self.assertTrue(error.sent)
        self.assertEqual(self.server.requests, 2)

    async def test_requests_in_sequence_share_a_connection(self):
        """Guards against a connection per request, as whole answers seem to have a surplus."""
        client = await self.client_for(*[GOOD] * 5)
        for _ in range(5):
            await client.fetch(make_call())
        self.assertEqual((self.server.requests, client.opened), (5, 1))

    async def test_idle_connection_closed_by_the_server_is_not_used(self):
        # The backend server closes an idle connection.  If the client does not
        # notice and sends a non-idempotent request on it, the request ends as
        # "unknown" although it never arrived.
        client = await self.client_for(GOOD, GOOD)
        await client.fetch(make_call())
        self.server.close_connections()
        answer = await client.fetch(make_call(body=b"sweep"))
        self.assertEqual((answer.status, self.server.requests), (200, 2))

    async def test_request_lost_on_an_idle_connection_shortens_reuse(self):
        # The backend server silently drops idle connections.  After the first lost
        # request, a non-idempotent request after a shorter idle time must use a new
        # connection.
        client = await self.client_for(GOOD, b"", GOOD, GOOD)
        await client.fetch(make_call("GET", True))
        idle_since = now()
        await asyncio.sleep(0.12)
        self.assertTrue((await self.failure(client, make_call("GET", True))).unheard)
        idle_seconds = now() - idle_since
        await client.fetch(make_call())
        opened = client.opened
        # Shorter than the first idle time, but longer than the half up to which
        # connections are reused.
        await asyncio.sleep(0.75 * idle_seconds)
        await client.fetch(make_call())
        self.assertEqual(client.opened, opened + 1)

    async def test_restart_fails_running_requests_and_drops_connections(self):
        # Requests sent before a restart of the backend server will get no response,
        # and may have run.
        client = await self.client_for(GOOD, None, GOOD)
        await client.fetch(make_call())
        running = asyncio.create_task(client.fetch(make_call()))
        while self.server.requests < 2:
            await asyncio.sleep(0.005)
        client.restart()
        with self.assertRaises(BackendError) as caught:
            await running
        self.assertTrue(caught.exception.sent)
        opened = client.opened
        await client.fetch(make_call())
        self.assertEqual(client.opened, opened + 1)

    async def test_refused_connection_counts_as_not_sent(self):
        client = BackendClient(free_addresses(1)[0], 10, 1024)
        self.addAsyncCleanup(client.stop)
        self.assertFalse((await self.failure(client, make_call())).sent)

    async def test_truncated_answer_counts_as_sent(self):
        client = await self.client_for(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        self.assertTrue((await self.failure(client, make_call())).sent)

    async def test_answer_without_a_length_is_rejected(self):
        client = await self.client_for(b"HTTP/1.1 200 OK\r\n\r\nmaybe half")
        self.assertIn("length", (await self.failure(client, make_call())).message)

    async def test_answer_above_the_size_limit_is_rejected(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + bytes(5000)
        client = await self.client_for(reply)
        self.assertIn("large", (await self.failure(client, make_call())).message)

    async def test_deadline_ends_the_request(self):
        client = await self.client_for(None)
        error = await self.failure(client, make_call(seconds=0.2))
        self.assertEqual((error.message, error.sent), ("deadline passed", True))

    async def test_cancelling_closes_the_connection(self):
        client = await self.client_for(None)
        task = asyncio.create_task(client.fetch(make_call()))
        while not self.server.requests:
            await asyncio.sleep(0.01)
        task.cancel()
        while not self.server.disconnects:
            await asyncio.sleep(0.01)
        self.assertEqual(client.in_flight, 0)
