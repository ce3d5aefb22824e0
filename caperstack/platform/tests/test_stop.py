"""Real nodes that stop while callers keep using their connections."""

import asyncio
import signal
from dataclasses import dataclass

from caperstack.addresses import split_address
from caperstack.clock import now
from caperstack.platform.names import DIALECT
from caperstack.platform.standin.fleet import route_row
from caperstack.platform.tests.fleetcase import FleetCase


@dataclass(slots=True)
class Sent:
    """A request: its id, when it was sent after the stop began, and the status of its answer."""

    name: str
    after: float
    status: int = 0


class BusyCaller:
    """A caller that sends one request after another on one connection until it is closed.

    It does not heed ``Connection: close``.
    """

    def __init__(self, fleet, host, path, milliseconds):
        self._fleet = fleet
        self._host = host
        self._path = path
        self._milliseconds = milliseconds
        self.sent = []

    async def run(self, began):
        """Send requests; `began` returns when the stop began."""
        reader, writer = await asyncio.open_connection(*split_address(self._host.outbound))
        try:
            while True:
                request = Sent(self._fleet.new_request_id(), now() - began())
                writer.write(self._head(request.name))
                self.sent.append(request)
                await self._read_answer(reader, request)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _head(self, name):
        lines = (f"POST {self._path} HTTP/1.1", "Host: x.example", "Content-Length: 0")
        lines += (f"{DIALECT.request_id}: {name}", f"{DIALECT.time_left}: {self._milliseconds}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _read_answer(self, reader, request):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
        await reader.readexactly(length)
        request.status = int(head.split()[1])


class StopCase(FleetCase):
    """The first of three hosts stops."""

    async def stop_beside(self, callers):
        """Stop the first node while `callers` send; return the requests sent from then on."""
        self.began = float("inf")
        sending = [asyncio.create_task(caller.run(lambda: self.began)) for caller in callers]
        await asyncio.sleep(0.3)
        self.began = now()
        self.first.node.signal(signal.SIGTERM)
        await asyncio.gather(*sending)
        self.assertEqual(await self.first.node.ended(), 0)
        return [request for caller in callers for request in caller.sent if request.after >= 0]

    def assert_told_the_truth(self, requests):
        """Assert that each request was answered by its server, or refused and has not run."""
        for request in requests:
            runs = self.fleet.runs(request.name)
            with self.subTest(sent_after=round(request.after, 2), status=request.status):
                if request.status in (0, 503):
                    # A request on a connection that is being closed is not read.
                    self.assertEqual(runs, 0)
                else:
                    self.assertEqual((request.status, runs), (200, 1))


class TestBusyConnections(StopCase):
    """Callers that keep using their connections until the process is gone."""

    async def test_request_that_may_outlast_the_node_is_not_passed_on(self):
        """Guards against requests taken late in a stop that are cut at its end, at work."""
        for host in self.fleet.hosts:
            host.instance.behaviour.seconds = 0.7
        paths = ("/book/x", "/rates/x")
        callers = [BusyCaller(self.fleet, self.first, path, 3000) for path in paths * 4]
        requests = await self.stop_beside(callers)
        self.assert_told_the_truth(requests)
        late = [request for request in requests if request.after > 3.0]
        # The connection may be closed before the last request on it is read.
        self.assertLessEqual({request.status for request in late}, {0, 503})
        early = [request for request in requests if request.after < 2.0]
        self.assertEqual({request.status for request in early}, {200})

    async def test_node_ends_once_its_callers_have_left(self):
        """Guards against a stop that lasts as long as it may although no connection is open."""
        for _ in range(20):
            await self.fleet.ask(self.first, "/rates/x")
        began = now()
        self.first.node.signal(signal.SIGTERM)
        self.assertEqual(await self.first.node.ended(), 0)
        self.assertLess(now() - began, 4.5)

    async def test_request_that_ends_before_the_node_is_served(self):
        """Guards against refusals of what can be served to its deadline."""
        requests = await self.stop_beside([BusyCaller(self.fleet, self.first, "/rates/x", 400)])
        self.assert_told_the_truth(requests)
        served = [request.after for request in requests if request.status == 200]
        self.assertGreater(max(served), 4.0)


class TestLateBodies(StopCase):
    """Requests whose head comes before a stop, and the rest of their body late in it."""

    async def test_request_whose_body_comes_late_is_not_passed_on(self):
        """Guards against a request that is whole only when no time is left to run it."""
        self.third.instance.behaviour.seconds = 2.0
        name = self.fleet.new_request_id()
        reader, writer = await asyncio.open_connection(*split_address(self.first.outbound))
        writer.write(
            f"POST /rates/x HTTP/1.1\r\nHost: x.example\r\nContent-Length: 4\r\n"
            f"{DIALECT.request_id}: {name}\r\n\r\nha".encode()
        )
        await asyncio.sleep(0.1)
        self.first.node.signal(signal.SIGTERM)
        await asyncio.sleep(4.5)
        writer.write(b"lf")
        self.assertIn(b" 503 ", await reader.readline())
        writer.close()
        self.assertEqual(await self.first.node.ended(), 0)
        self.assertEqual(self.fleet.runs(name), 0)


class TestWaitingRequests(StopCase):
    """Requests that wait at the owner of another host when the node stops."""

    slots = 1

    async def test_request_that_waits_elsewhere_does_not_start_late(self):
        """Guards against requests that begin to run after a stop has no time left for them."""
        late = {"timeout": "9s", "targetLatency": "8s"}
        self.fleet.routes.append(route_row("/late/", "rates", "non_idempotent", **late))
        self.fleet.configure()
        self.third.instance.behaviour.seconds = 1.9

        async def known():
            _, reply = await self.fleet.ask(self.first, "/late/x", "POST", 9000)
            return reply.code == 200

        await self.until(known, "the route is known")
        callers = [BusyCaller(self.fleet, self.first, "/late/x", 9000) for _ in range(3)]
        requests = await self.stop_beside(callers)
        self.assert_told_the_truth([*requests, *(caller.sent[0] for caller in callers)])
