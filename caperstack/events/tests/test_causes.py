"""Test the causes that are derived from log lines."""

import contextlib
import io
import json
import tempfile
import unittest

from caperstack.events.causes import read_traces, split_into_windows
from caperstack.events.causes_main import main


def line(at_ms, kind, name="r1", **fields):
    head = {"at_us": 1_000_000_000 + at_ms * 1000, "host": "h", "kind": kind, "id": name}
    return json.dumps(head | fields)


def outcome(at_ms, text, name="r1", objective_ms=10):
    return line(at_ms, "entry outcome", name, outcome=text, objective_ms=objective_ms)


def sends(at_ms, name="r1", pace=1.0):
    return line(at_ms, "owner sends", name, route="list", pace=pace)


def cause(*lines):
    traces, _ = read_traces(lines)
    return traces["r1"].cause


class TestCauses(unittest.TestCase):
    """`RequestTrace.cause`."""

    def test_in_time_has_no_cause(self):
        self.assertEqual(cause(sends(0), outcome(50, "answered 200 after 50.0 ms")), "")

    def test_refusal_names_its_stage(self):
        refused = outcome(90, "not run (no slot in time) after 90.0 ms")
        refuses = line(80, "owner refuses", reason="no slot in time", running=8, limit=8)
        self.assertIn("at the entry", cause(refused))
        self.assertIn("at arrival", cause(refuses, refused))
        self.assertIn("after waiting", cause(line(10, "owner queues"), refuses, refused))

    def test_lateness_names_its_cause(self):
        late = outcome(300, "answered 200 after 300.0 ms", objective_ms=-100)
        self.assertIn("more than once", cause(sends(1), sends(2), late))
        self.assertIn("slot", cause(line(1, "owner queues"), sends(150), late))
        self.assertIn("slowed host", cause(sends(1, pace=4.0), late))
        self.assertIn("by work", cause(sends(1), late))

    def test_failure_names_status_or_reason(self):
        self.assertIn("500", cause(outcome(9, "answered 500 after 9.0 ms")))
        self.assertIn("lost", cause(outcome(9, "unknown (connection was lost) after 9.0 ms")))


class TestWindows(unittest.TestCase):
    """`split_into_windows` and the command line."""

    lines = (
        "12.3 node-1 " + outcome(0, "answered 200 after 5.0 ms", "a"),
        outcome(100, "answered 200 after 9.0 ms", "b", -5),
        outcome(2500, "not run (no slot in time) after 1.0 ms", "c"),
        json.dumps({"at_us": 5, "host": "h", "kind": "state", "lines_left_out": 7}),
        '{"at_us": 7, "host"',
        "not a line of a node",
    )

    def test_worth_is_lost_in_the_window_where_the_request_ended(self):
        traces, left_out = read_traces(self.lines)
        first, second = split_into_windows(traces, 2.0, {})
        self.assertEqual(left_out, 7)
        self.assertEqual((first.request_count, second.request_count), (2, 1))
        self.assertAlmostEqual(first.credit, 0.55)
        self.assertAlmostEqual(second.credit, 0.0)

    def test_command_prints_totals_and_worst_window(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("\n".join(self.lines))
            file.flush()
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                self.assertEqual(main([file.name, "--worst", "1"]), 0)
        self.assertIn("all: 3 requests", out.getvalue())
        self.assertIn("from 2 s", out.getvalue())

    def test_bad_arguments_exit_with_message(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            self.assertEqual(main(["/does/not/exist"]), 2)
            self.assertEqual(main(["--worth", "list=much"]), 2)
        self.assertIn("exist", err.getvalue())


if __name__ == "__main__":
    unittest.main()
