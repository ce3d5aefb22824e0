"""Tests of how long a call may queue at one owner before another server is tried."""

import unittest
from types import SimpleNamespace

from caperstack.calls.model import Load
from caperstack.routing.candidates import QUEUE_WAIT_FACTOR, patience_seconds
from caperstack.routing.estimates import Estimate

BASELINE_SECONDS = 0.08


class TestPatience(unittest.TestCase):
    """`patience_seconds`."""

    def patience(self, limit):
        estimate = Estimate()
        estimate.update_load(Load(limit=limit))
        return patience_seconds(SimpleNamespace(estimate=estimate), BASELINE_SECONDS)

    def test_call_may_queue_until_one_of_few_running_calls_ends(self):
        """Guards against calls that no owner of few slots ever queues."""
        for limit in (1, 2, 3):
            self.assertAlmostEqual(self.patience(limit), BASELINE_SECONDS / limit)

    def test_servers_of_four_and_more_slots_are_as_before(self):
        for limit in (4, 8, 14):
            self.assertEqual(self.patience(limit), QUEUE_WAIT_FACTOR * BASELINE_SECONDS)
