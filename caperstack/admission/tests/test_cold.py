"""Tests of the rate limit for cold backend servers, alone and in an owner under load."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from caperstack import clock
from caperstack.admission.cold import RESTART_SECONDS, WINDOW_SECONDS, ColdLimit
from caperstack.admission.tests.ownercase import start_owner
from caperstack.calls.model import Answered, Call, NotRun, ServerState
from caperstack.clock import deadline_after, now, time_left
from caperstack.play.virtual import run_virtual

#: Calls per second that a cold server sustains in these tests.
BOUND = 17.75


def max_starts_in_a_second(starts):
    """Return the greatest number of `starts` within any one second."""
    return max((sum(1 for s in starts if 0 <= s - first <= 1.0) for first in starts), default=0)


class TestColdLimit(unittest.TestCase):
    """`ColdLimit` with a clock controlled by the test."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self.limit = ColdLimit()
        self.limit.resize(BOUND)
        self.time += WINDOW_SECONDS

    def start_all(self, seconds, gap, set_remaining=lambda: None):
        """Start a call whenever the limit allows, for `seconds`; return the times."""
        starts = []
        until = self.time + seconds
        while self.time < until:
            set_remaining()
            if not self.limit.wait():
                self.limit.record_start()
                starts.append(self.time)
            self.time += gap
        return starts

    def test_servers_without_a_limit_get_any_number(self):
        for per_second in (0, 0.0):
            self.limit.resize(per_second)
            self.assertFalse(self.limit.cold)
            self.assertGreaterEqual(len(self.start_all(1.0, 0.01)), 100)

    def test_cold_server_is_not_overloaded(self):
        self.limit.set_remaining(10.0)
        starts = self.start_all(5.0, 0.001)
        self.assertLessEqual(max_starts_in_a_second(starts), BOUND)
        self.assertGreater(len(starts), 5 * 0.85 * BOUND)

    def test_server_that_turns_cold_is_not_overloaded(self):
        """A warm server gets 40 calls a second and turns cold; its earlier starts must count."""
        self.limit.set_remaining(0.0)
        cold_at = self.time + 2.0
        starts = self.start_all(
            4.0, 0.025, lambda: self.limit.set_remaining(max(0.0, self.time - cold_at))
        )
        cold = [start for start in starts if start >= cold_at]
        self.assertLessEqual(max_starts_in_a_second(cold), BOUND)

    def test_server_that_turns_cold_again_is_not_overloaded(self):
        """If a server that should be warm by now is cold again, it must not get twice the bound."""
        end = self.time + 0.1
        starts = self.start_all(
            0.1, 0.001, lambda: self.limit.set_remaining(max(0.001, end - self.time))
        )
        starts += self.start_all(0.5, 0.001)
        self.assertTrue(self.limit.report_due)
        self.assertLessEqual(max_starts_in_a_second(starts), BOUND)

    def test_server_counts_as_cold_until_its_first_report(self):
        starts = self.start_all(3.0, 0.001)
        self.assertLessEqual(max_starts_in_a_second(starts), BOUND)
        self.limit.set_remaining(0.0)
        self.assertFalse(self.limit.cold)

    def test_server_without_reports_for_long_counts_as_cold(self):
        """The server may turn cold while its health path hangs and calls are still answered."""
        self.limit.set_remaining(0.0)
        starts = self.start_all(3.0, 0.001)
        self.assertLessEqual(max_starts_in_a_second(starts[-20:]), BOUND)
        self.assertTrue(self.limit.report_due)

    def test_calls_sent_by_the_previous_process_count(self):
        """A node restarts beside a cold server to which its previous process just sent calls."""
        limit = ColdLimit()
        limit.resize(BOUND)
        limit.set_remaining(10.0)
        self.assertGreater(limit.wait(), WINDOW_SECONDS - RESTART_SECONDS - 0.01)
        self.time += WINDOW_SECONDS
        self.assertEqual(limit.wait(), 0.0)

    def test_server_that_turned_cold_after_process_start_has_no_unknown_calls(self):
        """After a power failure all start together; nothing was sent, so no call may be refused."""
        limit = ColdLimit()
        limit.resize(BOUND, 3.0)
        self.time += 0.3
        limit.set_remaining(2.7)
        self.assertEqual(limit.wait(), 0.0)
        older = ColdLimit()
        older.resize(BOUND, 3.0)
        self.time += 0.3
        older.set_remaining(2.0)
        self.assertGreater(older.wait(), 0.0)

    def test_restarted_server_has_no_earlier_starts(self):
        self.limit.set_remaining(10.0)
        self.start_all(1.0, 0.001)
        self.limit.restart()
        self.assertTrue(self.limit.cold)
        self.assertEqual(self.limit.wait(), 0.0)

    def test_wait_includes_the_calls_ahead(self):
        self.limit.set_remaining(10.0)
        for _ in range(self.limit.max_starts):
            self.limit.record_start()
        self.assertAlmostEqual(self.limit.wait(), WINDOW_SECONDS)
        self.assertAlmostEqual(self.limit.wait(self.limit.max_starts), 2 * WINDOW_SECONDS)

    @settings(max_examples=50, deadline=None)
    @given(st.lists(st.floats(0.0001, 0.3), min_size=20, max_size=200), st.floats(1.0, 60.0))
    def test_no_second_exceeds_the_bound(self, gaps, bound):
        limit = ColdLimit()
        limit.resize(bound)
        limit.set_remaining(3600.0)
        starts = []
        for gap in gaps:
            if not limit.wait():
                limit.record_start()
                starts.append(self.time)
            self.time += gap
        self.assertLessEqual(max_starts_in_a_second(starts), max(1.0, bound))


class FakeServer:
    """Backend server that answers each call after a fixed time."""

    def __init__(self, seconds):
        self._seconds = seconds
        self.starts = []

    async def fetch(self, _call, _instance=""):
        self.starts.append(now())
        await asyncio.sleep(self._seconds)
        return Answered(200, "OK", [], b"")

    def restart(self):
        """Do nothing, since no state is kept."""


class TestOwner(unittest.TestCase):
    """`Owner` of a cold server in virtual time, with Poisson arrivals."""

    def play(self, per_second, seconds, cold_for, work=0.06):
        """Return the server, and for each call its outcome, duration and start."""
        rng = random.Random(1)
        ended = []

        async def one(owner, number):
            call = Call(number, "n", f"r{number}", "s", "GET", "/", [], b"", 0.0, True, last=True)
            call.deadline = deadline_after(2.5)
            call.queue_until = call.deadline
            call.objective_at = deadline_after(0.4)
            began = now()
            ended.append((await owner.run(call), now() - began, began))

        async def played():
            server = FakeServer(work)
            owner = await start_owner(server)
            owner.set_cold_limit(BOUND)
            await asyncio.sleep(WINDOW_SECONDS)
            cold_until = deadline_after(cold_for)

            async def refresh():
                owner.set_cold_remaining(max(0.0, time_left(cold_until)))
                owner.set_slowdown(1.0)

            owner.expect_slowdown(refresh)
            await refresh()
            owner.set_health(ServerState.WARM)
            self.load = owner.load
            tasks = []
            until = deadline_after(seconds)
            while now() < until:
                tasks.append(asyncio.create_task(one(owner, len(tasks))))
                await asyncio.sleep(rng.expovariate(per_second))
            await asyncio.gather(*tasks)
            return server

        return run_virtual(played), ended

    def test_cold_server_is_not_overloaded_and_excess_calls_are_refused_at_once(self):
        """Callers send twice the rate that the server sustains.

        The server must not crash, and refused callers must not wait until their deadline.
        Without the limit it gets 34 calls in a second and sustains 17.
        """
        server, ended = self.play(34.0, 3.0, 10.0)
        self.assertLessEqual(max_starts_in_a_second(server.starts), BOUND)
        refused = [(outcome, took) for outcome, took, _ in ended if isinstance(outcome, NotRun)]
        self.assertGreater(len(refused), 20)
        self.assertGreater(len(server.starts), 3 * 0.85 * BOUND)
        self.assertLess(sorted(took for _, took in refused)[len(refused) // 2], 0.01)
        self.assertTrue(all(0 < outcome.retry_after < 2.5 for outcome, _ in refused))

    def test_warm_server_gets_all_calls(self):
        server, ended = self.play(34.0, 3.0, 0.0)
        self.assertFalse([outcome for outcome, _, _ in ended if isinstance(outcome, NotRun)])
        self.assertGreater(max_starts_in_a_second(server.starts), BOUND)

    def test_cold_state_is_published(self):
        self.play(1.0, 0.5, 10.0)
        self.assertEqual(self.load.state, ServerState.COLD)
