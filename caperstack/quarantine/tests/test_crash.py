"""Tests of crash detection and of the calls that count as running at a crash."""

import asyncio
import sys
import unittest
from types import SimpleNamespace

from caperstack.calls.model import Call, ServerState
from caperstack.clock import deadline_after
from caperstack.quarantine.crash import MAX_UNANSWERED, BackendResult, CrashDetector


def call(number, seconds=5.0):
    return Call(number, "n", f"r{number}", "s", "GET", "/", [], b"", deadline_after(seconds), True)


class TestCrashDetector(unittest.IsolatedAsyncioTestCase):
    """`CrashDetector` with a server that does or does not listen."""

    def setUp(self):
        self.listening = False
        self.probes = 0
        self.status = SimpleNamespace(state=ServerState.WARM, instance="i-1", born_ms=0)
        self.detector = CrashDetector(self, self.status)
        self.crashes = []
        self.detector.listen(self.crashes.append)

    async def listens(self, _deadline):
        self.probes += 1
        return self.listening

    def crashed_calls(self):
        return [
            sorted(pending.number for pending in crash.pending_calls.values())
            for crash in self.crashes
        ]

    async def test_refused_connection_is_a_crash_with_all_running_calls(self):
        # All connections of a server break within a millisecond.  The first loss starts
        # the probe and the others share its result; no call counts for a second crash.
        first, second = call(1), call(2)
        self.detector.begin(first)
        self.detector.begin(second)
        crash = await self.detector.lost(first)
        self.assertEqual((await self.detector.lost(second)).number, crash.number)
        self.assertEqual((self.crashed_calls(), self.probes), ([[1, 2]], 1))

    async def test_lost_answer_of_a_listening_server_is_no_crash(self):
        self.listening = True
        lost = call(1)
        self.detector.begin(lost)
        self.assertIsNone(await self.detector.lost(lost))
        self.assertEqual(self.crashes, [])

    async def test_answered_calls_were_not_running(self):
        answered, lost = call(1), call(2)
        for one in (answered, lost):
            self.detector.begin(one)
        self.detector.finish(answered, BackendResult.ANSWERED)
        await self.detector.lost(lost)
        self.assertEqual(self.crashed_calls(), [[2]])

    async def test_cancelled_call_may_be_running_until_its_deadline(self):
        # A caller disconnects and its call is cancelled, but the server goes on with it
        # and crashes a moment later.  A call past its deadline is no longer running.
        cancelled, expired, lost = call(1), call(2, seconds=-1.0), call(3)
        for one in (cancelled, expired, lost):
            self.detector.begin(one)
        self.detector.finish(cancelled, BackendResult.UNANSWERED)
        self.detector.finish(expired, BackendResult.UNANSWERED)
        await self.detector.lost(lost)
        self.assertEqual(self.crashed_calls(), [[1, 3]])

    async def test_exit_of_a_leaving_server_is_no_crash(self):
        self.status.state = ServerState.DRAINING
        lost = call(1)
        self.detector.begin(lost)
        self.assertIsNone(await self.detector.lost(lost))

    async def test_hung_server_has_crashed_when_its_restart_is_listed(self):
        # A server disappears without closing or refusing connections.  Only its listed
        # restart shows that its calls were lost in a crash.
        self.detector.begin(call(1))
        self.detector.on_server_restart()
        self.assertEqual(self.crashed_calls(), [[1]])

    async def test_calls_that_timed_out_at_a_hung_server_are_blamed_for_its_crash(self):
        # A call hangs a server and times out, and so do many calls sent later, until the
        # restart is listed.  The calls in flight at the last response must be blamed,
        # not crowded out by the later ones.
        fatal = call(1, seconds=0.02)
        self.detector.record_response()
        self.detector.begin(fatal)
        await asyncio.sleep(0.03)
        self.detector.finish(fatal, BackendResult.UNANSWERED)
        for number in range(2, 3 * MAX_UNANSWERED):
            later = call(number, seconds=0.0)
            self.detector.begin(later)
            self.detector.finish(later, BackendResult.UNANSWERED)
        self.detector.on_server_restart()
        self.assertEqual(self.crashed_calls()[0][0], 1)
        self.assertLessEqual(len(self.crashed_calls()[0]), 2 * MAX_UNANSWERED)

    async def test_call_that_never_ran_is_no_response_of_the_server(self):
        # Calls to a hung server that get no connection, or are rejected by another
        # server at its address, do not show that it is alive.
        fatal = call(1, seconds=0.01)
        self.detector.begin(fatal)
        await asyncio.sleep(0.02)
        self.detector.finish(fatal, BackendResult.UNANSWERED)
        later = call(2)
        self.detector.begin(later)
        self.detector.finish(later, BackendResult.NOT_RUN)
        self.detector.on_server_restart()
        self.assertEqual(self.crashed_calls(), [[1]])

    async def test_calls_past_their_deadline_at_a_response_are_not_blamed(self):
        expired = call(1, seconds=0.01)
        self.detector.begin(expired)
        self.detector.finish(expired, BackendResult.UNANSWERED)
        await asyncio.sleep(0.02)
        self.detector.record_response()
        lost = call(2)
        self.detector.begin(lost)
        await self.detector.lost(lost)
        self.assertEqual(self.crashed_calls(), [[2]])

    async def test_answer_from_before_the_crash_is_no_sign_of_life(self):
        """Guards against a second crash counted for calls that are sent to the dead server.

        The server answers one of two calls and crashes; the answer is read after the crash is
        known.
        """
        answered, fatal, later = call(1), call(2), call(3)
        for one in (answered, fatal):
            self.detector.begin(one)
        await self.detector.lost(fatal)
        self.detector.finish(answered, BackendResult.ANSWERED)
        self.detector.begin(later)
        self.assertIsNone(await self.detector.lost(later))
        self.assertEqual(self.crashed_calls(), [[1, 2]])

    async def test_answer_to_a_call_after_the_crash_is_a_sign_of_life(self):
        # The server has started again under its name; its next crash counts.
        first, answered, second = call(1), call(2), call(3)
        self.detector.begin(first)
        await self.detector.lost(first)
        self.detector.begin(answered)
        self.detector.finish(answered, BackendResult.ANSWERED)
        self.detector.begin(second)
        await self.detector.lost(second)
        self.assertEqual(self.crashed_calls(), [[1], [3]])

    async def test_crash_is_counted_once(self):
        # Calls that are sent to the address after the crash are in flight when the
        # restart is listed, or are lost.  They must not make a second crash.
        first, second = call(1), call(2)
        self.detector.begin(first)
        await self.detector.lost(first)
        self.detector.begin(second)
        self.assertIsNone(await self.detector.lost(second))
        self.detector.on_server_restart()
        self.assertEqual(self.crashed_calls(), [[1]])
        third = call(3)
        self.detector.begin(third)
        await self.detector.lost(third)
        self.assertEqual(self.crashed_calls(), [[1], [3]])

    async def test_server_that_answers_again_may_crash_again(self):
        for number in (1, 2):
            lost = call(number)
            self.detector.begin(lost)
            await self.detector.lost(lost)
            self.detector.record_response()
        self.assertEqual(self.crashed_calls(), [[1], [2]])

    async def test_bodies_of_calls_are_not_kept(self):
        # A body of 1 MB for each of 72 unanswered calls would be kept while the server
        # hangs; a node uses only 20 MB.
        body = bytes(1 << 20)
        before = sys.getrefcount(body)
        large = call(1)
        large.body = body
        self.detector.begin(large)
        self.detector.finish(large, BackendResult.UNANSWERED)
        del large
        self.assertEqual(sys.getrefcount(body), before)
