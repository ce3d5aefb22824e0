"""Tests of the order and the bound of the owner's queue."""

import unittest
from unittest import mock

from caperstack.admission.queue import AdmissionQueue
from caperstack.calls.model import Call


class TestAdmissionQueue(unittest.IsolatedAsyncioTestCase):
    """`AdmissionQueue` with a clock controlled by the test."""

    def setUp(self):
        self.clock = 100.0
        self.enterContext(mock.patch("caperstack.admission.queue.now", lambda: self.clock))
        self.queue = AdmissionQueue(50)

    def call(self, number, objective=0.6, criticality=1):
        call = Call(number, "n", "r", "s", "GET", "/", [], b"", self.clock + 5, True)
        call.criticality = criticality
        call.objective_at = self.clock + objective
        return call

    async def test_in_time_then_critical_then_urgent_calls_start_first(self):
        # Calls in time start before late ones, then the more critical, then the more urgent.
        for number, objective, criticality in ((1, 0.1, 2), (2, 0.9, 1), (3, 0.6, 1), (4, 0.9, 2)):
            self.queue.add(self.call(number, objective, criticality), service_seconds=0.2)
        started = [self.queue.admit_next().id for _ in range(4)]
        self.assertEqual(started, [4, 3, 2, 1])

    async def test_late_short_call_is_not_ranked_behind_longer_ones(self):
        # A booking runs elsewhere and waits for a nested check of 55 ms that is already late.
        # Behind work of 550 ms the check would be refused, and the booking would fail with it.
        self.queue.short_seconds = 0.13
        self.queue.add(self.call(1, 1.5), service_seconds=0.55)
        self.queue.add(self.call(2, 0.04), service_seconds=0.055)
        self.assertEqual(self.queue.ahead_of(self.call(3, 0.05), service_seconds=0.055), 1)
        self.assertEqual(self.queue.admit_next().id, 2)

    async def test_deferred_calls_do_not_block_others(self):
        self.queue.add(self.call(1))
        self.queue.add(self.call(2))
        self.assertEqual(self.queue.admit_next(lambda call: call.id == 1).id, 2)
        self.assertIsNone(self.queue.admit_next(lambda call: call.id == 1))

    async def test_full_queue_displaces_a_less_critical_call(self):
        queue = AdmissionQueue(1)
        low = queue.add(self.call(1, criticality=0))
        self.assertFalse(queue.evict_for(self.call(2, criticality=0)))
        self.assertTrue(queue.evict_for(self.call(3, criticality=2)))
        self.assertIn("displaced", low.admitted.result())


class TestNestedCalls(unittest.IsolatedAsyncioTestCase):
    """`AdmissionQueue` with calls that runs wait for, and a clock controlled by the test."""

    def setUp(self):
        self.clock = 100.0
        self.enterContext(mock.patch("caperstack.admission.queue.now", lambda: self.clock))
        self.queue = AdmissionQueue(50)

    def call(self, number, depth, objective=0.6, criticality=1):
        call = Call(number, "n", "r", "s", "GET", "/", [], b"", self.clock + 5, True)
        call.depth = depth
        call.criticality = criticality
        call.objective_at = self.clock + objective
        return call

    def started(self):
        """Return the numbers of the waiting calls in the order of their starts."""
        return [self.queue.admit_next().id for _ in range(len(self.queue))]

    async def test_nested_call_starts_before_calls_that_have_not_begun(self):
        self.queue.add(self.call(1, 0, 0.3), service_seconds=0.1)
        self.queue.add(self.call(2, 1, 0.9), service_seconds=0.1)
        self.queue.add(self.call(3, 0, 0.2), service_seconds=0.1)
        self.assertEqual(self.started(), [2, 3, 1])

    async def test_nested_calls_start_by_due_time_whatever_their_depth(self):
        for number, depth, objective in ((1, 1, 0.9), (2, 3, 0.6), (3, 2, 0.3)):
            self.queue.add(self.call(number, depth, objective), service_seconds=0.1)
        self.assertEqual(self.started(), [3, 2, 1])

    async def test_more_critical_call_starts_before_a_nested_one(self):
        self.queue.add(self.call(1, 1, criticality=1), service_seconds=0.1)
        self.queue.add(self.call(2, 0, criticality=2), service_seconds=0.1)
        self.assertEqual(self.started(), [2, 1])

    async def test_late_nested_call_starts_after_calls_in_time(self):
        self.queue.add(self.call(1, 1, 0.1, criticality=2), service_seconds=0.2)
        self.queue.add(self.call(2, 0, 0.6), service_seconds=0.2)
        self.assertEqual(self.started(), [2, 1])

    async def test_wait_of_a_nested_call_counts_only_what_is_ahead_of_it(self):
        self.queue.add(self.call(1, 0, 0.2), service_seconds=0.1)
        self.queue.add(self.call(2, 1, 0.2), service_seconds=0.1)
        self.queue.add(self.call(3, 0, 0.6, criticality=2), service_seconds=0.1)
        self.assertEqual(self.queue.ahead_of(self.call(4, 1, 0.9), service_seconds=0.1), 2)
        self.assertEqual(self.queue.ahead_of(self.call(5, 0, 0.9), service_seconds=0.1), 3)

    async def test_full_queue_displaces_a_call_that_has_not_begun(self):
        queue = AdmissionQueue(1)
        waiting = queue.add(self.call(1, 0))
        self.assertTrue(queue.evict_for(self.call(2, 1)))
        self.assertIn("displaced", waiting.admitted.result())

    async def test_full_queue_displaces_no_nested_call_of_the_same_urgency(self):
        queue = AdmissionQueue(1)
        queue.add(self.call(1, 1, 0.9))
        self.assertFalse(queue.evict_for(self.call(2, 1, 0.3)))
        self.assertFalse(queue.evict_for(self.call(3, 0, 0.3)))
