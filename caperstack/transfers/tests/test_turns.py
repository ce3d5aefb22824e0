"""Tests of the turns of large bodies at an owner, in virtual time."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from caperstack.clock import deadline_after, now
from caperstack.play.tests.virtualcase import in_virtual_time
from caperstack.play.virtual import run_virtual
from caperstack.transfers.link import LinkBudget
from caperstack.transfers.turns import Transfer, TransferTurns

BUDGET = LinkBudget(800_000.0)
SIZE = 60_000
SECONDS = BUDGET.seconds(SIZE)


class TestTransferTurns(unittest.TestCase):
    """`TransferTurns` of a link that one body fills."""

    def play(self, work, budget=BUDGET):
        self.turns = TransferTurns(budget)

        async def played():
            await work()
            self.assertEqual((self.turns.waiting, self.turns.expected_wait()), (0, 0.0))

        run_virtual(played)

    async def take(self, due=0, sender=0.0, until=60.0):
        """Return the transfer with its turn, or ``None`` if that did not come."""
        transfer = Transfer((due,), SIZE, sender)
        return transfer if await self.turns.take(transfer, deadline_after(until)) else None

    def start(self, *args, **fields):
        return asyncio.create_task(self.take(*args, **fields))

    async def finish(self, task):
        """Wait for a turn and end it when its body would have come; return when it began."""
        transfer = await task
        began = now()
        await asyncio.sleep(transfer.due_at - now())
        self.turns.release(transfer)
        return began

    @in_virtual_time
    async def test_most_urgent_body_is_next(self):
        first = await self.take(9)
        waiting = [self.start(due) for due in (5, 3, 4, 3)]
        await asyncio.sleep(0)
        self.turns.release(first)
        began = await asyncio.gather(*(self.finish(task) for task in waiting))
        self.assertEqual(sorted(range(4), key=began.__getitem__), [1, 3, 2, 0])

    @in_virtual_time
    async def test_expected_wait_is_the_wait(self):
        tasks = [self.start(due) for due in (1, 2, 4)]
        await asyncio.sleep(0)
        expected = self.turns.expected_wait((3,))
        self.assertAlmostEqual(expected, 2 * SECONDS)
        self.assertAlmostEqual(self.turns.expected_wait(), 3 * SECONDS)
        third = self.start(3)
        arrived = now()
        ended = asyncio.gather(*(self.finish(task) for task in tasks))
        self.assertAlmostEqual(await self.finish(third) - arrived, expected, places=6)
        await ended

    @in_virtual_time
    async def test_senders_with_slow_links_share_the_link(self):
        rate = BUDGET.bytes_per_second
        slow = await self.take(sender=0.6 * rate)
        rest = await self.take(sender=rate)
        self.assertAlmostEqual(slow.bytes_per_second + rest.bytes_per_second, rate)
        self.assertIsNone(await self.take(until=0.001))
        self.turns.release(slow)
        self.turns.release(rest)

    @in_virtual_time
    async def test_turn_that_does_not_come_in_time_leaves_nothing(self):
        first = await self.take()
        self.assertIsNone(await self.take(until=0.05))
        self.assertIsNone(await self.take(until=-1.0))
        self.turns.release(first)

    @in_virtual_time
    async def test_turn_granted_to_a_cancelled_wait_goes_to_the_next(self):
        """Guards against a turn that leaks if its wait is cancelled in the same step."""

        first = await self.take()
        cancelled, following = self.start(1), self.start(2)
        await asyncio.sleep(0)
        self.turns.release(first)
        cancelled.cancel()
        await asyncio.wait([cancelled])
        await self.finish(following)

    @in_virtual_time
    async def test_turn_granted_as_the_wait_times_out_goes_to_the_next(self):
        """Guards against a turn that leaks if its wait times out in the same step."""

        first = await self.take()
        late, following = self.start(1, until=0.1), self.start(2)
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_at(now() + 0.1, self.turns.release, first)
        await self.finish(following)
        if (transfer := await late) is not None:
            self.turns.release(transfer)

    @in_virtual_time
    async def test_transfer_that_lasts_longer_than_expected_keeps_others_waiting(self):
        """Guards against entries that are told of no wait while a body stalls on the link."""

        stalled = await self.take()
        await asyncio.sleep(1.5 * SECONDS)
        self.assertGreaterEqual(self.turns.expected_wait(), 0.49 * SECONDS)
        self.turns.release(stalled)

    def test_unknown_link_lets_every_body_go_at_once(self):
        async def work():
            taken = [await self.take(sender=5e5) for _ in range(20)]
            self.assertEqual({transfer.bytes_per_second for transfer in taken}, {5e5})
            for transfer in taken:
                self.turns.release(transfer)

        self.play(work, LinkBudget())

    @settings(max_examples=40, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.floats(0.0, 0.4), st.floats(0.0, 0.5), st.booleans()),
            max_size=30,
        )
    )
    def test_no_turn_is_lost_whatever_ends_the_waits(self, transfers):
        async def one(due, arrives, patience, leaves):
            await asyncio.sleep(arrives)
            task = self.start(due, until=patience)
            if leaves:
                await asyncio.sleep(patience / 2)
                task.cancel()
                await asyncio.wait([task])
            if not task.cancelled() and (transfer := await task) is not None:
                used = sum(running.bytes_per_second for running in self.turns._running)
                self.assertLessEqual(used, BUDGET.bytes_per_second * 1.000001)
                await asyncio.sleep(transfer.due_at - now())
                self.turns.release(transfer)

        async def work():
            await asyncio.gather(*(one(*transfer) for transfer in transfers))

        self.play(work)


if __name__ == "__main__":
    unittest.main()
