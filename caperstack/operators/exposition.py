"""Export of a node's metrics in the Prometheus text format, with aioprometheus."""

import functools
from bisect import bisect_right

from aioprometheus import Counter, Gauge, Registry, render

from caperstack.operators.metrics import empty_histogram

__all__ = ["exposition"]

#: Upper bounds of the exported histogram buckets, in seconds.
BUCKET_BOUNDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 120.0)


def exposition(metrics, accept):
    """Return ``(body, headers)`` of a response with all values of `metrics`.

    Parameters
    ----------
    metrics : caperstack.operators.metrics.Metrics
        The metrics of the node.
    accept : list of str
        The values of the request's ``Accept`` headers.
    """
    registry = Registry()
    for name, tally in metrics.counters():
        title = name.replace("_", " ")
        metric = Counter(f"caperstack_{name}_total", title, metrics.labels, registry)
        for key, number in tally.items():
            metric.set(dict(key), number)
    for name, help_text, value in metrics.gauges():
        Gauge(f"caperstack_{name}", help_text, metrics.labels, registry).set({}, value)
    for name, histograms in metrics.histograms():
        _add_histograms(name, histograms, metrics.labels, registry)
    return render(registry, accept)


def _add_histograms(name, histograms, labels, registry):
    title = name.replace("_", " ")
    buckets = Gauge(f"caperstack_{name}_bucket", title, labels, registry)
    counts = Gauge(f"caperstack_{name}_count", title, labels, registry)
    for label, histogram in histograms.items():
        for bound, below in zip(BUCKET_BOUNDS, _cumulative_counts(histogram), strict=True):
            buckets.set({"kind": label, "le": str(bound)}, below)
        counts.set({"kind": label}, histogram.get_total_count())


def _cumulative_counts(histogram):
    """Yield for each of `BUCKET_BOUNDS` how many recorded values are at most that bound.

    Notes
    -----
    This takes a single pass over the histogram.  A pass for each bound takes most of
    a second per scrape on a small host and blocks the event loop for that time.
    """
    below = 0
    start = 0
    for end in _slots_by_bound():
        below += sum(map(histogram.get_count_at_index, range(start, end)))
        start = end
        yield below


@functools.cache
def _slots_by_bound():
    """Return for each of `BUCKET_BOUNDS` how many histogram slots lie at or below it."""
    layout = empty_histogram()
    tops = [
        layout.get_highest_equivalent_value(layout.get_value_from_index(index))
        for index in range(layout.counts_len)
    ]
    return [bisect_right(tops, int(bound * 1e6)) for bound in BUCKET_BOUNDS]
