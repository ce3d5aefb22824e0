"""Tests of the slowdown of a host against its baseline."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from caperstack.admission.slowdown import BASELINE_SECONDS, MAX_INITIAL_BASELINE, HostSlowdown


class TestHostSlowdown(unittest.TestCase):
    """`HostSlowdown` with a clock controlled by the test."""

    def setUp(self):
        self.clock = 100.0
        self.enterContext(mock.patch("caperstack.admission.slowdown.now", lambda: self.clock))
        self.slowdown = HostSlowdown()

    def record_reading(self, *slowdowns):
        for slowdown in slowdowns:
            self.clock += 0.08
            self.changed = self.slowdown.record_reading(slowdown)

    def test_slow_phase_is_distinguished_from_a_cold_start(self):
        # A server that has just started is twice as slow for seconds, and a noisy neighbour
        # makes it eight times as slow.  Only the slow phase is worth waiting for.
        self.record_reading(*[2.0] * 10, 8.0)
        self.assertTrue(self.slowdown.slowed)
        self.record_reading(2.0)
        self.assertFalse(self.slowdown.slowed)
        self.assertEqual(self.slowdown.baseline, 2.0)

    def test_first_reading_in_a_slow_phase_of_a_cold_server_is_no_baseline(self):
        # All nodes start together, and one host in four is in a slow phase with a cold server.
        # With that as the baseline, work at eight times its cost would fill the slots with
        # calls that reach their deadlines.
        self.record_reading(8.0)
        self.assertTrue(self.slowdown.slowed)
        self.record_reading(2.0)
        self.assertFalse(self.slowdown.slowed)

    def test_first_reading_in_a_slow_phase_of_a_warm_host_is_no_baseline_yet(self):
        self.record_reading(4.0)
        self.assertTrue(self.slowdown.slowed)
        self.record_reading(*[4.0] * 16)
        self.assertFalse(self.slowdown.slowed)

    def test_lasting_slowdown_becomes_the_baseline(self):
        self.record_reading(1.0, *[4.0] * 5)
        self.assertTrue(self.slowdown.slowed)
        self.record_reading(*[4.0] * 15)
        self.assertFalse(self.slowdown.slowed)

    @given(st.lists(st.tuples(st.floats(0.01, 0.5), st.floats(0.5, 9.0)), min_size=1))
    def test_baseline_is_the_lowest_reading_of_the_window(self, readings):
        slowdown = HostSlowdown()
        readings_by_time = []
        for gap, value in readings:
            self.clock += gap
            slowdown.record_reading(value)
            readings_by_time.append((self.clock, value))
        lowest = min(
            v
            for at, v in readings_by_time
            if at >= self.clock - BASELINE_SECONDS or at == self.clock
        )
        long_observed = self.clock - readings_by_time[0][0] >= BASELINE_SECONDS
        self.assertEqual(
            slowdown.baseline, lowest if long_observed else min(lowest, MAX_INITIAL_BASELINE)
        )

    def test_only_large_changes_are_reported(self):
        self.record_reading(1.0, 1.1)
        self.assertFalse(self.changed)
        self.record_reading(4.0)
        self.assertTrue(self.changed)

    def test_new_instance_discards_old_readings(self):
        self.record_reading(1.0, 1.0)
        self.slowdown.restart()
        self.record_reading(2.0)
        self.assertEqual(self.slowdown.baseline, 2.0)
