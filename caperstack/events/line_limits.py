"""How many log lines of each class a node writes a second, and a count of the others."""

from collections import Counter

from caperstack.clock import now

__all__ = ["DroppedLines", "LineRateLimiter"]

#: The length of the span that lines are bounded in, in seconds.
WINDOW_SECONDS = 1.0

#: Labels that omitted lines are counted under; further ones share `OTHER_LABELS`.
MAX_LABELS = 50
OTHER_LABELS = "others"


class LineRateLimiter:
    """A bound on lines in each span of a second.

    Parameters
    ----------
    most : int
        Lines a second.
    """

    def __init__(self, most):
        self._max_per_second = most
        self._lines_in_window = 0
        self._window_end = 0.0

    def allow_line(self):
        """Take one line; return whether the bound allows it."""
        if now() >= self._window_end:
            self._window_end = now() + WINDOW_SECONDS
            self._lines_in_window = 0
        self._lines_in_window += 1
        return self._lines_in_window <= self._max_per_second


class DroppedLines:
    """Counts of the lines that were left out, told once a second at most.

    Attributes
    ----------
    total : int
        All lines left out since the start.
    """

    def __init__(self):
        self._counts = Counter()
        self._report_at = 0.0
        self.total = 0

    def add(self, label):
        """Count a line that was left out."""
        if not self._counts:
            self._report_at = now() + WINDOW_SECONDS
        if label not in self._counts and len(self._counts) >= MAX_LABELS:
            label = OTHER_LABELS
        self._counts[label] += 1
        self.total += 1

    def pop_due_counts(self):
        """Return the counts by label if it is time to tell them, else an empty dict."""
        if not self._counts or now() < self._report_at:
            return {}
        counts, self._counts = self._counts, Counter()
        return dict(counts)
