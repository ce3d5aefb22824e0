"""Counters, kept as plain numbers and rendered by aioprometheus when asked."""

from collections import Counter as Tally

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["Metrics"]

#: Distinct reasons counted by name; further ones are counted as "other", so
#: that a text from outside cannot grow the number of time series.
REASONS_MOST = 40


class Metrics:
    """The counters of one node.

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
        return render(registry, accept)
