"""Tests of the link from an entry to an owner while the entry's node stops."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec

from caperstack.calls.model import Answered, Load
from caperstack.clock import deadline_after
from caperstack.exception import PeerError
from caperstack.peers.link import Link
from caperstack.peers.messages import Answer, CallMessage, Revoke
from caperstack.peers.tests.test_withheld import FakeConnection, make_call
from caperstack.peers.translate import load_report
from caperstack.play.tests.virtualcase import in_virtual_time
from caperstack.play.virtual import run_virtual
from caperstack.routing.estimates import Estimate
from caperstack.transfers.link import LinkBudget


class FormerRevoke(msgspec.Struct, array_like=True, tag=6):
    """`Revoke` without the field that only this release has."""

    id: int
    reply: bool
    age_us: int = 0
    sent_us: int = 0


class TestEndBy(unittest.TestCase):
    """`Link.end_by` with one call, whose deadline is 5 s away."""

    def play(self, work):
        async def played():
            links = mock.Mock(budget=LinkBudget(0.0))
            self.link = Link(SimpleNamespace(host="h", estimate=Estimate()), links)
            self.link._retired = True
            self.connection = FakeConnection()
            await work()
            self.assertEqual((self.link._calls, self.link._pending), ({}, {}))

        run_virtual(played)

    async def start(self):
        task = asyncio.create_task(self.link.run(make_call(b"")))
        await asyncio.sleep(0.01)
        return task

    def connect(self):
        self.link._connection = self.connection
        self.link._connected.set()

    def answer(self):
        self.link._handle_message(Answer(7, 0, 200, "OK", [], load_report(Load()), 0), b"")

    @in_virtual_time
    async def test_call_that_waits_for_the_connection_is_not_sent_late(self):
        """Guards against calls that reach an owner when no time is left to run them."""
        task = await self.start()
        self.link.end_by(deadline_after(1.0))
        self.connect()
        with self.assertRaisesRegex(PeerError, "node stops") as caught:
            await task
        self.assertFalse(caught.exception.sent)
        self.assertEqual(self.connection.sent, [])

    @in_virtual_time
    async def test_call_that_ends_in_time_is_sent_once_connected(self):
        """Guards against refusals of what can be served to its deadline."""
        task = await self.start()
        self.link.end_by(deadline_after(6.0))
        self.connect()
        await asyncio.sleep(0.01)
        self.assertEqual([type(message) for message in self.connection.sent], [CallMessage])
        self.answer()
        self.assertIsInstance(await task, Answered)

    @in_virtual_time
    async def test_sent_call_is_withdrawn_and_its_answer_still_delivered(self):
        """Guards against ready answers that are lost because a call was withdrawn."""
        self.connect()
        task = await self.start()
        self.link.end_by(deadline_after(6.0))
        self.assertEqual(len(self.connection.sent), 1)
        self.link.end_by(deadline_after(1.0))
        revocation = self.connection.sent[-1]
        self.assertEqual(
            (revocation.id, revocation.reply, revocation.waiting_only), (7, True, True)
        )
        self.answer()
        self.assertIsInstance(await task, Answered)


class TestRelease(unittest.TestCase):
    """`Revoke` between this release and the one before."""

    def test_owner_of_the_release_before_reads_a_withdrawal(self):
        """Guards against links that break while a release replaces nodes one by one."""
        encoded = msgspec.msgpack.encode(Revoke(7, True, 3, 4, True))
        read = msgspec.msgpack.decode(encoded, type=FormerRevoke)
        self.assertEqual(read, FormerRevoke(7, True, 3, 4))

    def test_revocation_of_the_release_before_is_no_withdrawal(self):
        """Guards against entries that wait for an outcome which the owner does not report."""
        encoded = msgspec.msgpack.encode(FormerRevoke(7, True, 3, 4))
        read = msgspec.msgpack.decode(encoded, type=Revoke)
        self.assertEqual(read, Revoke(7, True, 3, 4, False))


if __name__ == "__main__":
    unittest.main()
