"""Requests that crash the backend servers that run them, with real nodes on the stand-ins."""

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
SAME_PATH = "/list/a?page=8"
POPULAR = "/list/popular"

#: Kind of the log line that an owner writes when its backend server has crashed.
CRASH_KIND = "backend server ended"

#: Operators require that a request is sent to backend servers at most ``MAX_LATE_SENDS``
#: times after ``PROPAGATION_SECONDS`` have passed since the third crash that it caused.
PROPAGATION_SECONDS = 3.0
MAX_LATE_SENDS = 3


class TestFatalRequest(unittest.IsolatedAsyncioTestCase):
    """One request that crashes every server it runs on, among requests that do not.

    Guards against a service that repeatedly loses all its servers for seconds: a listing
    crashes each server 50 ms after its start, its caller sends it again under a new id at
    any node, and each node retries it elsewhere like any other call. Nodes must therefore
    recognise the request across attempts. The log identifies it: with 28 'backend server
    ended' lines for 25 crashes, its hash was running at every crash and never completed,
    while two others were in 27 and 21 lines and completed 33 and 18 times.
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
        """Send a stream of requests for each of `paths` at random nodes.

        Parameters
        ----------
        seconds : float
            How long to send requests.
        paths : dict of str to float
            Mean interval between requests, in seconds, by path.

        Returns
        -------
        list of tuple of (str, float, int)
            Path, time of the response and status code of each request.
        """
        until = deadline_after(seconds)

        async def send_path(path, interval):
            tasks = []
            while now() < until:
                tasks.append(asyncio.create_task(self.ask(path)))
                await asyncio.sleep(interval * self.rng.uniform(0.5, 1.5))
            return [(path, *result) for result in await asyncio.gather(*tasks)]

        streams = await asyncio.gather(
            *(send_path(path, interval) for path, interval in paths.items())
        )
        return [result for stream in streams for result in stream]

    def send_times(self, target):
        runs = [run for host in self.fleet.hosts for run in host.instance.ledger]
        return sorted(run.at for run in runs if run.target == target)

    async def test_fatal_request_is_quarantined_after_three_crashes(self):
        await self.send_repeatedly(9.0, {FATAL: 0.2, SAME_PATH: 0.1, POPULAR: 0.05})
        crashes = [crash.at for crash in self.fleet.crashes]
        self.assertGreaterEqual(len(crashes), 3)
        late = [at for at in self.send_times(FATAL) if at > crashes[2] + PROPAGATION_SECONDS]
        self.assertLessEqual(len(late), MAX_LATE_SENDS, f"{len(crashes)} crashes")

    async def test_other_requests_of_the_path_and_servers_are_not_refused(self):
        # The same path with another query, and a popular listing that was running at
        # every crash, did not cause the crashes and must not be refused.
        await self.send_repeatedly(4.0, {FATAL: 0.2, SAME_PATH: 0.1, POPULAR: 0.02})
        await asyncio.sleep(self.fleet.down_seconds + 1.0)
        results = await self.send_repeatedly(3.0, {FATAL: 0.2, SAME_PATH: 0.1, POPULAR: 0.05})
        refused = [result for result in results if result[0] != FATAL and result[2] != 200]
        self.assertEqual(refused, [])

    async def test_restarted_nodes_do_not_send_a_quarantined_request(self):
        # Once the request is quarantined, each node in turn is killed and restarted, and
        # gets the request as soon as it listens. If it sent the request on before a peer
        # has told it of the quarantine, that would crash the server beside it.
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
        # A popular listing is running on every server. Six times a server crashes for
        # another reason, then three crash at the same time. The listing must be served
        # as soon as servers are available.
        slots = [host for host in self.fleet.hosts if host.instance.service == "slots"]
        sending = asyncio.create_task(self.send_repeatedly(6.0, {POPULAR: 0.02}))
        for number in range(6):
            await asyncio.sleep(0.6)
            self.fleet.crash(slots[number % len(slots)])
        await asyncio.sleep(1.2)
        for host in slots[:3]:
            self.fleet.crash(host)
        await sending
        await asyncio.sleep(self.fleet.down_seconds + 1.0)
        results = await self.send_repeatedly(2.0, {POPULAR: 0.05})
        self.assertEqual({code for _, _, code in results}, {200})
        logged = [line for host in self.fleet.hosts for line in host.node.lines("suspect")]
        self.assertEqual([line for line in logged if line["new"] == "quarantined"], [])
        reported = [line for host in self.fleet.hosts for line in host.node.lines(CRASH_KIND)]
        # Enough crashes to quarantine a request that never completed.
        self.assertGreaterEqual(len(reported), 3)
