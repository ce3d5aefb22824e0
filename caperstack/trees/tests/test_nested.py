"""Tests of the recognition of routes that local runs call, with simulated arrivals."""

import heapq
import itertools
import math
import random
import unittest
from types import SimpleNamespace

from caperstack import clock
from caperstack.trees.nested import MAX_ROUTES, NestedRoutes
from caperstack.trees.runs import RunningCalls

SEEDS = range(1, 6)

#: Mean time that a run of the simulated server takes, in seconds.
RUN_SECONDS = 0.2

#: Play that is long enough to judge a route at a server that is idle in 5 % of the time, and
#: interval between two looks at what was learnt, in seconds.
LONG_SECONDS = 60.0
STEP_SECONDS = 0.25


class SimulatedServer:
    """A server whose runs call the route "nested" halfway through.

    Callers of the host use the route "callers", which servers of other hosts run.

    Attributes
    ----------
    time : float
        The simulated time, in seconds.
    callers_per_second : float
        Rate of the route "callers".
    mixed_per_second : float
        Rate at which callers use the route "nested" as well.
    """

    def __init__(self, seed, busy_share, callers_per_second=5.0):
        self._rng = random.Random(seed)
        self._due = []
        self._numbers = itertools.count()
        self.time = 1000.0
        self.callers_per_second = callers_per_second
        self.mixed_per_second = 0.0
        self.set_busy_share(busy_share)

    def set_busy_share(self, busy_share):
        """Set the share of time in which something runs, on average."""
        # With any number of slots the idle share is exp(-arrival rate * run time).
        self._runs_per_second = -math.log(1 - busy_share) / RUN_SECONDS

    def start(self):
        """Start the node and the arrivals."""
        self.restart_node()
        self._arrive()
        self._call_from_callers()
        self._mix()

    def restart_node(self):
        """Forget what the node has learnt and what it runs."""
        self.runs = RunningCalls()
        self.routes = NestedRoutes()

    def play(self, seconds):
        """Let `seconds` pass."""
        end = self.time + seconds
        while self._due[0][0] <= end:
            self.time, _, action, arguments = heapq.heappop(self._due)
            action(*arguments)
        self.time = end

    def run_for(self, seconds):
        """Begin a run that takes `seconds`."""
        run = SimpleNamespace(origin="n", id=next(self._numbers))
        self.runs.begin(run)
        self._add(seconds, self.runs.end, run)

    def record(self, route):
        """Record a call of `route` as the node does."""
        self.routes.record(route, len(self.runs), self.runs.idle_seconds)

    def _add(self, seconds, action, *arguments):
        entry = (self.time + seconds, next(self._numbers), action, arguments)
        heapq.heappush(self._due, entry)

    def _add_after_gap(self, per_second, action):
        self._add(self._rng.expovariate(per_second), action)

    def _arrive(self):
        self._add_after_gap(self._runs_per_second, self._arrive)
        seconds = RUN_SECONDS * self._rng.uniform(0.5, 1.5)
        self.run_for(seconds)
        self._add(seconds / 2, self.record, "nested")

    def _call_from_callers(self):
        self._add_after_gap(self.callers_per_second, self._call_from_callers)
        self.record("callers")

    def _mix(self):
        # The rate is drawn at each tick since it may change from and to zero.
        self._add(0.1, self._mix)
        if self._rng.random() < 0.1 * self.mixed_per_second:
            self.record("nested")


class _SimulatedCase(unittest.TestCase):
    def start_server(self, seed, busy_share, callers_per_second=5.0):
        """Return a started `SimulatedServer` whose time is that of `caperstack.clock`."""
        server = SimulatedServer(seed, busy_share, callers_per_second)
        self.enterContext(clock.use_source(lambda: server.time))
        server.start()
        return server

    def times_nested(self, server, route, seconds):
        """Play `seconds`; return how many of the looks at `route` found it nested."""
        found = 0
        for _ in range(round(seconds / STEP_SECONDS)):
            server.play(STEP_SECONDS)
            found += server.routes.is_nested(route)
        return found


class TestNestedRoutes(_SimulatedCase):
    """`NestedRoutes` under a steady load."""

    def test_routes_of_runs_and_of_callers_are_told_apart(self):
        for busy_share, seed in itertools.product((0.2, 0.5, 0.8, 0.9, 0.95), SEEDS):
            server = self.start_server(seed, busy_share)
            server.play(LONG_SECONDS)
            self.assertTrue(server.routes.is_nested("nested"), (busy_share, seed))
            self.assertFalse(server.routes.is_nested("callers"), (busy_share, seed))

    def test_route_that_runs_and_callers_use_is_not_nested(self):
        for busy_share, seed in itertools.product((0.2, 0.5, 0.8), SEEDS):
            server = self.start_server(seed, busy_share)
            server.mixed_per_second = 5.0
            server.play(LONG_SECONDS)
            self.assertFalse(server.routes.is_nested("nested"), (busy_share, seed))

    def test_server_that_is_never_idle_teaches_nothing(self):
        for seed in SEEDS:
            server = self.start_server(seed, 0.5)
            server.run_for(2 * LONG_SECONDS)
            self.assertEqual(self.times_nested(server, "nested", LONG_SECONDS), 0, seed)
            self.assertEqual(self.times_nested(server, "callers", LONG_SECONDS / 2), 0, seed)

    def test_what_was_learnt_holds_while_the_server_is_never_idle(self):
        for seed in SEEDS:
            server = self.start_server(seed, 0.8)
            server.play(LONG_SECONDS)
            server.run_for(LONG_SECONDS)
            looks = round(LONG_SECONDS / 2 / STEP_SECONDS)
            self.assertEqual(self.times_nested(server, "nested", LONG_SECONDS / 2), looks, seed)
            self.assertEqual(self.times_nested(server, "callers", LONG_SECONDS / 4), 0, seed)

    def test_chance_hardly_ever_makes_a_route_of_callers_nested(self):
        # The stated chance is one in four hundred.
        seeds = range(1, 201)
        found = 0
        for seed in seeds:
            server = self.start_server(seed, 0.8)
            found += self.times_nested(server, "callers", LONG_SECONDS / 2) > 0
        self.assertLessEqual(found, 1)

    def test_few_calls_of_given_up_runs_do_not_contradict(self):
        server = self.start_server(1, 0.5)
        server.mixed_per_second = 0.1
        server.play(LONG_SECONDS)
        self.assertTrue(server.routes.is_nested("nested"))

    def test_number_of_routes_is_bounded(self):
        server = self.start_server(1, 0.5)
        server.play(LONG_SECONDS)
        for number in range(MAX_ROUTES):
            server.record(f"route {number}")
        self.assertFalse(server.routes.is_nested("nested"))
        server.play(LONG_SECONDS)
        self.assertTrue(server.routes.is_nested("nested"))


class TestChanges(_SimulatedCase):
    """`NestedRoutes` while the load, the use of a route or the node changes."""

    def test_callers_that_begin_to_use_a_route_are_noticed(self):
        for seed in SEEDS:
            server = self.start_server(seed, 0.5)
            server.play(LONG_SECONDS)
            server.mixed_per_second = 5.0
            server.play(LONG_SECONDS / 4)
            self.assertFalse(server.routes.is_nested("nested"), seed)

    def test_route_that_callers_no_longer_use_is_nested_again(self):
        for seed in SEEDS:
            server = self.start_server(seed, 0.5)
            server.mixed_per_second = 5.0
            server.play(LONG_SECONDS)
            server.mixed_per_second = 0.0
            server.play(2 * LONG_SECONDS)
            self.assertTrue(server.routes.is_nested("nested"), seed)

    def test_restarted_node_learns_anew(self):
        for seed in SEEDS:
            server = self.start_server(seed, 0.5)
            server.play(LONG_SECONDS)
            server.restart_node()
            server.play(STEP_SECONDS)
            self.assertFalse(server.routes.is_nested("nested"), seed)
            server.play(LONG_SECONDS)
            self.assertTrue(server.routes.is_nested("nested"), seed)
            self.assertFalse(server.routes.is_nested("callers"), seed)

    def test_burst_of_callers_does_not_make_their_route_nested(self):
        """All calls of a burst arrive while something runs, at a server that was often idle."""
        for seed in SEEDS:
            server = self.start_server(seed, 0.3, 20.0)
            server.play(LONG_SECONDS)
            server.set_busy_share(0.9997)
            server.run_for(0.5)
            self.assertEqual(self.times_nested(server, "callers", 12.0), 0, seed)

    def test_one_long_run_does_not_make_a_new_route_nested(self):
        """A route is first called during a single long run of a server that was mostly idle."""
        for seed in SEEDS:
            server = self.start_server(seed, 0.02, 0.001)
            server.play(LONG_SECONDS)
            server.run_for(8.0)
            found = 0
            for _ in range(40):
                server.play(0.2)
                server.record("new")
                found += server.routes.is_nested("new")
            self.assertEqual(found, 0, seed)


if __name__ == "__main__":
    unittest.main()
