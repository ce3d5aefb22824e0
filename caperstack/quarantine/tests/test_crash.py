"""What counts as the end of a backend server, and which calls were at work then."""

import asyncio
import sys
import unittest
from types import SimpleNamespace

from caperstack.calls.model import Call, ServerState
from caperstack.clock import deadline_after
from caperstack.quarantine.crash import UNANSWERED_MOST, CrashWatch, Left


def call(number, seconds=5.0):
    return Call(number, "n", f"r{number}", "s", "GET", "/", [], b"", deadline_after(seconds), True)


class TestCrashWatch(unittest.IsolatedAsyncioTestCase):
    """`CrashWatch` beside a server that listens, or does not."""

    def setUp(self):
        self.listening = False
        self.asked = 0
        self.standing = SimpleNamespace(state=ServerState.WARM, instance="i-1", born_ms=0)
        self.watch = CrashWatch(self, self.standing)
        self.ends = []
        self.watch.listen(self.ends.append)

    async def listens(self, _deadline):
        self.asked += 1
        return self.listening

    def at_work(self):
        return [sorted(work.number for work in end.works.values()) for end in self.ends]

    async def test_server_that_refuses_connections_has_ended_with_all_its_work(self):
        # All connections of a server break in one millisecond.  The first loss
        # asks, the others learn the same; no call is counted at a second end.
        first, second = call(1), call(2)
        self.watch.begin(first)
        self.watch.begin(second)
        end = await self.watch.lost(first)
        self.assertEqual((await self.watch.lost(second)).number, end.number)
        self.assertEqual((self.at_work(), self.asked), ([[1, 2]], 1))

    async def test_server_that_listens_still_has_lost_an_answer_only(self):
        self.listening = True
        lost = call(1)
        self.watch.begin(lost)
        self.assertIsNone(await self.watch.lost(lost))
        self.assertEqual(self.ends, [])

    async def test_answered_calls_were_not_at_work(self):
        answered, lost = call(1), call(2)
        for one in (answered, lost):
            self.watch.begin(one)
        self.watch.finish(answered, Left.ANSWERED)
        await self.watch.lost(lost)
        self.assertEqual(self.at_work(), [[2]])

    async def test_call_that_was_cancelled_may_be_at_work_until_its_deadline(self):
        # A caller leaves; its call is cancelled here, the server works on and ends
        # of it a moment later.  A call whose deadline has passed does not work on.
        cancelled, over, lost = call(1), call(2, seconds=-1.0), call(3)
        for one in (cancelled, over, lost):
            self.watch.begin(one)
        self.watch.finish(cancelled, Left.UNANSWERED)
        self.watch.finish(over, Left.UNANSWERED)
        await self.watch.lost(lost)
        self.assertEqual(self.at_work(), [[1, 3]])

    async def test_server_that_leaves_ends_in_peace(self):
        self.standing.state = ServerState.DRAINING
        lost = call(1)
        self.watch.begin(lost)
        self.assertIsNone(await self.watch.lost(lost))

    async def test_server_that_went_dark_has_ended_when_another_start_is_listed(self):
        # A host loses its server without a word: nothing breaks the connections
        # and nothing refuses.  The next start shows that the calls died with it.
        self.watch.begin(call(1))
        self.watch.started_anew()
        self.assertEqual(self.at_work(), [[1]])

    async def test_calls_that_were_given_up_on_a_dark_server_bear_its_end(self):
        # A server goes silent of a call; the call is given up at its deadline, and
        # so are many that were sent after it, until another start is listed.  The
        # first ones that were out when it last answered are to blame.
        culprit = call(1, seconds=0.02)
        self.watch.note_life()
        self.watch.begin(culprit)
        await asyncio.sleep(0.03)
        self.watch.finish(culprit, Left.UNANSWERED)
        for number in range(2, 3 * UNANSWERED_MOST):
            later = call(number, seconds=0.0)
            self.watch.begin(later)
            self.watch.finish(later, Left.UNANSWERED)
        self.watch.started_anew()
        self.assertEqual(self.at_work()[0][0], 1)
        self.assertLessEqual(len(self.at_work()[0]), 2 * UNANSWERED_MOST)

    async def test_refused_connection_is_no_sign_of_life(self):
        # The silent server is asked on: calls that get no connection, or are turned
        # away by another server at its address, say nothing of it.
        culprit = call(1, seconds=0.01)
        self.watch.begin(culprit)
        await asyncio.sleep(0.02)
        self.watch.finish(culprit, Left.UNANSWERED)
        later = call(2)
        self.watch.begin(later)
        self.watch.finish(later, Left.NOT_RUN)
        self.watch.started_anew()
        self.assertEqual(self.at_work(), [[1]])

    async def test_calls_that_were_over_when_the_server_answered_are_not_blamed(self):
        over = call(1, seconds=0.01)
        self.watch.begin(over)
        self.watch.finish(over, Left.UNANSWERED)
        await asyncio.sleep(0.02)
        self.watch.note_life()
        lost = call(2)
        self.watch.begin(lost)
        await self.watch.lost(lost)
        self.assertEqual(self.at_work(), [[2]])

    async def test_server_ends_once(self):
        # A server has ended; calls that still go to its address are under way when
        # the next start is listed there, or are lost there.
        first, second = call(1), call(2)
        self.watch.begin(first)
        await self.watch.lost(first)
        self.watch.begin(second)
        self.assertIsNone(await self.watch.lost(second))
        self.watch.started_anew()
        self.assertEqual(self.at_work(), [[1]])
        third = call(3)
        self.watch.begin(third)
        await self.watch.lost(third)
        self.assertEqual(self.at_work(), [[1], [3]])

    async def test_server_that_answers_again_may_end_again(self):
        for number in (1, 2):
            lost = call(number)
            self.watch.begin(lost)
            await self.watch.lost(lost)
            self.watch.note_life()
        self.assertEqual(self.at_work(), [[1], [2]])

    async def test_bodies_of_calls_are_not_kept(self):
        # A megabyte for each of 72 calls would be kept for as long as the server is
        # silent, beside a node of 20 MB.
        body = bytes(1 << 20)
        before = sys.getrefcount(body)
        large = call(1)
        large.body = body
        self.watch.begin(large)
        self.watch.finish(large, Left.UNANSWERED)
        del large
        self.assertEqual(sys.getrefcount(body), before)
