"""A nose2 plugin that tolerates the failures of listed tests and prints one line of counts."""

from pathlib import Path

import hypothesis
from nose2 import result
from nose2.events import Plugin

__all__ = ["Summary", "read_known_red"]

#: The list of tests that fail for a known fault, one per line; the test is the first column.
KNOWN_RED = Path("KNOWN-RED.txt")

# Two runs over the same code must give the same result, so hypothesis derives its examples
# from each test and uses neither randomness nor a database of earlier runs.
hypothesis.settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
hypothesis.settings.load_profile("repeatable")


def read_known_red(path=KNOWN_RED):
    """Return the entries of the list at `path` as a dict of test name to line.

    The dict is empty if the file does not exist.
    """
    if not path.exists():
        return {}
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = (line for line in lines if line.strip() and not line.startswith("#"))
    return {line.partition("|")[0].strip(): line for line in entries}


class Summary(Plugin):
    """Print ``N passed, N failed, N skipped`` after the summary.

    Notes
    -----
    A listed test runs like any other.  If it fails, the run still succeeds and the test is printed
    with its entry.  If it passes, it is printed as one to remove from the list.  Both count as
    skipped.
    """

    configSection = "summary"  # noqa: N815 (nose2's name)

    def __init__(self):
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}
        self._known = read_known_red()
        self._listed = {}

    def setTestOutcome(self, event):  # noqa: N802 (nose2's name)
        """Mark the failure of a listed test as expected."""
        if event.test.id() not in self._known:
            return
        if event.outcome in ("failed", "error"):
            event.outcome = "failed"
            event.expected = True
            self._listed[event.test.id()] = "known red"
        elif event.outcome == "passed":
            self._listed.setdefault(event.test.id(), "listed as red, passes now")

    def testOutcome(self, event):  # noqa: N802 (nose2's name)
        """Count the outcome of one test.

        A subtest counts only if it fails; its test has an outcome of its own if all pass.
        """
        if event.outcome == result.SUBTEST and event.exc_info is None:
            return
        if event.outcome == "skipped" or event.test.id() in self._listed:
            self._counts["skipped"] += 1
        elif event.outcome == "passed" and event.expected:
            self._counts["passed"] += 1
        else:
            self._counts["failed"] += 1

    def afterSummaryReport(self, event):  # noqa: N802 (nose2's name)
        """Print the listed tests and the line of counts."""
        for name, how in self._listed.items():
            event.stream.writeln(f"{how}: {self._known[name]}")
        counts = ", ".join(f"{number} {name}" for name, number in self._counts.items())
        event.stream.writeln(counts)
