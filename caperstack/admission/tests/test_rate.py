"""Tests of the rate limit that a backend server states."""

import unittest

from caperstack.admission.rate import RateLimit
from caperstack.calls.dialect import ServerReport


def stating(rate, probed=False):
    return ServerReport(states_rate_limit=True, rate_limit=rate, probed=probed)


def silent(probed=False):
    return ServerReport(probed=probed)


class TestStatements(unittest.TestCase):
    """`RateLimit.update`."""

    def setUp(self):
        self.limit = RateLimit()

    def test_rate_holds_until_an_answer_without_it(self):
        self.assertTrue(self.limit.update(stating(5.0)))
        self.assertFalse(self.limit.update(stating(5.0)))
        self.assertEqual(self.limit.per_second, 5.0)
        self.assertTrue(self.limit.update(silent()))
        self.assertIsNone(self.limit.per_second)

    def test_health_path_that_never_states_the_rate_does_not_withdraw_it(self):
        """Guards against a limit that each health check lifts for a moment."""
        self.limit.update(stating(5.0))
        self.assertFalse(self.limit.update(silent(probed=True)))
        self.assertEqual(self.limit.per_second, 5.0)

    def test_health_path_withdraws_a_rate_that_it_has_stated(self):
        self.limit.update(stating(0.2, probed=True))
        self.assertTrue(self.limit.update(silent(probed=True)))
        self.assertIsNone(self.limit.per_second)

    def test_unreadable_rate_leaves_the_former_one_in_force(self):
        self.limit.update(stating(5.0))
        self.assertFalse(self.limit.update(stating(None)))
        self.assertEqual(self.limit.per_second, 5.0)

    def test_another_run_of_the_server_has_no_limit(self):
        self.limit.update(stating(5.0, probed=True))
        self.limit.restart()
        self.assertIsNone(self.limit.per_second)
        self.limit.update(stating(4.0))
        self.assertFalse(self.limit.update(silent(probed=True)))


if __name__ == "__main__":
    unittest.main()
