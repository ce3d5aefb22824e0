"""Tests of the scheduling of comparisons and of the incremental digest."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from caperstack.clock import use_source
from caperstack.settings.comparison import COMPARISON_TIMEOUT_SECONDS, Comparisons
from caperstack.settings.digest import RevisionDigest, bucket_of

PATHS = st.dictionaries(st.text("abc/", max_size=6), st.integers(0, 50), max_size=20)


class TestComparisons(unittest.TestCase):
    """`Comparisons`."""

    def test_only_one_peer_is_compared_at_a_time(self):
        # All hosts start together and the digests of fifty peers differ.  The first
        # comparison brings this node to their digest, so the others are skipped.
        comparisons = Comparisons()
        for number in range(50):
            comparisons.differs(f"h{number}", 7)
        first = comparisons.begin(own_digest=1)
        self.assertEqual(first, "h49")
        self.assertIsNone(comparisons.begin(own_digest=1))
        comparisons.done(first)
        self.assertIsNone(comparisons.begin(own_digest=7))

    def test_comparison_with_unresponsive_peer_times_out(self):
        # The peer is killed during the comparison and never replies.
        moment = [100.0]
        with use_source(lambda: moment[0]):
            comparisons = Comparisons()
            comparisons.differs("live", 8)
            comparisons.differs("dead", 7)
            self.assertEqual(comparisons.begin(own_digest=1), "dead")
            moment[0] += COMPARISON_TIMEOUT_SECONDS
            self.assertEqual(comparisons.begin(own_digest=1), "live")

    def test_disconnected_peer_is_not_compared(self):
        comparisons = Comparisons()
        comparisons.differs("gone", 7)
        comparisons.remove("gone")
        self.assertIsNone(comparisons.begin(own_digest=1))


class TestRevisionDigest(unittest.TestCase):
    """`RevisionDigest`."""

    @given(PATHS, st.randoms())
    def test_digest_is_independent_of_order_and_earlier_revisions(self, revisions, rng):
        direct, changed = RevisionDigest(), RevisionDigest()
        for path, revision in revisions.items():
            direct.change(path, -1, revision)
        paths = list(revisions)
        rng.shuffle(paths)
        for path in paths:
            changed.change(path, -1, 1000)
        for path in reversed(paths):
            changed.change(path, 1000, revisions[path])
        self.assertEqual((changed.value, changed.buckets), (direct.value, direct.buckets))

    def test_change_affects_only_its_bucket(self):
        digest = RevisionDigest()
        for number in range(200):
            digest.change(f"p{number}", -1, number)
        before, whole = digest.buckets, digest.value
        digest.change("p7", 7, 201)
        unequal = [
            n
            for n, pair in enumerate(zip(before, digest.buckets, strict=True))
            if len(set(pair)) > 1
        ]
        self.assertEqual(unequal, [bucket_of("p7")])
        self.assertNotEqual(digest.value, whole)


if __name__ == "__main__":
    unittest.main()
