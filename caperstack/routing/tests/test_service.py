"""Tests of traffic splits, retry allowances, attempts and hedge delays."""

import unittest
from unittest import mock

from caperstack.calls.model import Call
from caperstack.routing.budgets import CallBudget, FleetAllowance
from caperstack.routing.service import Attempts, ServiceState
from caperstack.routing.split import Splitter
from caperstack.routing.table import Route, WeightedService


class TestSplitter(unittest.TestCase):
    """`Splitter.choose`."""

    def test_weights_hold_over_every_short_sequence(self):
        route = Route("/", (WeightedService("a", 70), WeightedService("b", 30)))
        splitter = Splitter()
        chosen = [splitter.choose(route) for _ in range(200)]
        for start in range(0, 180, 20):
            self.assertAlmostEqual(chosen[start : start + 20].count("b"), 6, delta=1)

    def test_service_of_weight_zero_gets_no_calls(self):
        route = Route("/", (WeightedService("a", 1), WeightedService("b", 0)))
        splitter = Splitter()
        self.assertNotIn("b", [splitter.choose(route) for _ in range(50)])


class TestFleetAllowance(unittest.TestCase):
    """`FleetAllowance`: the parts of all nodes sum to at most the whole."""

    def test_all_nodes_together_stay_below_the_floor(self):
        # All calls of all entries fail for ten seconds and are retried as far as the
        # budgets allow; the retries must not exceed the fleet's allowance.
        allowance = FleetAllowance(0.2, 64, 10.0)
        clock = 0.0
        with mock.patch("caperstack.routing.budgets.now", lambda: clock):
            budgets = [allowance.budget(11) for _ in range(11)]
            calls = taken = 0
            while clock < 10.0:
                clock += 0.05
                for budget in budgets:
                    budget.deposit(allowance.deposit_share())
                    calls += 1
                    taken += budget.withdraw()
        self.assertLessEqual(taken, 0.2 * calls + 64)
        self.assertGreater(taken, 0.08 * calls)

    def test_part_shrinks_when_more_nodes_are_known(self):
        # A node that has just started knows no other and gets a large part.  Once it
        # knows the fleet, it must lose the saved-up tokens beyond its part.
        allowance = FleetAllowance(0.2, 6400, 10.0)
        budget = allowance.budget(1)
        for _ in range(1000):
            budget.deposit(1.0)
        allowance.rebalance(budget, 800)
        self.assertEqual(sum(budget.withdraw() for _ in range(50)), 2)

    def test_tokens_added_over_time_stop_at_the_capacity(self):
        clock = 0.0
        with mock.patch("caperstack.routing.budgets.now", lambda: clock):
            budget = CallBudget(capacity=2.0, start=0.0, per_second=0.5)
            self.assertFalse(budget.withdraw())
            clock = 100.0
            self.assertEqual([budget.withdraw() for _ in range(3)], [True, True, False])


class TestHedgeDelay(unittest.TestCase):
    """`ServiceState.hedge_delay` for a route with a baseline of 0.2 s."""

    def setUp(self):
        self.enterContext(mock.patch("caperstack.routing.service.now", lambda: 100.0))
        self.state = ServiceState("load_aware", CallBudget())
        for _ in range(20):
            self.state.record_duration(0.2, "route")

    def delay(self, objective):
        call = Call(0, "h", "r", "s", "GET", "/", [], b"", 110.0, True, route="route")
        call.objective_at = 100.0 + objective
        return self.state.hedge_delay(call)

    def test_hedge_can_just_meet_the_objective(self):
        self.assertAlmostEqual(self.delay(0.6), 0.6 - 1.15 * 0.2)

    def test_hedge_waits_until_nine_in_ten_calls_are_answered(self):
        # With a baseline of 550 ms and an objective of 1.5 s, a hedge after 2.5 baseline
        # durations is sent when the objective has nearly passed.
        self.assertAlmostEqual(self.delay(0.5), 1.5 * 0.2)

    def test_hedge_is_late_when_no_second_answer_can_meet_the_objective(self):
        self.assertAlmostEqual(self.delay(0.4), 2.5 * 0.2)

    def test_attempts_are_shared_by_hedges_and_retries(self):
        attempts = Attempts(2)
        self.assertEqual([attempts.take() for _ in range(3)], [True, True, False])
        attempts.give_back()
        self.assertTrue(attempts.take())
