"""What a cold backend server gets: the limit by itself, and the owner under a load."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from caperstack import clock
from caperstack.admission.cold import RESTART_SECONDS, SPAN_SECONDS, ColdLimit
from caperstack.admission.owner import Owner
from caperstack.calls.model import Answered, Call, NotRun, ServerState
from caperstack.clock import deadline_after, now, time_left
from caperstack.play.virtual import run_virtual
from caperstack.quarantine.suspects import Suspects

#: What a cold server bears in a second in these tests.
BOUND = 17.75


def most_in_a_second(starts):
    """Return the most of the points `starts` that lie within one second."""
    return max((sum(1 for s in starts if 0 <= s - first <= 1.0) for first in starts), default=0)


class TestColdLimit(unittest.TestCase):
    """`ColdLimit` on a clock that the test moves."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self.limit = ColdLimit()
        self.limit.resize(BOUND)
        self.time += SPAN_SECONDS

    def start_all(self, seconds, gap, hear=lambda: None):
        """Start whenever the limit allows for `seconds`; return the points."""
        starts = []
        until = self.time + seconds
        while self.time < until:
            hear()
            if not self.limit.wait():
                self.limit.take()
                starts.append(self.time)
            self.time += gap
        return starts

    def test_no_bound_for_servers_that_name_none(self):
        for per_second in (0, 0.0):
            self.limit.resize(per_second)
            self.assertFalse(self.limit.cold)
            self.assertGreaterEqual(len(self.start_all(1.0, 0.01)), 100)

    def test_cold_server_gets_no_more_than_it_bears(self):
        self.limit.hear(10.0)
        starts = self.start_all(5.0, 0.001)
        self.assertLessEqual(most_in_a_second(starts), BOUND)
        self.assertGreater(len(starts), 5 * 0.85 * BOUND)

    def test_server_that_turns_cold_gets_no_more_than_it_bears(self):
        """A warm server gets 40 calls a second, turns cold, and is told from before."""
        self.limit.hear(0.0)
        cold_at = self.time + 2.0
        starts = self.start_all(4.0, 0.025, lambda: self.limit.hear(max(0.0, self.time - cold_at)))
        cold = [start for start in starts if start >= cold_at]
        self.assertLessEqual(most_in_a_second(cold), BOUND)

    def test_server_that_turns_cold_again_gets_no_more_than_it_bears(self):
        """A server is to be warm by now and has turned cold again: it gets two shares at once."""
        end = self.time + 0.1
        starts = self.start_all(0.1, 0.001, lambda: self.limit.hear(max(0.001, end - self.time)))
        starts += self.start_all(0.5, 0.001)
        self.assertTrue(self.limit.outdated)
        self.assertLessEqual(most_in_a_second(starts), BOUND)

    def test_server_counts_as_cold_until_its_first_word(self):
        starts = self.start_all(3.0, 0.001)
        self.assertLessEqual(most_in_a_second(starts), BOUND)
        self.limit.hear(0.0)
        self.assertFalse(self.limit.cold)

    def test_server_that_says_nothing_for_long_counts_as_cold(self):
        """The health path hangs while calls are answered; the server turned cold meanwhile."""
        self.limit.hear(0.0)
        starts = self.start_all(3.0, 0.001)
        self.assertLessEqual(most_in_a_second(starts[-20:]), BOUND)
        self.assertTrue(self.limit.outdated)

    def test_what_was_sent_before_this_process_began_counts(self):
        """A node starts anew beside a cold server that its last process has just sent to."""
        limit = ColdLimit()
        limit.resize(BOUND)
        limit.hear(10.0)
        self.assertGreater(limit.wait(), SPAN_SECONDS - RESTART_SECONDS - 0.01)
        self.time += SPAN_SECONDS
        self.assertEqual(limit.wait(), 0.0)

    def test_server_that_turned_cold_after_this_process_began_got_nothing_unknown(self):
        """All lose power, start together, and callers are refused though nobody has sent."""
        limit = ColdLimit()
        limit.resize(BOUND, 3.0)
        self.time += 0.3
        limit.hear(2.7)
        self.assertEqual(limit.wait(), 0.0)
        older = ColdLimit()
        older.resize(BOUND, 3.0)
        self.time += 0.3
        older.hear(2.0)
        self.assertGreater(older.wait(), 0.0)

    def test_another_start_of_the_server_got_nothing_yet(self):
        self.limit.hear(10.0)
        self.start_all(1.0, 0.001)
        self.limit.restart()
        self.assertTrue(self.limit.cold)
        self.assertEqual(self.limit.wait(), 0.0)

    def test_wait_is_told_for_those_behind(self):
        self.limit.hear(10.0)
        for _ in range(self.limit.most):
            self.limit.take()
        self.assertAlmostEqual(self.limit.wait(), SPAN_SECONDS)
        self.assertAlmostEqual(self.limit.wait(self.limit.most), 2 * SPAN_SECONDS)

    @settings(max_examples=50, deadline=None)
    @given(st.lists(st.floats(0.0001, 0.3), min_size=20, max_size=200), st.floats(1.0, 60.0))
    def test_no_second_holds_more_than_the_bound(self, gaps, bound):
        limit = ColdLimit()
        limit.resize(bound)
        limit.hear(3600.0)
        starts = []
        for gap in gaps:
            if not limit.wait():
                limit.take()
                starts.append(self.time)
            self.time += gap
        self.assertLessEqual(most_in_a_second(starts), max(1.0, bound))


class FakeServer:
    """Answers each call after a time."""

    def __init__(self, seconds):
        self._seconds = seconds
        self.starts = []

    async def fetch(self, _call, _instance=""):
        self.starts.append(now())
        await asyncio.sleep(self._seconds)
        return Answered(200, "OK", [], b"")

    def restart(self):
        """Nothing is kept."""


class TestOwner(unittest.TestCase):
    """`Owner` of a cold server in virtual time, with calls in a stream."""

    def play(self, per_second, seconds, cold_for, work=0.06):
        """Return the server, and when each call ended, with its outcome."""
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
            owner = Owner(SimpleNamespace(slots=9, slots_share=0.8), server)
            recorder = mock.Mock()
            suspects = Suspects()
            suspects._events = recorder
            services = {
                "metrics": recorder,
                "events": recorder,
                "pauses": SimpleNamespace(recently_paused=lambda: False),
                "members": mock.Mock(),
                "suspects": suspects,
            }
            await owner.start(SimpleNamespace(find=services.__getitem__))
            owner.set_cold_limit(BOUND)
            await asyncio.sleep(SPAN_SECONDS)
            cold_until = deadline_after(cold_for)

            async def refresh():
                owner.hear_cold(max(0.0, time_left(cold_until)))
                owner.set_pace(1.0)

            owner.expect_pace(refresh)
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

    def test_server_gets_what_it_bears_and_the_others_hear_at_once(self):
        """Twice the calls that a cold server bears: it ends, or callers wait for their deadline.

        Without the limit it gets 34 in a second where it bears 17.
        """
        server, ended = self.play(34.0, 3.0, 10.0)
        self.assertLessEqual(most_in_a_second(server.starts), BOUND)
        refused = [(outcome, took) for outcome, took, _ in ended if isinstance(outcome, NotRun)]
        self.assertGreater(len(refused), 20)
        self.assertGreater(len(server.starts), 3 * 0.85 * BOUND)
        self.assertLess(sorted(took for _, took in refused)[len(refused) // 2], 0.01)
        self.assertTrue(all(0 < outcome.retry_after < 2.5 for outcome, _ in refused))

    def test_warm_server_gets_all(self):
        server, ended = self.play(34.0, 3.0, 0.0)
        self.assertFalse([outcome for outcome, _, _ in ended if isinstance(outcome, NotRun)])
        self.assertGreater(most_in_a_second(server.starts), BOUND)

    def test_entries_are_told(self):
        self.play(1.0, 0.5, 10.0)
        self.assertEqual(self.load.state, ServerState.COLD)
