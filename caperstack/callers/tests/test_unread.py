"""Tests of the decision which callers that do not read their answers are disconnected."""

import random
import unittest

from caperstack import clock
from caperstack.callers.unread import UnreadAnswers
from caperstack.config.node import Limits

#: Bytes that unread answers may hold, half of them if callers are stalled, and the size of an
#: answer.
MAX_BYTES = 50 * 1024 * 1024
STALLED_BYTES = MAX_BYTES // 2
ANSWER_BYTES = 100 * 1024

UNREAD_SECONDS = 30.0


class TestUnreadAnswers(unittest.TestCase):
    """`UnreadAnswers` with a clock controlled by the test."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        limits = Limits(bodies_bytes=MAX_BYTES, unread_seconds=UNREAD_SECONDS)
        self.answers = UnreadAnswers(limits)

    def observe(self, caller, unread=ANSWER_BYTES):
        self.answers.observe(caller, ANSWER_BYTES, unread)

    def sweep(self, seconds, unread):
        """Observe all callers once a second, with ``unread(caller)`` bytes; return the overdue."""
        closed = []
        for _ in range(seconds):
            self.time += 1.0
            for caller in self.answers:
                self.observe(caller, unread(caller))
            for caller in self.answers.overdue():
                self.answers.remove(caller)
                closed.append(caller)
        return closed

    def test_caller_that_reads_nothing_is_overdue_after_the_limit(self):
        self.observe("a")
        self.assertEqual(self.sweep(29, lambda _: ANSWER_BYTES), [])
        self.assertEqual(self.sweep(1, lambda _: ANSWER_BYTES), ["a"])
        self.assertEqual((len(self.answers), self.answers.held_bytes), (0, 0))

    def test_slow_caller_is_never_overdue(self):
        # Guards against cutting answers that are read: 100 bytes every 29 seconds.
        self.observe("a")
        closed = self.sweep(3600, lambda _: ANSWER_BYTES - int((self.time - 1000) // 29) * 100)
        self.assertEqual(closed, [])

    def test_caller_that_stops_in_the_middle_is_overdue_after_its_last_progress(self):
        self.observe("a")
        self.sweep(20, lambda _: ANSWER_BYTES - int(self.time))
        left = ANSWER_BYTES - int(self.time)
        self.assertEqual(self.sweep(29, lambda _: left), [])
        self.assertEqual(self.sweep(1, lambda _: left), ["a"])

    def test_progress_before_a_pause_of_the_node_is_not_lost(self):
        # Guards against cutting answers after a pause: the sweep runs late, but the caller
        # has read in the meantime.
        self.observe("a")
        self.time += 100.0
        self.assertEqual(self.sweep(1, lambda _: 5), [])

    def give_way(self):
        """Remove the callers that give way, and return them."""
        closed = []
        for callers in (self.answers.excess(), self.answers.stalled_excess()):
            for caller in callers:
                self.answers.remove(caller)
                closed.append(caller)
        return closed

    def test_longest_without_progress_gives_way_to_memory(self):
        # Hundreds of callers that read nothing, among others that read slowly.
        rng = random.Random(1)
        names = [f"slow-{n}" for n in range(20)] + [f"stuck-{n}" for n in range(1000)]
        rng.shuffle(names)
        closed = []
        for name in names:
            self.time += 0.02
            self.observe(name)
            for caller in self.answers:
                if caller.startswith("slow"):
                    self.observe(caller, rng.randrange(1, ANSWER_BYTES))
            closed += self.give_way()
            # Hundred callers come within the time after which one is stalled.
            self.assertLessEqual(self.answers.held_bytes, STALLED_BYTES + 100 * ANSWER_BYTES)
        stuck = [name for name in names if name.startswith("stuck")]
        self.assertGreater(len(closed), 500)
        self.assertEqual(closed, stuck[: len(closed)])

    def test_burst_of_answers_breaks_none_off(self):
        # Guards against cutting callers that read, because many large answers are ready at
        # the same moment.
        for number in range(MAX_BYTES // ANSWER_BYTES):
            self.observe(number)
            self.assertEqual(self.give_way(), [])
        self.time += 1.0
        self.assertEqual(self.give_way(), [])

    def test_memory_is_bounded_before_any_caller_is_stalled(self):
        for number in range(MAX_BYTES // ANSWER_BYTES + 3):
            self.observe(number)
        self.assertEqual(self.give_way(), [0, 1, 2])
        self.assertLessEqual(self.answers.held_bytes, MAX_BYTES)

    def test_callers_that_read_during_a_pause_of_the_node_do_not_give_way(self):
        # Guards against taking all callers for stalled after a pause, before they have been
        # observed again.
        for number in range(STALLED_BYTES // ANSWER_BYTES + 3):
            self.observe(number)
        self.time += 10.0
        self.assertEqual(list(self.answers.excess()), [])
        for caller in list(self.answers):
            self.observe(caller, ANSWER_BYTES - 1)
        self.assertEqual(self.give_way(), [])

    def test_no_more_stalled_callers_give_way_than_needed(self):
        for number in range(STALLED_BYTES // ANSWER_BYTES + 3):
            self.observe(number)
        self.time += 10.0
        self.assertEqual(self.give_way(), [0, 1, 2])

    def test_single_answer_beyond_the_limit_is_kept(self):
        # Guards against an answer that could never be delivered.
        self.answers.observe("a", MAX_BYTES + 1, MAX_BYTES + 1)
        self.assertEqual(self.give_way(), [])
        self.time += 10.0
        self.assertEqual(self.give_way(), [])

    def test_removing_twice_releases_once(self):
        self.observe("a")
        self.observe("b")
        self.assertEqual(self.answers.remove("a").unread_bytes, ANSWER_BYTES)
        self.assertIsNone(self.answers.remove("a"))
        self.assertEqual(self.answers.held_bytes, ANSWER_BYTES)


if __name__ == "__main__":
    unittest.main()
