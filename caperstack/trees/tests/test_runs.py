"""Tests of the calls that run at the local backend server."""

import unittest
from types import SimpleNamespace

from caperstack import clock
from caperstack.trees.runs import RunningCalls


class TestRunningCalls(unittest.TestCase):
    """`RunningCalls` with a clock controlled by the test."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self.runs = RunningCalls()

    def call(self, number, origin="n"):
        return SimpleNamespace(id=number, origin=origin)

    def test_calls_run_from_begin_to_end(self):
        first, second = self.call(1), self.call(2)
        self.runs.begin(first)
        self.runs.begin(second)
        self.assertEqual(list(self.runs), [first, second])
        self.runs.end(first)
        self.assertEqual(list(self.runs), [second])
        self.assertEqual(len(self.runs), 1)

    def test_calls_of_two_entries_may_have_the_same_number(self):
        self.runs.begin(self.call(1, "n"))
        self.runs.begin(self.call(1, "m"))
        self.runs.end(self.call(1, "n"))
        self.assertEqual([run.origin for run in self.runs], ["m"])

    def test_idle_time_passes_only_while_nothing_runs(self):
        self.time += 2.0
        self.runs.begin(self.call(1))
        self.time += 1.0
        self.runs.begin(self.call(2))
        self.time += 1.0
        self.runs.end(self.call(1))
        self.time += 1.0
        self.assertAlmostEqual(self.runs.idle_seconds, 2.0)
        self.runs.end(self.call(2))
        self.time += 0.5
        self.assertAlmostEqual(self.runs.idle_seconds, 2.5)
        self.time += 0.5
        self.runs.begin(self.call(3))
        self.assertAlmostEqual(self.runs.idle_seconds, 3.0)

    def test_end_without_begin_changes_nothing(self):
        self.time += 1.0
        self.runs.end(self.call(1))
        self.time += 1.0
        self.assertAlmostEqual(self.runs.idle_seconds, 2.0)


if __name__ == "__main__":
    unittest.main()
