"""Rate limits on log lines, and counts of the lines dropped."""

from collections import Counter

from caperstack.clock import now

__all__ = ["DroppedLines", "LineRateLimiter"]

#: Length of the window in which lines are counted against a limit, in seconds.
WINDOW_SECONDS = 1.0

#: Number of labels with a count of their own; all others share `OTHER_LABELS`.
MAX_LABELS = 50
OTHER_LABELS = "others"


class LineRateLimiter:
    """A fixed-window limit on the number of log lines per second.

    Parameters
    ----------
    max_per_second : int
        Lines allowed in each window of one second.
    """

    def __init__(self, max_per_second):
        self._max_per_second = max_per_second
        self._lines_in_window = 0
        self._window_end = 0.0

    def allow_line(self):
        """Count one line and return whether the limit allows it."""
        if now() >= self._window_end:
            self._window_end = now() + WINDOW_SECONDS
            self._lines_in_window = 0
        self._lines_in_window += 1
        return self._lines_in_window <= self._max_per_second


class DroppedLines:
    """Counts of dropped log lines by label, reported at most once a second.

    Attributes
    ----------
    total : int
        Number of lines dropped since the start.
    """

    def __init__(self):
        self._counts = Counter()
        self._report_at = 0.0
        self.total = 0

    def add(self, label):
        """Count a dropped line under `label`."""
        if not self._counts:
            self._report_at = now() + WINDOW_SECONDS
        if label not in self._counts and len(self._counts) >= MAX_LABELS:
            label = OTHER_LABELS
        self._counts[label] += 1
        self.total += 1

    def pop_due_counts(self):
        """Return and reset the counts by label if a report is due, else return an empty dict."""
        if not self._counts or now() < self._report_at:
            return {}
        counts, self._counts = self._counts, Counter()
        return dict(counts)
