"""Test how the tests listed in KNOWN-RED.txt affect the result of a run."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from caperstack.bench.summary import Summary, read_known_red

ENTRY = "a.TestA.test_b | command | seen | 1"


class TestSummary(unittest.TestCase):
    """`Summary` with one test on the list."""

    def setUp(self):
        with mock.patch(
            "caperstack.bench.summary.read_known_red", lambda: {"a.TestA.test_b": ENTRY}
        ):
            self.summary = Summary()

    def end(self, name, outcome, error=None):
        event = SimpleNamespace(
            test=SimpleNamespace(id=lambda: name),
            outcome=outcome,
            expected=outcome == "passed",
            exc_info=error,
        )
        self.summary.setTestOutcome(event)
        self.summary.testOutcome(event)
        return event

    def printed(self):
        lines = []
        self.summary.afterSummaryReport(
            SimpleNamespace(stream=SimpleNamespace(writeln=lines.append))
        )
        return lines

    def test_listed_test_that_fails_is_expected_and_printed(self):
        for outcome in ("failed", "error"):
            event = self.end("a.TestA.test_b", outcome)
            self.assertEqual((event.outcome, event.expected), ("failed", True))
        self.assertEqual(self.printed(), [f"known red: {ENTRY}", "0 passed, 0 failed, 2 skipped"])

    def test_listed_test_that_passes_is_printed_as_one_to_take_off(self):
        self.end("a.TestA.test_b", "passed")
        self.assertEqual(self.printed()[0], f"listed as red, passes now: {ENTRY}")

    def test_unlisted_test_that_fails_counts_as_failed(self):
        event = self.end("a.TestA.test_c", "failed")
        self.assertEqual(
            (event.expected, self.printed()), (False, ["0 passed, 1 failed, 0 skipped"])
        )

    def test_subtests_count_only_if_they_fail(self):
        """Guards against a summary of a green run that tells of failures."""
        self.end("a.TestA.test_c (n=1)", "subtest")
        self.end("a.TestA.test_c", "passed")
        self.end("a.TestA.test_d (n=1)", "subtest", (ValueError, ValueError(), None))
        self.assertEqual(self.printed(), ["1 passed, 1 failed, 0 skipped"])

    def test_entries_are_read_without_comments(self):
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "list"
        self.assertEqual(read_known_red(path), {})
        path.write_text(f"# comment\n\n{ENTRY}\n", encoding="utf-8")
        self.assertEqual(read_known_red(path), {"a.TestA.test_b": ENTRY})
