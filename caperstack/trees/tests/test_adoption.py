"""Tests of what nested calls get from the run that waits for them."""

import itertools
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack import clock
from caperstack.calls.model import Call
from caperstack.trees.adoption import NESTED_SHARE, CallTrees
from caperstack.trees.nested import MAX_ROUTES
from caperstack.trees.runs import RunningCalls

#: Calls of a run from which a route is known as nested in these tests.
ENOUGH_CALLS = 30


class _AdoptionCase(unittest.IsolatedAsyncioTestCase):
    """A node whose runs and clock are controlled by the test."""

    async def asyncSetUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self._numbers = itertools.count()
        self.runs = RunningCalls()
        self.events = mock.Mock()
        self.metrics = mock.Mock()
        self.trees = CallTrees()
        services = {
            "metrics": self.metrics,
            "events": self.events,
            "owner": SimpleNamespace(running_calls=self.runs),
        }
        await self.trees.start(SimpleNamespace(find=services.__getitem__))

    def call(self, left=0.6, objective=0.15, **fields):
        """Return a call with `left` seconds until its deadline."""
        call = Call(next(self._numbers), "n", "r", "s", "GET", "/", [], b"", self.time + left, True)
        call.route = "check"
        call.objective_at = self.time + objective
        for name, value in fields.items():
            setattr(call, name, value)
        return call

    def run_call(self, left=2.0, objective=1.0, **fields):
        """Begin a run and return its call."""
        run = self.call(left, objective, **fields)
        self.runs.begin(run)
        return run

    def adopt(self, call):
        """Let `call` arrive, and return it."""
        self.trees.adopt(call)
        return call

    def learn(self, route="check"):
        """Let runs call `route` until it is known as nested."""
        for _ in range(ENOUGH_CALLS):
            self.time += 0.2
            run = self.run_call(criticality=0)
            self.time += 0.1
            self.adopt(self.call(route=route))
            self.runs.end(run)


class TestNestedCall(_AdoptionCase):
    """`CallTrees.adopt` of a call that a run has made."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.learn()

    async def test_urgency_is_that_of_the_run(self):
        self.run_call(criticality=3)
        self.assertEqual(self.adopt(self.call()).criticality, 3)

    async def test_urgency_of_its_own_is_kept_if_higher(self):
        self.run_call(criticality=1)
        self.assertEqual(self.adopt(self.call(criticality=4)).criticality, 4)

    async def test_time_is_a_share_of_that_of_the_run(self):
        self.run_call(objective=0.8)
        call = self.adopt(self.call())
        self.assertAlmostEqual(call.objective_at, self.time + NESTED_SHARE * 0.8)

    async def test_objective_is_not_beyond_the_deadline(self):
        self.run_call(left=9.0, objective=8.0)
        call = self.adopt(self.call(left=0.6))
        self.assertEqual(call.objective_at, call.deadline)

    async def test_objective_of_its_own_is_kept_if_later(self):
        self.run_call(objective=0.1)
        call = self.adopt(self.call(objective=0.3))
        self.assertAlmostEqual(call.objective_at, self.time + 0.3)

    async def test_late_run_takes_no_time_away(self):
        run = self.run_call(objective=0.1)
        self.time += 0.5
        call = self.adopt(self.call())
        self.assertLess(run.objective_at, self.time)
        self.assertAlmostEqual(call.objective_at, self.time + 0.15)

    async def test_run_without_an_objective_has_time_until_its_deadline(self):
        self.run_call(left=1.0, objective_at=0.0)
        call = self.adopt(self.call(left=0.9))
        self.assertAlmostEqual(call.objective_at, self.time + NESTED_SHARE * 1.0)

    async def test_runs_that_end_before_the_call_do_not_count(self):
        self.run_call(left=0.3, criticality=5)
        self.run_call(left=2.0, criticality=2)
        self.assertEqual(self.adopt(self.call(left=0.6)).criticality, 2)

    async def test_call_without_an_objective_keeps_its_deadline_as_such(self):
        """A share of the run's time would set an objective where the call has none."""
        self.run_call(objective=0.5)
        call = self.adopt(self.call(objective_at=0.0))
        self.assertEqual(call.objective_at or call.deadline, call.deadline)

    async def test_all_runs_count_if_each_ends_before_the_call(self):
        """A backend server passes on the time that it was given, not the time that is left."""
        self.run_call(left=0.3, criticality=2, objective=0.25)
        self.run_call(left=0.4, criticality=3, objective=0.35)
        call = self.adopt(self.call(left=0.6))
        self.assertEqual((call.depth, call.criticality), (1, 3))
        self.assertAlmostEqual(call.objective_at, self.time + NESTED_SHARE * 0.35)

    async def test_depth_is_one_more_than_that_of_the_run(self):
        self.run_call(depth=2)
        self.assertEqual(self.adopt(self.call()).depth, 3)

    async def test_nested_call_is_counted(self):
        self.metrics.reset_mock()
        self.run_call()
        self.adopt(self.call())
        self.metrics.count.assert_called_once_with("nested_calls", service="s")


class TestOtherCalls(_AdoptionCase):
    """`CallTrees.adopt` of calls that no run is known to have made."""

    def assert_unchanged(self, call):
        before = call.criticality, call.objective_at, call.depth
        self.adopt(call)
        self.assertEqual((call.criticality, call.objective_at, call.depth), before)

    async def test_unknown_route_is_unchanged(self):
        self.run_call(criticality=3)
        self.assert_unchanged(self.call())

    async def test_nothing_runs(self):
        self.learn()
        self.assert_unchanged(self.call())
        self.assert_unchanged(self.call(depth=1))

    async def test_route_of_callers_is_unchanged(self):
        self.learn()
        for _ in range(ENOUGH_CALLS):
            self.time += 0.3
            self.adopt(self.call(route="list"))
        self.run_call(criticality=3)
        self.assert_unchanged(self.call(route="list"))

    async def test_depth_of_the_header_is_believed(self):
        self.run_call(criticality=3, objective=0.8)
        call = self.adopt(self.call(depth=2))
        self.assertEqual((call.depth, call.criticality), (2, 3))
        self.assertAlmostEqual(call.objective_at, self.time + NESTED_SHARE * 0.8)

    async def test_calls_with_a_depth_teach_nothing(self):
        for _ in range(ENOUGH_CALLS):
            self.time += 0.2
            run = self.run_call()
            self.time += 0.1
            self.adopt(self.call(depth=1))
            self.runs.end(run)
        self.run_call(criticality=3)
        self.assert_unchanged(self.call())


class TestReports(_AdoptionCase):
    """Reports of routes that are known as nested, or no longer."""

    async def test_changes_are_reported_once(self):
        self.learn()
        self.assertEqual(
            self.events.state.call_args_list, [mock.call("nested route", False, True, "check")]
        )
        for _ in range(ENOUGH_CALLS):
            self.time += 0.3
            self.adopt(self.call())
        self.assertEqual(
            self.events.state.call_args_list[1:], [mock.call("nested route", True, False, "check")]
        )

    async def test_state_of_the_reports_is_bounded(self):
        """Settings are changed again and again, each time with routes of new names."""
        with mock.patch("caperstack.trees.nested.NestedRoutes.is_nested", return_value=True):
            for number in range(3 * MAX_ROUTES):
                self.adopt(self.call(route=f"route {number}"))
        self.assertLessEqual(len(self.trees._reported), MAX_ROUTES)


if __name__ == "__main__":
    unittest.main()
