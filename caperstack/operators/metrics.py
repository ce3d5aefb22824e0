"""Counters and histograms, kept as plain numbers until somebody asks."""

import importlib
from collections import Counter as Tally

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "empty_histogram"]

#: Distinct reasons counted by name; further ones are counted as "other", so
#: that a text from outside cannot grow the number of time series.
MAX_LABEL_SETS = 40

#: Latencies are kept from 0.1 ms to two minutes with two significant digits;
#: a histogram takes 15 kB and a value 1.3 microseconds (measured).
MIN_MICROSECONDS = 100
MAX_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 2

#: Histograms of one name; further label values share the last one.
MAX_HISTOGRAMS = 12


def empty_histogram():
    """Return a histogram of latencies in microseconds; all have the same slots."""
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


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
        """Return the value of counter `name`, over all label sets that include `labels`."""
        wanted = set(labels.items())
        tally = self._counters.get(name, {})
        return sum(number for key, number in tally.items() if wanted <= set(key))

    def time(self, name, seconds, label):
        """Add a latency in seconds to histogram `name`, under ``kind`` `label`."""
        found = self._histograms.setdefault(name, {})
        if label not in found and len(found) >= MAX_HISTOGRAMS:
            label = "other"
        histogram = found.get(label)
        if histogram is None:
            histogram = found[label] = empty_histogram()
        microseconds = int(seconds * 1e6)
        histogram.record_value(min(max(microseconds, MIN_MICROSECONDS), MAX_MICROSECONDS))

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
        # Imported with the first scrape: most nodes are never asked, and it
        # takes 0.2 MB and 15 modules of each start.
        module = importlib.import_module("caperstack.operators.exposition")
        return module.exposition(self, accept)

    @property
    def labels(self):
        """The labels that every figure bears."""
        return self._labels

    def counters(self):
        """Yield ``(name, {labels: number})`` of each counter."""
        yield from self._counters.items()

    def gauges(self):
        """Yield ``(name, help text, value)`` of each gauge."""
        for name, help_text, read in self._gauges:
            yield name, help_text, read()

    def histograms(self):
        """Yield ``(name, {kind: histogram})`` of each histogram."""
        yield from self._histograms.items()
