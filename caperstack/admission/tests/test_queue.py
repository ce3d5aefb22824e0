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
