"""What an entry believes of a server as time passes."""

import unittest

from caperstack import clock
from caperstack.routing.estimates import SERVICE_SECONDS, Estimate


class TestEstimate(unittest.TestCase):
    """`Estimate` on a clock that the test moves."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))

    def test_own_failures_expire(self):
        # A caller's listing is lost at one server and may not be repeated.  The
        # server is well again; the entry leaves it alone for good as long as the
        # others have room, since nothing but calls to it would show that.
        # Evidence: 30 s of listings, one at a time, after one loss without a
        # repeat: the other server got all of them, in ten runs of ten.
        estimate = Estimate()
        estimate.record_result(True)
        self.assertGreater(estimate.failing, 0.0)
        self.time += SERVICE_SECONDS
        self.assertEqual(estimate.failing, 0.0)
