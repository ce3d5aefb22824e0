"""Tests of the rate at which a backend server is probed."""

import asyncio
import unittest
from types import SimpleNamespace

from caperstack.backend.client import ServerHealth
from caperstack.backend.probe import HealthProbe
from caperstack.calls.dialect import ServerReport
from caperstack.calls.model import ServerState
from caperstack.exception import BackendError
from caperstack.play.virtual import run_virtual

REPORT = ServerReport("i", 1, 0, 8, 1.0)


class FakeServer:
    """Report the load in responses to probes and to calls."""

    def __init__(self):
        self.probes = 0
        self._on_report = None

    def listen(self, on_report):
        self._on_report = on_report

    async def probe(self, _path, _deadline):
        self.probes += 1
        await asyncio.sleep(0.001)
        self._on_report(REPORT)
        return ServerHealth(True, 0.0)

    async def answer_calls(self, seconds, gap):
        for _ in range(round(seconds / gap)):
            await asyncio.sleep(gap)
            self._on_report(REPORT)


class FailingServer(FakeServer):
    """Fail each probe; `closed_here` tells whether the node itself closed the connection."""

    def __init__(self, closed_here):
        super().__init__()
        self._closed_here = closed_here

    async def probe(self, _path, _deadline):
        self.probes += 1
        raise BackendError("closed", step="answer", closed_here=self._closed_here)


class TestHealthProbe(unittest.TestCase):
    """Tests of `HealthProbe` in virtual time, at ten probes per second."""

    def setUp(self):
        self.states = []

    def count_probes(self, work, server=None, answering=True):
        server = server or FakeServer()

        async def run():
            owner = SimpleNamespace(
                node_leaves=False,
                answering=answering,
                expect_slowdown=lambda refresh: None,
                set_slowdown=lambda pace: None,
                set_health=self.states.append,
                note_instance=lambda instance: None,
                record_report=lambda report: None,
                set_cold_remaining=lambda seconds: None,
            )
            services = {
                "owner": owner,
                "backend client": server,
                "events": None,
                "metrics": SimpleNamespace(count=lambda *_, **__: None),
            }
            probe = HealthProbe(lambda: "/health", lambda: 10.0)
            await probe.start(SimpleNamespace(find=services.__getitem__))
            await work(server)
            await probe.stop()
            return server.probes

        return run_virtual(run)

    def test_idle_server_is_probed_at_the_configured_rate(self):
        self.assertAlmostEqual(self.count_probes(lambda _: asyncio.sleep(10.0)), 100, delta=4)

    def test_load_reports_replace_probes(self):
        # With 50 load reports per second, only the ten probes that check the server's
        # health are left of 100 in ten seconds.
        probes = self.count_probes(lambda server: server.answer_calls(10.0, 0.02))
        self.assertLessEqual(probes, 12)
        self.assertGreaterEqual(probes, 9)

    def test_probes_cut_by_this_node_are_no_sign_of_bad_health(self):
        """Guards against a server that gets no calls since the node closed its connections."""
        for closed_here in (True, False):
            self.states.clear()
            server = FailingServer(closed_here)
            self.count_probes(lambda _: asyncio.sleep(2.0), server, answering=False)
            self.assertGreater(server.probes, 3)
            self.assertEqual(ServerState.DOWN in self.states, not closed_here)

    def test_probing_resumes_when_load_reports_stop(self):
        async def work(server):
            await server.answer_calls(5.0, 0.02)
            before = server.probes
            await asyncio.sleep(2.0)
            self.assertGreaterEqual(server.probes - before, 18)

        self.count_probes(work)


if __name__ == "__main__":
    unittest.main()
