"""Test that log lines are rate-limited and complete, and that writing never blocks."""

import json
import os
import unittest
from collections import Counter
from unittest import mock

from caperstack.clock import now
from caperstack.events import line_limits
from caperstack.events.log import (
    DROPPED_LINES_KIND,
    FAILURE_LINES_PER_SECOND,
    MAX_BUFFERED_LINES,
    REFUSAL_LINES_PER_SECOND,
    LogWriter,
)


class TestLogWriter(unittest.TestCase):
    """`LogWriter` on a pipe."""

    def setUp(self):
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, self.writing)

    def lines(self):
        return [json.loads(line) for line in os.read(self.reading, 1 << 20).splitlines()]

    def test_line_is_json_with_its_host_and_kind(self):
        LogWriter(self.writing, "h1").line("owner refuses", id="a", waiting=3)
        line = self.lines()[0]
        self.assertEqual((line["host"], line["kind"]), ("h1", "owner refuses"))
        self.assertEqual((line["id"], line["waiting"]), ("a", 3))

    def test_lines_beyond_the_limit_are_dropped_and_counted(self):
        # Without the limit a burst of refusals becomes a burst of log lines, which
        # takes processor time from the calls that are still served.
        clock = 10.0
        with mock.patch.object(line_limits, "now", lambda: clock):
            log = LogWriter(self.writing, "h1", lines_per_second=5)
            for number in range(20):
                log.line("x", number=number)
        self.assertEqual(len(self.lines()), 5)
        self.assertEqual(log.dropped_count, 15)

    def test_next_line_carries_the_number_of_dropped_lines(self):
        log = LogWriter(self.writing, "h1", lines_per_second=1)
        with mock.patch.object(line_limits, "now", lambda: 0.0):
            log.line("x")
            log.line("x")
        with mock.patch.object(line_limits, "now", lambda: 1e12):
            log.line("x")
        self.assertEqual(self.lines()[1]["lines_left_out"], 1)

    def test_burst_of_refusals_drops_no_state_changes(self):
        """A new configuration must be logged while thousands of requests are refused."""
        log = LogWriter(self.writing, "h1")
        for number in range(2000):
            log.refusal("owner refuses", "no slot in time", id=str(number))
            log.line("entry sends", id=str(number))
            if not number % 100:
                log.state("state", subject="settings", new=number)
        logged = [line["new"] for line in self.lines() if line["kind"] == "state"]
        self.assertEqual(logged, list(range(0, 2000, 100)))

    def test_frequent_refusal_reason_does_not_drop_rare_ones(self):
        """A rare reason is logged beside a frequent one, and dropped lines are counted."""
        clock = [10.0]
        with mock.patch.object(line_limits, "now", lambda: clock[0]):
            log = LogWriter(self.writing, "h1")
            for number in range(200):
                log.refusal("owner refuses", "no slot in time", id=str(number))
            log.refusal("owner refuses", "node was paused", id="rare")
            clock[0] += 1.5
            log.log_dropped_counts()
        lines = self.lines()
        reasons = Counter(line.get("reason") for line in lines)
        self.assertEqual(reasons["no slot in time"], REFUSAL_LINES_PER_SECOND)
        self.assertEqual(reasons["node was paused"], 1)
        counts = {"owner refuses: no slot in time": 200 - REFUSAL_LINES_PER_SECOND}
        self.assertEqual([n["counts"] for n in lines if n["kind"] == DROPPED_LINES_KIND], [counts])

    def test_burst_of_other_lines_drops_no_failures(self):
        """Without a separate limit, the line with the id of a failed request was dropped."""
        log = LogWriter(self.writing, "h1")
        for number in range(FAILURE_LINES_PER_SECOND):
            for _ in range(3):
                log.line("entry sends", id=str(number))
            log.refusal("owner refuses", "no slot in time", id=str(number))
            log.failure("entry outcome", id=str(number))
        found = {line["id"] for line in self.lines() if line["kind"] == "entry outcome"}
        self.assertEqual(found, {str(number) for number in range(FAILURE_LINES_PER_SECOND)})

    def test_full_pipe_does_not_block(self):
        # The reader of the log has stopped reading: writing must return at once, and
        # the dropped lines must be counted.
        log = LogWriter(self.writing, "h1", lines_per_second=10**9)
        began = now()
        for _ in range(2000):
            log.line("x", text="y" * 500)
        self.assertLess(now() - began, 5.0)
        self.assertGreater(log.dropped_count, 2000 - MAX_BUFFERED_LINES - 200)

    def test_partially_written_line_is_continued(self):
        log = LogWriter(self.writing, "h1", lines_per_second=10**9)
        for number in range(400):
            log.line("x", number=number, text="y" * 500)
        data = b""
        while data.count(b"\n") < 400:
            data += os.read(self.reading, 1 << 16)
            log._flush()
        numbers = [json.loads(line)["number"] for line in data.splitlines()]
        self.assertEqual(numbers, list(range(400)))

    def test_closed_reader_disables_the_log(self):
        reading, writing = os.pipe()
        log = LogWriter(writing, "h1")
        os.close(reading)
        log.line("x")
        log.line("x")
        os.close(writing)
