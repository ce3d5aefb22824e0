"""The judge of a soak: each promise can be found broken, and calm runs are clean."""

import contextlib
import io
import random
import unittest
from types import SimpleNamespace

from caperstack.platform.standin.fleet import ServerCrash
from caperstack.platform.standin.instance import Run
from caperstack.soak.ground import Evacuation, Fact, Ground, Window
from caperstack.soak.judge import CUT, NOBODY_LISTENS, Asked, judge
from caperstack.soak.main import main


class TestJudge(unittest.TestCase):
    """`judge` on one request and the ledger of one backend server."""

    def setUp(self):
        self.ledger = []
        instance = SimpleNamespace(ledger=self.ledger, overloaded=0)
        host = SimpleNamespace(ip="h1", zone="a", instance=instance)
        self.fleet = SimpleNamespace(hosts=[host], crashes=[])
        self.ground = Ground(self.fleet, random.Random(1), 0.0)

    def run_once(self, name="r", at=10.0, instance="i1", service="bookings", target="/bookings/"):
        self.ledger.append(Run(name, at, instance, service, target))

    def broken(self, code=200, whole=True, path="/bookings/", once=True, begun=10.0):
        asked = Asked("r", path, "h1", begun, begun + 0.1, code, whole, once)
        return set(judge(self.ground, [asked], 2).broken)

    def test_calm_request_is_clean(self):
        self.run_once()
        self.assertEqual(self.broken(), set())

    def test_booking_runs_twice(self):
        self.run_once()
        self.run_once(at=10.2)
        self.assertEqual(self.broken(), {"at most once"})

    def test_refused_booking_has_run(self):
        self.run_once()
        self.assertEqual(self.broken(code=503), {"not run is true"})

    def test_answer_is_of_somebody_else(self):
        self.run_once()
        self.assertEqual(self.broken(whole=False), {"whole and own"})
        self.ledger.clear()
        self.assertEqual(self.broken(), {"answered without a run"})

    def test_more_attempts_than_allowed(self):
        for _ in range(3):
            self.run_once(service="rates", target="/rates/")
        self.assertEqual(self.broken(path="/rates/", once=False), {"attempts"})

    def test_cut_counts_unless_the_host_was_in_trouble(self):
        self.assertEqual(self.broken(code=CUT), {"cut by planned work"})
        self.assertEqual(self.broken(code=NOBODY_LISTENS), set())
        self.ground.windows.append(Window("h1", 9.0, 10.05))
        self.assertEqual(self.broken(code=CUT), set())

    def test_fatal_request_is_sent_on(self):
        # Three servers have ended of it; four sends follow after three seconds, or
        # while a node is not itself.
        target = "/listings/fatal"
        self.ground.fatal.append(target)
        self.fleet.crashes += [ServerCrash(float(at), f"i{at}", target) for at in (1, 2, 3)]
        for number in range(4):
            self.run_once(f"r{number}", 8.0 + number / 10, "i4", "listings", target)
        asked = [Asked(f"r{n}", target, "h1", 8.0, 9.0, 502, True, False) for n in range(4)]
        self.assertEqual(set(judge(self.ground, asked, 2).broken), {"fatal request kept away"})
        self.ground.windows.append(Window("h1", 6.0, 7.0, process=False))
        self.assertEqual(set(judge(self.ground, asked, 2).broken), {"fatal request kept away"})
        self.ground.windows.append(Window("h1", 6.0, 7.0))
        self.assertEqual(judge(self.ground, asked, 2).broken, {})

    def test_fatal_request_is_forgotten_with_all_nodes(self):
        # All nodes are killed after the third end: three more may end before it is
        # known again.
        target = "/listings/fatal"
        self.ground.fatal.append(target)
        self.fleet.crashes += [ServerCrash(float(at), f"i{at}", target) for at in (1, 2, 3)]
        self.ground.full_stops.append(4.0)
        for number in range(4):
            self.run_once(f"r{number}", 8.0 + number / 10, "i4", "listings", target)
        asked = [Asked(f"r{n}", target, "h1", 8.0, 9.0, 502, True, False) for n in range(4)]
        self.assertEqual(judge(self.ground, asked, 2).broken, {})

    def test_run_that_nobody_asked_for(self):
        self.run_once(name="other")
        self.assertIn("nobody asked", self.broken(code=503))

    def test_run_after_the_server_left(self):
        self.ground.departures.append(Fact(5.0, "i1"))
        self.run_once()
        self.assertEqual(self.broken(), {"after leaving"})
        self.ground.windows.append(Window("h2", 6.0, 7.0))
        self.assertEqual(self.broken(), {"after leaving"})
        self.ground.windows.append(Window("h1", 6.0, 7.0))
        self.assertEqual(self.broken(), set())

    def test_old_configuration_is_acted_on(self):
        self.ground.configurations += [Fact(0.0, "/moving/", "a"), Fact(5.0, "/moving/", "b")]
        self.run_once(service="a", target="/moving/")
        self.ground.windows.append(Window("h2", 9.0, 11.0))
        self.assertEqual(self.broken(path="/moving/", once=False), {"configuration in force"})
        self.ledger.clear()
        self.run_once(service="b", target="/moving/")
        self.assertEqual(self.broken(path="/moving/", once=False), set())

    def test_route_goes_to_another_service(self):
        self.run_once(service="rates")
        self.assertEqual(self.broken(), {"configuration in force"})

    def test_run_in_an_evacuated_zone(self):
        self.run_once()
        self.ground.evacuations.append(Evacuation("a", 7.0, 11.0))
        self.assertEqual(self.broken(), {"evacuated zone"})
        self.ground.evacuations[0].begin = 8.0
        self.assertEqual(self.broken(), set())
        self.ground.evacuations[0] = Evacuation("a", 1.0, 9.9)
        self.assertEqual(self.broken(), set())
        self.ground.evacuations[0] = Evacuation("b", 1.0)
        self.assertEqual(self.broken(), set())

    def test_cold_server_that_got_more_than_it_bears(self):
        self.run_once()
        self.fleet.hosts[0].instance.overloaded = 1
        self.assertEqual(self.broken(), {"cold server spared"})

    def test_node_that_ended_badly(self):
        self.ground.problems.append("h1 ended with 1")
        self.run_once()
        self.assertEqual(self.broken(), {"node"})


class TestMain(unittest.TestCase):
    """`main`."""

    def test_unknown_fleet_is_told(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err), self.assertRaises(SystemExit) as caught:
            main(["--fleet", "other"])
        self.assertEqual(caught.exception.code, 2)
        self.assertIn("--fleet", err.getvalue())


if __name__ == "__main__":
    unittest.main()
