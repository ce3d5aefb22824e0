"""Callers who come back are told from those who ask for the first time."""

import random
import unittest

from caperstack.callers.patience import Patience


class TestPatience(unittest.TestCase):
    """`Patience.waited`."""

    def setUp(self):
        self.patience = Patience()
        self.rng = random.Random(1)

    def first_try(self):
        return self.patience.waited("r", 4.0 - self.rng.uniform(0, 0.01))

    def test_first_tries_have_not_waited(self):
        self.assertEqual({self.first_try() for _ in range(500)}, {0.0})

    def test_return_shows_how_long_ago_the_first_try_was(self):
        for _ in range(50):
            self.first_try()
        # First tries have 3.995 s on average.
        self.assertAlmostEqual(self.patience.waited("r", 2.8), 1.195, delta=0.002)

    def test_callers_of_one_kind_differ_in_patience(self):
        # First tries have 85 to 100 % of the longest time.  None of them has
        # waited, whether they wait for half a second or for ten.
        for longest in (0.2, 0.4, 1.5, 4.0, 10.0):
            told = [longest * self.rng.uniform(0.85, 1.0) for _ in range(2000)]
            waited = [self.patience.waited(str(longest), seconds) for seconds in told]
            self.assertLess(sum(w > 0 for w in waited), 20, longest)

    def test_return_of_an_impatient_caller_shows(self):
        # A duty has 0.34 to 0.4 s; one who comes back after a third of that has
        # too little of its objective left to be in time.
        for _ in range(200):
            self.patience.waited("r", self.rng.uniform(0.34, 0.4))
        self.assertAlmostEqual(self.patience.waited("r", 0.25), 0.12, delta=0.02)

    def test_a_few_who_wait_longer_make_nobody_look_old(self):
        # One caller in twenty-five waits twice as long as the others.
        for number in range(600):
            if number % 25 == 0:
                self.patience.waited("r", 8.0)
            else:
                self.assertEqual(self.first_try(), 0.0)

    def test_many_returns_are_still_returns(self):
        # After an outage two of three requests are returns.
        for _ in range(100):
            self.first_try()
        for _ in range(300):
            self.first_try()
            for _ in range(2):
                self.patience.waited("r", self.rng.uniform(0.5, 3.5))
        self.assertAlmostEqual(self.patience.waited("r", 2.0), 2.0, delta=0.06)
