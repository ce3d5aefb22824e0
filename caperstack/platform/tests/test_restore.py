"""A store that comes back from an older copy: what nodes take, and what they tell of it."""

import asyncio
import json
import random
import unittest
from unittest import mock

from caperstack.clock import now
from caperstack.platform.names import CONFIGURATION_KEY
from caperstack.platform.standin.fleet import configuration, route_row
from caperstack.platform.standin.growth import SERVICES, GrowthFleet
from caperstack.platform.store import StoreItem, StoreRead
from caperstack.platform.tests.fleetcase import FleetCase
from caperstack.platform.tests.readercase import ReaderCase
from caperstack.play.virtual import run_virtual

#: How soon after its acknowledgement a configuration is in force, in seconds.
IN_FORCE_SECONDS = 2.0

#: What real processes on a busy machine may take beside that, in seconds.
SLACK_SECONDS = 1.0


def configured(version, revision):
    """Return the item of a configuration."""
    value = json.dumps(configuration(version, [], ["s"])).encode()
    return StoreItem(CONFIGURATION_KEY, value, revision, 1)


class TestLines(ReaderCase):
    """What a node logs when the store goes back."""

    def states(self, subject):
        calls = self.events.state.call_args_list
        return [call.args[1:3] for call in calls if call.args[0] == subject]

    def read_at(self, revision, era, items=()):
        read = StoreRead(list(items), revision, era)
        self.reader._client.read = mock.AsyncMock(return_value=read)
        asyncio.run(self.reader._read(0.0, stale=False))

    def test_reading_at_a_lower_revision_is_told_once(self):
        for revision in (19, 19, 17, 17, 20):
            self.read_at(revision, era=0)
        first = ("unknown", "era 0, revision 19")
        told = [first, ("era 0, revision 19", "era 0, revision 17")]
        self.assertEqual(self.states("store position"), told)

    def test_another_era_is_told_once(self):
        for revision, era in ((19, 1), (25, 2), (26, 2)):
            self.read_at(revision, era)
        first = ("unknown", "era 1, revision 19")
        told = [first, ("era 1, revision 19", "era 2, revision 25")]
        self.assertEqual(self.states("store position"), told)

    def test_configuration_that_is_passed_over_is_told_once(self):
        self.read_at(19, 0, [configured(19, 19)])
        for version in (16, 16, 17, 19):
            self.read_at(20, 0, [configured(version, 20)])
        calls = self.events.belief.call_args_list
        told = [c.kwargs["version"] for c in calls if c.args[0] == "passed over"]
        self.assertEqual(told, [16, 17])


class TestOrder(ReaderCase):
    """Which configuration is in force, whatever its revision."""

    def assert_in_force(self, version, *offered):
        for item in offered:
            self.reader.take_change(item)
        self.assertEqual(self.settings.get(CONFIGURATION_KEY).parsed.version, version)

    def test_higher_version_at_a_lower_or_equal_revision(self):
        """A revision is given out again, and the change that lies at it is passed over."""
        self.assert_in_force(19, configured(19, 19))
        self.assert_in_force(23, configured(23, 16))
        self.assert_in_force(26, configured(26, 16))

    def test_lower_version_at_a_higher_revision(self):
        """A configuration that was replaced is written again, and nodes step back to it."""
        self.assert_in_force(19, configured(19, 19), configured(16, 25))

    def test_peer_with_a_higher_version_is_followed(self):
        self.assert_in_force(19, configured(19, 19))
        self.settings.take(CONFIGURATION_KEY, 23, configuration(23, [], ["s"]), "peer")
        self.assert_in_force(23, configured(19, 30))


class TestConfiguration(FleetCase):
    """Configurations that operators write before and after the store came back."""

    def serves(self, host, path):
        async def condition():
            return (await self.fleet.ask(host, path))[1].code == 200

        return condition

    async def add_route(self, path):
        """Publish a further route and wait until every node serves it in time."""
        self.fleet.routes.append(route_row(path, "rates"))
        self.fleet.configure()
        limit = now() + IN_FORCE_SECONDS + SLACK_SECONDS
        for host in self.fleet.hosts:
            await self.fleet.until(self.serves(host, path), f"{path} at {host.ip}", limit - now())

    async def test_change_after_the_restore_is_in_force_in_time(self):
        """Revisions are given out again, and nodes pass over the next configurations."""
        copy = self.fleet.store.copy()
        await self.add_route("/one/")
        await self.add_route("/two/")
        await self.fleet.restore_store(copy)
        self.fleet.configure_again()
        await asyncio.sleep(1.0)
        await self.add_route("/three/")
        await self.add_route("/four/")

    async def test_change_that_was_lost_stays_in_force(self):
        """The copy holds an older configuration, and nodes step back to it."""
        copy = self.fleet.store.copy()
        await self.add_route("/one/")
        await self.fleet.restore_store(copy)
        until = now() + 3.0
        while now() < until:
            for host in self.fleet.hosts:
                self.assertEqual((await self.fleet.ask(host, "/one/"))[1].code, 200)
            await asyncio.sleep(0.1)

    async def test_node_that_starts_beside_the_copy_learns_what_was_lost(self):
        """A node starts, reads the copy, and serves an older configuration than its peers."""
        copy = self.fleet.store.copy()
        await self.add_route("/one/")
        await self.fleet.restore_store(copy)
        self.third.node.kill()
        self.fleet.start_node(self.third)
        await self.fleet.until_ready(self.third)
        for _ in range(10):
            self.assertEqual((await self.fleet.ask(self.third, "/one/"))[1].code, 200)
            await asyncio.sleep(0.1)


async def _seconds_after_a_restore(size, rests):
    """Return how long each of several versions takes to be known at all nodes."""
    random.seed(size)
    fleet = GrowthFleet(size)
    await fleet.start()
    await asyncio.sleep(8.0)
    copy = fleet.store.copy()
    for version in (2, 3, 4):
        fleet.store.put(CONFIGURATION_KEY, configuration(version, [], SERVICES))
        await asyncio.sleep(1.0)
    fleet.store.come_back_from(copy)
    await asyncio.sleep(1.0)
    fleet.store.put(CONFIGURATION_KEY, configuration(4, [], SERVICES))
    seconds = []
    for version, rest in enumerate(rests, 5):
        await asyncio.sleep(rest)
        fleet.store.put(CONFIGURATION_KEY, configuration(version, [], SERVICES))
        seconds.append(await _until_known(fleet, version))
    await fleet.stop()
    return seconds


async def _until_known(fleet, version):
    """Return how long it takes until all nodes know a version, ten seconds at most."""
    begun = now()
    while now() < begun + 10.0:
        held = [node.settings.get(CONFIGURATION_KEY) for node in fleet.nodes]
        if all(one is not None and one.parsed.version == version for one in held):
            break
        await asyncio.sleep(0.01)
    return now() - begun


class TestSpread(unittest.TestCase):
    """How soon nodes know configurations after a restore, in virtual time."""

    def test_versions_at_lower_and_equal_revisions_are_known_in_time(self):
        """Nodes pass over what lies at revisions that they have seen, at once and later."""
        for size in (12, 195):
            seconds = run_virtual(lambda n=size: _seconds_after_a_restore(n, (0.0, 0.0, 6.0)))
            self.assertLessEqual(max(seconds), IN_FORCE_SECONDS, (size, seconds))


if __name__ == "__main__":
    unittest.main()
