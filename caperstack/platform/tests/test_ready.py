"""Tests of the readiness check, over HTTP, with fakes of the services that it asks."""

import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.bench.client import request
from caperstack.bench.fleet import free_addresses
from caperstack.platform.names import READY_PATH
from caperstack.platform.ready import ReadyPort


class TestReadiness(unittest.IsolatedAsyncioTestCase):
    """What the platform is told while the node starts, runs and drains."""

    async def asyncSetUp(self):
        self.paused = False
        self.callers = SimpleNamespace(draining=False)
        self.settings = SimpleNamespace(known=True)
        services = {
            "callers": self.callers,
            "settings": self.settings,
            "pauses": SimpleNamespace(recently_paused=lambda: self.paused),
            "events": mock.Mock(),
        }
        self.address = free_addresses(1)[0]
        port = ReadyPort(self.address)
        await port.start(SimpleNamespace(find=services.__getitem__))
        self.addAsyncCleanup(port.stop)

    async def answer(self):
        reply = await request(self.address, "GET", READY_PATH)
        return reply.code, reply.body

    async def test_node_without_settings_or_draining_is_not_ready(self):
        self.settings.known = False
        self.assertEqual(await self.answer(), (503, b"no settings yet"))
        self.settings.known = True
        self.assertEqual(await self.answer(), (200, b""))
        self.callers.draining = True
        self.assertEqual(await self.answer(), (503, b"draining"))

    async def test_node_that_was_paused_while_it_started_is_not_ready_yet(self):
        """Guards against a node that counts as ready while it refuses every call."""
        self.paused = True
        self.assertEqual(await self.answer(), (503, b"node was paused"))
        self.paused = False
        self.assertEqual(await self.answer(), (200, b""))

    async def test_pause_of_a_ready_node_does_not_make_it_unready(self):
        """Guards against a fleet that loses its callers when all nodes pause for a moment."""
        self.assertEqual(await self.answer(), (200, b""))
        self.paused = True
        self.assertEqual(await self.answer(), (200, b""))
