"""Tests of the owner with a fake backend server whose answers the test controls."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.admission.gate import RETRY_DELAY_SHARE
from caperstack.admission.owner import Owner
from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import Answered, Call, NotRun, ServerState, Unknown
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError, PeerError
from caperstack.quarantine.suspects import Suspects, Verdict

OK_ANSWER = Answered(200, "OK", [], b"")


class FakeClient:
    """Client that holds each call until the test answers it."""

    def __init__(self):
        self.running = {}
        self.started = []
        self.restarts = 0
        self.clock = 0.0
        self.listening = True

    def restart(self):
        self.restarts += 1

    async def listens(self, _deadline):
        return self.listening

    async def fetch(self, call, instance=""):
        future = self.running[call.id] = asyncio.get_running_loop().create_future()
        self.started.append(call.id)
        try:
            return await future
        finally:
            del self.running[call.id]

    def answer(self, number, outcome=OK_ANSWER):
        if isinstance(outcome, Exception):
            self.running[number].set_exception(outcome)
        else:
            self.running[number].set_result(outcome)


class TestOwner(unittest.IsolatedAsyncioTestCase):
    """`Owner` with two slots."""

    async def asyncSetUp(self):
        self.client = FakeClient()
        self.owner = Owner(SimpleNamespace(slots=2, slots_share=1.1), self.client)
        self.paused = False
        self.others = []
        self.members = SimpleNamespace(
            here=SimpleNamespace(host="here"), of_service=lambda _service: self.others
        )
        self.metrics = recorder = mock.Mock()
        self.suspects = Suspects()
        self.suspects._events = recorder
        services = {
            "metrics": recorder,
            "events": recorder,
            "pauses": SimpleNamespace(recently_paused=lambda: self.paused),
            "members": self.members,
            "suspects": self.suspects,
        }
        await self.owner.start(SimpleNamespace(find=services.__getitem__))
        self.sent_after_start = deadline_after(1.0)

    def call(self, number, seconds=5.0, criticality=1, patience=5.0):
        call = Call(number, "n", "r", "s", "POST", "/", [], b"", deadline_after(seconds), False)
        call.criticality = criticality
        call.queue_until = deadline_after(patience)
        return call

    def start_call(self, number, **fields):
        return asyncio.create_task(self.owner.run(self.call(number, **fields)))

    async def run_pending(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_first_calls_that_cannot_start_in_time_are_refused(self):
        # After a restart of all nodes, callers retry at once and no service time is known.
        # An objective of 0.6 s gives an estimate of some 0.2 s, so that two slots can start
        # seven more calls in time; the others must be refused at once.
        tasks = []
        for number in range(1, 31):
            call = Call(number, "n", "r", "s", "GET", "/", [], b"", deadline_after(2.0), True)
            call.objective_at = deadline_after(0.6)
            call.queue_until = call.deadline
            tasks.append(asyncio.create_task(self.owner.run(call)))
        await self.run_pending()
        refused = [task for task in tasks if task.done()]
        self.assertEqual(len(self.client.started), 2)
        self.assertGreaterEqual(len(refused), 20)
        self.assertTrue(all(isinstance(task.result(), NotRun) for task in refused))
        self.assertEqual(self.owner.load.service_us, 0)
        for task in tasks:
            task.cancel()

    async def test_call_without_its_body_is_not_run_and_releases_its_slot(self):
        """If the body cannot be fetched, the call must not run without it or leak its slot."""

        async def lost(_limit):
            raise PeerError("connection lost", step="body")

        for number in range(4):
            call = self.call(number)
            call.withheld = SimpleNamespace(fetch=lost, size=0, sender_bytes_per_second=0.0)
            refused = await self.owner.run(call)
            self.assertEqual(type(refused), NotRun)
            self.assertIn("body did not come", refused.reason)
        self.assertEqual((self.client.started, self.owner.idle), ([], True))

    async def test_body_is_fetched_only_when_the_call_starts(self):
        """The body of a waiting call must not be transferred, since the call may never run."""
        brought = []

        async def fetch(_limit):
            brought.append(True)
            return b"body"

        running = [self.start_call(number) for number in (1, 2)]
        call = self.call(3)
        call.withheld = SimpleNamespace(fetch=fetch, size=0, sender_bytes_per_second=0.0)
        waiting = asyncio.create_task(self.owner.run(call))
        await self.run_pending()
        self.assertEqual(brought, [])
        self.client.answer(1)
        await self.run_pending()
        self.client.answer(3)
        self.assertEqual((await waiting, brought, call.body), (OK_ANSWER, [True], b"body"))
        self.client.answer(2)
        await asyncio.gather(*running)

    async def test_evacuated_zone_refuses_new_and_waiting_calls_and_lets_running_ones_end(self):
        """No call may start in an evacuated zone, and no running call may be lost."""
        running = [self.start_call(number) for number in (1, 2)]
        waiting = self.start_call(3)
        await self.run_pending()
        self.owner.set_evacuated(True)
        self.owner.set_health(ServerState.WARM)
        refused = await waiting
        self.assertEqual((type(refused), refused.reason), (NotRun, "zone is evacuated"))
        self.assertEqual(await self.start_call(4), NotRun("zone is evacuated", 0.0))
        self.assertEqual(self.owner.load.state, ServerState.EVACUATED)
        for number in (1, 2):
            self.client.answer(number)
        self.assertEqual(await asyncio.gather(*running), [OK_ANSWER, OK_ANSWER])
        self.owner.set_evacuated(False)
        again = self.start_call(5)
        await self.run_pending()
        self.client.answer(5)
        self.assertEqual(await again, OK_ANSWER)

    async def test_calls_wait_for_the_first_reading_of_the_slowdown(self):
        # An owner starts during a slow phase of its host and gets calls before the first
        # reading.  At eight times its cost, a booking would be cut off at its deadline.
        self.owner.expect_slowdown()
        self.assertIsInstance(await self.start_call(1), NotRun)
        waiting = self.start_last_call(2)
        await self.run_pending()
        self.assertEqual(self.client.started, [])
        self.owner.set_slowdown(1.0)
        await self.run_pending()
        self.client.answer(2)
        self.assertEqual(await waiting, OK_ANSWER)

    async def test_call_with_short_deadline_waits_for_the_first_reading(self):
        # A node has just started and a call has 150 ms left.  A reading usually takes a
        # millisecond; if the expected wait were that of a slow phase, which nobody has
        # observed, the call would be refused with 503 by a free server.
        self.owner.expect_slowdown()
        waiting = self.start_last_call(1, seconds=0.15)
        await self.run_pending()
        self.owner.set_slowdown(1.0)
        await self.run_pending()
        self.assertEqual(self.client.started, [1])
        self.client.answer(1)
        self.assertEqual(await waiting, OK_ANSWER)

    async def test_slowdown_is_queried_before_a_call_starts_on_an_old_reading(self):
        # A slow phase begins just after a reading.  A booking that starts before the next
        # reading takes four times as long and is late; a query of a millisecond before the
        # start redirects it to another server.
        asked = []

        async def refresh():
            asked.append(True)
            self.owner.set_slowdown(4.0)

        self.owner.set_slowdown(1.0)
        self.owner.expect_slowdown(refresh)
        with mock.patch("caperstack.admission.owner.MAX_READING_AGE_SECONDS", 60.0):
            running = self.start_call(1)
            await self.run_pending()
        self.assertEqual((asked, self.client.started), ([], [1]))
        with mock.patch("caperstack.admission.owner.MAX_READING_AGE_SECONDS", 0.0):
            self.assertIsInstance(await self.start_call(2), NotRun)
        self.assertEqual((asked, self.client.started), ([True], [1]))
        self.client.answer(1)
        self.assertEqual(await running, OK_ANSWER)

    async def test_calls_start_without_a_reading_if_none_arrives(self):
        with (
            mock.patch("caperstack.admission.tracker.FIRST_READING_SECONDS", 0.01),
            mock.patch("caperstack.admission.slowdown.FIRST_READING_SECONDS", 0.01),
        ):
            self.owner.expect_slowdown()
        waiting = self.start_last_call(1)
        while not self.client.started:
            await asyncio.sleep(0.005)
        self.client.answer(1)
        self.assertEqual(await waiting, OK_ANSWER)

    async def test_waiting_call_is_not_run_by_another_service(self):
        # While an inquiry waits for a slot, the server's address passes to a server of
        # another service; the list shows both changes at once.  The new server accepts any
        # call addressed to its instance, and would run the inquiry.
        self.owner.assign("i1", "s")
        tasks = [self.start_call(1), self.start_call(2), self.start_call(3)]
        await self.run_pending()
        self.owner.assign("i2", "other")
        self.client.answer(1)
        self.client.answer(2)
        await asyncio.gather(*tasks[:2])
        await self.run_pending()
        self.assertEqual(self.client.started, [1, 2])
        self.assertIsInstance(await tasks[2], NotRun)

    async def test_restart_under_the_same_name_inherits_no_calls(self):
        # A backend server crashes with two bookings running and one waiting, and restarts
        # under its name.  The waiting one must be refused at once; the two that ran must end
        # as unknown, never as not run.
        self.owner.assign("i1", "s", 1000)
        tasks = [self.start_call(1), self.start_call(2), self.start_call(3)]
        await self.run_pending()
        self.owner.assign("i1", "s", 1000)
        await self.run_pending()
        self.assertEqual((self.client.restarts, tasks[2].done()), (0, False))
        self.owner.assign("i1", "s", 2000)
        self.assertEqual(self.client.restarts, 1)
        self.assertIsInstance(await tasks[2], NotRun)
        for number in (1, 2):
            self.client.answer(number, BackendError("connection closed", step="answer"))
        for task in tasks[:2]:
            self.assertIsInstance(await task, Unknown)
        self.assertEqual(self.client.started, [1, 2])

    async def test_restart_clears_the_failure_share(self):
        self.owner.assign("i1", "s", 1000)
        for number in range(30):
            task = self.start_last_call(number)
            await self.run_pending()
            self.client.answer(number, Answered(500, "Failed", [], b""))
            await task
        self.assertGreater(self.owner.load.failing, 90)
        self.owner.assign("i1", "s", 2000)
        self.assertEqual(self.owner.load.failing, 0)

    async def test_calls_cut_by_this_node_after_a_restart_do_not_count_as_failures(self):
        """Guards against a restarted server that gets no calls, as those of before it were cut."""
        self.owner.assign("i1", "s", 1000)
        self.owner.resize(60)
        tasks = [self.start_last_call(number) for number in range(30)]
        await self.run_pending()
        self.assertEqual(len(self.client.started), 30)
        self.owner.assign("i1", "s", 2000)
        cut = BackendError("connection closed by this node", step="answer", closed_here=True)
        for number in range(30):
            self.client.answer(number, cut)
        self.assertEqual({type(outcome) for outcome in await asyncio.gather(*tasks)}, {Unknown})
        self.assertEqual(self.owner.load.failing, 0)

    async def test_slots_limit_concurrency_and_critical_calls_start_first(self):
        tasks = [
            self.start_call(1),
            self.start_call(2),
            self.start_call(3, criticality=0),
            self.start_call(4),
        ]
        booking = self.start_call(5, criticality=2)
        await self.run_pending()
        self.assertEqual(self.client.started, [1, 2])
        for number in (1, 2):
            self.client.answer(number)
        await self.run_pending()
        self.assertEqual(self.client.started, [1, 2, 5, 4])
        for number in (5, 4):
            self.client.answer(number)
        await self.run_pending()
        self.client.answer(3)
        self.assertEqual(await asyncio.gather(*tasks, booking), [OK_ANSWER] * 5)
        self.assertTrue(self.owner.idle)

    async def test_call_that_would_wait_beyond_its_queue_limit_is_refused_at_once(self):
        running = [self.start_call(1), self.start_call(2)]
        await self.run_pending()
        outcome = await self.start_call(3, patience=0.001)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(self.client.started, [1, 2])
        for task in running:
            task.cancel()

    async def test_cancelled_wait_does_not_leak_its_slot(self):
        self.start_call(1)
        self.start_call(2)
        third, fourth = self.start_call(3), self.start_call(4)
        await self.run_pending()
        self.client.answer(1)
        third.cancel()
        await self.run_pending()
        self.assertIn(4, self.client.started)
        self.client.answer(2)
        self.client.answer(4)
        self.assertEqual(await fourth, OK_ANSWER)
        self.assertTrue(self.owner.idle)

    async def test_call_revoked_before_its_arrival_does_not_run(self):
        # The entry lost its connection and revokes the call over a new one, while the call is
        # still in the old connection's buffer.  It must not run when it is read later.
        self.assertIsInstance(await self.owner.revoke("n", 7, self.sent_after_start), NotRun)
        self.assertIsInstance(await self.start_call(7), NotRun)
        self.assertEqual(self.client.started, [])

    async def test_revoked_waiting_call_does_not_run(self):
        tasks = [self.start_call(n) for n in (1, 2, 3)]
        await self.run_pending()
        self.assertIsInstance(await self.owner.revoke("n", 3, self.sent_after_start), NotRun)
        self.client.answer(1)
        await self.run_pending()
        self.assertNotIn(3, self.client.started)
        for task in tasks:
            task.cancel()

    async def test_revocation_of_a_running_call_waits_for_its_answer(self):
        self.start_call(1)
        await self.run_pending()
        asked = asyncio.create_task(self.owner.revoke("n", 1, self.sent_after_start))
        await self.run_pending()
        self.client.answer(1)
        self.assertEqual(await asked, OK_ANSWER)
        self.assertEqual(await self.owner.revoke("n", 1, self.sent_after_start), OK_ANSWER)

    async def test_outcome_of_a_call_sent_before_the_owner_started_is_unknown(self):
        # An owner that was killed with a booking running has no record of it after its
        # restart, which does not prove that the booking did not run.
        before = deadline_after(-1.0)
        self.assertIsInstance(await self.owner.revoke("n", 7, before), Unknown)

    async def test_outcome_of_a_call_whose_record_was_evicted_is_unknown(self):
        # A booking ran and its answer was lost; its record was evicted to make room before
        # the entry asked for the outcome.
        with mock.patch("caperstack.admission.memory.MAX_RECORDS", 3):
            sent = deadline_after(0.06)
            await asyncio.sleep(0.1)
            for number in range(1, 8):
                task = self.start_call(number)
                await self.run_pending()
                self.client.answer(number)
                await task
            self.assertIsInstance(await self.owner.revoke("n", 1, sent), Unknown)
            self.assertEqual(await self.owner.revoke("n", 7, sent), OK_ANSWER)

    async def test_revocation_does_not_affect_the_same_number_of_another_entry(self):
        self.assertIsInstance(await self.owner.revoke("other", 1, self.sent_after_start), NotRun)
        task = self.start_call(1)
        await self.run_pending()
        self.client.answer(1)
        self.assertEqual(await task, OK_ANSWER)

    async def test_concurrent_calls_of_two_entries_may_share_a_number(self):
        # Two nodes that start in the same microsecond number their calls alike, and both calls
        # run here concurrently.  Times recorded by number alone made the owner fail at the end
        # of the second call and report "unknown" for a booking that was answered.
        async def fetch(call, instance=""):
            await asyncio.sleep(0.01)
            return OK_ANSWER

        self.client.fetch = fetch
        calls = [
            Call(7, origin, "r", "s", "POST", "/", [], b"", deadline_after(5), False, last=True)
            for origin in ("n", "m")
        ]
        for call in calls:
            call.queue_until = call.deadline
        outcomes = await asyncio.gather(*(self.owner.run(call) for call in calls))
        self.assertEqual(outcomes, [OK_ANSWER, OK_ANSWER])

    async def test_expired_calls_and_calls_after_a_pause_are_not_dispatched(self):
        self.assertIsInstance(await self.start_call(1, seconds=-0.1), NotRun)
        self.paused = True
        self.assertIsInstance(await self.start_call(2), NotRun)
        self.assertEqual(self.client.started, [])

    async def test_failed_calls_get_the_right_outcome_and_release_their_slots(self):
        for number, (error, kind) in enumerate(
            (
                (BackendError("refused", sent=False), NotRun),
                (BackendError("died", sent=True), Unknown),
                (RuntimeError("a fault of ours"), Unknown),
            )
        ):
            task = self.start_call(number)
            await self.run_pending()
            self.client.answer(number, error)
            self.assertIsInstance(await task, kind)
        self.assertTrue(self.owner.idle)

    async def test_stopping_node_refuses_waiting_calls_and_finishes_running_ones(self):
        tasks = [self.start_call(n) for n in (1, 2, 3)]
        await self.run_pending()
        self.owner.leave()
        self.assertEqual(self.owner.state, ServerState.STOPPING)
        self.assertIsInstance(await tasks[2], NotRun)
        self.client.answer(1)
        self.client.answer(2)
        self.assertEqual([await t for t in tasks[:2]], [OK_ANSWER, OK_ANSWER])

    async def test_failing_server_refuses_calls_that_can_go_elsewhere(self):
        for number in range(10):
            await self.run_failing_call(number)
        refused = [await self.run_failing_call(n) for n in range(30, 34)]
        self.assertTrue(all(isinstance(outcome, NotRun) for outcome in refused[1:]))
        last = self.start_last_call(40)
        await self.run_pending()
        self.client.answer(40)
        self.assertEqual(await last, OK_ANSWER)

    async def test_server_that_fails_like_the_others_keeps_running_calls(self):
        # Nested calls of all servers of a service fail elsewhere, so that each server answers
        # errors.  With an open circuit breaker this server would be idle while the others
        # are full.
        self.others = [self.server(host, 0.8, 10) for host in "abc"]
        outcomes = [await self.run_failing_call(number) for number in range(30)]
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in outcomes))

    async def test_servers_without_load_report_do_not_count_as_healthy(self):
        # The servers with a load report fail as often as this one, and fifty others have none.
        # If those counted as healthy, the circuit breaker would open.
        self.others = [self.server(host, 0.8, 10) for host in "abc"]
        self.others += [self.server(f"far-{number}", 0.0, None) for number in range(50)]
        outcomes = [await self.run_failing_call(number) for number in range(30)]
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in outcomes))

    @staticmethod
    def server(host, failing, age_ms):
        return SimpleNamespace(host=host, estimate=SimpleNamespace(failing=failing, age_ms=age_ms))

    async def run_failing_call(self, number):
        task = self.start_call(number)
        await self.run_pending()
        if number in self.client.running:
            self.client.answer(number, Answered(500, "", [], b""))
        return await task

    def start_last_call(self, number, seconds=5.0):
        call = Call(number, "n", "r", "s", "POST", "/", [], b"", deadline_after(seconds), False)
        call.queue_until = call.deadline
        call.last = True
        return asyncio.create_task(self.owner.run(call))

    async def test_call_is_deferred_while_the_host_is_slowed(self):
        # A listing that starts in a slow phase of 300 ms takes four times as long; it ends
        # sooner if it starts after the phase.
        await self.set_service_time(0.3)
        self.owner.set_slowdown(1.0)
        self.owner.set_slowdown(4.0)
        held = self.start_last_call(50)
        await self.run_pending()
        self.assertNotIn(50, self.client.started)
        self.assertIsInstance(await self.start_call(51), NotRun)
        self.owner.set_slowdown(1.0)
        await self.run_pending()
        self.client.answer(50)
        self.assertEqual(await held, OK_ANSWER)

    async def test_short_call_starts_on_a_slowed_host(self):
        await self.set_service_time(0.01)
        self.owner.set_slowdown(1.0)
        self.owner.set_slowdown(4.0)
        short = self.start_last_call(50)
        await self.run_pending()
        self.client.answer(50)
        self.assertEqual(await short, OK_ANSWER)

    async def test_permanently_slow_host_runs_calls(self):
        await self.set_service_time(0.3)
        self.owner.set_slowdown(1.0)
        with mock.patch("caperstack.admission.slowdown.BASELINE_SECONDS", 0.0):
            self.owner.set_slowdown(4.0)
            lasting = self.start_last_call(52)
            await self.run_pending()
            self.client.answer(52)
            self.assertEqual(await lasting, OK_ANSWER)

    async def test_call_with_too_little_time_left_is_refused_at_once(self):
        # A listing that takes 300 ms is retried with 100 ms left.  It would reach its deadline
        # without an answer and occupy a slot.
        await self.set_service_time(0.3)
        self.assertIsInstance(await self.start_call(1, seconds=0.1), NotRun)
        self.assertEqual(self.client.started, [])

    async def test_calls_that_can_be_in_time_start_before_late_ones(self):
        # After an outage, retries of calls that are already late arrive before new calls.  In
        # order of arrival all of them would be late.
        await self.set_service_time(0.2)
        tasks = [self.start_call(1), self.start_call(2)]
        await self.run_pending()
        late, fresh = self.start_call_with_objective(3, 0.1), self.start_call_with_objective(4, 0.6)
        await self.run_pending()
        self.client.answer(1)
        await self.run_pending()
        self.assertEqual(self.client.started, [1, 2, 4])
        for task in (*tasks, late, fresh):
            task.cancel()

    async def test_call_that_cannot_be_in_time_is_refused_at_once(self):
        # In an overload, a call past its objective must be refused at once rather than at its
        # deadline of five seconds, and must not occupy the queue of calls still in time.
        tasks = [self.start_call(1), self.start_call(2)]
        await self.run_pending()
        late = self.start_call_with_objective(3, 0.0)
        await self.run_pending()
        self.assertTrue(late.done())
        self.assertIsInstance(late.result(), NotRun)
        self.assertEqual(self.owner.load.queued, 0)
        for task in tasks:
            task.cancel()

    async def test_late_call_refused_for_lack_of_a_slot_gets_a_long_retry_delay(self):
        """Callers that retry at once are refused each time and give up before a slot is free."""
        await self.set_service_time(0.05)
        tasks = [self.start_call(1), self.start_call(2)]
        await self.run_pending()
        refused = await self.start_call_with_objective(3, 0.0)
        self.assertEqual(refused.reason, "no slot in time")
        self.assertGreater(refused.retry_after, RETRY_DELAY_SHARE * 4.9)
        self.assertLess(refused.retry_after, 5.0)
        for task in tasks:
            task.cancel()

    async def test_error_of_the_expected_wait_is_measured(self):
        running = self.start_call(1), self.start_call(2)
        await self.run_pending()
        waiting = self.start_call(3)
        await self.run_pending()
        self.client.answer(1)
        await self.run_pending()
        timed = [seen.args for seen in self.metrics.time.call_args_list]
        ((_, seconds, label),) = [args for args in timed if args[0] == "wait_error_seconds"]
        self.assertIn(label, ("sooner", "later"))
        self.assertLess(seconds, 0.5)
        for task in (*running, waiting):
            task.cancel()

    async def test_late_call_runs_where_a_slot_is_free(self):
        running = self.start_call(1)
        await self.run_pending()
        late = self.start_call_with_objective(2, 0.0)
        await self.run_pending()
        self.client.answer(2)
        self.assertEqual(await late, OK_ANSWER)
        running.cancel()

    async def test_nested_call_that_cannot_be_in_time_is_refused_early(self):
        # A lookup at another service waits for a nested check here that takes 15 ms and has
        # 80 ms, while all slots are taken.  The check must be refused once it cannot be in
        # time, so that the lookup ends and frees its slot, not 200 ms later at the deadline
        # of both.
        await self.set_service_time(0.015)
        tasks = [self.start_call(1), self.start_call(2)]
        await self.run_pending()
        began = now()
        self.assertIsInstance(await self.start_call_with_objective(3, 0.08), NotRun)
        self.assertLess(now() - began, 0.4)
        for task in tasks:
            task.cancel()

    def call_of_request(self, number, request=5, last=True):
        call = Call(number, "n", "r", "s", "GET", "/", [], b"", deadline_after(5), True)
        call.fingerprint = Fingerprint(request, 1)
        call.queue_until = call.deadline
        call.last = last
        return call

    async def test_call_whose_request_is_quarantined_while_it_waits_does_not_start(self):
        # A request that crashes servers waits here for a slot while the third server crashes
        # elsewhere.  It must not get the slot that becomes free.
        busy = [
            asyncio.create_task(self.owner.run(self.call_of_request(n, request=9))) for n in (1, 2)
        ]
        await self.run_pending()
        waiting = asyncio.create_task(self.owner.run(self.call_of_request(3)))
        await self.run_pending()
        for number in range(3):
            self.suspects.record_crash(number, [Fingerprint(5, 1)])
        self.client.answer(1)
        self.client.answer(2)
        await asyncio.gather(*busy)
        self.assertIsInstance(await waiting, NotRun)
        self.assertEqual(self.client.started, [1, 2])

    async def test_two_requests_suspected_of_two_crashes_do_not_run_at_once(self):
        # An innocent request that ran during two crashes would be charged with a third if it
        # ran beside the culprit once more.
        for number in range(2):
            self.suspects.record_crash(number, [Fingerprint(5, 1), Fingerprint(6, 1)])
        first = asyncio.create_task(self.owner.run(self.call_of_request(1)))
        await self.run_pending()
        second = await self.owner.run(self.call_of_request(2, request=6))
        self.assertEqual(second.reason, "another suspect is at work")
        self.client.answer(1)
        self.assertEqual(await first, OK_ANSWER)
        third = asyncio.create_task(self.owner.run(self.call_of_request(3, request=6)))
        await self.run_pending()
        self.client.answer(3)
        self.assertEqual(await third, OK_ANSWER)

    async def crash_with(self, *numbers):
        """Let the server crash while these calls run, each for the request of its number."""
        self.client.listening = False
        for number in numbers:
            self.client.answer(number, BackendError("connection closed", step="answer"))

    async def test_calls_that_began_before_their_requests_were_suspects_are_not_isolated(self):
        """Guards against a quarantine of a frequent request that ran beside a fatal one.

        Both began here before two other servers crashed with both of them running.
        """
        tasks = [
            asyncio.create_task(self.owner.run(self.call_of_request(n, request=n))) for n in (1, 2)
        ]
        await self.run_pending()
        for number in range(2):
            self.suspects.record_crash(number, [Fingerprint(1, 1), Fingerprint(2, 1)], isolated=())
        await self.crash_with(1, 2)
        await asyncio.gather(*tasks)
        verdicts = [self.suspects.verdict(Fingerprint(n, 1)) for n in (1, 2)]
        self.assertEqual(verdicts, [Verdict.ALONE] * 2)

    async def test_crash_while_a_suspect_runs_in_isolation_quarantines_it(self):
        """Guards against a fatal request that is isolated forever and crashes further servers."""
        for number in range(2):
            self.suspects.record_crash(number, [Fingerprint(1, 1), Fingerprint(2, 1)], isolated=())
        tasks = [
            asyncio.create_task(self.owner.run(self.call_of_request(n, request=n))) for n in (1, 3)
        ]
        await self.run_pending()
        await self.crash_with(1, 3)
        await asyncio.gather(*tasks)
        verdicts = [self.suspects.verdict(Fingerprint(n, 1)) for n in (1, 2, 3)]
        self.assertEqual(verdicts, [Verdict.QUARANTINED, Verdict.ALONE, Verdict.FREE])

    async def test_crash_is_charged_to_the_calls_that_were_running(self):
        self.client.listening = False
        tasks = [
            asyncio.create_task(self.owner.run(self.call_of_request(n, request=n))) for n in (1, 2)
        ]
        await self.run_pending()
        for number in (1, 2):
            self.client.answer(number, BackendError("connection closed", step="answer"))
        outcomes = await asyncio.gather(*tasks)
        self.assertTrue(all(isinstance(outcome, Unknown) for outcome in outcomes))
        self.assertEqual(len({outcome.end for outcome in outcomes} - {0}), 1)
        self.assertEqual([self.suspects.count(Fingerprint(n, 1)) for n in (1, 2)], [1, 1])

    async def test_crashed_server_gets_no_calls_until_its_successor_is_listed(self):
        # The port refuses connections, then another instance answers there that is not
        # listed yet.  Calls must be refused without being sent.
        self.owner.assign("i-1", "s")
        self.client.listening = False
        task = asyncio.create_task(self.owner.run(self.call_of_request(1)))
        await self.run_pending()
        self.client.answer(1, BackendError("connection closed", step="answer"))
        await task
        self.assertEqual(self.owner.state, ServerState.DOWN)
        self.owner.note_instance("i-2")
        self.owner.set_health(ServerState.WARM)
        self.assertIsInstance(await self.owner.run(self.call_of_request(2)), NotRun)
        self.owner.assign("i-2", "s")
        self.assertEqual(self.owner.state, ServerState.WARM)

    async def test_answer_without_proof_is_no_sign_of_a_crash(self):
        """Guards against a later crash that is charged to a call which has ended."""
        self.owner.assign("i-1", "s")
        task = asyncio.create_task(self.owner.run(self.call_of_request(1)))
        await self.run_pending()
        self.client.listening = False
        self.client.answer(1, BackendError("no proof", step="answer", status=429))
        self.assertEqual((await task).status, 502)
        self.assertEqual(self.owner.state, ServerState.WARM)

    async def test_server_that_answers_again_under_its_name_gets_calls(self):
        self.owner.assign("i-1", "s")
        self.owner.note_instance("i-2")
        self.assertEqual(self.owner.state, ServerState.DOWN)
        self.owner.note_instance("i-1")
        self.assertEqual(self.owner.state, ServerState.WARM)

    async def test_lost_answer_of_a_live_server_is_charged_to_nobody(self):
        task = asyncio.create_task(self.owner.run(self.call_of_request(1)))
        await self.run_pending()
        self.client.answer(1, BackendError("connection closed", step="answer"))
        self.assertEqual((await task).end, 0)
        self.assertEqual(self.suspects.count(Fingerprint(5, 1)), 0)

    async def test_change_of_slots_resets_the_limit(self):
        self.owner.resize(20)
        self.assertEqual(self.owner.load.limit, 22)
        self.owner.resize(10)
        self.assertEqual(self.owner.load.limit, 11)

    async def test_slots_are_rounded_down(self):
        # With 9 of 11 slots in use a server slows down by more than the ninth slot gains; a
        # share of 0.8 must not round up to 9.
        limits = []
        for slots in (1, 3, 5, 10, 11, 18, 300):
            owner = Owner(SimpleNamespace(slots=slots, slots_share=0.8), self.client)
            limits.append(owner.load.limit)
        self.assertEqual(limits, [1, 2, 4, 8, 8, 14, 240])

    def start_call_with_objective(self, number, objective_seconds):
        call = Call(number, "n", "r", "s", "POST", "/", [], b"", deadline_after(5), False)
        call.queue_until = call.deadline
        call.last = True
        call.objective_at = deadline_after(objective_seconds)
        return asyncio.create_task(self.owner.run(call))

    async def set_service_time(self, seconds):
        """Make `seconds` the known service time of the route."""
        times = self.owner._times
        for _ in range(30):
            times._learn_route("", seconds)

    async def test_slow_first_calls_do_not_lower_the_limit(self):
        # A new owner assumes 20 ms, and its first calls take some twenty times as long.  That is
        # normal rather than slow; otherwise only half of the slots were used after each
        # restart.
        with mock.patch("caperstack.admission.limit.now", lambda: 1000.0 + self.client.clock):
            self.owner.resize(20)
            tasks = []
            for number in range(100, 140):
                self.client.clock += 0.2
                tasks.append(self.start_call(number))
                await self.run_pending()
                if number >= 102:
                    self.client.answer(number - 2)
            self.assertEqual(self.owner.load.limit, 22)
        for task in tasks:
            task.cancel()

    async def test_kept_answers_are_bounded(self):
        # Answers are kept for entries that lost their connection; without a bound, thousands
        # of 64 kB each would take up to a gigabyte.
        body = bytes(60 * 1024)
        for number in range(400):
            task = self.start_call(number)
            await self.run_pending()
            self.client.answer(number, Answered(200, "OK", [], body))
            await task
        kept = [
            await self.owner.revoke("n", number, self.sent_after_start) for number in range(400)
        ]
        held = sum(len(o.body) for o in kept if isinstance(o, Answered))
        self.assertLessEqual(held, 16 * 1024 * 1024)
        self.assertGreater(held, 0)
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in kept))
