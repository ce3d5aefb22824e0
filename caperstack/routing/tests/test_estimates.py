"""Tests of the decay of an entry's estimate of a server."""

import unittest

from caperstack import clock
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
