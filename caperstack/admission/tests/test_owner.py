"""The owner's decision, with a backend server that is told when to answer."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.admission.gate import RETURN_SHARE
from caperstack.admission.owner import Owner
from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import Answered, Call, NotRun, ServerState, Unknown
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError, PeerError
from caperstack.quarantine.suspects import Suspects

GOOD = Answered(200, "OK", [], b"")


class FakeClient:
    """Holds each call until it is told to answer."""

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

    def answer(self, number, outcome=GOOD):
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
        self.later = deadline_after(1.0)

    def call(self, number, seconds=5.0, criticality=1, patience=5.0):
        call = Call(number, "n", "r", "s", "POST", "/", [], b"", deadline_after(seconds), False)
        call.criticality = criticality
        call.queue_until = deadline_after(patience)
        return call

    def begin(self, number, **fields):
        return asyncio.create_task(self.owner.run(self.call(number, **fields)))

    async def turn(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_first_calls_are_not_promised_slots_that_never_come(self):
        # All nodes were killed and start with no memory; callers return at
        # once.  Their objective of 0.6 s tells that work takes some 0.2 s, so
        # two slots can start seven more calls before these are hopeless.  The
        # others hear at once that they have not run.
        tasks = []
        for number in range(1, 31):
            call = Call(number, "n", "r", "s", "GET", "/", [], b"", deadline_after(2.0), True)
            call.objective_at = deadline_after(0.6)
            call.queue_until = call.deadline
            tasks.append(asyncio.create_task(self.owner.run(call)))
        await self.turn()
        refused = [task for task in tasks if task.done()]
        self.assertEqual(len(self.client.started), 2)
        self.assertGreaterEqual(len(refused), 20)
        self.assertTrue(all(isinstance(task.result(), NotRun) for task in refused))
        self.assertEqual(self.owner.load.service_us, 0)
        for task in tasks:
            task.cancel()

    async def test_call_whose_body_does_not_come_is_not_run_and_gives_its_slot_back(self):
        """The entry that keeps the body is gone: the call runs without it, or a slot is lost."""

        async def lost(_limit):
            raise PeerError("connection lost", step="body")

        for number in range(4):
            call = self.call(number)
            call.withheld = SimpleNamespace(fetch=lost)
            refused = await self.owner.run(call)
            self.assertEqual(type(refused), NotRun)
            self.assertIn("body did not come", refused.reason)
        self.assertEqual((self.client.started, self.owner.idle), ([], True))

    async def test_body_is_brought_when_the_call_starts(self):
        """A call that waits for a slot has its body sent though it may never run."""
        brought = []

        async def fetch(_limit):
            brought.append(True)
            return b"body"

        running = [self.begin(number) for number in (1, 2)]
        call = self.call(3)
        call.withheld = SimpleNamespace(fetch=fetch)
        waiting = asyncio.create_task(self.owner.run(call))
        await self.turn()
        self.assertEqual(brought, [])
        self.client.answer(1)
        await self.turn()
        self.client.answer(3)
        self.assertEqual((await waiting, brought, call.body), (GOOD, [True], b"body"))
        self.client.answer(2)
        await asyncio.gather(*running)

    async def test_evacuated_zone_refuses_new_and_waiting_calls_and_lets_running_ones_end(self):
        """A zone is evacuated: calls go on starting there, or running work is lost."""
        running = [self.begin(number) for number in (1, 2)]
        waiting = self.begin(3)
        await self.turn()
        self.owner.set_evacuated(True)
        self.owner.set_health(ServerState.WARM)
        refused = await waiting
        self.assertEqual((type(refused), refused.reason), (NotRun, "zone is evacuated"))
        self.assertEqual(await self.begin(4), NotRun("zone is evacuated", 0.0))
        self.assertEqual(self.owner.load.state, ServerState.EVACUATED)
        for number in (1, 2):
            self.client.answer(number)
        self.assertEqual(await asyncio.gather(*running), [GOOD, GOOD])
        self.owner.set_evacuated(False)
        again = self.begin(5)
        await self.turn()
        self.client.answer(5)
        self.assertEqual(await again, GOOD)

    async def test_calls_wait_for_the_first_reading_of_the_pace(self):
        # An owner starts in the middle of a neighbour's visit and gets calls
        # before it has asked how long work takes.  Run at eight times its cost
        # a booking is cut off at its deadline.
        self.owner.expect_pace()
        self.assertIsInstance(await self.begin(1), NotRun)
        waiting = self.begin_last(2)
        await self.turn()
        self.assertEqual(self.client.started, [])
        self.owner.set_pace(1.0)
        await self.turn()
        self.client.answer(2)
        self.assertEqual(await waiting, GOOD)

    async def test_call_in_a_hurry_waits_for_the_first_reading_too(self):
        # A node has just started; a caller's route is over in 150 ms.  The
        # reading takes a millisecond as a rule, and refused for the length of a
        # visit that nobody has seen the caller would get 503 from a free server.
        self.owner.expect_pace()
        waiting = self.begin_last(1, seconds=0.15)
        await self.turn()
        self.owner.set_pace(1.0)
        await self.turn()
        self.assertEqual(self.client.started, [1])
        self.client.answer(1)
        self.assertEqual(await waiting, GOOD)

    async def test_pace_is_asked_before_a_call_starts_on_an_old_reading(self):
        # A neighbour takes the host just after a reading.  A booking that
        # starts before the next one needs four times as long and is late; a
        # question of a millisecond before the start sends it elsewhere.
        asked = []

        async def refresh():
            asked.append(True)
            self.owner.set_pace(4.0)

        self.owner.set_pace(1.0)
        self.owner.expect_pace(refresh)
        with mock.patch("caperstack.admission.owner.FRESH_READING_SECONDS", 60.0):
            running = self.begin(1)
            await self.turn()
        self.assertEqual((asked, self.client.started), ([], [1]))
        with mock.patch("caperstack.admission.owner.FRESH_READING_SECONDS", 0.0):
            self.assertIsInstance(await self.begin(2), NotRun)
        self.assertEqual((asked, self.client.started), ([True], [1]))
        self.client.answer(1)
        self.assertEqual(await running, GOOD)

    async def test_where_no_pace_is_told_calls_start_without(self):
        with (
            mock.patch("caperstack.admission.follower.FIRST_READING_SECONDS", 0.01),
            mock.patch("caperstack.admission.pace.FIRST_READING_SECONDS", 0.01),
        ):
            self.owner.expect_pace()
        waiting = self.begin_last(1)
        while not self.client.started:
            await asyncio.sleep(0.005)
        self.client.answer(1)
        self.assertEqual(await waiting, GOOD)

    async def test_waiting_call_is_not_run_by_another_service(self):
        # An inquiry waits for a slot. Meanwhile the address of the backend
        # server goes to one of another service, and the list tells both at
        # once.  The new server takes what is sent to it by name, and would run
        # the inquiry.
        self.owner.assign("i1", "s")
        tasks = [self.begin(1), self.begin(2), self.begin(3)]
        await self.turn()
        self.owner.assign("i2", "other")
        self.client.answer(1)
        self.client.answer(2)
        await asyncio.gather(*tasks[:2])
        await self.turn()
        self.assertEqual(self.client.started, [1, 2])
        self.assertIsInstance(await tasks[2], NotRun)

    async def test_new_start_under_the_same_name_takes_nothing_over(self):
        # A backend server ends with two bookings at work and one that waits,
        # and starts again under its name.  The one that waits goes elsewhere at
        # once; the two that ran end as unknown, never as not run.
        self.owner.assign("i1", "s", 1000)
        tasks = [self.begin(1), self.begin(2), self.begin(3)]
        await self.turn()
        self.owner.assign("i1", "s", 1000)
        await self.turn()
        self.assertEqual((self.client.restarts, tasks[2].done()), (0, False))
        self.owner.assign("i1", "s", 2000)
        self.assertEqual(self.client.restarts, 1)
        self.assertIsInstance(await tasks[2], NotRun)
        for number in (1, 2):
            self.client.answer(number, BackendError("connection closed", step="answer"))
        for task in tasks[:2]:
            self.assertIsInstance(await task, Unknown)
        self.assertEqual(self.client.started, [1, 2])

    async def test_new_start_is_not_blamed_for_the_failures_of_the_last(self):
        self.owner.assign("i1", "s", 1000)
        for number in range(30):
            task = self.begin_last(number)
            await self.turn()
            self.client.answer(number, Answered(500, "Failed", [], b""))
            await task
        self.assertGreater(self.owner.load.failing, 90)
        self.owner.assign("i1", "s", 2000)
        self.assertEqual(self.owner.load.failing, 0)

    async def test_slots_bound_what_runs_and_the_critical_goes_first(self):
        tasks = [self.begin(1), self.begin(2), self.begin(3, criticality=0), self.begin(4)]
        booking = self.begin(5, criticality=2)
        await self.turn()
        self.assertEqual(self.client.started, [1, 2])
        for number in (1, 2):
            self.client.answer(number)
        await self.turn()
        self.assertEqual(self.client.started, [1, 2, 5, 4])
        for number in (5, 4):
            self.client.answer(number)
        await self.turn()
        self.client.answer(3)
        self.assertEqual(await asyncio.gather(*tasks, booking), [GOOD] * 5)
        self.assertTrue(self.owner.idle)

    async def test_wait_beyond_patience_is_refused_at_once(self):
        running = [self.begin(1), self.begin(2)]
        await self.turn()
        outcome = await self.begin(3, patience=0.001)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(self.client.started, [1, 2])
        for task in running:
            task.cancel()

    async def test_cancelled_wait_gives_its_slot_on(self):
        self.begin(1)
        self.begin(2)
        third, fourth = self.begin(3), self.begin(4)
        await self.turn()
        self.client.answer(1)
        third.cancel()
        await self.turn()
        self.assertIn(4, self.client.started)
        self.client.answer(2)
        self.client.answer(4)
        self.assertEqual(await fourth, GOOD)
        self.assertTrue(self.owner.idle)

    async def test_revocation_comes_before_the_call(self):
        # The entry lost its connection and asks over a new one; the call still
        # lies in the old one's buffer and is read later.  It must not run then.
        self.assertIsInstance(await self.owner.revoke("n", 7, self.later), NotRun)
        self.assertIsInstance(await self.begin(7), NotRun)
        self.assertEqual(self.client.started, [])

    async def test_revocation_of_a_waiting_call(self):
        tasks = [self.begin(n) for n in (1, 2, 3)]
        await self.turn()
        self.assertIsInstance(await self.owner.revoke("n", 3, self.later), NotRun)
        self.client.answer(1)
        await self.turn()
        self.assertNotIn(3, self.client.started)
        for task in tasks:
            task.cancel()

    async def test_revocation_of_a_running_call_waits_for_its_answer(self):
        self.begin(1)
        await self.turn()
        asked = asyncio.create_task(self.owner.revoke("n", 1, self.later))
        await self.turn()
        self.client.answer(1)
        self.assertEqual(await asked, GOOD)
        self.assertEqual(await self.owner.revoke("n", 1, self.later), GOOD)

    async def test_owner_does_not_speak_for_what_was_before_its_time(self):
        # An owner is killed with a booking running, starts again and is asked
        # how the booking ended.  It never heard of it, which proves nothing.
        before = deadline_after(-1.0)
        self.assertIsInstance(await self.owner.revoke("n", 7, before), Unknown)

    async def test_owner_does_not_speak_for_what_it_forgot(self):
        # A booking ran, its answer was lost, and the record was dropped to
        # make room before the entry could ask.
        with mock.patch("caperstack.admission.memory.MEMORY_CALLS", 3):
            sent = deadline_after(0.06)
            await asyncio.sleep(0.1)
            for number in range(1, 8):
                task = self.begin(number)
                await self.turn()
                self.client.answer(number)
                await task
            self.assertIsInstance(await self.owner.revoke("n", 1, sent), Unknown)
            self.assertEqual(await self.owner.revoke("n", 7, sent), GOOD)

    async def test_same_number_of_another_entry_is_another_call(self):
        self.assertIsInstance(await self.owner.revoke("other", 1, self.later), NotRun)
        task = self.begin(1)
        await self.turn()
        self.client.answer(1)
        self.assertEqual(await task, GOOD)

    async def test_two_entries_may_number_their_calls_alike(self):
        # Two nodes start in the same microsecond and number their calls from
        # the same point.  Both calls run here at once; when the second ended,
        # the owner failed on the first one's time and told "unknown" of a
        # booking that was answered.
        async def fetch(call, instance=""):
            await asyncio.sleep(0.01)
            return GOOD

        self.client.fetch = fetch
        calls = [
            Call(7, origin, "r", "s", "POST", "/", [], b"", deadline_after(5), False, last=True)
            for origin in ("n", "m")
        ]
        for call in calls:
            call.queue_until = call.deadline
        outcomes = await asyncio.gather(*(self.owner.run(call) for call in calls))
        self.assertEqual(outcomes, [GOOD, GOOD])

    async def test_late_or_held_calls_are_not_dispatched(self):
        self.assertIsInstance(await self.begin(1, seconds=-0.1), NotRun)
        self.paused = True
        self.assertIsInstance(await self.begin(2), NotRun)
        self.assertEqual(self.client.started, [])

    async def test_failures_of_the_backend_server(self):
        for number, (error, kind) in enumerate(
            (
                (BackendError("refused", sent=False), NotRun),
                (BackendError("died", sent=True), Unknown),
                (RuntimeError("a fault of ours"), Unknown),
            )
        ):
            task = self.begin(number)
            await self.turn()
            self.client.answer(number, error)
            self.assertIsInstance(await task, kind)
        self.assertTrue(self.owner.idle)

    async def test_stopping_refuses_what_waits_and_finishes_what_runs(self):
        tasks = [self.begin(n) for n in (1, 2, 3)]
        await self.turn()
        self.owner.leave()
        self.assertEqual(self.owner.state, ServerState.STOPPING)
        self.assertIsInstance(await tasks[2], NotRun)
        self.client.answer(1)
        self.client.answer(2)
        self.assertEqual([await t for t in tasks[:2]], [GOOD, GOOD])

    async def test_failing_server_refuses_calls_that_can_go_elsewhere(self):
        for number in range(10):
            await self.quick(number)
        refused = [await self.quick(n) for n in range(30, 34)]
        self.assertTrue(all(isinstance(outcome, NotRun) for outcome in refused[1:]))
        last = self.begin_last(40)
        await self.turn()
        self.client.answer(40)
        self.assertEqual(await last, GOOD)

    async def test_server_that_fails_like_all_others_goes_on(self):
        # Checks that the work of all servers of a service makes fail elsewhere;
        # each of them answers errors.  Refused here, calls would find the
        # others full, and this one would stand idle.
        self.others = [self.server(host, 0.8, 10) for host in "abc"]
        outcomes = [await self.quick(number) for number in range(30)]
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in outcomes))

    async def test_servers_that_nobody_heard_of_do_not_count_as_sound(self):
        # The same in a service of fifty servers, of which this node calls three.
        self.others = [self.server(host, 0.8, 10) for host in "abc"]
        self.others += [self.server(f"far-{number}", 0.0, None) for number in range(50)]
        outcomes = [await self.quick(number) for number in range(30)]
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in outcomes))

    @staticmethod
    def server(host, failing, age_ms):
        return SimpleNamespace(host=host, estimate=SimpleNamespace(failing=failing, age_ms=age_ms))

    async def quick(self, number):
        task = self.begin(number)
        await self.turn()
        if number in self.client.running:
            self.client.answer(number, Answered(500, "", [], b""))
        return await task

    def begin_last(self, number, seconds=5.0):
        call = Call(number, "n", "r", "s", "POST", "/", [], b"", deadline_after(seconds), False)
        call.queue_until = call.deadline
        call.last = True
        return asyncio.create_task(self.owner.run(call))

    async def test_call_waits_while_a_neighbour_has_the_host(self):
        # A neighbour takes the host for 300 ms.  A listing that started now
        # would need four times as long to its end; it starts when the
        # neighbour has gone, and the caller has it sooner.
        await self.learn_time(0.3)
        self.owner.set_pace(1.0)
        self.owner.set_pace(4.0)
        held = self.begin_last(50)
        await self.turn()
        self.assertNotIn(50, self.client.started)
        self.assertIsInstance(await self.begin(51), NotRun)
        self.owner.set_pace(1.0)
        await self.turn()
        self.client.answer(50)
        self.assertEqual(await held, GOOD)

    async def test_short_work_and_a_slow_host_for_good_do_not_wait(self):
        await self.learn_time(0.01)
        self.owner.set_pace(1.0)
        self.owner.set_pace(4.0)
        short = self.begin_last(50)
        await self.turn()
        self.client.answer(50)
        self.assertEqual(await short, GOOD)

    async def test_host_that_is_slow_for_good_takes_calls(self):
        await self.learn_time(0.3)
        self.owner.set_pace(1.0)
        with mock.patch("caperstack.admission.pace.USUAL_SECONDS", 0.0):
            self.owner.set_pace(4.0)
            lasting = self.begin_last(52)
            await self.turn()
            self.client.answer(52)
            self.assertEqual(await lasting, GOOD)

    async def test_call_with_too_little_time_left_is_refused_at_once(self):
        # A listing comes back with 100 ms left; it takes 300.  Run, it would
        # end at its deadline with nothing for its caller, and hold a slot.
        await self.learn_time(0.3)
        self.assertIsInstance(await self.begin(1, seconds=0.1), NotRun)
        self.assertEqual(self.client.started, [])

    async def test_calls_that_can_be_in_time_go_before_late_ones(self):
        # After an outage callers who have waited too long come back before
        # new ones.  In the order of arrival all would be late.
        await self.learn_time(0.2)
        tasks = [self.begin(1), self.begin(2)]
        await self.turn()
        late, fresh = self.waiting_call(3, 0.1), self.waiting_call(4, 0.6)
        await self.turn()
        self.client.answer(1)
        await self.turn()
        self.assertEqual(self.client.started, [1, 2, 4])
        for task in (*tasks, late, fresh):
            task.cancel()

    async def test_call_that_cannot_be_in_time_is_refused_at_once(self):
        # In an overload a call comes whose objective is over.  It is told so
        # now, not when its five seconds are over, and takes no place in the
        # queue from those that can be in time.
        tasks = [self.begin(1), self.begin(2)]
        await self.turn()
        late = self.waiting_call(3, 0.0)
        await self.turn()
        self.assertTrue(late.done())
        self.assertIsInstance(late.result(), NotRun)
        self.assertEqual(self.owner.load.queued, 0)
        for task in tasks:
            task.cancel()

    async def test_late_call_without_a_slot_is_told_to_come_back_later(self):
        """Callers return at once, are refused each time and give up before there is room."""
        await self.learn_time(0.05)
        tasks = [self.begin(1), self.begin(2)]
        await self.turn()
        refused = await self.waiting_call(3, 0.0)
        self.assertEqual(refused.reason, "no slot in time")
        self.assertGreater(refused.retry_after, RETURN_SHARE * 4.9)
        self.assertLess(refused.retry_after, 5.0)
        for task in tasks:
            task.cancel()

    async def test_error_of_the_expected_wait_is_timed(self):
        running = self.begin(1), self.begin(2)
        await self.turn()
        waiting = self.begin(3)
        await self.turn()
        self.client.answer(1)
        await self.turn()
        timed = [seen.args for seen in self.metrics.time.call_args_list]
        ((_, seconds, label),) = [args for args in timed if args[0] == "wait_error_seconds"]
        self.assertIn(label, ("sooner", "later"))
        self.assertLess(seconds, 0.5)
        for task in (*running, waiting):
            task.cancel()

    async def test_late_call_runs_where_a_slot_is_free(self):
        running = self.begin(1)
        await self.turn()
        late = self.waiting_call(2, 0.0)
        await self.turn()
        self.client.answer(2)
        self.assertEqual(await late, GOOD)
        running.cancel()

    async def test_call_of_a_tree_lets_its_parent_go(self):
        # A lookup runs at another service and waits for a check here that takes
        # 15 ms of the 80 it has.  All slots are taken.  The check is refused
        # when it can't be in time any more, so that the lookup ends and frees
        # its slot, not 200 ms later with the deadline of both.
        await self.learn_time(0.015)
        tasks = [self.begin(1), self.begin(2)]
        await self.turn()
        began = now()
        self.assertIsInstance(await self.waiting_call(3, 0.08), NotRun)
        self.assertLess(now() - began, 0.4)
        for task in tasks:
            task.cancel()

    def fatal(self, number, request=5, last=True):
        call = Call(number, "n", "r", "s", "GET", "/", [], b"", deadline_after(5), True)
        call.fingerprint = Fingerprint(request, 1)
        call.queue_until = call.deadline
        call.last = last
        return call

    async def test_call_whose_request_is_quarantined_while_it_waits_does_not_start(self):
        # A request that ends servers waits here for a slot while its third server
        # ends elsewhere.  It must not be given the slot that becomes free.
        busy = [asyncio.create_task(self.owner.run(self.fatal(n, request=9))) for n in (1, 2)]
        await self.turn()
        waiting = asyncio.create_task(self.owner.run(self.fatal(3)))
        await self.turn()
        for number in range(3):
            self.suspects.note_end(number, [Fingerprint(5, 1)])
        self.client.answer(1)
        self.client.answer(2)
        await asyncio.gather(*busy)
        self.assertIsInstance(await waiting, NotRun)
        self.assertEqual(self.client.started, [1, 2])

    async def test_two_grave_suspects_are_not_at_work_at_once(self):
        # A bystander of two ends, beside the culprit once more, would have three.
        for number in range(2):
            self.suspects.note_end(number, [Fingerprint(5, 1), Fingerprint(6, 1)])
        first = asyncio.create_task(self.owner.run(self.fatal(1)))
        await self.turn()
        second = await self.owner.run(self.fatal(2, request=6))
        self.assertEqual(second.reason, "another suspect is at work")
        self.client.answer(1)
        self.assertEqual(await first, GOOD)
        third = asyncio.create_task(self.owner.run(self.fatal(3, request=6)))
        await self.turn()
        self.client.answer(3)
        self.assertEqual(await third, GOOD)

    async def test_end_of_the_server_is_told_with_the_calls_that_were_at_work(self):
        self.client.listening = False
        tasks = [asyncio.create_task(self.owner.run(self.fatal(n, request=n))) for n in (1, 2)]
        await self.turn()
        for number in (1, 2):
            self.client.answer(number, BackendError("connection closed", step="answer"))
        outcomes = await asyncio.gather(*tasks)
        self.assertTrue(all(isinstance(outcome, Unknown) for outcome in outcomes))
        self.assertEqual(len({outcome.end for outcome in outcomes} - {0}), 1)
        self.assertEqual([self.suspects.count(Fingerprint(n, 1)) for n in (1, 2)], [1, 1])

    async def test_server_that_ended_gets_no_calls_until_another_start_is_listed(self):
        # Its port refuses connections, then another start answers there that the
        # list does not name yet.  Calls are refused without being sent.
        self.owner.assign("i-1", "s")
        self.client.listening = False
        task = asyncio.create_task(self.owner.run(self.fatal(1)))
        await self.turn()
        self.client.answer(1, BackendError("connection closed", step="answer"))
        await task
        self.assertEqual(self.owner.state, ServerState.DOWN)
        self.owner.hear_instance("i-2")
        self.owner.set_health(ServerState.WARM)
        self.assertIsInstance(await self.owner.run(self.fatal(2)), NotRun)
        self.owner.assign("i-2", "s")
        self.assertEqual(self.owner.state, ServerState.WARM)

    async def test_server_that_answers_again_under_its_name_gets_calls(self):
        self.owner.assign("i-1", "s")
        self.owner.hear_instance("i-2")
        self.assertEqual(self.owner.state, ServerState.DOWN)
        self.owner.hear_instance("i-1")
        self.assertEqual(self.owner.state, ServerState.WARM)

    async def test_lost_answer_of_a_server_that_lives_blames_nobody(self):
        task = asyncio.create_task(self.owner.run(self.fatal(1)))
        await self.turn()
        self.client.answer(1, BackendError("connection closed", step="answer"))
        self.assertEqual((await task).end, 0)
        self.assertEqual(self.suspects.count(Fingerprint(5, 1)), 0)

    async def test_other_slots_begin_anew(self):
        self.owner.resize(20)
        self.assertEqual(self.owner.load.limit, 22)
        self.owner.resize(10)
        self.assertEqual(self.owner.load.limit, 11)

    async def test_slots_are_rounded_down(self):
        # With 9 of 11 calls at once a server is slower by more than the ninth
        # slot brings; a share of 0.8 is to keep it from there.
        limits = []
        for slots in (1, 3, 5, 10, 11, 18, 300):
            owner = Owner(SimpleNamespace(slots=slots, slots_share=0.8), self.client)
            limits.append(owner.load.limit)
        self.assertEqual(limits, [1, 2, 4, 8, 8, 14, 240])

    def waiting_call(self, number, objective_seconds):
        call = Call(number, "n", "r", "s", "POST", "/", [], b"", deadline_after(5), False)
        call.queue_until = call.deadline
        call.last = True
        call.objective_at = deadline_after(objective_seconds)
        return asyncio.create_task(self.owner.run(call))

    async def learn_time(self, seconds):
        """Let calls of the route take `seconds`."""
        times = self.owner._times
        for _ in range(30):
            times._learn_route("", seconds)

    async def test_first_calls_do_not_shrink_the_limit(self):
        # An owner that has just started guesses 20 ms; its first calls take
        # twenty times as long.  They are usual, not slow, and all slots stay
        # in use: callers came back to half of a server after each restart.
        with mock.patch("caperstack.admission.limit.now", lambda: 1000.0 + self.client.clock):
            self.owner.resize(20)
            tasks = []
            for number in range(100, 140):
                self.client.clock += 0.2
                tasks.append(self.begin(number))
                await self.turn()
                if number >= 102:
                    self.client.answer(number - 2)
            self.assertEqual(self.owner.load.limit, 22)
        for task in tasks:
            task.cancel()

    async def test_kept_answers_are_bounded(self):
        # Answers are kept for entries that lost their connection; thousands
        # of them at 64 kB each would take a gigabyte.
        body = bytes(60 * 1024)
        for number in range(400):
            task = self.begin(number)
            await self.turn()
            self.client.answer(number, Answered(200, "OK", [], body))
            await task
        kept = [await self.owner.revoke("n", number, self.later) for number in range(400)]
        held = sum(len(o.body) for o in kept if isinstance(o, Answered))
        self.assertLessEqual(held, 16 * 1024 * 1024)
        self.assertGreater(held, 0)
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in kept))
