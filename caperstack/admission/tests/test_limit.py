"""Tests of the service times of a backend server and of their initial estimates."""

import unittest
from unittest import mock

from caperstack.admission.limit import ServiceTimes
from caperstack.calls.model import Call


class TestServiceTimes(unittest.TestCase):
    """`ServiceTimes` with a clock controlled by the test."""

    def setUp(self):
        self.clock = 100.0
        for module in ("admission.limit", "calls.model", "averages"):
            self.enterContext(mock.patch(f"caperstack.{module}.now", lambda: self.clock))
        self.times = ServiceTimes()

    def call(self, objective, route="listing"):
        call = Call(1, "n", "r", "s", "GET", "/", [], b"", self.clock + 5, True)
        call.route = route
        call.objective_at = self.clock + objective
        return call

    def answer(self, seconds, route="listing"):
        self.times.begin("key", route=route)
        self.clock += seconds
        self.times.end("key")

    def test_objective_gives_the_estimate_until_the_first_answer(self):
        self.times.seed(self.call(0.6))
        self.assertFalse(self.times.known)
        self.assertAlmostEqual(self.times.recent, 0.222)
        self.assertAlmostEqual(self.times.service_seconds(self.call(1.5, "report")), 0.555)
        self.answer(0.3)
        self.assertTrue(self.times.known)
        self.assertAlmostEqual(self.times.service_seconds(self.call(0.6)), 0.3)
        self.assertAlmostEqual(self.times.recent, 0.3)

    def test_answers_take_precedence_over_estimates(self):
        self.answer(0.05)
        self.times.seed(self.call(1.5))
        self.assertAlmostEqual(self.times.baseline, 0.05)

    def test_few_long_calls_do_not_make_the_normal_ones_short(self):
        # Listings of 220 ms fill the slots of a server, and one call in twenty takes two
        # seconds.  If listings counted as short beside these, they would not be ranked by
        # lateness under overload, and all of them would be late.
        for number in range(400):
            self.answer(2.0 if number % 20 == 0 else 0.22)
        self.assertGreater(0.22, 0.28 * self.times.median_slot_seconds)

    def test_short_calls_count_as_short_even_as_the_majority(self):
        for number in range(400):
            self.answer(0.29 if number % 8 < 3 else 0.055, "book" if number % 8 < 3 else "check")
        self.assertLess(0.055, 0.28 * self.times.median_slot_seconds)

    def test_deadline_alone_gives_no_estimate(self):
        call = self.call(5.0)
        self.times.seed(call)
        self.assertAlmostEqual(self.times.service_seconds(call), 0.02)

    def test_passed_objective_gives_no_estimate(self):
        self.answer(0.05, "check")
        self.assertAlmostEqual(self.times.service_seconds(self.call(-1.0)), 0.05)


if __name__ == "__main__":
    unittest.main()
