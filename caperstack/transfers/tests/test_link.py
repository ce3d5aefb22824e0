"""Tests of what counts as a large body on a link."""

import unittest

from caperstack.transfers.link import BODY_SHARE, LARGE_SECONDS, LinkBudget


class TestLinkBudget(unittest.TestCase):
    """`LinkBudget`."""

    def test_without_a_known_link_no_body_is_large(self):
        budget = LinkBudget()
        self.assertEqual((budget.seconds(10**9), budget.is_large(10**9)), (0.0, False))

    def test_large_bodies_are_those_that_hold_up_others(self):
        budget = LinkBudget(800_000.0)
        limit = LARGE_SECONDS * budget.bytes_per_second
        self.assertFalse(budget.is_large(int(limit)))
        self.assertTrue(budget.is_large(int(limit) + 1))

    def test_slower_of_two_links_counts(self):
        size = 50_000
        for own, other, slower in ((800_000.0, 1e6, 680_000.0), (8e6, 1e5, 1e5), (0.0, 1e5, 1e5)):
            budget = LinkBudget(own)
            self.assertAlmostEqual(budget.seconds(size, other), size / slower)
            self.assertTrue(budget.is_large(size, other))

    def test_small_messages_keep_a_share_of_the_link(self):
        self.assertEqual(LinkBudget(1e6).bytes_per_second, BODY_SHARE * 1e6)
        self.assertLess(BODY_SHARE, 1.0)


if __name__ == "__main__":
    unittest.main()
