"""Backend servers that have no room, or lost an answer, with real nodes."""

import asyncio

from caperstack.bench.client import request
from caperstack.platform.tests.fleetcase import FleetCase


class TestWithoutRetries(FleetCase):
    """Nodes that may not send anything a second time."""

    bounds = {"retryBudgetRatio": 0.0, "budgetMinRetries": 0}

    async def test_server_that_lost_a_response_gets_calls_again(self):
        """One lost answer, with no repeat to spend, and a sound server stays idle for good."""
        self.first.instance.behaviour.lose_answers = True

        async def lost():
            return (await self.fleet.ask(self.third, "/list/"))[1].code == 502

        await self.until(lost, "an answer is lost")
        self.first.instance.behaviour.lose_answers = False
        before = sum(self.first.instance.runs.values())

        async def works():
            await self.fleet.ask(self.third, "/list/")
            return sum(self.first.instance.runs.values()) > before

        await self.until(works, "calls again")


class TestOverload(FleetCase):
    """More bookings than slots."""

    body = b"b" * 8000

    async def sent_bytes(self, host, kind):
        """Return how many bytes of messages of that kind a node has sent to its peers."""
        reply = await request(self.fleet.metrics_address(host), "GET", "/metrics")
        name = "caperstack_peer_bytes_out_by_kind"
        found = [
            line.rsplit(" ", 1)[1]
            for line in reply.body.decode().splitlines()
            if line.startswith(name) and f'kind="{kind}"' in line
        ]
        return sum(float(value) for value in found)

    async def test_bodies_are_sent_only_to_owners_that_run_the_call(self):
        """Each refused offer carries the body, and the link of a full host is busy with them.

        Bookings of 8 kB, five times as many as there are slots for.
        """
        for host in (self.first, self.second):
            host.instance.behaviour.seconds = 0.3
        tasks = []
        for _ in range(400):
            tasks.append(
                asyncio.create_task(self.fleet.ask(self.third, "/book/x", "POST", body=self.body))
            )
            await asyncio.sleep(0.005)
        replies = [reply for _, reply in await asyncio.gather(*tasks)]
        served = sum(reply.code == 200 for reply in replies)
        refused = sum(reply.code == 503 for reply in replies)
        self.assertEqual(served + refused, 400)
        self.assertGreater(refused, 150)
        seen = [one["body"] for one in (*self.first.instance.seen, *self.second.instance.seen)]
        self.assertEqual(set(seen), {self.body})
        self.assertEqual(len(seen), served)
        sent = 0
        for kind in ("CallMessage", "CallBody", "Chunk"):
            sent += await self.sent_bytes(self.third, kind)
        self.assertLess(sent, 1.5 * served * len(self.body) + 400 * 2000)
