"""Counters as operators get them."""

import unittest

from caperstack.operators.metrics import REASONS_MOST, Metrics


class TestMetrics(unittest.TestCase):
    """`Metrics`."""

    def test_rendered_again_and_again(self):
        # The second scrape of a node gave an error page: aioprometheus puts
        # each metric into one registry of the process unless told otherwise.
        metrics = Metrics("h1")
        metrics.refused("queue is full")
        for _ in range(3):
            body, _ = metrics.render(["text/plain"])
        self.assertIn(
            'caperstack_refusals_total{host="h1",reason="queue is full"} 1', body.decode()
        )

    def test_label_values_are_bounded(self):
        metrics = Metrics("h1")
        for number in range(10 * REASONS_MOST):
            metrics.refused(f"reason {number}")
        body, _ = metrics.render(["text/plain"])
        self.assertLessEqual(body.decode().count("refusals_total{"), REASONS_MOST + 1)
        self.assertEqual(metrics.value("refusals"), 10 * REASONS_MOST)
