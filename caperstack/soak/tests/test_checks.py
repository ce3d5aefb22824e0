"""Test that the checks of a soak find each broken guarantee, and none in a good run."""

import contextlib
import io
import random
import unittest
from types import SimpleNamespace

from caperstack.platform.standin.fleet import ServerCrash
from caperstack.platform.standin.instance import Run
from caperstack.soak.checks import (
    BROKEN_OFF,
    CONNECTION_CLOSED,
    CONNECTION_REFUSED,
    RequestRecord,
    check_guarantees,
)
from caperstack.soak.main import main
from caperstack.soak.state import (
    Change,
    Evacuation,
    FaultWindow,
    RateLimitPeriod,
    SlowReadersPeriod,
    SoakState,
)


class TestCheckGuarantees(unittest.TestCase):
    """`check_guarantees` on one request and the ledger of one backend server."""

    def setUp(self):
        self.ledger = []
        instance = SimpleNamespace(ledger=self.ledger, overloaded=0)
        host = SimpleNamespace(ip="h1", zone="a", instance=instance)
        self.fleet = SimpleNamespace(hosts=[host], crashes=[])
        self.state = SoakState(self.fleet, random.Random(1), 0.0)

    def run_once(self, name="r", at=10.0, instance="i1", service="bookings", target="/bookings/"):
        self.ledger.append(Run(name, at, instance, service, target))

    def broken(self, code=200, complete=True, path="/bookings/", at_most_once=True, begun=10.0):
        request = RequestRecord("r", path, "h1", begun, begun + 0.1, code, complete, at_most_once)
        return set(check_guarantees(self.state, [request], 2).broken)

    def test_good_request_breaks_no_guarantee(self):
        self.run_once()
        self.assertEqual(self.broken(), set())

    def test_booking_that_runs_twice_is_found(self):
        self.run_once()
        self.run_once(at=10.2)
        self.assertEqual(self.broken(), {"at most once"})

    def test_refused_booking_that_has_run_is_found(self):
        self.run_once()
        self.assertEqual(self.broken(code=503), {"not run is true"})

    def test_answer_of_another_request_is_found(self):
        self.run_once()
        self.assertEqual(self.broken(complete=False), {"whole and own"})
        self.ledger.clear()
        self.assertEqual(self.broken(), {"answered without a run"})

    def test_too_many_attempts_are_found(self):
        for _ in range(3):
            self.run_once(service="rates", target="/rates/")
        self.assertEqual(self.broken(path="/rates/", at_most_once=False), {"attempts"})

    def test_closed_connection_counts_unless_a_fault_affected_the_host(self):
        self.assertEqual(self.broken(code=CONNECTION_CLOSED), {"cut by planned work"})
        self.assertEqual(self.broken(code=CONNECTION_REFUSED), set())
        self.state.windows.append(FaultWindow("h1", 9.0, 10.05))
        self.assertEqual(self.broken(code=CONNECTION_CLOSED), set())

    def test_answer_that_breaks_off_counts_unless_the_caller_paused_for_long(self):
        def broken(may_break_off):
            request = RequestRecord(
                "r", "/listings/large", "h1", 10.0, 12.0, BROKEN_OFF, True, False, may_break_off
            )
            return set(check_guarantees(self.state, [request], 2).broken)

        self.assertEqual(broken(may_break_off=False), {"cut by planned work"})
        self.assertEqual(broken(may_break_off=True), set())
        self.state.windows.append(FaultWindow("h1", 11.0, 13.0))
        self.assertEqual(broken(may_break_off=False), set())

    def test_others_that_are_not_served_beside_slow_readers_are_found(self):
        self.state.slow_readers.append(SlowReadersPeriod("h1", 9.0, 12.0))
        self.ledger += [Run(f"r{n}", 10.0, "i1", "rates", "/rates/") for n in range(3)]
        requests = [
            RequestRecord(f"r{n}", "/rates/", "h1", 10.0, 11.0, 200 if n < 3 else 504, True, False)
            for n in range(13)
        ]
        self.assertEqual(
            set(check_guarantees(self.state, requests, 2).broken), {"others are served"}
        )
        self.assertEqual(check_guarantees(self.state, requests[:12], 2).broken, {})
        self.state.windows.append(FaultWindow("h1", 9.5, 9.6))
        self.assertEqual(check_guarantees(self.state, requests, 2).broken, {})

    def test_fatal_request_that_is_not_blocked_is_found(self):
        # Three servers have crashed; four sends follow more than three seconds later.
        # They are excused only if a fault has affected the process of the node.
        target = "/listings/fatal"
        self.state.fatal.append(target)
        self.fleet.crashes += [ServerCrash(float(at), f"i{at}", target) for at in (1, 2, 3)]
        for number in range(4):
            self.run_once(f"r{number}", 8.0 + number / 10, "i4", "listings", target)
        requests = [
            RequestRecord(f"r{n}", target, "h1", 8.0, 9.0, 502, True, False) for n in range(4)
        ]
        self.assertEqual(
            set(check_guarantees(self.state, requests, 2).broken), {"fatal request kept away"}
        )
        self.state.windows.append(FaultWindow("h1", 6.0, 7.0, process=False))
        self.assertEqual(
            set(check_guarantees(self.state, requests, 2).broken), {"fatal request kept away"}
        )
        self.state.windows.append(FaultWindow("h1", 6.0, 7.0))
        self.assertEqual(check_guarantees(self.state, requests, 2).broken, {})

    def test_killing_all_nodes_resets_the_crashes_of_a_fatal_request(self):
        # All nodes are killed after the third crash, which loses the count: three more
        # servers may crash before the request is blocked again.
        target = "/listings/fatal"
        self.state.fatal.append(target)
        self.fleet.crashes += [ServerCrash(float(at), f"i{at}", target) for at in (1, 2, 3)]
        self.state.kill_all_times.append(4.0)
        for number in range(4):
            self.run_once(f"r{number}", 8.0 + number / 10, "i4", "listings", target)
        requests = [
            RequestRecord(f"r{n}", target, "h1", 8.0, 9.0, 502, True, False) for n in range(4)
        ]
        self.assertEqual(check_guarantees(self.state, requests, 2).broken, {})

    def test_run_without_a_request_is_found(self):
        self.run_once(name="other")
        self.assertIn("nobody asked", self.broken(code=503))

    def test_run_after_the_server_left_is_found(self):
        self.state.departures.append(Change(5.0, "i1"))
        self.run_once()
        self.assertEqual(self.broken(), {"after leaving"})
        self.state.windows.append(FaultWindow("h2", 6.0, 7.0))
        self.assertEqual(self.broken(), {"after leaving"})
        self.state.windows.append(FaultWindow("h1", 6.0, 7.0))
        self.assertEqual(self.broken(), set())

    def test_run_under_an_outdated_configuration_is_found(self):
        self.state.configurations += [Change(0.0, "/moving/", "a"), Change(5.0, "/moving/", "b")]
        self.run_once(service="a", target="/moving/")
        self.state.windows.append(FaultWindow("h2", 9.0, 11.0))
        self.assertEqual(
            self.broken(path="/moving/", at_most_once=False), {"configuration in force"}
        )
        self.ledger.clear()
        self.run_once(service="b", target="/moving/")
        self.assertEqual(self.broken(path="/moving/", at_most_once=False), set())

    def test_run_at_the_wrong_service_is_found(self):
        self.run_once(service="rates")
        self.assertEqual(self.broken(), {"configuration in force"})

    def test_run_in_an_evacuated_zone_is_found(self):
        self.run_once()
        self.state.evacuations.append(Evacuation("a", 7.0, 11.0))
        self.assertEqual(self.broken(), {"evacuated zone"})
        self.state.evacuations[0].begin = 8.0
        self.assertEqual(self.broken(), set())
        self.state.evacuations[0] = Evacuation("a", 1.0, 9.9)
        self.assertEqual(self.broken(), set())
        self.state.evacuations[0] = Evacuation("b", 1.0)
        self.assertEqual(self.broken(), set())

    def test_run_at_a_server_that_had_stated_that_it_leaves_is_found(self):
        self.run_once()
        self.state.stated_departures.append(Change(7.0, "i1"))
        self.assertEqual(self.broken(), {"after leaving"})
        self.state.windows.append(FaultWindow("h1", 6.0, 11.0, process=False))
        self.assertEqual(self.broken(), {"after leaving"})
        self.state.windows.append(FaultWindow("h1", 6.0, 11.0))
        self.assertEqual(self.broken(), set())

    def run_often(self, times, begin, gap):
        for number in range(times):
            self.run_once(name=f"r{number}", at=begin + gap * number)

    def rate_broken(self):
        return "rate limit" in self.broken()

    def test_exceeded_rate_limit_is_found(self):
        self.state.rate_limits.append(RateLimitPeriod("h1", 2.0, 5.0, 20.0))
        self.run_often(17, 7.0, 0.2)
        self.assertFalse(self.rate_broken())
        self.run_often(18, 12.0, 0.2)
        self.assertTrue(self.rate_broken())

    def test_runs_before_the_rate_limit_is_known_are_allowed(self):
        self.state.rate_limits.append(RateLimitPeriod("h1", 2.0, 5.0, 20.0))
        self.run_often(50, 5.0, 0.019)
        self.assertFalse(self.rate_broken())
        self.state.rate_limits[0].begin = 4.0
        self.assertTrue(self.rate_broken())
        self.state.windows.append(FaultWindow("h1", 4.5, 5.5))
        self.assertFalse(self.rate_broken())

    def test_later_fault_does_not_excuse_an_exceeded_rate_limit(self):
        self.state.rate_limits.append(RateLimitPeriod("h1", 2.0, 5.0, 20.0))
        self.state.windows.append(FaultWindow("h1", 8.0, 9.0))
        self.run_often(18, 9.0, 0.1)
        self.assertTrue(self.rate_broken())

    def test_overload_of_a_cold_server_is_found(self):
        self.run_once()
        self.fleet.hosts[0].instance.overloaded = 1
        self.assertEqual(self.broken(), {"cold server spared"})

    def test_bad_exit_of_a_node_is_found(self):
        self.state.problems.append("h1 exited with status 1")
        self.run_once()
        self.assertEqual(self.broken(), {"node"})


class TestMain(unittest.TestCase):
    """`main`."""

    def test_unknown_fleet_is_rejected(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err), self.assertRaises(SystemExit) as caught:
            main(["--fleet", "other"])
        self.assertEqual(caught.exception.code, 2)
        self.assertIn("--fleet", err.getvalue())


if __name__ == "__main__":
    unittest.main()
