"""Tests of the concurrency limit that is learnt from service times."""

import random
import unittest

from caperstack.admission.knee import Knee

SLOWDOWN_BEYOND_KNEE = 1.7


class OverloadedServer:
    """Overloaded server that slows down when more than a share of its slots is in use."""

    def __init__(self, slots, share, seed=1):
        self.slots = slots
        self._free = share * slots
        self._rng = random.Random(seed)
        self._baseline = 1.0

    def slowdown(self, concurrency):
        return SLOWDOWN_BEYOND_KNEE if concurrency > self._free else 1.0

    def throughput(self, concurrency):
        """Return the relative throughput at the given concurrency."""
        return concurrency / self.slowdown(concurrency)

    def run(self, knee, starts, drift=None):
        """Start calls as `knee` allows; ``drift(n)`` is an additional slowdown of start n."""
        for number in range(starts):
            concurrency = knee.allowed()
            knee.record_start()
            slow = drift(number) if drift else 1.0
            time = slow * self.slowdown(concurrency) * self._rng.lognormvariate(-0.045, 0.3)
            knee.record_time(concurrency, time / self._baseline)
            # The baseline of the route follows the measured times.
            self._baseline += 0.01 * (time - self._baseline)


class TestKnee(unittest.TestCase):
    """`Knee` with servers that slow down beyond 50, 80, 95 or 100 % of their slots."""

    def learnt(self, slots, share, starts=60_000, drift=None):
        knee = Knee(slots, max(1, int(0.8 * slots + 1e-9)))
        load = OverloadedServer(slots, share)
        load.run(knee, starts, drift)
        return knee, load

    def test_learnt_limit_is_near_the_optimum(self):
        # At least 0.93 of the throughput of the best fixed limit, wherever the knee is.
        for slots in (3, 6, 11, 18, 300):
            for share in (0.8, 0.95, 1.0):
                knee, load = self.learnt(slots, share)
                best = max(load.throughput(limit) for limit in range(1, slots + 1))
                self.assertGreaterEqual(load.throughput(knee.limit), 0.93 * best, (slots, share))

    def test_knee_below_the_initial_limit_loses_no_throughput(self):
        for slots in (3, 6, 11, 18, 300):
            knee, load = self.learnt(slots, 0.5)
            first = load.throughput(max(1, int(0.8 * slots + 1e-9)))
            self.assertGreaterEqual(load.throughput(knee.limit), first, slots)

    def test_work_slowed_by_other_causes_does_not_move_the_limit(self):
        # All calls take three times as long for a while, since their nested calls wait
        # elsewhere.  The limit must not be lowered for that.
        knee, _ = self.learnt(11, 0.8, drift=lambda number: 3.0 if number // 500 % 2 else 1.0)
        self.assertEqual(knee.limit, 8)

    def test_limit_above_the_knee_is_lowered_within_600_starts(self):
        knee = Knee(11, 9)
        OverloadedServer(11, 0.8).run(knee, 600)
        self.assertEqual(knee.limit, 8)

    def test_trials_beyond_the_knee_become_rare(self):
        knee, load = self.learnt(11, 0.8)
        beyond = 0
        for _ in range(10_000):
            beyond += knee.allowed() > knee.limit
            load.run(knee, 1)
        self.assertLess(beyond, 150)


if __name__ == "__main__":
    unittest.main()
