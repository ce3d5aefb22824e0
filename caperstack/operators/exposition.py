"""The figures of a node in the text format of Prometheus, by aioprometheus."""

import functools
from bisect import bisect_right

from aioprometheus import Counter, Gauge, Registry, render

from caperstack.operators.metrics import empty_histogram

__all__ = ["exposition"]

#: The bounds in seconds under which a scrape tells how many values lie.
BUCKET_BOUNDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 120.0)


def exposition(metrics, accept):
    """Return ``(body, headers)`` with all figures of `metrics`.

    Parameters
    ----------
    metrics : caperstack.operators.metrics.Metrics
        The figures.
    accept : list of str
        The formats that the reader takes.
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
    """Yield how many recorded values are at most each of `BUCKET_BOUNDS`, in one pass.

    Notes
    -----
    Failure: a pass for each bound takes most of a second on a small host, in which
    the node serves nobody, each time that the figures are fetched.
    """
    below = 0
    place = 0
    for end in _slots_by_bound():
        below += sum(map(histogram.get_count_at_index, range(place, end)))
        place = end
        yield below


@functools.cache
def _slots_by_bound():
    """Return for each of `BUCKET_BOUNDS` how many slots of a histogram lie at or under it."""
    layout = empty_histogram()
    tops = [
        layout.get_highest_equivalent_value(layout.get_value_from_index(place))
        for place in range(layout.counts_len)
    ]
    return [bisect_right(tops, int(bound * 1e6)) for bound in BUCKET_BOUNDS]
