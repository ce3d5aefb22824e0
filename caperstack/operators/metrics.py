"""Counters, kept as plain numbers and rendered by aioprometheus when asked."""

from collections import Counter as Tally

from aioprometheus import Counter, Gauge, Registry, render
from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

#: Distinct reasons counted by name; further ones are counted as "other", so
#: that a text from outside cannot grow the number of time series.
REASONS_MOST = 40


#: Latencies are kept from 0.1 ms to two minutes with two significant digits;
#: a histogram takes 15 kB and a value 1.3 microseconds (measured).
LEAST_MICROSECONDS = 100
MOST_MICROSECONDS = 120_000_000
DIGITS = 2

#: Histograms of one name; further label values share the last one.
HISTOGRAMS_MOST = 12

#: The bounds in seconds under which a scrape tells how many values lie.
BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 120.0)


class Metrics:
    """The counters and latency histograms of one node.

    Attributes
    ----------
    peer_bytes_in, peer_bytes_out : int
        Bytes read from and written to peers, calls included.

    Notes
    -----
    aioprometheus hashes its labels at each increment, some microseconds that
    every call would pay several times.  Plain tallies cost a tenth and are
    handed over when the operator asks.
    """

    def __init__(self, host):
        self._labels = {"host": host}
        self._tallies = {}
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
        tally = self._tallies.setdefault(name, Tally())
        key = tuple(sorted(labels.items()))
        if key not in tally and len(tally) >= REASONS_MOST:
            key = tuple((label, "other") for label, _ in key)
        tally[key] += amount

    def value(self, name, **labels):
        """Return the value of counter `name`, over all label sets that include `labels`."""
        wanted = set(labels.items())
        tally = self._tallies.get(name, {})
        return sum(number for key, number in tally.items() if wanted <= set(key))

    def time(self, name, seconds, label):
        """Add a latency in seconds to histogram `name`, under ``kind`` `label`."""
        found = self._histograms.setdefault(name, {})
        if label not in found and len(found) >= HISTOGRAMS_MOST:
            label = "other"
        histogram = found.get(label)
        if histogram is None:
            histogram = found[label] = HdrHistogram(LEAST_MICROSECONDS, MOST_MICROSECONDS, DIGITS)
        microseconds = int(seconds * 1e6)
        histogram.record_value(min(max(microseconds, LEAST_MICROSECONDS), MOST_MICROSECONDS))

    def refused(self, reason):
        """Count a refusal by the owner."""
        self.count("refusals", reason=reason)

    def backend_failed(self, reason):
        """Count a call that the backend server did not answer whole."""
        self.count("backend_failures", reason=reason[:60])

    def gauge(self, name, help_text, read):
        """Show ``read()`` as gauge `name`."""
        self._gauges.append((name, help_text, read))

    def render(self, accept):
        """Return ``(body, headers)`` in the format that `accept` asks for."""
        registry = Registry()
        for name, tally in self._tallies.items():
            metric = Counter(
                f"caperstack_{name}_total", name.replace("_", " "), self._labels, registry
            )
            for key, number in tally.items():
                metric.set(dict(key), number)
        for name, help_text, read in self._gauges:
            metric = Gauge(f"caperstack_{name}", help_text, self._labels, registry)
            metric.set({}, read())
        for name, histograms in self._histograms.items():
            self._render_histograms(name, histograms, registry)
        return render(registry, accept)

    def _render_histograms(self, name, histograms, registry):
        title = name.replace("_", " ")
        buckets = Gauge(f"caperstack_{name}_bucket", title, self._labels, registry)
        counts = Gauge(f"caperstack_{name}_count", title, self._labels, registry)
        for label, histogram in histograms.items():
            for bound in BUCKETS:
                below = _count_up_to(histogram, int(bound * 1e6))
                buckets.set({"kind": label, "le": str(bound)}, below)
            counts.set({"kind": label}, histogram.get_total_count())


def _count_up_to(histogram, microseconds):
    """Return how many recorded values are at most `microseconds`."""
    return sum(
        item.count_at_value_iterated_to
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= microseconds
    )
