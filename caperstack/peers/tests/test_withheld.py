"""Tests of request bodies that an entry sends only when the owner requests them."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from caperstack.calls.model import Answered, Call, Load
from caperstack.clock import deadline_after, now
from caperstack.exception import PeerError
from caperstack.peers.link import Link
from caperstack.peers.messages import (
    Answer,
    CallBody,
    CallMessage,
    Hello,
    LoadReport,
    Revoke,
    SendBody,
)
from caperstack.peers.translate import call_message, load_report
from caperstack.peers.withheld import WithheldBodies, WithheldBody
from caperstack.play.tests.virtualcase import in_virtual_time
from caperstack.play.virtual import run_virtual
from caperstack.routing.estimates import Estimate
from caperstack.transfers.link import LinkBudget
from caperstack.transfers.pacing import PIECE_SECONDS, BodyPacer

BODY = bytes(range(250)) * 240
BODY_BYTES = len(BODY)
RATE = 680_000


def make_call(body=BODY):
    call = Call(7, "n", "r", "s", "POST", "/", [], body, deadline_after(5.0), False)
    call.queue_until = call.deadline
    return call


class FakeConnection:
    """Record what is sent on it, and pass it to ``receive(message, body)``."""

    address = "peer"

    def __init__(self):
        self.sent = []
        self.closed = False
        self.receive = lambda _message, _body: None

    def send(self, message, body=b""):
        if self.closed:
            raise PeerError("connection is closed", step="send", sent=False)
        self.sent.append(message)
        self.receive(message, body)

    async def send_in_chunks(self, message, body):
        self.send(message, body)


class TestWithheldBody(unittest.IsolatedAsyncioTestCase):
    """`WithheldBody.fetch` at the owner."""

    async def asyncSetUp(self):
        self.bodies, self.connection = WithheldBodies(), FakeConnection()

    async def fetch(self, *pieces, size=BODY_BYTES, limit=5.0, rate=RATE):
        """Return the body of a call whose entry sends `pieces`."""
        body = WithheldBody(self.bodies, self.connection, 7, size, RATE)
        task = asyncio.create_task(body.fetch(deadline_after(limit), rate))
        await asyncio.sleep(0)
        for piece in pieces:
            self.bodies.deliver(self.connection, 7, piece)
        return await task

    async def asyncTearDown(self):
        self.bodies.deliver(self.connection, 7, b"late piece")
        self.assertEqual(self.bodies._expected, {})

    async def test_pieces_are_joined(self):
        self.assertEqual(await self.fetch(BODY[:9], BODY[9:9000], b"", BODY[9000:]), BODY)
        self.assertEqual(self.connection.sent, [SendBody(7, RATE)])

    async def test_body_in_one_piece_is_taken(self):
        """Guards against an entry of yesterday, which knows no pieces, or tells no size."""
        self.assertEqual(await self.fetch(BODY), BODY)
        self.assertEqual(await self.fetch(BODY, size=0), BODY)

    async def test_unbounded_rate_asks_for_the_body_at_once(self):
        await self.fetch(BODY, rate=float("inf"))
        self.assertEqual(self.connection.sent, [SendBody(7, 0)])

    async def test_body_that_is_longer_than_declared_is_refused(self):
        """Guards against a call that runs with a body which is not the caller's."""
        with self.assertRaisesRegex(PeerError, "longer than declared"):
            await self.fetch(BODY[:100], BODY)

    async def test_body_that_does_not_come_whole_is_given_up(self):
        """Guards against an entry that freezes after the first pieces."""
        with self.assertRaisesRegex(PeerError, "not sent in time"):
            await self.fetch(BODY[:100], limit=0.01)

    async def test_lost_connection_ends_the_wait_for_its_bodies_only(self):
        """Guards against calls that wait for an entry that was killed."""
        other = WithheldBody(self.bodies, FakeConnection(), 7, 1)
        waiting = asyncio.create_task(other.fetch(deadline_after(5.0)))
        failing = asyncio.create_task(self.fetch(BODY[:100]))
        await asyncio.sleep(0.01)
        self.bodies.fail_all(self.connection)
        with self.assertRaisesRegex(PeerError, "connection lost"):
            await failing
        self.bodies.deliver(other._connection, 7, b"x")
        self.assertEqual(await waiting, b"x")

    async def test_closed_connection_is_noticed_at_once(self):
        self.connection.closed = True
        with self.assertRaisesRegex(PeerError, "closed"):
            await self.fetch()


class TestLink(unittest.TestCase):
    """`Link.run` at the entry, with a call whose body is large on the link."""

    def play(self, work, own=800_000.0, receiver=0.0):
        async def played():
            budget = LinkBudget(own)
            links = mock.Mock(budget=budget, pacer=BodyPacer(budget))
            estimate = Estimate()
            estimate.body_bytes_per_second = receiver
            self.link = Link(SimpleNamespace(host="h", estimate=estimate), links)
            self.connection = self.link._connection = FakeConnection()
            self.link._retired = True
            self.pieces = []
            self.connection.receive = self.receive
            await work()
            self.assertEqual((self.link._calls, self.link._sending), ({}, set()))

        run_virtual(played)

    def receive(self, message, body):
        if isinstance(message, CallBody):
            self.pieces.append((now(), body))
            if sum(len(piece) for _, piece in self.pieces) == BODY_BYTES:
                report = load_report(Load())
                self.link._handle_message(Answer(7, 0, 200, "OK", [], report, 0), b"")

    def start(self):
        return asyncio.create_task(self.link.run(make_call()))

    async def request(self, rate):
        await asyncio.sleep(0)
        self.link._handle_message(SendBody(7, rate), b"")

    @in_virtual_time
    async def test_body_goes_on_request_at_the_granted_rate(self):
        task = self.start()
        await self.request(340_000)
        began = now()
        self.assertIsInstance(await task, Answered)
        self.assertEqual(b"".join(piece for _, piece in self.pieces), BODY)
        self.assertAlmostEqual(now() - began, BODY_BYTES / 340_000, delta=2 * PIECE_SECONDS)
        call, *bodies = self.connection.sent
        self.assertEqual(
            (call.withheld, call.size, call.body_bytes, call.body_bytes_per_second),
            (True, 0, BODY_BYTES, RATE),
        )
        self.assertEqual([m.size for m in bodies], [len(piece) for _, piece in self.pieces])

    @in_virtual_time
    async def test_entry_stops_after_the_current_piece_when_the_caller_leaves(self):
        """Guards against links that carry bodies of calls which nobody awaits."""

        task = self.start()
        await self.request(RATE)
        await asyncio.sleep(2.5 * PIECE_SECONDS)
        task.cancel()
        await asyncio.wait([task])
        sent = len(self.pieces)
        self.assertEqual(self.connection.sent[-1], Revoke(7, False))
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.pieces), sent)

    @in_virtual_time
    async def test_entry_stops_when_the_connection_is_lost(self):
        """Guards against a transfer that goes on to an owner that was killed."""

        task = self.start()
        await self.request(RATE)
        await asyncio.sleep(2.5 * PIECE_SECONDS)
        self.connection.closed = True
        self.link._on_connection_lost()
        with self.assertRaises(PeerError):
            await task
        await asyncio.sleep(1.0)
        self.assertLessEqual(len(self.pieces), 3)

    @in_virtual_time
    async def test_owner_of_yesterday_gets_the_body_whole(self):
        """Guards against an owner that knows no pieces while a release is rolled out."""

        task = self.start()
        await self.request(0)
        await task
        self.assertEqual([piece for _, piece in self.pieces], [BODY])

    def first_message(self, own, receiver):
        """Return the `CallMessage` between links of these rates."""

        async def work():
            task = self.start()
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])

        self.play(work, own, receiver)
        return self.connection.sent[0]

    def test_receivers_thin_link_makes_a_body_large(self):
        self.assertTrue(self.first_message(0.0, RATE).withheld)

    def test_without_a_known_link_the_body_goes_with_its_call(self):
        """Guards against deployments without a rate that are served otherwise than before."""
        call = self.first_message(0.0, 0.0)
        self.assertEqual((call.withheld, call.size), (False, BODY_BYTES))
        self.assertEqual((call.body_bytes, call.body_bytes_per_second), (0, 0))


class TestRelease(unittest.TestCase):
    """Messages between this release and the one before."""

    #: The fields that the release before does not have.
    NEW_FIELDS = {CallMessage: 2, SendBody: 1, Hello: 1, LoadReport: 1}

    def test_messages_of_yesterday_are_read(self):
        """Guards against nodes that cannot talk while a release replaces them one by one."""
        report = load_report(Load(link_wait_ms=40))
        call = call_message(make_call(), 1, True, RATE)
        hello = Hello(6, "h", "z", "s", 1, 1, report, body_bytes_per_second=RATE)
        for message in (call, SendBody(7, RATE), hello, report):
            kind, added = type(message), self.NEW_FIELDS[type(message)]
            older = msgspec.msgpack.encode(msgspec.to_builtins(message)[:-added])
            read = msgspec.to_builtins(msgspec.msgpack.decode(older, type=kind))
            self.assertEqual(read[-added:], [0] * added)


if __name__ == "__main__":
    unittest.main()
