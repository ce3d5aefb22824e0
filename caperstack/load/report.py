"""Figures of a run: outcomes and latencies of each class of calls, as a dict and a table."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["ClassFigures", "figures_of", "latency_histogram", "table_of"]

#: Range in microseconds and precision of latency histograms.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3

PERCENTILES = (50, 99, 99.9)


def latency_histogram(seconds):
    """Return an `HdrHistogram` in microseconds of an iterable of latencies in seconds."""
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in seconds:
        histogram.record_value(max(MIN_LATENCY_US, int(latency * 1e6)))
    return histogram


@dataclass
class ClassFigures:
    """Outcomes, statuses and latencies of one class of calls."""

    outcomes: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    late: int = 0
    broken: int = 0
    histogram: HdrHistogram = field(default_factory=lambda: latency_histogram(()))

    def add(self, result):
        """Add one `caperstack.load.generator.CallResult`."""
        self.outcomes[result.outcome] += 1
        self.statuses[result.status] += 1
        self.late += result.late
        self.broken += not result.whole
        self.histogram.record_value(max(MIN_LATENCY_US, int(result.seconds * 1e6)))

    def milliseconds(self, percentile):
        """Return the given percentile of the latency, in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def as_dict(self):
        """Return the figures as a dict for JSON."""
        return {
            "calls": sum(self.outcomes.values()),
            "outcomes": dict(self.outcomes),
            "statuses": {str(status): count for status, count in self.statuses.items()},
            "late": self.late,
            "wrong_or_partial": self.broken,
            "latency_ms": {str(p): self.milliseconds(p) for p in PERCENTILES},
        }


def figures_of(results):
    """Return a dict of the `ClassFigures` of each class, and of all calls under ``all``."""
    figures = {}
    for result in results:
        for name in (result.kind, "all"):
            figures.setdefault(name, ClassFigures()).add(result)
    return figures


def table_of(figures):
    """Return the figures as a table in plain text."""
    columns = ("calls", "answered", "not-run", "unknown", "no answer", "late", "wrong")
    rows = [("class", *columns, *(f"p{p} ms" for p in PERCENTILES))]
    for name, one in figures.items():
        outcomes = [str(one.outcomes[column]) for column in columns[1:5]]
        latencies = [f"{one.milliseconds(p):.2f}" for p in PERCENTILES]
        total = str(sum(one.outcomes.values()))
        rows.append((name, total, *outcomes, str(one.late), str(one.broken), *latencies))
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
