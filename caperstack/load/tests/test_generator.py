"""Test the load generator against real nodes."""

import unittest

from caperstack.bench.scenario import small_fleet
from caperstack.load.generator import run_calls
from caperstack.load.plan import CallClass, plan_calls

CLASSES = [
    CallClass(name="listing", path="/listings", share=2),
    CallClass(name="booking", path="/bookings", method="POST", keyed=True, body_bytes=2000),
]


class TestRunCalls(unittest.IsolatedAsyncioTestCase):
    """Test `run_calls`."""

    async def test_planned_calls_are_sent_and_their_answers_checked(self):
        fleet = await self.enterAsyncContext(small_fleet(2))
        targets = [fleet.caller_address(host) for host in fleet.settings]
        plan = list(plan_calls(CLASSES, targets, 40.0, 1.0, seed=1))
        results = await run_calls(plan)
        self.assertEqual(len(results), len(plan))
        self.assertEqual({result.name for result in results}, {planned.name for planned in plan})
        listings = [result for result in results if result.kind == "listing"]
        self.assertEqual(
            {(r.outcome, r.status, r.whole) for r in listings}, {("answered", 200, True)}
        )


if __name__ == "__main__":
    unittest.main()
