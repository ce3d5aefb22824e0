"""A nose2 plugin that ends a test run with one line of counts."""

from nose2.events import Plugin

__all__ = ["Summary"]


class Summary(Plugin):
    """Print ``N passed, N failed, N skipped`` after the summary."""

    configSection = "summary"  # noqa: N815 (nose2's name)

    def __init__(self):
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def testOutcome(self, event):  # noqa: N802 (nose2's name)
        """Count one test."""
        if event.outcome == "skipped":
            self._counts["skipped"] += 1
        elif event.outcome == "passed" and event.expected:
            self._counts["passed"] += 1
        else:
            self._counts["failed"] += 1

    def afterSummaryReport(self, event):  # noqa: N802 (nose2's name)
        """Print the line."""
        counts = ", ".join(f"{number} {name}" for name, number in self._counts.items())
        event.stream.writeln(counts)
