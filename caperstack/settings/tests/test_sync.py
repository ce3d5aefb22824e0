"""Who is told and asked what, with connections that record what they are sent."""

import asyncio
import json
import unittest
import zlib
from types import SimpleNamespace
from unittest import mock

from caperstack.clock import TransitClock
from caperstack.peers.messages import Buckets, Digest, Fetch, Revisions, SubtreeBody
from caperstack.settings.bodies import MAX_BODY, pack
from caperstack.settings.compile import TreeCodec
from caperstack.settings.store import SettingsStore
from caperstack.settings.sync import SUCCESSORS, TELL_FAR, TELL_NEAR, SettingsSync

ROUTES = {"routes": [{"path": "/a", "service": "s"}]}


class Connection:
    """Records the messages that are sent on it."""

    def __init__(self):
        self.sent = []
        self.arrival = 0.0
        self.transit = TransitClock()
        self.closed = False

    def send(self, message, body=b""):
        self.sent.append(message)

    async def send_in_chunks(self, message, body):
        self.sent.append((message, body))


class TestSettingsSync(unittest.IsolatedAsyncioTestCase):
    """`SettingsSync` in a fleet of forty hosts in two zones."""

    async def asyncSetUp(self):
        members = {
            f"h{n}": SimpleNamespace(host=f"h{n}", zone="ab"[n % 2], owner=mock.Mock(usable=True))
            for n in range(40)
        }
        self.store = SettingsStore(TreeCodec())
        services = {
            "settings": self.store,
            "metrics": mock.Mock(),
            "events": mock.Mock(),
            "links": mock.Mock(),
            "peer port": mock.Mock(),
            "members": SimpleNamespace(
                listen=lambda listener: [listener(m, False) for m in members.values()],
                find=members.get,
            ),
        }
        kernel = SimpleNamespace(find=services.__getitem__)
        await self.store.start(kernel)
        self.sync = SettingsSync(SimpleNamespace(host="h0", zone="a"))
        with mock.patch("caperstack.settings.sync.FIRST_CONTACT_SECONDS", 0.0):
            await self.sync.start(kernel)
        self.addAsyncCleanup(self.sync.stop)
        self.heard = []
        self.sync.on_read(self.heard.append)
        self.peers = {host: Connection() for host in members if host != "h0"}
        for host, connection in self.peers.items():
            self.sync.opened(host, connection)
            connection.sent.clear()

    def told(self, kind):
        return [h for h, c in self.peers.items() if any(isinstance(m, kind) for m in c.sent)]

    async def test_change_is_told_to_a_few_of_each_zone(self):
        # A reader on a thin link finds a large configuration.  Were all 39
        # peers told at once, all would ask it for the body, and its link
        # would be full for seconds; they hear of it from each other.
        self.store.take("", 5, ROUTES, "platform")
        await asyncio.sleep(0)
        told = set(self.told(Revisions))
        near = [host for host in told if int(host[1:]) % 2 == 0]
        self.assertGreaterEqual(len(near), TELL_NEAR)
        self.assertGreaterEqual(len(told) - len(near), TELL_FAR)
        self.assertLessEqual(len(told), TELL_NEAR + TELL_FAR + SUCCESSORS)
        self.assertLessEqual(set(self.sync._topology.successors(SUCCESSORS)), told)

    async def test_calls_wait_until_the_settings_of_a_peer_have_come(self):
        """A node that starts hears a peer, and says 404 while the newer routes are on their way."""
        waiting = asyncio.create_task(self.sync.until_contact())
        self.sync.take("h1", self.peers["h1"], Digest(1), b"")
        self.sync.take("h1", self.peers["h1"], Revisions({"": 5}), b"")
        await asyncio.sleep(0.02)
        self.assertFalse(waiting.done())
        body = pack(ROUTES)
        self.sync.take("h1", self.peers["h1"], SubtreeBody(1, len(body), "", 5, False), body)
        await asyncio.wait_for(waiting, 0.1)

    async def test_body_is_asked_elsewhere_when_the_peer_that_was_asked_is_gone(self):
        """The peer that was asked for a body is killed, and nobody tells of it again."""
        for host in ("h1", "h2"):
            self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
        self.assertEqual(self.told(Fetch), ["h1"])
        self.peers["h1"].closed = True
        self.sync.closed("h1")
        self.assertEqual(self.told(Fetch), ["h1", "h2"])

    async def test_body_is_asked_elsewhere_when_it_does_not_come(self):
        """The peer that was asked has gone silent, and nobody tells of that revision again."""
        with mock.patch("caperstack.settings.sync.FETCH_SECONDS", 0.01):
            with mock.patch("caperstack.settings.fetches.FETCH_SECONDS", 0.01):
                for host in ("h1", "h2"):
                    self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
            await asyncio.sleep(0.1)
        self.assertEqual(self.told(Fetch), ["h1", "h2"])

    async def test_host_is_told_over_the_connection_that_is_left(self):
        # A backend server leaves the list and the link to its host is closed.
        # The host's own connection to this node is open still, and a change
        # must reach it: its callers go on calling through it.
        for host in list(self.peers)[8:]:
            self.peers[host].closed = True
            self.sync.closed(host)
        dialled = self.peers["h1"]
        accepted = self.peers["h1"] = Connection()
        self.sync._connections._open["h1"] = [accepted, dialled]
        dialled.closed = True
        self.sync.closed("h1")
        self.store.take("", 5, ROUTES, "platform")
        await asyncio.sleep(0)
        self.assertEqual([type(message) for message in accepted.sent], [Revisions])

    async def test_host_that_is_not_listed_hears_of_readings(self):
        stranger = self.peers["new"] = Connection()
        self.sync.opened("new", stranger)
        self.peers["h1"].arrival = 100.0
        self.sync.take("h1", self.peers["h1"], Digest(1, 7, 10_000), b"")
        self.assertTrue([m for m in stranger.sent if isinstance(m, Digest) and m.reading])

    async def test_body_is_asked_of_one_peer_at_a_time(self):
        for host in ("h1", "h2", "h3"):
            self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
        self.assertEqual(self.told(Fetch), ["h1"])

    async def test_peer_that_does_not_send_is_replaced(self):
        with mock.patch("caperstack.settings.fetches.FETCH_SECONDS", 0.0):
            for host in ("h1", "h2"):
                self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
        self.assertEqual(self.told(Fetch), ["h1", "h2"])

    async def test_body_that_comes_from_another_peer_ends_the_comparison(self):
        # A change is told by h1 and its body is on the way when h2 is compared
        # with.  h3 holds something else as well, and must not wait for h2's end.
        self.sync.take("h1", self.peers["h1"], Revisions({"": 5}), b"")
        self.sync.take("h2", self.peers["h2"], Digest(1), b"")
        self.sync.take("h2", self.peers["h2"], Revisions({"": 5}, [0]), b"")
        self.sync.take("h3", self.peers["h3"], Digest(2), b"")
        self.assertEqual(self.told(Buckets), ["h2"])
        body = pack(ROUTES)
        self.sync.take("h1", self.peers["h1"], SubtreeBody(1, len(body), "", 5, False), body)
        self.assertEqual(self.told(Buckets), ["h2", "h3"])

    async def test_body_arrives_as_it_was_sent(self):
        self.store.take("", 5, ROUTES, "platform")
        self.sync.take("h1", self.peers["h1"], Fetch([""]), b"")
        await asyncio.sleep(0)
        message, body = self.peers["h1"].sent[-1]
        other = SettingsStore(TreeCodec())
        await other.start(SimpleNamespace(find=lambda _: mock.Mock()))
        self.sync._store = other
        self.sync.take("h1", self.peers["h1"], message, body)
        self.assertEqual((other.get("").revision, other.get("").document), (5, ROUTES))

    async def test_body_that_unpacks_without_end_is_refused(self):
        # Rubbish of 2 kB that unpacks to gigabytes must not fill the memory.
        bomb = zlib.compress(bytes(2 * MAX_BODY))
        message = SubtreeBody(1, len(bomb), "", 9, False)
        with self.assertRaises(Exception) as caught:
            self.sync.take("h1", self.peers["h1"], message, bomb)
        self.assertIn("longer", str(caught.exception))
        self.assertIsNone(self.store.get(""))

    async def test_age_of_a_reading_is_heard(self):
        heard = []
        self.sync.on_read(heard.append)
        self.peers["h1"].arrival = 100.0
        self.sync.take("h1", self.peers["h1"], Digest(0, 7, 250_000), b"")
        self.sync.take("h1", self.peers["h1"], Digest(0), b"")
        self.assertEqual(heard, [99.75])
        self.assertEqual(json.dumps(self.store.revisions), "{}")

    async def test_word_of_a_reading_goes_round_once(self):
        # The reader is connected to a part of the fleet. Whoever hears of a
        # new reading tells three others, and nobody tells an old one again.
        for host, way, reading in (("h1", 0.010, 7), ("h2", 0.030, 7), ("h3", 0.900, 8)):
            self.hear_reading(host, 100.0 + way, reading)
        self.assertEqual(len(self.readings_told()), 6)

    async def test_word_of_a_reading_that_comes_back_late_is_not_told_again(self):
        """Messages are slow, word of one reading looks newer each time round, and nobody reads."""
        for host, way in (("h1", 0.010), ("h2", 0.900), ("h3", 1.800)):
            self.hear_reading(host, 100.0 + way, 7)
        self.assertEqual(len(self.readings_told()), 3)
        self.assertEqual(len(self.heard), 1)

    async def test_readings_of_many_at_once_are_not_all_told(self):
        """A reader dies, sixty nodes read in one moment, and word of each goes round."""
        for number in range(30):
            self.hear_reading(f"h{number + 1}", 100.0 + number / 1000, number + 1)
        self.assertEqual(len(self.readings_told()), 3)

    def hear_reading(self, host, arrival, reading):
        self.peers[host].arrival = arrival
        self.sync.take(host, self.peers[host], Digest(1, reading, 10_000), b"")

    def readings_told(self):
        told = [m for c in self.peers.values() for m in c.sent if isinstance(m, Digest)]
        return [m for m in told if m.reading]
