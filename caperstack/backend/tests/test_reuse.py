"""Tests of the reuse of idle connections after lost requests."""

import unittest
from unittest import mock

from caperstack.backend.reuse import ReusePolicy


class TestReusePolicy(unittest.TestCase):
    """Tests of `ReusePolicy` with a simulated clock."""

    def setUp(self):
        self.clock = 100.0
        self.enterContext(mock.patch("caperstack.backend.reuse.now", lambda: self.clock))
        later = "caperstack.backend.reuse.deadline_after"
        self.enterContext(mock.patch(later, lambda seconds: self.clock + seconds))
        self.policy = ReusePolicy()

    def allows(self, idle_seconds, at_most_once):
        return self.policy.allows(self.clock - idle_seconds, at_most_once)

    def test_non_idempotent_request_needs_a_recently_used_connection(self):
        self.assertTrue(self.allows(0.9, at_most_once=True))
        self.assertFalse(self.allows(1.1, at_most_once=True))
        self.assertTrue(self.allows(4.0, at_most_once=False))

    def test_loss_after_idling_shortens_reuse(self):
        self.policy.record_loss(0.4)
        self.assertTrue(self.allows(0.19, at_most_once=True))
        self.assertFalse(self.allows(0.21, at_most_once=True))
        self.assertFalse(self.allows(0.21, at_most_once=False))
        self.policy.record_loss(3.0)
        self.assertFalse(self.allows(0.21, at_most_once=True))

    def test_loss_is_forgotten_after_a_while(self):
        self.policy.record_loss(0.4)
        self.clock += 21
        self.assertTrue(self.allows(0.9, at_most_once=True))
        self.assertTrue(self.allows(4.0, at_most_once=False))

    def test_loss_of_a_busy_connection_keeps_the_minimum(self):
        # The loss of a connection that was not idle shows a crash, not an idle
        # timeout.  Opening a connection for each request would be of no use.
        self.policy.record_loss(0.0)
        self.assertTrue(self.allows(0.04, at_most_once=True))


if __name__ == "__main__":
    unittest.main()
