"""A nose2 plugin that ends a test run with one line of counts, and passes over known faults."""

from pathlib import Path

import hypothesis
from nose2.events import Plugin

__all__ = ["Summary", "read_known_red"]

#: The tests that fail for a fault that is known, one a line; its first column is the test.
KNOWN_RED = Path("KNOWN-RED.txt")

# Two runs over the same code must give the same verdict: examples come from
# the test's own name and not from chance or from a file of earlier runs.
hypothesis.settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
hypothesis.settings.load_profile("repeatable")


def read_known_red(path=KNOWN_RED):
    """Return the lines of the file at `path` by the name of their test; none without a file."""
    if not path.exists():
        return {}
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = (line for line in lines if line.strip() and not line.startswith("#"))
    return {line.partition("|")[0].strip(): line for line in entries}


class Summary(Plugin):
    """Print ``N passed, N failed, N skipped`` after the summary.

    Notes
    -----
    A listed test runs like any other.  If it fails, the run does not fail for
    it, and it is printed with its line; if it passes, it is printed as one to
    take off the list.  Both count as skipped.
    """

    configSection = "summary"  # noqa: N815 (nose2's name)

    def __init__(self):
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}
        self._known = read_known_red()
        self._listed = {}

    def setTestOutcome(self, event):  # noqa: N802 (nose2's name)
        """Expect a listed test to fail."""
        if event.test.id() not in self._known:
            return
        if event.outcome in ("failed", "error"):
            event.outcome = "failed"
            event.expected = True
            self._listed[event.test.id()] = "known red"
        elif event.outcome == "passed":
            self._listed.setdefault(event.test.id(), "listed as red, passes now")

    def testOutcome(self, event):  # noqa: N802 (nose2's name)
        """Count one test."""
        if event.outcome == "skipped" or event.test.id() in self._listed:
            self._counts["skipped"] += 1
        elif event.outcome == "passed" and event.expected:
            self._counts["passed"] += 1
        else:
            self._counts["failed"] += 1

    def afterSummaryReport(self, event):  # noqa: N802 (nose2's name)
        """Print the listed tests and the line."""
        for name, how in self._listed.items():
            event.stream.writeln(f"{how}: {self._known[name]}")
        counts = ", ".join(f"{number} {name}" for name, number in self._counts.items())
        event.stream.writeln(counts)
