"""Tests of the decay of an entry's estimate of a server."""

import unittest

from caperstack import clock
from caperstack.calls.model import Load
from caperstack.routing.estimates import SERVICE_SECONDS, Estimate


class TestEstimate(unittest.TestCase):
    """`Estimate` with a clock that the test advances."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))

    def test_own_failures_expire(self):
        # A call is lost at one server and is not retried.  Only further calls show that
        # the server has recovered, so without decay the entry avoids it while others
        # have capacity.  In ten runs out of ten, with 30 s of sequential calls after
        # one such loss, the other server got all of them.
        estimate = Estimate()
        estimate.record_result(True)
        self.assertGreater(estimate.failing, 0.0)
        self.time += SERVICE_SECONDS
        self.assertEqual(estimate.failing, 0.0)

    def test_server_without_a_free_start_is_expected_to_be_free_after_its_wait(self):
        """Guards against an idle server with a low rate limit that every entry takes for free."""
        estimate = Estimate()
        estimate.update_load(Load(limit=1, rate_limit=300, rate_wait_ms=3000))
        self.assertAlmostEqual(estimate.expected_wait(0.2), 3.0)
        self.assertGreater(estimate.expected_seconds(0.2), 3.0)
        self.time += 2.9
        self.assertAlmostEqual(estimate.expected_wait(0.2), 0.1)
        self.time += 0.2
        self.assertEqual(estimate.expected_wait(0.2), 0.0)

    def test_withdrawn_rate_limit_ends_the_wait(self):
        estimate = Estimate()
        estimate.update_load(Load(limit=1, rate_limit=300, rate_wait_ms=3000))
        estimate.update_load(Load(limit=8))
        self.assertEqual(estimate.expected_wait(0.2), 0.0)

    def test_wait_ends_with_the_server(self):
        estimate = Estimate()
        estimate.update_load(Load(limit=1, rate_limit=300, rate_wait_ms=3000))
        estimate.restart()
        self.assertEqual(estimate.expected_wait(0.2), 0.0)
