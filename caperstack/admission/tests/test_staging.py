"""Tests of the staging of large bodies, in an owner in virtual time."""

import asyncio
import os
import random
import unittest
from collections import Counter
from dataclasses import dataclass

import msgspec

from caperstack.admission.staging import LINK_BUSY
from caperstack.admission.tests.ownercase import start_owner
from caperstack.calls.model import Answered, Call, NotRun, ServerState
from caperstack.clock import deadline_after, now
from caperstack.events.log import REFUSAL_LINES_PER_SECOND, LogWriter
from caperstack.events.ring import EventRing
from caperstack.exception import PeerError
from caperstack.operators.metrics import Metrics
from caperstack.play.tests.virtualcase import in_virtual_time
from caperstack.play.virtual import run_virtual
from caperstack.transfers.link import LinkBudget
from caperstack.transfers.pacing import BodyPacer

LINK_BYTES_PER_SECOND = 800_000.0
BUDGET = LinkBudget(LINK_BYTES_PER_SECOND)
SLOTS = 3

#: A body that takes a tenth of a second within the budget, and that time.
SIZE = int(0.1 * BUDGET.bytes_per_second)
SECONDS = BUDGET.seconds(SIZE)

#: Duration of the load in the tests under load, in seconds, and its seeds.
LOAD_SECONDS = 6.0
SEEDS = range(5)


class FakeServer:
    """Backend server that takes as long as the call's target says."""

    def __init__(self):
        self.started = []
        self.running = 0

    async def fetch(self, call, _instance=""):
        self.started.append(call.request_id)
        self.running += 1
        try:
            await asyncio.sleep(float(call.target))
        finally:
            self.running -= 1
        return Answered(200, "OK", [], b"")

    def restart(self):
        """Do nothing, since no state is kept."""


class FakeLink:
    """Link that carries messages one after the other."""

    def __init__(self, bytes_per_second=LINK_BYTES_PER_SECOND):
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    async def carry(self, size):
        self._free_at = max(now(), self._free_at) + size / self._bytes_per_second
        await asyncio.sleep(self._free_at - now())


class FakeBody:
    """Withheld body that comes over a `FakeLink`, or never without one."""

    def __init__(self, link, size=SIZE):
        self._link = link
        self.size = size
        self.sender_bytes_per_second = 0.0
        self.asked_at = 0.0

    async def fetch(self, limit, bytes_per_second=0.0):
        self.asked_at = now()
        try:
            async with asyncio.timeout_at(limit):
                if self._link is None:
                    await asyncio.get_running_loop().create_future()
                elif bytes_per_second:
                    async for piece in BodyPacer(BUDGET).pieces(bytes(self.size), bytes_per_second):
                        await self._link.carry(len(piece))
                else:
                    await self._link.carry(self.size)
        except TimeoutError:
            raise PeerError("not sent in time", step="body") from None
        return bytes(self.size)


def make_call(name, body=None, objective=1.0, seconds=2.5, work=0.05, **fields):
    call = Call(name, "n", str(name), "s", "POST", str(work), [], b"", 0.0, False, **fields)
    call.deadline = deadline_after(seconds)
    call.queue_until = call.queue_until or call.deadline
    call.objective_at = deadline_after(objective)
    call.route = f"/{work}"
    call.withheld = body
    return call


class OwnerCase(unittest.TestCase):
    """Plays work with an owner of three slots behind a thin link."""

    services = {}

    def play(self, work, budget=BUDGET):
        async def played():
            self.server, self.link, self.bodies = FakeServer(), FakeLink(), {}
            self.owner = await start_owner(self.server, SLOTS, 1.0, budget, **self.services)
            self.owner.assign("i-1", "s")
            self.owner.set_health(ServerState.WARM)
            for number in range(10):
                await self.owner.run(make_call(f"before {number}"))
            self.server.started.clear()
            await work()
            await asyncio.sleep(3.0)
            self.assertTrue(self.owner.idle)
            self.assertEqual(self.owner.load.link_wait_ms, 0)

        run_virtual(played)

    def upload(self, name, link=True, **fields):
        body = self.bodies[str(name)] = FakeBody(self.link if link else None)
        return make_call(name, body, last=True, **fields)

    def start(self, call):
        return asyncio.create_task(self.owner.run(call))


class TestBodyStaging(OwnerCase):
    """Calls with large bodies, one or a few at a time."""

    @in_virtual_time
    async def test_body_is_fetched_before_its_call_holds_a_slot(self):
        task = self.start(self.upload("a"))
        await asyncio.sleep(SECONDS / 2)
        self.assertEqual(self.owner.load.in_flight, 0)
        self.assertIsInstance(await task, Answered)

    @in_virtual_time
    async def test_most_urgent_body_comes_first(self):
        calls = [self.upload(n, objective=2.0 - n / 10) for n in range(4)]
        calls.append(self.upload(4, objective=2.4, criticality=2))
        calls.append(self.upload(5, objective=2.4, depth=1))
        await asyncio.gather(*(self.owner.run(call) for call in calls))
        self.assertEqual(self.server.started, ["0", "4", "5", "3", "2", "1"])

    @in_virtual_time
    async def test_call_whose_body_would_come_too_late_is_refused_at_once(self):
        calls = [self.upload(n, objective=0.4) for n in range(8)]
        tasks = [self.start(call) for call in calls]
        await asyncio.sleep(0)
        refused = [call for call, task in zip(calls, tasks, strict=True) if task.done()]
        self.assertEqual([call.request_id for call in refused], list("34567"))
        outcomes = await asyncio.gather(*tasks)
        self.assertEqual({o.reason for o in outcomes if isinstance(o, NotRun)}, {LINK_BUSY})
        self.assertFalse(any(self.bodies[call.request_id].asked_at for call in refused))

    @in_virtual_time
    async def test_call_that_can_run_elsewhere_does_not_wait_long_for_the_link(self):
        first = self.start(self.upload("first"))
        await asyncio.sleep(0)
        body = FakeBody(self.link)
        call = make_call("b", body, queue_until=deadline_after(0.02))
        self.assertEqual((await self.owner.run(call)).reason, LINK_BUSY)
        self.assertEqual(body.asked_at, 0.0)
        await first

    @in_virtual_time
    async def test_call_that_more_urgent_ones_make_too_late_is_refused_at_once(self):
        """Guards against callers who wait for a turn that is known not to come in time."""

        first = [self.start(self.upload(n, objective=0.4)) for n in range(3)]
        await asyncio.sleep(0.01)
        urgent = self.start(self.upload("urgent", objective=0.4, criticality=2))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual([task.done() for task in first], [False, False, True])
        self.assertEqual((await first[2]).reason, LINK_BUSY)
        await asyncio.gather(*first, urgent)

    @in_virtual_time
    async def test_late_call_runs_if_the_link_and_a_slot_are_free(self):
        """Guards against late uploads that nobody runs, although nothing else waits."""

        for objective in (-0.5, 0.0, 0.1):
            call = self.upload(objective, objective=objective)
            self.assertIsInstance(await self.owner.run(call), Answered)

    @in_virtual_time
    async def test_late_call_does_not_go_before_those_in_time(self):
        calls = [self.upload("first"), self.upload("in time"), self.upload("late", objective=0)]
        outcomes = await asyncio.gather(*(self.owner.run(call) for call in calls))
        self.assertEqual(self.server.started, ["first", "in time"])
        self.assertEqual(outcomes[2].reason, LINK_BUSY)

    @in_virtual_time
    async def test_body_that_takes_too_long_is_not_blamed_on_other_bodies(self):
        """Guards against operators who look for other bodies on an idle link."""

        refused = await self.owner.run(self.upload("a", seconds=0.12))
        self.assertEqual(refused.reason, "too little time left for the body")
        self.assertEqual(self.server.started, [])

    @in_virtual_time
    async def test_body_does_not_come_if_the_slots_have_filled_meanwhile(self):
        """Guards against bodies sent in vain for calls that waited for the link."""

        tasks = [self.start(self.upload(n, objective=1.2)) for n in range(2)]
        tasks.append(self.start(self.upload("late", objective=0.5)))
        await asyncio.sleep(0.01)
        urgent = (make_call(n, last=True, criticality=2) for n in range(10, 50))
        tasks += [self.start(call) for call in urgent]
        outcomes = await asyncio.gather(*tasks)
        self.assertEqual(outcomes[2].reason, "no slot in time")
        self.assertEqual(self.bodies["late"].asked_at, 0.0)

    @in_virtual_time
    async def test_calls_that_wait_for_the_link_are_refused_when_the_server_closes(self):
        """Guards against bodies sent in vain, and callers who wait, for a server that drains."""

        tasks = [self.start(self.upload(n)) for n in range(3)]
        await asyncio.sleep(0.01)
        self.owner.set_listed(False)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual([task.done() for task in tasks], [False, True, True])
        reasons = {(await task).reason for task in tasks}
        self.assertEqual((len(reasons), self.bodies["2"].asked_at), (1, 0.0))
        self.assertNotIn(LINK_BUSY, reasons)


class TestFailures(OwnerCase):
    """Transfers that fail halfway."""

    async def check_next(self, failing, within):
        """Assert that `failing` is refused and a waiting call's turn comes `within` seconds."""
        began = now()
        task = self.start(failing)
        await asyncio.sleep(0)
        self.assertIsInstance(await self.owner.run(self.upload("next")), Answered)
        self.assertLessEqual(self.bodies["next"].asked_at - began, within)
        self.assertEqual(self.server.started, ["next"])
        return await task

    def test_lost_connection_frees_the_turn(self):
        """Guards against a link that is kept for an entry that was killed."""

        async def lost(*_args):
            await asyncio.sleep(0.03)
            raise PeerError("connection lost", step="body")

        async def work():
            call = self.upload("a")
            call.withheld.fetch = lost
            outcome = await self.check_next(call, 0.031)
            self.assertEqual(outcome.reason, "body did not come: connection lost")

        self.play(work)

    @in_virtual_time
    async def test_frozen_entry_does_not_keep_the_turn(self):
        """Guards against a link that is kept for an entry that sends nothing."""

        outcome = await self.check_next(self.upload("a", link=False), 2 * SECONDS + 0.26)
        self.assertEqual(outcome.reason, "body did not come: not sent in time")

    @in_virtual_time
    async def test_caller_who_leaves_frees_the_turn_and_the_place_among_those_that_wait(self):
        """Guards against turns kept for calls that their entry has abandoned."""

        gone = [self.start(self.upload(n, objective=0.6)) for n in range(3)]
        await asyncio.sleep(0.01)
        task = self.start(self.upload("next"))
        await asyncio.sleep(0.01)
        for number in range(3):
            self.owner.abandon("n", number)
        left_at = now()
        self.assertIsInstance(await task, Answered)
        self.assertEqual(self.bodies["next"].asked_at, left_at)
        await asyncio.wait(gone)
        self.assertEqual(self.server.started, ["next"])

    @in_virtual_time
    async def test_slower_link_than_set_is_told_and_given_up_on_at_twice_the_time(self):
        """Guards against a wrong setting that stalls the link or hides its waits."""

        for share, ran in ((0.6, True), (0.1, False)):
            self.link = FakeLink(share * LINK_BYTES_PER_SECOND)
            began = now()
            task = self.start(self.upload(share))
            await asyncio.sleep(1.3 * SECONDS)
            self.assertGreater(self.owner.load.link_wait_ms, 0)
            self.assertEqual(isinstance(await task, Answered), ran)
            self.assertLess(now() - began, 2 * SECONDS + 0.31)

    @in_virtual_time
    async def test_entry_of_yesterday_sends_its_body_once_the_call_holds_a_slot(self):
        """Guards against bodies of unknown size that never come while a release is rolled out."""

        call = self.upload("a")
        call.withheld.size = 0
        task = self.start(call)
        await asyncio.sleep(0)
        self.assertEqual(self.owner.load.in_flight, 1)
        self.assertIsInstance(await task, Answered)

    def test_without_a_known_link_bodies_come_as_before(self):
        """Guards against deployments without a rate that are served otherwise than before."""

        async def work():
            tasks = [self.start(self.upload(n)) for n in range(5)]
            await asyncio.sleep(0)
            self.assertEqual((self.owner.load.in_flight, self.owner.load.queued), (SLOTS, 2))
            outcomes = await asyncio.gather(*tasks)
            self.assertEqual({type(outcome) for outcome in outcomes}, {Answered})

        self.play(work, None)


class TestOperators(OwnerCase):
    """What the log and the metrics say of bodies."""

    def setUp(self):
        reader, writer = os.pipe()
        self.lines = self.enterContext(open(reader, "rb"))
        self.addCleanup(os.close, writer)
        self.metrics = Metrics("h")
        log = LogWriter(writer, "127.0.0.13")
        self.services = {"events": EventRing("h", log), "metrics": self.metrics}

    @in_virtual_time
    async def test_refused_bodies_are_explained_within_the_bounds_of_the_log(self):
        """Guards against refusals that use up the lines of all other requests."""
        uploads = [self.upload(f"{n:016x}", objective=0.25) for n in range(100)]
        await asyncio.gather(*(self.owner.run(call) for call in uploads))
        os.set_blocking(self.lines.fileno(), False)
        lines = [msgspec.json.decode(line) for line in self.lines.readlines()]
        told = Counter((line["kind"], line.get("reason", "")) for line in lines)
        self.assertEqual(told["owner fetches body", ""], 2)
        for kind in ("owner refuses body", "owner refuses"):
            self.assertEqual(told[kind, LINK_BUSY], REFUSAL_LINES_PER_SECOND)
        transfers = [
            self.metrics.value("body_transfers", outcome=o) for o in ("received", "refused")
        ]
        self.assertEqual(transfers, [2, 98])


@dataclass
class Played:
    """What became of one call of the load."""

    upload: bool
    critical: bool
    size: int
    sent: bool
    answered: bool
    in_time: bool


class TestLoad(OwnerCase):
    """Uploads, more than the link carries, and small calls that share it."""

    def play_load(self, seed, staged):
        """Return a `Played` for each call."""
        rng = random.Random(seed)
        ended = []

        async def one(number, upload):
            began = now()
            critical = rng.random() < 0.3
            size = min(360_000, max(20_000, int(rng.expovariate(1 / 60_000))))
            objective, work = (0.8, 0.074) if upload else (0.12, 0.024)
            body = FakeBody(self.link, size) if upload and staged else None
            call = make_call(number, body, objective, 2.0, work, last=True)
            call.criticality = 2 if critical else 1
            await self.link.carry(size if upload and not staged else 500)
            outcome = await self.owner.run(call)
            sent = upload and (not staged or bool(body.asked_at))
            answered = isinstance(outcome, Answered)
            in_time = answered and now() - began <= objective
            ended.append(Played(upload, critical, size, sent, answered, in_time))

        async def arrive(per_second, upload):
            until = deadline_after(LOAD_SECONDS)
            while now() < until:
                self.tasks.append(asyncio.create_task(one((upload, len(self.tasks)), upload)))
                await asyncio.sleep(rng.expovariate(per_second))

        async def watch_slots():
            while True:
                await asyncio.sleep(0.005)
                self.assertEqual(self.owner.load.in_flight, self.server.running)

        async def work():
            self.tasks = []
            watch = asyncio.create_task(watch_slots())
            await asyncio.gather(arrive(16.0, True), arrive(25.0, False))
            await asyncio.gather(*self.tasks)
            self.assertFalse(watch.done())
            watch.cancel()

        self.play(work, BUDGET if staged else None)
        return ended

    @staticmethod
    def share_in_time(ended, upload, critical=None):
        chosen = [call for call in ended if call.upload == upload]
        chosen = [call for call in chosen if critical in (None, call.critical)]
        return sum(call.in_time for call in chosen) / len(chosen)

    def test_callers_are_served_in_time_while_uploads_exceed_the_link(self):
        for seed in SEEDS:
            before, staged = self.play_load(seed, False), self.play_load(seed, True)
            self.assertGreater(self.share_in_time(staged, False), 0.95, f"seed {seed}")
            self.assertLess(self.share_in_time(before, False), 0.5, f"seed {seed}")
            self.assertGreater(self.share_in_time(staged, True, True), 0.9, f"seed {seed}")
            gain = self.share_in_time(staged, True) - self.share_in_time(before, True)
            self.assertGreater(gain, 0.0, f"seed {seed}")

    def test_link_serves_callers_with_what_it_carries(self):
        """Guards against bodies sent in vain and a link that is idle while bodies wait."""
        for seed in SEEDS:
            uploads = [call for call in self.play_load(seed, True) if call.upload]
            served = sum(call.size for call in uploads if call.in_time)
            vain = sum(call.size for call in uploads if call.sent and not call.answered)
            sent = sum(call.size for call in uploads)
            carried = min(sent, BUDGET.bytes_per_second * LOAD_SECONDS)
            self.assertGreater(served, 0.85 * carried, f"seed {seed}")
            self.assertLess(vain, 0.02 * carried, f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
