"""Tests of the metrics as exported to operators."""

import random
import re
import sys
import unittest
from collections import Counter

from caperstack.operators.exposition import BUCKET_BOUNDS
from caperstack.operators.metrics import MAX_LABEL_SETS, Metrics, empty_histogram


class TestMetrics(unittest.TestCase):
    """`Metrics`."""

    def test_metrics_can_be_rendered_repeatedly(self):
        # By default aioprometheus adds each metric to a registry that the process
        # shares, so that a second scrape fails with an error page.
        metrics = Metrics("h1")
        metrics.refused("queue is full")
        for _ in range(3):
            body, _ = metrics.render(["text/plain"])
        self.assertIn(
            'caperstack_refusals_total{host="h1",reason="queue is full"} 1', body.decode()
        )

    def test_label_values_are_bounded(self):
        metrics = Metrics("h1")
        for number in range(10 * MAX_LABEL_SETS):
            metrics.refused(f"reason {number}")
        body, _ = metrics.render(["text/plain"])
        self.assertLessEqual(body.decode().count("refusals_total{"), MAX_LABEL_SETS + 1)
        self.assertEqual(metrics.value("refusals"), 10 * MAX_LABEL_SETS)

    def test_latencies_are_counted_by_bucket(self):
        metrics = Metrics("h1")
        for milliseconds in (1, 30, 30, 450, 9000):
            metrics.time("call_seconds", milliseconds / 1000, "bookings")
        text = metrics.render(["text/plain"])[0].decode()
        for bound, count in (("0.02", 1), ("0.05", 3), ("0.4", 3), ("0.6", 4), ("10.0", 5)):
            self.assertIn(
                f'call_seconds_bucket{{host="h1",kind="bookings",le="{bound}"}} {count}\n', text
            )

    def test_buckets_agree_with_the_recorded_values(self):
        metrics = Metrics("h1")
        rng = random.Random(1)
        values = [rng.lognormvariate(-1.2, 1.5) for _ in range(2000)]
        for seconds in values:
            metrics.time("call_seconds", seconds, "bookings")
        text = metrics.render(["text/plain"])[0].decode()
        for bound in BUCKET_BOUNDS:
            shown = re.search(rf'le="{re.escape(str(bound))}"}} (\d+)', text)
            # Histograms keep two significant digits, so that values within one percent
            # of a bound may be counted on either side of it.
            least = sum(value <= bound * 0.99 for value in values)
            most = sum(value <= bound * 1.01 for value in values)
            self.assertTrue(least <= int(shown[1]) <= most, (bound, shown[1], least, most))

    def test_rendering_makes_one_pass_over_a_histogram(self):
        """One pass per bound blocks the node, and its callers, for most of a second."""
        metrics = Metrics("h1")
        for milliseconds in range(1, 2000):
            metrics.time("call_seconds", milliseconds / 1000, "bookings")
        metrics.render(["text/plain"])
        steps = Counter()
        sys.setprofile(lambda _frame, event, _argument: steps.update((event,)))
        try:
            metrics.render(["text/plain"])
        finally:
            sys.setprofile(None)
        self.assertLess(steps["call"] + steps["c_call"], 3 * empty_histogram().counts_len)

    def test_histograms_are_bounded(self):
        metrics = Metrics("h1")
        for number in range(100):
            metrics.time("call_seconds", 0.1, f"service {number}")
        text = metrics.render(["text/plain"])[0].decode()
        self.assertEqual(text.count("call_seconds_count{"), 13)
        self.assertIn('kind="other"} 88', text)
