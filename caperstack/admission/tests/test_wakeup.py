"""Tests of the timer that wakes waiting calls."""

import asyncio
import unittest

from caperstack.admission.wakeup import WakeUp
from caperstack.clock import now
from caperstack.play.virtual import run_virtual


class TestWakeUp(unittest.TestCase):
    """`WakeUp` in virtual time."""

    def fire_times(self, *settings):
        """Set the timer for each of `settings` at once; return the times of its calls."""

        async def work():
            begun = now()
            fired = []
            wakeup = WakeUp(lambda: fired.append(round(now() - begun, 3)))
            for seconds in settings:
                wakeup.set(seconds)
            await asyncio.sleep(20.0)
            return fired

        return run_virtual(work)

    def test_sooner_time_replaces_a_later_one(self):
        """Guards against calls that wait for a turn at a rate that has been raised."""
        self.assertEqual(self.fire_times(10.0, 1.0), [1.0])

    def test_later_time_does_not_delay_a_sooner_one(self):
        self.assertEqual(self.fire_times(1.0, 10.0), [1.0])

    def test_timer_can_be_set_again_after_it_has_fired(self):
        async def work():
            fired = []
            wakeup = WakeUp(lambda: fired.append(True))
            for _ in range(2):
                wakeup.set(1.0)
                await asyncio.sleep(2.0)
            return len(fired)

        self.assertEqual(run_virtual(work), 2)


if __name__ == "__main__":
    unittest.main()
