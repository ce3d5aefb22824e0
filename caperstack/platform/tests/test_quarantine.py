"""Requests that end the backend servers which run them, with real nodes on the stand-ins."""

import asyncio
import random
import unittest

from caperstack.clock import deadline_after, now
from caperstack.platform.standin.fleet import PlatformFleet, route_row

ROUTES = [
    route_row("/list/", "slots", attempts=3),
    route_row("/rates/", "rates"),
]

FATAL = "/list/a?page=7"
NEIGHBOUR = "/list/a?page=8"
POPULAR = "/list/popular"

#: What an owner says when its server has ended.
CRASH_KIND = "backend server ended"

#: The operators' rule: from so long after its third end, in seconds, a request may
#: reach backend servers so many times more.
PROPAGATION_SECONDS = 3.0
MAX_LATE_SENDS = 3


class TestFatalRequest(unittest.IsolatedAsyncioTestCase):
    """One request that ends each server it runs on, among others that do not.

    Callers see a service lose all its servers for seconds, again and again, and are
    refused.  One listing ends each server that runs it, 50 ms after its start; its
    caller asks again under a new id, at any node; each node took it for a call like
    any other, repeated it elsewhere, and sent it on to whichever server was back.
    Cause: an attempt was judged by itself, and nothing named the request over its
    attempts.  Evidence: in the 28 'backend server ended' lines for 25 ends its hash is
    at work at each end and never ran whole; two others are in 27 and 21 lines, and ran
    whole 33 and 18 times.
    """

    async def asyncSetUp(self):
        services = ["slots"] * 4 + ["rates"] * 2
        self.fleet = await self.enterAsyncContext(PlatformFleet(services, list(ROUTES)))
        self.rng = random.Random(7)
        for host in self.fleet.hosts:
            host.instance.behaviour.seconds = 0.1
            host.instance.behaviour.fatal = frozenset((FATAL,))

    async def ask(self, path, **options):
        _, reply = await self.fleet.ask(self.rng.choice(self.fleet.hosts), path, **options)
        return now(), reply.code

    async def send_repeatedly(self, seconds, paths):
        """Ask for each of `paths` at its interval, at any node; return ``(path, at, code)``."""
        until = deadline_after(seconds)

        async def one(path, interval):
            asked = []
            while now() < until:
                asked.append(asyncio.create_task(self.ask(path)))
                await asyncio.sleep(interval * self.rng.uniform(0.5, 1.5))
            return [(path, *result) for result in await asyncio.gather(*asked)]

        lanes = await asyncio.gather(*(one(path, interval) for path, interval in paths.items()))
        return [result for lane in lanes for result in lane]

    def send_times(self, target):
        runs = [run for host in self.fleet.hosts for run in host.instance.ledger]
        return sorted(run.at for run in runs if run.target == target)

    async def test_fatal_request_is_quarantined_after_three_crashes(self):
        await self.send_repeatedly(9.0, {FATAL: 0.2, NEIGHBOUR: 0.1, POPULAR: 0.05})
        crashes = [end.at for end in self.fleet.crashes]
        self.assertGreaterEqual(len(crashes), 3)
        late = [at for at in self.send_times(FATAL) if at > crashes[2] + PROPAGATION_SECONDS]
        self.assertLessEqual(len(late), MAX_LATE_SENDS, f"{len(crashes)} ended")

    async def test_other_requests_of_the_path_and_servers_are_not_refused(self):
        # The same path with another query, and a popular listing that was at work
        # at each of the ends: both are innocent and must not be refused for it.
        await self.send_repeatedly(4.0, {FATAL: 0.2, NEIGHBOUR: 0.1, POPULAR: 0.02})
        await asyncio.sleep(self.fleet.down_seconds + 1.0)
        results = await self.send_repeatedly(3.0, {FATAL: 0.2, NEIGHBOUR: 0.1, POPULAR: 0.05})
        refused = [result for result in results if result[0] != FATAL and result[2] != 200]
        self.assertEqual(refused, [])

    async def test_restarted_nodes_do_not_send_a_quarantined_request(self):
        # The request is kept away; then each node is killed and started in turn, and
        # is asked for it from the moment at which it listens.  What it sent on before
        # a peer has told it would end the server beside it.
        await self.send_repeatedly(3.0, {FATAL: 0.2})
        await asyncio.sleep(self.fleet.down_seconds + 0.5)
        before = len(self.send_times(FATAL))
        for host in self.fleet.hosts:
            host.node.kill()
            self.fleet.start_node(host)
            await host.node.listening(host.outbound)
            until = deadline_after(0.7)
            while now() < until:
                await self.fleet.ask(host, FATAL)
        self.assertEqual(len(self.send_times(FATAL)) - before, 0)

    async def test_popular_request_is_not_quarantined_for_unrelated_crashes(self):
        # A listing that everybody asks for is at work at every server.  Six servers
        # crash one after the other, then three in the same moment, of something
        # else.  The listing must be served as soon as servers are there.
        slots = [host for host in self.fleet.hosts if host.instance.service == "slots"]
        pressing = asyncio.create_task(self.send_repeatedly(6.0, {POPULAR: 0.02}))
        for number in range(6):
            await asyncio.sleep(0.6)
            self.fleet.crash(slots[number % len(slots)])
        await asyncio.sleep(1.2)
        for host in slots[:3]:
            self.fleet.crash(host)
        await pressing
        await asyncio.sleep(self.fleet.down_seconds + 1.0)
        results = await self.send_repeatedly(2.0, {POPULAR: 0.05})
        self.assertEqual({code for _, _, code in results}, {200})
        told = [line for host in self.fleet.hosts for line in host.node.lines("suspect")]
        self.assertEqual([line for line in told if line["new"] == "quarantined"], [])
        ended = [line for host in self.fleet.hosts for line in host.node.lines(CRASH_KIND)]
        # Enough of them to condemn what never ran whole.
        self.assertGreaterEqual(len(ended), 3)
