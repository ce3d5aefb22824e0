"""What backend servers state about themselves in their answers, with real nodes."""

from caperstack.platform.names import DIALECT
from caperstack.platform.tests.fleetcase import FleetCase


class TestObservability(FleetCase):
    """Log lines and metrics on the statements of a backend server."""

    def rate_changes(self, host):
        lines = host.node.lines("state")
        return [line for line in lines if line["subject"] == "rate limit"]

    async def test_stated_changed_and_withdrawn_rate_is_logged(self):
        behaviour = self.first.instance.behaviour
        for number, rate in enumerate(("5.3", "0.5", ""), start=1):
            behaviour.rate_limit = rate

            async def logged(count=number):
                return len(self.rate_changes(self.first)) >= count

            await self.until(logged, f"rate {rate!r} logged")
        changes = self.rate_changes(self.first)
        self.assertEqual([line["new"] for line in changes], ["5.3", "0.5", "None"])
        self.assertEqual({line["instance"] for line in changes}, {self.first.instance.name})
        self.assertEqual({line["stated_by"] for line in changes}, {"health path"})
        self.assertEqual(self.rate_changes(self.second), [])

    async def test_values_that_are_no_rate_are_logged_once_and_calls_are_served(self):
        """Guards against a malformed statement that stops the calls to its server."""
        for host in self.fleet.hosts:
            host.instance.behaviour.rate_limit = "-1"
            host.instance.behaviour.leaving = "perhaps"

        async def logged():
            return all(len(host.node.lines("foreign header")) >= 2 for host in self.fleet.hosts)

        await self.until(logged, "both headers logged")
        for _ in range(20):
            for host in self.fleet.hosts:
                _, reply = await self.fleet.ask(host, "/list/")
                self.assertEqual(reply.code, 200)
        for host in self.fleet.hosts:
            headers = sorted(line["header"] for line in host.node.lines("foreign header"))
            self.assertEqual(headers, sorted([DIALECT.rate_limit, DIALECT.leaving]))
