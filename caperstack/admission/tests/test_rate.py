"""Tests of the rate limit that a backend server states."""

import asyncio
import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from caperstack import clock
from caperstack.admission.gate import RATE_LIMIT_REASON
from caperstack.admission.rate import BURST_SECONDS, MIN_PER_SECOND, KnownRate, RateLimit
from caperstack.admission.tests.ownercase import start_owner
from caperstack.calls.dialect import ServerReport
from caperstack.calls.model import Answered, Call, NotRun, ServerState
from caperstack.clock import deadline_after, now
from caperstack.exception import PeerError
from caperstack.play.virtual import run_virtual

#: Length of the windows in which starts are counted, in seconds.
WINDOW_SECONDS = 4.0


def stating(rate, probed=False):
    return ServerReport(states_rate_limit=True, rate_limit=rate, probed=probed)


def silent(probed=False):
    return ServerReport(probed=probed)


class TestStatements(unittest.TestCase):
    """`RateLimit.update`."""

    def setUp(self):
        self.limit = RateLimit()

    def test_rate_holds_until_an_answer_without_it(self):
        self.assertTrue(self.limit.update(stating(5.0)))
        self.assertFalse(self.limit.update(stating(5.0)))
        self.assertEqual(self.limit.per_second, 5.0)
        self.assertTrue(self.limit.update(silent()))
        self.assertIsNone(self.limit.per_second)

    def test_health_path_that_never_states_the_rate_does_not_withdraw_it(self):
        """Guards against a limit that each health check lifts for a moment."""
        self.limit.update(stating(5.0))
        self.assertFalse(self.limit.update(silent(probed=True)))
        self.assertEqual(self.limit.per_second, 5.0)

    def test_health_path_withdraws_a_rate_that_it_has_stated(self):
        self.limit.update(stating(0.2, probed=True))
        self.assertTrue(self.limit.update(silent(probed=True)))
        self.assertIsNone(self.limit.per_second)

    def test_refusals_and_failures_do_not_withdraw_the_rate(self):
        """Guards against a limit that each rejected request lifts for a moment."""
        self.limit.update(stating(5.0, probed=True))
        for probed in (False, True):
            report = ServerReport(probed=probed, successful=False)
            self.assertFalse(self.limit.update(report))
        self.assertEqual(self.limit.per_second, 5.0)

    def test_health_path_that_stops_stating_the_rate_does_not_withdraw_it_for_long(self):
        """Guards against a limit that each health check lifts while answers to calls state it."""
        self.limit.update(stating(5.0, probed=True))
        self.assertTrue(self.limit.update(silent(probed=True)))
        self.limit.update(stating(5.0))
        self.assertFalse(self.limit.update(silent(probed=True)))
        self.assertEqual(self.limit.per_second, 5.0)
        self.assertTrue(self.limit.update(silent()))

    def test_unreadable_rate_leaves_the_former_one_in_force(self):
        self.limit.update(stating(5.0))
        self.assertFalse(self.limit.update(stating(None)))
        self.assertEqual(self.limit.per_second, 5.0)

    def test_another_run_of_the_server_has_no_limit(self):
        self.limit.update(stating(5.0, probed=True))
        self.limit.restart()
        self.assertIsNone(self.limit.per_second)
        self.limit.update(stating(4.0))
        self.assertFalse(self.limit.update(silent(probed=True)))


def most_starts(starts):
    """Return the highest number of `starts` in any window."""
    return max(
        (sum(0 <= s - first < WINDOW_SECONDS for s in starts) for first in starts), default=0
    )


class TestPacing(unittest.TestCase):
    """Starts under a stated rate, with a clock controlled by the test."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self.limit = RateLimit()

    def start_all(self, seconds, gap):
        """Start a call whenever the limit allows, for `seconds`; return the times."""
        starts = []
        until = self.time + seconds
        while self.time < until:
            if not self.limit.wait():
                self.limit.record_start()
                starts.append(self.time)
            self.time += gap
        return starts

    def test_server_without_a_rate_gets_any_number(self):
        self.assertGreaterEqual(len(self.start_all(1.0, 0.01)), 100)

    def test_whole_rate_is_used_and_never_exceeded(self):
        for rate in (0.3, 1.0, 5.3, 40.0):
            self.limit.restart()
            self.limit.update(stating(rate))
            starts = self.start_all(30.0, 0.001)
            self.assertAlmostEqual(len(starts) / 30.0, rate, delta=0.1 * rate)
            self.assertLessEqual(
                most_starts(starts), rate * (WINDOW_SECONDS + BURST_SECONDS) + 1, rate
            )

    @given(
        st.lists(st.tuples(st.floats(0.05, 50.0), st.floats(0.01, 3.0), st.booleans()), max_size=20)
    )
    def test_changed_rates_and_restarted_owners_keep_the_highest_rate(self, phases):
        """Guards against starts that a changed rate or a forgotten past gives away."""
        self.limit = RateLimit()
        starts = []
        for rate, seconds, restarted in phases:
            if restarted:
                self.limit = RateLimit()
            self.limit.update(stating(rate))
            starts += self.start_all(seconds, 0.01)
        highest = max((rate for rate, _, _ in phases), default=0.0)
        allowed = 1.5 * max(highest, MIN_PER_SECOND) * WINDOW_SECONDS + 5
        self.assertLessEqual(most_starts(starts), allowed)

    def test_raised_rate_shortens_the_wait_and_a_lowered_one_extends_it(self):
        self.limit.update(stating(0.5))
        self.assertAlmostEqual(self.limit.wait(), 2.0)
        self.limit.update(stating(5.0))
        self.assertAlmostEqual(self.limit.wait(), 0.2)
        self.limit.update(stating(0.25))
        self.assertAlmostEqual(self.limit.wait(), 4.0)

    def test_rate_of_zero_lets_a_call_through_now_and_then(self):
        """Guards against a server that could never show that it has withdrawn a rate of zero."""
        self.limit.update(stating(0.0))
        self.assertEqual(len(self.start_all(39.0, 0.01)), 3)

    def test_cancelled_start_can_be_used_again(self):
        self.limit.update(stating(0.5))
        self.time += 2.0
        self.limit.record_start()
        self.assertGreater(self.limit.wait(), 0.0)
        self.limit.cancel_start()
        self.assertEqual(self.limit.wait(), 0.0)

    def test_available_starts_are_those_that_can_start_now(self):
        for rate in (0.3, 2.0, 7.7, 40.0):
            self.limit.restart()
            self.limit.update(stating(rate))
            self.assertEqual(self.limit.available, 0)
            self.time += 20.0
            available = self.limit.available
            for _ in range(available):
                self.assertEqual(self.limit.wait(), 0.0)
                self.limit.record_start()
            self.assertGreater(self.limit.wait(), 0.0)
            self.assertEqual(self.limit.available, 0)

    def test_refused_callers_are_asked_to_return_one_interval_apart(self):
        """Guards against callers that all return at once, and are all but one refused again."""
        self.limit.update(stating(2.0))
        delays = [self.limit.return_delay(self.limit.wait(), self.time + 2.0) for _ in range(6)]
        for delay, expected in zip(delays, (0.5, 1.0, 1.5, 2.0, 2.5, 2.5), strict=True):
            self.assertAlmostEqual(delay, expected)


class FakeServer:
    """Answer each call after a service time, and record the starts."""

    def __init__(self, seconds=0.05):
        self._seconds = seconds
        self.starts = []
        self.ids = []

    def restart(self):
        """Do nothing."""

    async def listens(self, _deadline):
        return True

    async def fetch(self, call, _instance=""):
        self.starts.append(now())
        self.ids.append(call.request_id)
        await asyncio.sleep(self._seconds)
        return Answered(200, "OK", [], b"")


class TestOwnerUnderARate(unittest.TestCase):
    """`Owner` beside a server that states a rate, in virtual time."""

    def run_owner(self, work):
        """Run ``await work(owner, server)`` and return its result."""

        async def played():
            server = FakeServer()
            owner = await start_owner(server)
            owner.assign("i-1", "s")
            return await work(owner, server)

        return run_virtual(played)

    def call(self, name, objective=0.6, seconds=4.0, criticality=1, last=True):
        call = Call(0, "n", name, "s", "GET", "/", [], b"", deadline_after(seconds), True)
        call.id = hash(name)
        call.last = last
        call.criticality = criticality
        call.queue_until = call.deadline
        call.objective_at = deadline_after(objective)
        return call

    def start_call(self, owner, name, **fields):
        return asyncio.create_task(owner.run(self.call(name, **fields)))

    def test_calls_beyond_the_rate_are_refused_at_once_with_their_turn(self):
        """Guards against callers that wait in vain, or are told a time at which none can start."""

        async def work(owner, server):
            owner.record_report(stating(2.0))
            began = now()
            tasks = []
            took = []

            async def timed(name):
                sent_at = now()
                outcome = await owner.run(self.call(name))
                took.append(now() - sent_at)
                return outcome

            for number in range(100):
                tasks.append(asyncio.create_task(timed(f"c{number}")))
                await asyncio.sleep(0.05)
            outcomes = await asyncio.gather(*tasks)
            refused = [o for o in outcomes if isinstance(o, NotRun)]
            self.assertEqual({o.reason for o in refused}, {RATE_LIMIT_REASON})
            self.assertLessEqual(len(server.starts), 2 * (now() - began) + 2)
            self.assertGreaterEqual(len(server.starts), 9)
            self.assertLess(sorted(took)[len(took) // 2], 0.01)
            self.assertTrue(all(o.retry_after > 0.1 for o in refused))

        self.run_owner(work)

    def test_told_time_is_one_at_which_the_call_is_served(self):
        """Guards against a Retry-After after which the caller is refused again."""

        async def come_back(owner, name):
            outcome = await owner.run(self.call(name, objective=0.2))
            if isinstance(outcome, NotRun):
                await asyncio.sleep(outcome.retry_after)
                outcome = await owner.run(self.call(f"{name} again", objective=0.2))
            return outcome

        async def work(owner, _server):
            owner.record_report(stating(2.0))
            outcomes = await asyncio.gather(*(come_back(owner, f"c{n}") for n in range(6)))
            self.assertEqual([type(outcome) for outcome in outcomes], [Answered] * 6)

        self.run_owner(work)

    def test_urgent_call_starts_first_and_the_displaced_one_is_refused_at_once(self):
        """Guards against an urgent call behind others, and a displaced one that waits in vain."""

        async def work(owner, server):
            owner.record_report(stating(2.0))
            usual = [self.start_call(owner, f"usual {n}", objective=0.7) for n in range(1)]
            await asyncio.sleep(0.1)
            displaced_at = now()
            urgent = self.start_call(owner, "urgent", objective=0.7, criticality=3)
            outcome = await usual[0]
            self.assertEqual(outcome.reason, RATE_LIMIT_REASON)
            self.assertLess(now() - displaced_at, 0.01)
            self.assertIsInstance(await urgent, Answered)
            self.assertEqual(server.ids, ["urgent"])

        self.run_owner(work)

    def test_call_waits_for_a_turn_that_comes_in_time(self):
        """Guards against calls refused for a slow phase of the host while there is none."""

        async def work(owner, _server):
            owner.record_report(stating(20.0))
            outcome = await owner.run(self.call("in time", objective=0.2))
            self.assertIsInstance(outcome, Answered)

        self.run_owner(work)

    def test_waiting_call_starts_as_soon_as_the_rate_is_withdrawn(self):
        async def work(owner, _server):
            owner.record_report(stating(0.2, probed=True))
            waiting = self.start_call(owner, "patient", objective=9.0, seconds=9.0)
            await asyncio.sleep(1.0)
            self.assertFalse(waiting.done())
            withdrawn_at = now()
            owner.record_report(silent(probed=True))
            self.assertIsInstance(await waiting, Answered)
            self.assertLess(now() - withdrawn_at, 0.1)

        self.run_owner(work)

    def test_waiting_call_starts_sooner_when_the_rate_is_raised(self):
        """Guards against a timer that still waits for the turn at the former rate."""

        async def work(owner, _server):
            owner.record_report(stating(0.2))
            waiting = self.start_call(owner, "patient", objective=9.0, seconds=9.0)
            await asyncio.sleep(1.0)
            raised_at = now()
            owner.record_report(stating(5.0))
            self.assertIsInstance(await waiting, Answered)
            self.assertLess(now() - raised_at, 0.4)

        self.run_owner(work)

    def test_waiting_calls_that_a_lowered_rate_makes_too_late_are_refused_at_once(self):
        async def work(owner, _server):
            owner.record_report(stating(5.0))
            waiting = [self.start_call(owner, f"c{n}") for n in range(3)]
            await asyncio.sleep(0.01)
            lowered_at = now()
            owner.record_report(stating(0.2))
            outcomes = await asyncio.gather(*waiting)
            self.assertEqual({outcome.reason for outcome in outcomes}, {RATE_LIMIT_REASON})
            self.assertLess(now() - lowered_at, 0.01)

        self.run_owner(work)

    def test_call_that_is_not_sent_uses_up_no_start(self):
        """Guards against a low rate that is spent on calls whose bodies never come."""

        async def lost(_limit):
            raise PeerError("connection lost", step="body")

        async def work(owner, server):
            owner.record_report(stating(0.5))
            await asyncio.sleep(3.0)
            call = self.call("without body")
            call.withheld = SimpleNamespace(fetch=lost, size=0, sender_bytes_per_second=0.0)
            self.assertIsInstance(await owner.run(call), NotRun)
            self.assertIsInstance(await owner.run(self.call("next")), Answered)
            self.assertEqual(server.ids, ["next"])

        self.run_owner(work)

    def test_statement_of_another_instance_is_ignored(self):
        async def work(owner, server):
            report = stating(0.2)
            report.instance = "i-2"
            owner.record_report(report)
            outcomes = await asyncio.gather(*(owner.run(self.call(f"c{n}")) for n in range(5)))
            self.assertEqual({type(outcome) for outcome in outcomes}, {Answered})

        self.run_owner(work)

    def test_rate_that_an_entry_knows_holds_until_the_server_is_heard(self):
        """Guards against a node that starts and fills all slots before the first answer."""

        async def work(owner, server):
            owner.recall_rate(KnownRate("i-1@0", 200))
            outcomes = await asyncio.gather(*(owner.run(self.call(f"c{n}")) for n in range(5)))
            self.assertEqual(len(server.ids), 1)
            self.assertEqual([type(o) for o in outcomes], [Answered] + [NotRun] * 4)
            owner.record_report(silent())
            await asyncio.gather(*(owner.run(self.call(f"d{n}")) for n in range(5)))
            self.assertEqual(len(server.ids), 6)
            owner.recall_rate(KnownRate("i-1@0", 200))
            self.assertEqual(owner.load.rate_limit, 0)

        self.run_owner(work)

    def test_rate_that_an_entry_knows_waits_until_its_run_is_listed(self):
        """Guards against a rate of another run, and one that comes before the list is read."""

        async def work(owner, server):
            owner.recall_rate(KnownRate("i-2@7", 200))
            self.assertEqual(owner.load.rate_limit, 0)
            owner.assign("i-2", "s", 7)
            self.assertEqual(owner.load.rate_limit, 200)

        self.run_owner(work)

    def test_server_that_leaves_gets_no_calls_whatever_it_states_later(self):
        """Guards against calls to a leaving server after an answer without the mark."""

        async def work(owner, server):
            owner.record_report(ServerReport(leaving=True))
            owner.set_listed(True)
            owner.record_report(silent(probed=True))
            refused = await owner.run(self.call("late"))
            self.assertEqual(refused.reason, "backend server is leaving")
            self.assertEqual(
                (owner.load.state, owner.load.leaving_run), (ServerState.DRAINING, "i-1@0")
            )
            owner.assign("i-1", "s", 5)
            self.assertEqual((owner.load.state, owner.load.leaving_run), (ServerState.WARM, ""))
            self.assertIsInstance(await owner.run(self.call("next run")), Answered)

        self.run_owner(work)

    def test_mark_of_another_instance_does_not_close_the_listed_server(self):
        """Guards against a mark of the address's former server that holds for the listed one."""

        async def work(owner, server):
            owner.record_report(ServerReport(instance="i-0", leaving=True))
            self.assertEqual(owner.load.leaving_run, "")
            self.assertIsInstance(await owner.run(self.call("any")), Answered)

        self.run_owner(work)

    def test_restarted_server_is_not_limited_by_its_former_run(self):
        async def work(owner, server):
            owner.record_report(stating(0.2, probed=True))
            owner.assign("i-1", "s", 2)
            await asyncio.gather(*(owner.run(self.call(f"c{n}")) for n in range(5)))
            self.assertEqual(len(server.ids), 5)

        self.run_owner(work)


if __name__ == "__main__":
    unittest.main()
