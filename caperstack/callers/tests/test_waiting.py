"""Tests of the distinction between first tries and retries of callers."""

import random
import unittest

from caperstack.callers.waiting import WaitEstimator


class TestWaitEstimator(unittest.TestCase):
    """Tests of `WaitEstimator.elapsed_wait`."""

    def setUp(self):
        self.estimator = WaitEstimator()
        self.rng = random.Random(1)

    def first_try(self):
        return self.estimator.elapsed_wait("r", 4.0 - self.rng.uniform(0, 0.01))

    def test_first_tries_have_no_elapsed_wait(self):
        self.assertEqual({self.first_try() for _ in range(500)}, {0.0})

    def test_elapsed_wait_of_a_retry_counts_from_its_first_try(self):
        for _ in range(50):
            self.first_try()
        # First tries have 3.995 s on average.
        self.assertAlmostEqual(self.estimator.elapsed_wait("r", 2.8), 1.195, delta=0.002)

    def test_spread_of_first_tries_is_not_taken_for_retries(self):
        # First tries have 85 to 100 % of the longest timeout.  They must not be taken
        # for retries, whether the timeout is 0.2 s or 10 s.
        for longest in (0.2, 0.4, 1.5, 4.0, 10.0):
            times_left = [longest * self.rng.uniform(0.85, 1.0) for _ in range(2000)]
            waits = [self.estimator.elapsed_wait(str(longest), seconds) for seconds in times_left]
            self.assertLess(sum(wait > 0 for wait in waits), 20, longest)

    def test_retry_with_a_short_deadline_is_recognised(self):
        # First tries have 0.34 to 0.4 s left.  A retry after a third of that has too
        # little of its objective left to meet it.
        for _ in range(200):
            self.estimator.elapsed_wait("r", self.rng.uniform(0.34, 0.4))
        self.assertAlmostEqual(self.estimator.elapsed_wait("r", 0.25), 0.12, delta=0.02)

    def test_few_callers_with_longer_deadlines_make_no_retries_of_others(self):
        # One caller in 25 has twice the timeout of the others.
        for number in range(600):
            if number % 25 == 0:
                self.estimator.elapsed_wait("r", 8.0)
            else:
                self.assertEqual(self.first_try(), 0.0)

    def test_retries_are_recognised_when_they_outnumber_first_tries(self):
        # After an outage two of three requests are retries.
        for _ in range(100):
            self.first_try()
        for _ in range(300):
            self.first_try()
            for _ in range(2):
                self.estimator.elapsed_wait("r", self.rng.uniform(0.5, 3.5))
        self.assertAlmostEqual(self.estimator.elapsed_wait("r", 2.0), 2.0, delta=0.06)
