"""Real nodes beside backend servers whose answers do not end."""

import asyncio
from pathlib import Path

from caperstack.platform.tests.fleetcase import FleetCase

MEBIBYTE = 1024 * 1024

#: Memory of each host, in MB.
MEMORY_MB = 100


def peak_memory_bytes(node):
    """Return the most memory that the process of a node has had."""
    status = Path(f"/proc/{node.pid}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class TestSilentServer(FleetCase):
    """A backend server falls silent in the middle of answers without a length."""

    async def test_half_an_answer_is_not_passed_on_when_the_server_is_replaced(self):
        """Guards against half an answer passed on as whole once a successor is listed."""
        behaviour = self.third.instance.behaviour
        behaviour.unframed = "silent"
        asking = [
            asyncio.create_task(self.fleet.ask(host, "/rates/a")) for host in self.fleet.hosts
        ]

        async def all_run():
            return len(self.third.instance.ledger) == len(asking)

        await self.until(all_run, "all requests run")
        self.fleet.withdraw(self.third)
        self.third.instance.name = "i-successor"
        self.fleet.register(self.third)
        for _, reply in await asyncio.gather(*asking):
            self.assertEqual(reply.code, 502)
        reasons = [line["reason"] for line in self.third.node.lines("owner gets no answer")]
        self.assertEqual(reasons, ["connection closed by this node"] * len(asking))
        behaviour.unframed = ""
        _, reply = await self.fleet.ask(self.first, "/rates/a")
        self.assertEqual((reply.code, reply.body), (200, b"whole answer"))


class TestEndlessServer(FleetCase):
    """A backend server sends heads or bodies without end, to health checks too."""

    slots = 40
    limits = {"memoryMb": MEMORY_MB}

    async def test_node_keeps_within_the_memory_of_its_host_and_serves_others(self):
        """Guards against a node that ends, or stops to serve, for bytes without end."""
        for endless in ("head", "body"):
            with self.subTest(endless):
                await self.ask_endless(endless)

    async def ask_endless(self, endless):
        behaviour = self.third.instance.behaviour
        behaviour.endless = endless
        asking = [
            asyncio.create_task(self.fleet.ask(host, "/rates/a"))
            for host in self.fleet.hosts
            for _ in range(20)
        ]
        beside = await self.send_stream("/list/a", 20, 1.0, [self.third])
        replies = [reply for _, reply in await asyncio.gather(*asking)]
        self.assertEqual({(reply.code, reply.body) for reply in beside}, {(200, b"whole answer")})
        self.assertLessEqual({reply.code for reply in replies}, {502, 503, 504})
        self.assertLess(peak_memory_bytes(self.third.node), MEMORY_MB * 1_000_000)
        behaviour.endless = ""

        async def serves():
            _, reply = await self.fleet.ask(self.first, "/rates/a")
            return reply.code == 200

        await self.until(serves, "served again")
