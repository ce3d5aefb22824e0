"""A store that comes back from an older copy: what nodes take, and what they tell of it."""

import asyncio
import json
import random
import unittest
from dataclasses import replace
from unittest import mock

from caperstack.bench.fleet import free_addresses
from caperstack.clock import deadline_after, now
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.entries import ServerEntry, decode_entry
from caperstack.platform.names import CONFIGURATION_KEY
from caperstack.platform.standin.fleet import configuration, route_row
from caperstack.platform.standin.simulation import SERVICES, SimulatedFleet
from caperstack.platform.standin.store import StandinStore, StoreCopy
from caperstack.platform.store import StoreClient, StoreItem, StoreRead
from caperstack.platform.tests.fleetcase import FleetCase
from caperstack.platform.tests.readercase import BORN, ReaderCase, registered
from caperstack.play.virtual import run_virtual
from caperstack.settings.revisions import revision_in

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
        read = StoreRead(list(items), revision_in(era, revision))
        self.reader._client.read = mock.AsyncMock(return_value=read)
        asyncio.run(self.reader._read(0.0, stale=False))

    def test_reading_at_a_lower_revision_is_told_once(self):
        for revision in (19, 19, 17, 17, 20):
            self.read_at(revision, era=0)
        told = [("unknown", "revision 19"), ("revision 19", "revision 17")]
        self.assertEqual(self.states("store position"), told)

    def test_another_era_is_told_once(self):
        for revision, era in ((19, 1), (25, 2), (26, 2)):
            self.read_at(revision, era)
        first = "revision 19 of era 1"
        told = [("unknown", first), (first, "revision 25 of era 2")]
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


class TestEntries(ReaderCase):
    """Entries of backend servers, and marks, after a restore to a lower revision."""

    KEY = "servers/i-1"
    MARK = "op/evacuate/a"

    def setUp(self):
        super().setUp()
        self.clock = self.enterContext(mock.patch("caperstack.settings.restores.now"))
        self.clock.return_value = 1000.0

    def read_at(self, era, revision, *items):
        read = StoreRead(list(items), revision_in(era, revision))
        self.reader._note_position(read)
        self.reader.take_operator(read)
        self.reader._take_servers(read)

    def entry_at(self, era, revision, state="ready", created=4, **changes):
        document = registered(1, **changes)
        document["status"]["state"] = state
        value = json.dumps(document).encode()
        return StoreItem(self.KEY, value, revision_in(era, revision), revision_in(era, created))

    def mark_at(self, era, revision):
        return StoreItem(self.MARK, b"", revision_in(era, revision), revision_in(era, revision))

    def wait(self, seconds):
        self.clock.return_value += seconds

    @property
    def held(self):
        return self.entry(self.KEY)

    def test_server_that_begins_to_leave_at_a_lower_revision(self):
        """A leaving mark lies at a revision that was seen before, and calls go on."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(1, 18, self.entry_at(1, 18, "draining"))
        self.assertTrue(self.held.leaving)

    def test_server_that_goes_at_a_lower_revision(self):
        """An entry is taken away at a revision that was seen before, and calls go on."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(1, 16, self.entry_at(1, 15))
        self.wait(3.0)
        self.read_at(1, 18)
        self.assertIsNone(self.held)

    def test_server_that_starts_again_at_a_lower_revision(self):
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(1, 18, self.entry_at(1, 18, born=BORN + 9))
        self.assertEqual(self.held.born_ms, BORN + 9)

    def test_server_that_the_copy_lacks_is_called_on(self):
        """A server came after the copy was made, and gets no calls until it has written again."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(1, 16)
        self.wait(2.0)
        self.read_at(1, 16)
        self.assertIsNotNone(self.held)
        self.wait(1.0)
        self.read_at(1, 16)
        self.assertIsNone(self.held)

    def test_reader_that_was_told_of_the_restore_believes_what_is_missing(self):
        """A node reads long after the restore, and keeps a server that has just gone."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.reader._restores.note_era(1, self.clock.return_value)
        self.wait(3.0)
        self.read_at(1, 18)
        self.assertIsNone(self.held)

    def test_node_that_starts_takes_nothing_for_gone_at_once(self):
        """A node starts beside the copy, and tells all that a server which it lacks is gone."""
        document = decode_entry(self.KEY, self.entry_at(0, 20).value, 4)
        self.settings.take(self.KEY, revision_in(0, 20), document, "peer")
        self.read_at(1, 16)
        self.assertIsNotNone(self.held)

    def test_node_that_starts_long_after_a_restore_believes_what_is_missing(self):
        self.reader._restores.note_era(1, self.clock.return_value - 60.0)
        self.read_at(1, 18, self.entry_at(1, 18))
        self.read_at(1, 19)
        self.assertIsNone(self.held)

    def test_server_that_went_and_came_in_one_era_is_called_at_once(self):
        """A server that was missing writes again, and gets no calls for seconds."""
        self.read_at(1, 16, self.entry_at(1, 16))
        self.wait(3.0)
        self.read_at(1, 17)
        self.assertIsNone(self.held)
        self.read_at(1, 18, self.entry_at(1, 18))
        self.assertIsNotNone(self.held)

    def test_copy_lifts_no_leaving_mark(self):
        """The copy shows a server before it began to leave, and calls go there again."""
        self.read_at(0, 20, self.entry_at(0, 20, "draining"))
        self.read_at(1, 16, self.entry_at(1, 15))
        self.assertTrue(self.held.leaving)

    def test_copy_brings_no_server_back(self):
        """The copy shows a server that has left since, and calls go there."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(0, 21)
        self.read_at(1, 16, self.entry_at(1, 15))
        self.wait(4.0)
        self.read_at(1, 16, self.entry_at(1, 15))
        self.assertIsNone(self.held)

    def test_peer_that_has_just_started_lifts_no_leaving_mark(self):
        """A node starts, reads the copy, and tells its peers that a leaving server is ready."""
        self.read_at(0, 20, self.entry_at(0, 20, "draining"))
        document = decode_entry(self.KEY, self.entry_at(1, 15).value, revision_in(1, 4))
        self.assertFalse(self.settings.take(self.KEY, revision_in(1, 15), document, "peer"))
        self.assertTrue(self.held.leaving)
        self.wait(8.0)
        self.assertTrue(self.settings.take(self.KEY, revision_in(1, 15), document, "peer"))

    def test_peer_that_has_just_started_brings_no_server_back(self):
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(0, 21)
        document = decode_entry(self.KEY, self.entry_at(1, 15).value, revision_in(1, 4))
        self.assertFalse(self.settings.take(self.KEY, revision_in(1, 15), document, "peer"))
        self.assertIsNone(self.held)

    def test_server_that_stays_listed_after_a_restore_is_called_again(self):
        """An entry lapsed in the outage, and its living server gets no calls for good."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(0, 21)
        self.read_at(1, 16, self.entry_at(1, 15))
        self.wait(8.0)
        self.read_at(1, 17, self.entry_at(1, 15))
        self.assertIsNotNone(self.held)

    def test_new_start_is_taken_at_once(self):
        self.read_at(0, 20, self.entry_at(0, 20, "draining"))
        self.read_at(1, 16, self.entry_at(1, 15, born=BORN + 9))
        self.assertFalse(self.held.leaving)

    def test_new_start_of_a_server_that_was_gone_is_taken_at_once(self):
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(0, 21)
        self.read_at(1, 16, self.entry_at(1, 15, born=BORN + 9))
        self.assertIsNotNone(self.held)

    def test_unchanged_entry_is_no_news(self):
        """A restore makes each node take and tell all entries anew."""
        self.read_at(0, 20, self.entry_at(0, 20))
        self.read_at(1, 16, self.entry_at(1, 15))
        self.assertEqual(self.settings.get(self.KEY).revision, 20)

    def test_of_two_servers_at_an_address_the_one_created_later_holds_it(self):
        """The revision of a creation is given out again, and the later server looks older."""
        former = ServerEntry("a", "s", "10.0.0.1:1", "10.0.0.1", "a", 8, False, 20)
        later = replace(former, instance="b", created=revision_in(1, 16))
        self.assertGreater(later.order, former.order)

    def test_evacuation_at_a_lower_revision(self):
        """A zone was evacuated before, and its next evacuation is passed over."""
        self.read_at(0, 19, self.mark_at(0, 19))
        self.read_at(0, 20)
        self.read_at(1, 18, self.mark_at(1, 18))
        self.assertEqual(self.settings.evacuated_zones, frozenset("a"))

    def test_end_of_an_evacuation_at_a_lower_revision(self):
        """A zone is taken back at a revision that was seen before, and gets no calls for good."""
        self.read_at(0, 20, self.mark_at(0, 20))
        self.read_at(1, 16, self.mark_at(1, 16))
        self.wait(3.0)
        self.read_at(1, 18)
        self.assertEqual(self.settings.evacuated_zones, frozenset())

    def test_mark_that_the_copy_lacks_holds_until_it_can_be_written_again(self):
        """A zone was evacuated after the copy was made, and calls go there again."""
        self.read_at(0, 20, self.mark_at(0, 20))
        self.read_at(1, 16)
        self.assertEqual(self.settings.evacuated_zones, frozenset("a"))
        self.wait(3.0)
        self.read_at(1, 16)
        self.assertEqual(self.settings.evacuated_zones, frozenset())

    def test_peers_word_from_before_the_restore_is_older(self):
        """A peer that slept tells of an entry from before the restore, at a higher number."""
        self.read_at(1, 18, self.entry_at(1, 18, "draining"))
        document = decode_entry(self.KEY, self.entry_at(0, 25).value, 4)
        self.assertFalse(self.settings.take(self.KEY, revision_in(0, 25), document, "peer"))
        self.assertTrue(self.held.leaving)


class TestClient(unittest.IsolatedAsyncioTestCase):
    """`StoreClient` beside a store that comes back from a copy."""

    async def asyncSetUp(self):
        address = free_addresses(1)[0]
        self.store = StandinStore([address], page_items=2)
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.client = StoreClient(address, mock.Mock())
        self.addCleanup(self.client.close)

    async def test_revisions_are_in_order_over_a_restore(self):
        copy = self.store.copy()
        for _ in range(3):
            self.store.put("a", 1)
        before = await self.client.read("a")
        self.store.restore_from(copy)
        self.store.put("a", 2)
        after = await self.client.read("a")
        self.assertGreater(after.revision, before.revision)
        self.assertGreater(after.items[0].revision, before.items[0].revision)
        self.assertGreater(after.items[0].created, before.items[0].created)

    async def test_watch_does_not_go_on_where_revisions_are_given_out_again(self):
        """The store has the watch's revision again, and changes below it are never told."""
        copy = self.store.copy()
        self.store.put("a", 1)
        revision = (await self.client.read("a")).revision
        self.store.restore_from(copy)
        for value in (2, 3):
            self.store.put("a", value)
        with self.assertRaises(HistoryError):
            await self.client.watch("a", revision, deadline_after(1.0))

    async def test_era_that_cannot_be_read_fails_the_reading(self):
        """An era taken for 0 would make all that is held newer than all that is read."""
        for era in ("", "-1", "1.5", "two", "²", 1 << 22):
            self.store.era = era
            with self.assertRaises(PlatformError) as caught:
                await self.client.read("")
            self.assertIn("Store-Era", str(caught.exception))

    async def test_pages_of_two_eras_are_no_reading(self):
        """What the copy lacks on the second page is taken for gone."""
        for key in "abc":
            self.store.put(key, 1)
        copy = self.store.copy()
        page = self.client._page

        async def page_then_restore(*arguments):
            answer = await page(*arguments)
            self.store.restore_from(copy)
            return answer

        self.client._page = page_then_restore
        with self.assertRaises(PlatformError):
            await self.client.read("")


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
        self.fleet.rewrite_configuration()
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
    fleet = SimulatedFleet(size)
    await fleet.start()
    await asyncio.sleep(8.0)
    copy = fleet.store.copy()
    for version in (2, 3, 4):
        fleet.store.put(CONFIGURATION_KEY, configuration(version, [], SERVICES))
        await asyncio.sleep(1.0)
    fleet.store.restore_from(copy)
    await asyncio.sleep(1.0)
    fleet.store.put(CONFIGURATION_KEY, configuration(4, [], SERVICES))
    seconds = []
    for version, rest in enumerate(rests, 5):
        await asyncio.sleep(rest)
        fleet.store.put(CONFIGURATION_KEY, configuration(version, [], SERVICES))
        seconds.append(await _until_known(fleet, version))
    await fleet.stop()
    return seconds


async def _seconds_to_know_who_leaves(size):
    """Return how long after a restore a leaving mark takes, beside a node that starts."""
    random.seed(size)
    fleet = SimulatedFleet(size)
    await fleet.start()
    await asyncio.sleep(8.0)
    copy = fleet.store.copy()
    place = fleet.places[-1]
    for _ in range(5):
        fleet.register(*place, slots=9)
        await asyncio.sleep(1.0)
        fleet.register(*place)
        await asyncio.sleep(1.0)
    fleet.store.restore_from(copy)
    fleet.register(*place)
    started = fleet.places[1][0]
    await fleet.kill(started)
    await fleet.start_node(started)
    await asyncio.sleep(3.0)
    fleet.register(*place, state="draining")
    seconds = await _until_all(fleet, lambda node: _leaves(node, place[0]))
    await fleet.stop()
    return seconds


def _leaves(node, host):
    member = node.members.find(host)
    return member is not None and member.leaving


def _first_reader(fleet):
    """Return the first node in the order of readers that is not the last place's."""
    nodes = [node for node in fleet.nodes if node.here.host != fleet.places[-1][0]]
    return min(nodes, key=lambda node: node.reader._topology.rank)


async def _seconds_without_a_server(size):
    """Return how long others missed a server that came after the copy was made.

    The node that reads first in order starts as the store is back, and the server
    writes again 2.2 s later.
    """
    random.seed(size)
    fleet = SimulatedFleet(size)
    await fleet.start()
    await asyncio.sleep(8.0)
    place = fleet.places[-1]
    copy = fleet.store.copy()
    fleet.register(*place, slots=9)
    await asyncio.sleep(3.0)
    lost = StoreCopy({k: v for k, v in copy.items.items() if place[0] not in k}, copy.revision)
    fleet.store.restore_from(lost)
    started = _first_reader(fleet).here.host
    await fleet.kill(started)
    await fleet.start_node(started)
    others = [node for node in fleet.nodes if node.here.host != started]
    missed = 0.0
    for steps, seconds in ((220, 0.01), (400, 0.01)):
        for _ in range(steps):
            missed += seconds * any(node.members.find(place[0]) is None for node in others)
            await asyncio.sleep(seconds)
        fleet.register(*place, slots=9)
    await fleet.stop()
    return missed


async def _seconds_to_know_who_left(size):
    """Return how long the end of an entry takes that goes five seconds after a restore."""
    random.seed(size)
    fleet = SimulatedFleet(size)
    await fleet.start()
    await asyncio.sleep(8.0)
    fleet.store.restore_from(fleet.store.copy())
    # The first reader in order can't reach the store until just before the end.
    _first_reader(fleet).reader._resume_at = now() + 5.0
    await asyncio.sleep(5.2)
    host = fleet.places[-1][0]
    fleet.withdraw(host)

    def knows(node):
        return node.here.host == host or node.members.find(host) is None

    seconds = await _until_all(fleet, knows)
    await fleet.stop()
    return seconds


async def _until_known(fleet, version):
    """Return how long it takes until all nodes know a version."""

    def knows(node):
        held = node.settings.get(CONFIGURATION_KEY)
        return held is not None and held.parsed.version == version

    return await _until_all(fleet, knows)


async def _until_all(fleet, condition):
    """Return how long it takes until all nodes fulfil `condition`, ten seconds at most."""
    begun = now()
    while now() < begun + 10.0 and not all(condition(node) for node in fleet.nodes):
        await asyncio.sleep(0.01)
    return now() - begun


class TestSpread(unittest.TestCase):
    """How soon nodes know configurations after a restore, in virtual time."""

    def test_versions_at_lower_and_equal_revisions_are_known_in_time(self):
        """Nodes pass over what lies at revisions that they have seen, at once and later."""
        for size in (12, 195):
            seconds = run_virtual(lambda n=size: _seconds_after_a_restore(n, (0.0, 0.0, 6.0)))
            self.assertLessEqual(max(seconds), IN_FORCE_SECONDS, (size, seconds))

    def test_server_that_leaves_after_a_restore_is_known_in_time(self):
        """Its mark lies at a revision that all have seen, and peers pass each other's word over."""
        for size in (12, 195):
            seconds = run_virtual(lambda n=size: _seconds_to_know_who_leaves(n))
            self.assertLessEqual(seconds, IN_FORCE_SECONDS, size)

    def test_server_that_came_after_the_copy_is_kept_by_all(self):
        """A node that starts reads the copy, and tells all that a living server is gone."""
        for size in (12, 195):
            seconds = run_virtual(lambda n=size: _seconds_without_a_server(n))
            self.assertLess(seconds, 0.1, size)

    def test_end_of_a_server_after_a_restore_is_known_in_time(self):
        """Each node waits anew when it reads for the first time, and calls go on to who left."""
        for size in (12, 195):
            seconds = run_virtual(lambda n=size: _seconds_to_know_who_left(n))
            self.assertLessEqual(seconds, IN_FORCE_SECONDS, size)


if __name__ == "__main__":
    unittest.main()
