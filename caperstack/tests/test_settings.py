"""Test that settings reach all nodes despite outages, stale replicas and restarts."""

import signal
import unittest

from caperstack.bench.fleet import Fleet, free_addresses, node_settings
from caperstack.bench.scenario import call

ROOT = {
    "teams": {
        "t": {"routes": ["/t"], "services": ["s"]},
        "u": {"routes": ["/u"], "services": ["s"]},
    }
}


def team(path, seconds=5.0):
    """Return a subtree with one route."""
    return {"routes": [{"path": path, "service": "s", "deadline_seconds": seconds}]}


class SettingsTestCase(unittest.IsolatedAsyncioTestCase):
    """A fleet of a few nodes in three zones, sharing one backend server."""

    count = 6
    dead_configuration = False

    async def asyncSetUp(self):
        backend = {"address": free_addresses(1)[0], "service": "s"}
        nodes = [
            node_settings(f"n{i}", "abc"[i % 3], "s", backend=backend) for i in range(self.count)
        ]
        if self.dead_configuration:
            for node in nodes[1:]:
                node["configuration"] = free_addresses(1)[0]
        subtrees = {"": ROOT, "t": team("/t"), "u": team("/u")}
        self.fleet = await self.enterAsyncContext(Fleet(nodes, subtrees))
        await self.fleet.settled()

    async def put(self, path, document):
        """Publish a subtree; return its revision."""
        method = "DELETE" if document is None else "PUT"
        reply = await self.fleet.platform_request(
            "configuration", method, f"/v1/subtrees/{path}", document
        )
        return reply["revision"]

    async def control(self, **commands):
        await self.fleet.platform_request("configuration", "POST", "/control", commands)

    async def held(self, host, path):
        """Return the subtree as a node holds it."""
        subtrees = (await self.fleet.operator(host, "/settings"))["subtrees"]
        return next(subtree for subtree in subtrees if subtree["path"] == path)

    async def everywhere(self, path, revision):
        """Wait until every running node has the revision in force."""

        async def condition():
            running = [h for h, process in self.fleet.nodes.items() if process.running]
            return all([(await self.held(h, path))["revision"] == revision for h in running])

        await self.fleet.until(condition, what=self.id())

    async def restart(self, host):
        self.fleet.nodes[host].signal(signal.SIGKILL)
        await self.fleet.nodes[host].ended()
        self.fleet.start_node(host)
        await self.fleet.ready(host)


class TestOutage(SettingsTestCase):
    """The configuration service is down, serves stale data or an invalid subtree."""

    async def test_stale_replica_reverts_nothing(self):
        # After a change is in force everywhere, the service answers from a replica
        # without it, and nodes restart with no state.  The change must not be undone
        # on any node.
        revision = await self.put("t", team("/t", 4.0))
        await self.everywhere("t", revision)
        await self.control(stale=True)
        for host in ("n0", "n1", "n2"):
            await self.restart(host)
            self.assertEqual((await self.held(host, "t"))["revision"], revision)
        await self.everywhere("t", revision)

    async def test_stale_replica_does_not_restore_a_deleted_subtree(self):
        revision = await self.put("t", None)
        await self.everywhere("t", revision)
        await self.control(stale=True)
        await self.restart("n0")
        for host in self.fleet.nodes:
            self.assertTrue((await self.held(host, "t"))["deleted"])
            _, response = await call(self.fleet, host, path="/t")
            self.assertEqual(response.code, 404)

    async def test_restarted_node_gets_settings_from_peers_during_an_outage(self):
        await self.control(outage=True)
        await self.restart("n3")
        _, response = await call(self.fleet, "n3", path="/t")
        self.assertEqual(response.code, 200)

    async def test_invalid_subtree_is_refused_without_blocking_others(self):
        bad = await self.put("t", {"routes": [{"path": "no slash", "service": "s"}]})
        good = await self.put("u", team("/u", 3.0))
        await self.everywhere("u", good)

        async def refused():
            held = [await self.held(host, "t") for host in ("n0", "n1", "n2")]
            return any(h["refused_revision"] == bad for h in held)

        await self.fleet.until(refused, what="the invalid revision is reported as refused")
        for host in self.fleet.nodes:
            held = await self.held(host, "t")
            self.assertLess(held["revision"], bad)
            _, response = await call(self.fleet, host, path="/t")
            self.assertEqual(response.code, 200)

    async def test_restart_of_all_stays_within_the_read_rate(self):
        before = (await self.fleet.platform_request("configuration", "GET", "/calls"))["calls"]
        for process in self.fleet.nodes.values():
            process.signal(signal.SIGKILL)
        for host, process in self.fleet.nodes.items():
            await process.ended()
            self.fleet.start_node(host)
        for host in self.fleet.nodes:
            await self.fleet.ready(host)
        await self.fleet.settled()
        after = (await self.fleet.platform_request("configuration", "GET", "/calls"))["calls"]
        # All six nodes read from the service here: an index, three subtree bodies and
        # a watch each.
        self.assertLessEqual(after - before, 6 * 6)


class TestOneReader(SettingsTestCase):
    """Only one node can reach the configuration service."""

    dead_configuration = True

    async def test_change_read_by_one_node_reaches_all(self):
        # A change is accepted, and no other node can read it from the service.  It must
        # still come into force everywhere.
        revision = await self.put("t", team("/t", 2.0))
        await self.everywhere("t", revision)
        sources = {(await self.held(host, "t"))["source"] for host in self.fleet.nodes}
        self.assertIn("platform", sources)
        self.assertGreater(len(sources), 1)


class TestHosts(SettingsTestCase):
    """Hosts are killed and replaced while calls are sent."""

    async def test_loss_of_a_third_of_the_hosts_fails_few_calls(self):
        # Two of six hosts fail at once.  Calls at the other nodes may each meet a broken
        # link once.  After that all calls must be answered, both before the host list
        # shows the loss and after new hosts have replaced them.
        for host in ("n4", "n5"):
            self.fleet.nodes[host].signal(signal.SIGKILL)
            await self.fleet.nodes[host].ended()
        failed = 0
        for number in range(60):
            _, response = await call(self.fleet, f"n{number % 4}", path="/t")
            failed += response.code != 200
        self.assertLessEqual(failed, 8)
        for host in ("n4", "n5"):
            old = self.fleet.settings.pop(host)
            new = node_settings(f"{host}-new", old["zone"], "s", backend=old["backend"])
            for name in ("configuration", "host_list"):
                new[name] = old[name]
            self.fleet.settings[new["host"]] = new
            del self.fleet.nodes[host]
            self.fleet.backends[new["host"]] = self.fleet.backends.pop(host)
        await self.fleet.platform_request(
            "hosts", "PUT", "/hosts", {"hosts": self.fleet.host_entries()}
        )
        for host in ("n4-new", "n5-new"):
            self.fleet.start_node(host)
            await self.fleet.ready(host)
        await self.fleet.settled()
        responses = [await call(self.fleet, host, path="/t") for host in self.fleet.settings]
        self.assertEqual({response.code for _, response in responses}, {200})
