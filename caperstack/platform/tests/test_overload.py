"""Backend servers that are full or lost a response, with real nodes."""

import asyncio

from caperstack.bench.client import request
from caperstack.clock import deadline_after, now
from caperstack.platform.tests.fleetcase import FleetCase

#: Longest time for which calls are sent to servers that are full, in seconds.
MAX_LOAD_SECONDS = 60.0


class TestWithoutRetries(FleetCase):
    """Nodes whose retry budget is zero."""

    bounds = {"retryBudgetRatio": 0.0, "budgetMinRetries": 0}

    async def test_server_that_lost_a_response_gets_calls_again(self):
        """Guards against a healthy server that gets no calls any more after one lost response."""
        self.first.instance.behaviour.lose_answers = True

        async def response_lost():
            return (await self.fleet.ask(self.third, "/list/"))[1].code == 502

        await self.until(response_lost, "a response is lost")
        self.first.instance.behaviour.lose_answers = False
        before = sum(self.first.instance.runs.values())

        async def gets_calls():
            await self.fleet.ask(self.third, "/list/")
            return sum(self.first.instance.runs.values()) > before

        await self.until(gets_calls, "the server gets calls again")


class TestOverload(FleetCase):
    """Calls in excess of the slots."""

    body = b"b" * 8000

    #: So few that a slow machine, too, sends many more calls than they serve.
    slots = 3

    async def sent_bytes(self, host, kind):
        """Return how many bytes of messages of a kind the node of `host` has sent to its peers."""
        reply = await request(self.fleet.metrics_address(host), "GET", "/metrics")
        name = "caperstack_peer_bytes_out_by_kind"
        found = [
            line.rsplit(" ", 1)[1]
            for line in reply.body.decode().splitlines()
            if line.startswith(name) and f'kind="{kind}"' in line
        ]
        return sum(float(value) for value in found)

    async def test_bodies_are_sent_only_to_owners_that_run_the_call(self):
        """Guards against links that are busy with the bodies of calls that the owner refuses.

        The bookings have bodies of 8 kB, and far more arrive than there are slots for.  They are
        sent until most of them have been refused, however slow the machine is.
        """
        for host in (self.first, self.second):
            host.instance.behaviour.seconds = 0.3
        tasks, codes = [], []
        limit = deadline_after(MAX_LOAD_SECONDS)
        while len(tasks) < 400 or (not _mostly_refused(codes) and now() < limit):
            tasks.append(asyncio.create_task(self._book(codes)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        served, refused = codes.count(200), codes.count(503)
        self.assertEqual(served + refused, len(tasks))
        self.assertGreater(refused, 150)
        self.assertGreater(served, 0)
        # Otherwise the limit below would allow for the bodies of all calls.
        self.assertGreater(refused, served)
        seen = [one["body"] for one in (*self.first.instance.seen, *self.second.instance.seen)]
        self.assertEqual(set(seen), {self.body})
        self.assertEqual(len(seen), served)
        sent = 0
        for kind in ("CallMessage", "CallBody", "Chunk"):
            sent += await self.sent_bytes(self.third, kind)
        self.assertLess(sent, 1.5 * served * len(self.body) + len(tasks) * 2000)

    async def _book(self, codes):
        _, reply = await self.fleet.ask(self.third, "/book/x", "POST", body=self.body)
        codes.append(reply.code)


def _mostly_refused(codes):
    """Return whether more than 150 calls and most of all have been refused."""
    refused = codes.count(503)
    return refused > 150 and refused > codes.count(200)
