"""Counters, gauges and histograms of a node, converted to Prometheus metrics on demand."""

import importlib
from collections import Counter as Tally

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "empty_histogram"]

#: Maximum number of label sets of a counter; further ones are counted with the label
#: value "other", so that texts from outside (such as refusal reasons) cannot create
#: an unbounded number of time series.
MAX_LABEL_SETS = 40

#: Histograms record latencies from 0.1 ms to two minutes with two significant digits.
#: A histogram then takes 15 kB, and recording a value takes 1.3 microseconds.
MIN_MICROSECONDS = 100
MAX_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 2

#: Maximum number of label values of a histogram, apart from "other", which further label
#: values share.
MAX_HISTOGRAMS = 12


def empty_histogram():
    """Return an empty histogram of latencies in microseconds; all have the same layout."""
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


class Metrics:
    """The counters, gauges and latency histograms of one node.

    Parameters
    ----------
    host : str
        Host name of the node, a label of each metric.

    Attributes
    ----------
    peer_bytes_in, peer_bytes_out : int
        Bytes read from and written to peers, calls included.

    Notes
    -----
    aioprometheus hashes the labels at each increment, which takes some microseconds,
    and there are several increments per call.  `collections.Counter` takes a tenth of
    that time; its values are converted to aioprometheus metrics at a scrape.
    """

    def __init__(self, host):
        self._labels = {"host": host}
        self._counters = {}
        self._gauges = []
        self._histograms = {}
        self.peer_bytes_in = 0
        self.peer_bytes_out = 0
        self.gauge("peer_bytes_in", "bytes read from peers", lambda: self.peer_bytes_in)
        self.gauge("peer_bytes_out", "bytes written to peers", lambda: self.peer_bytes_out)

    async def start(self, kernel):
        """Nothing to start."""

    async def stop(self):
        """Nothing to stop."""

    def count(self, name, amount=1, **labels):
        """Add `amount` to counter `name`."""
        tally = self._counters.setdefault(name, Tally())
        key = tuple(sorted(labels.items()))
        if key not in tally and len(tally) >= MAX_LABEL_SETS:
            key = tuple((label, "other") for label, _ in key)
        tally[key] += amount

    def sent_to_peer(self, kind, size):
        """Count a message of `size` bytes that was written to a peer, by its kind."""
        self.peer_bytes_out += size
        self.count("peer_messages_out", kind=kind)
        self.count("peer_bytes_out_by_kind", size, kind=kind)

    def value(self, name, **labels):
        """Return the sum of counter `name` over all label sets that include `labels`."""
        wanted = set(labels.items())
        tally = self._counters.get(name, {})
        return sum(number for key, number in tally.items() if wanted <= set(key))

    def time(self, name, seconds, label):
        """Record a latency in seconds in histogram `name`, with the label ``kind=label``."""
        by_label = self._histograms.setdefault(name, {})
        if label not in by_label and len(by_label) >= MAX_HISTOGRAMS:
            label = "other"
        histogram = by_label.get(label)
        if histogram is None:
            histogram = by_label[label] = empty_histogram()
        microseconds = int(seconds * 1e6)
        histogram.record_value(min(max(microseconds, MIN_MICROSECONDS), MAX_MICROSECONDS))

    def refused(self, reason):
        """Count a refusal by the owner."""
        self.count("refusals", reason=reason)

    def backend_failed(self, reason):
        """Count a call without a complete response of the backend server."""
        self.count("backend_failures", reason=reason[:60])

    def gauge(self, name, help_text, read):
        """Register gauge `name`, whose value is ``read()`` at the time of a scrape."""
        self._gauges.append((name, help_text, read))

    def render(self, accept):
        """Return ``(body, headers)`` of all metrics in a format that `accept` allows."""
        # Imported at the first scrape: most nodes are never scraped, and the import
        # costs 0.2 MB and loads 15 modules.
        module = importlib.import_module("caperstack.operators.exposition")
        return module.exposition(self, accept)

    @property
    def labels(self):
        """The labels of every metric."""
        return self._labels

    def counters(self):
        """Yield ``(name, {labels: count})`` of each counter."""
        yield from self._counters.items()

    def gauges(self):
        """Yield ``(name, help text, value)`` of each gauge."""
        for name, help_text, read in self._gauges:
            yield name, help_text, read()

    def histograms(self):
        """Yield ``(name, {kind: histogram})`` of each histogram."""
        yield from self._histograms.items()
