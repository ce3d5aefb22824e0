"""A nose2 plugin that ends a test run with one line of counts."""

import hypothesis
from nose2.events import Plugin

__all__ = ["Summary"]


# Two runs over the same code must give the same verdict: examples come from
# the test's own name and not from chance or from a file of earlier runs.
hypothesis.settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
hypothesis.settings.load_profile("repeatable")


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
