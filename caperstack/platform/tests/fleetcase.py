"""Base class of tests with real nodes: a fleet of three hosts on the platform's stand-ins."""

import asyncio
import unittest

from caperstack.clock import now
from caperstack.platform.standin.fleet import PlatformFleet, route_row

__all__ = ["ROUTES", "FleetCase"]

ROUTES = [
    route_row("/list/", "slots"),
    route_row("/book/", "slots", "non_idempotent", priority=0),
    route_row("/rates/", "rates"),
    route_row("/short/", "slots", timeout="300ms"),
]


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """A fleet with two hosts of one service and one host of another."""

    services = ("slots", "slots", "rates")

    #: Entries of the start settings' ``bounds`` that replace the defaults of the fleet.
    bounds = {}

    #: Entries of the start settings' ``limits``.
    limits = {}

    #: Slots of each backend server.
    slots = 8

    async def asyncSetUp(self):
        fleet = PlatformFleet(list(self.services), list(ROUTES))
        for host in fleet.hosts:
            host.boot["bounds"].update(self.bounds)
            host.boot["limits"] = self.limits
            host.instance.slots = self.slots
        self.fleet = await self.enterAsyncContext(fleet)
        self.first, self.second, self.third = self.fleet.hosts[:3]

    async def until(self, condition, what="condition"):
        await self.fleet.until(condition, what)

    async def send_stream(self, path, per_second, seconds, hosts=None, **options):
        """Send requests at a constant rate to `hosts`, or all, in turn; return the responses."""
        hosts = hosts or self.fleet.hosts
        tasks = []
        until = now() + seconds
        while now() < until:
            host = hosts[len(tasks) % len(hosts)]
            tasks.append(asyncio.create_task(self.fleet.ask(host, path, **options)))
            await asyncio.sleep(1.0 / per_second)
        return [reply for _, reply in await asyncio.gather(*tasks)]
