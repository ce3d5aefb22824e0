"""Tests of the settings replication, with connections that record what is sent."""

import asyncio
import json
import unittest
import zlib
from types import SimpleNamespace
from unittest import mock

from caperstack.clock import TransitClock
from caperstack.peers.messages import Buckets, Digest, Fetch, Revisions, SubtreeBody
from caperstack.settings.bodies import MAX_BODY_BYTES, pack
from caperstack.settings.compile import TreeCodec
from caperstack.settings.store import SettingsStore
from caperstack.settings.sync import (
    NOTIFIED_OTHER_ZONES,
    NOTIFIED_SAME_ZONE,
    SUCCESSORS,
    SettingsSync,
)

ROUTES = {"routes": [{"path": "/a", "service": "s"}]}


class Connection:
    """Stand-in for a connection that records the messages sent on it."""

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
        with mock.patch("caperstack.settings.sync.START_TIMEOUT_SECONDS", 0.0):
            await self.sync.start(kernel)
        self.addAsyncCleanup(self.sync.stop)
        self.read_times = []
        self.sync.on_read(self.read_times.append)
        self.peers = {host: Connection() for host in members if host != "h0"}
        for host, connection in self.peers.items():
            self.sync.opened(host, connection)
            connection.sent.clear()

    def hosts_sent(self, kind):
        return [h for h, c in self.peers.items() if any(isinstance(m, kind) for m in c.sent)]

    async def test_change_is_announced_to_few_hosts_of_each_zone(self):
        # If a reader notified all 39 peers of a large configuration, all would fetch the
        # body from it and saturate its link for seconds.
        self.store.take("", 5, ROUTES, "platform")
        await asyncio.sleep(0)
        hosts_sent = set(self.hosts_sent(Revisions))
        near = [host for host in hosts_sent if int(host[1:]) % 2 == 0]
        self.assertGreaterEqual(len(near), NOTIFIED_SAME_ZONE)
        self.assertGreaterEqual(len(hosts_sent) - len(near), NOTIFIED_OTHER_ZONES)
        self.assertLessEqual(
            len(hosts_sent), NOTIFIED_SAME_ZONE + NOTIFIED_OTHER_ZONES + SUCCESSORS
        )
        self.assertLessEqual(set(self.sync._topology.successors(SUCCESSORS)), hosts_sent)

    async def test_calls_wait_for_the_settings_of_a_peer(self):
        """A starting node must not answer 404 while newer routes of a peer are in transfer."""
        waiting = asyncio.create_task(self.sync.wait_for_agreement())
        self.sync.take("h1", self.peers["h1"], Digest(1), b"")
        self.sync.take("h1", self.peers["h1"], Revisions({"": 5}), b"")
        await asyncio.sleep(0.02)
        self.assertFalse(waiting.done())
        body = pack(ROUTES)
        self.sync.take("h1", self.peers["h1"], SubtreeBody(1, len(body), "", 5, False), body)
        await asyncio.wait_for(waiting, 0.1)

    async def test_body_is_requested_from_another_peer_when_connection_closes(self):
        """The peer that was asked for a body is killed, and no peer announces it again."""
        for host in ("h1", "h2"):
            self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
        self.assertEqual(self.hosts_sent(Fetch), ["h1"])
        self.peers["h1"].closed = True
        self.sync.closed("h1")
        self.assertEqual(self.hosts_sent(Fetch), ["h1", "h2"])

    async def test_body_is_requested_from_another_peer_after_timeout(self):
        """The peer that was asked does not reply, and no peer announces the revision again."""
        with mock.patch("caperstack.settings.sync.FETCH_TIMEOUT_SECONDS", 0.01):
            with mock.patch("caperstack.settings.fetches.FETCH_TIMEOUT_SECONDS", 0.01):
                for host in ("h1", "h2"):
                    self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
            await asyncio.sleep(0.1)
        self.assertEqual(self.hosts_sent(Fetch), ["h1", "h2"])

    async def test_change_is_sent_over_the_remaining_connection(self):
        # A backend server leaves the host list and the link to its host is closed, but
        # the connection dialled by that host is still open.  A change must reach the host
        # over it, since callers still use that host as their entry.
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

    async def test_platform_read_is_announced_to_unlisted_host(self):
        unlisted = self.peers["new"] = Connection()
        self.sync.opened("new", unlisted)
        self.peers["h1"].arrival = 100.0
        self.sync.take("h1", self.peers["h1"], Digest(1, 7, 10_000), b"")
        self.assertTrue([m for m in unlisted.sent if isinstance(m, Digest) and m.reading])

    async def test_body_is_requested_from_one_peer_at_a_time(self):
        for host in ("h1", "h2", "h3"):
            self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
        self.assertEqual(self.hosts_sent(Fetch), ["h1"])

    async def test_next_peer_is_asked_when_a_fetch_has_expired(self):
        with mock.patch("caperstack.settings.fetches.FETCH_TIMEOUT_SECONDS", 0.0):
            for host in ("h1", "h2"):
                self.sync.take(host, self.peers[host], Revisions({"": 5}), b"")
        self.assertEqual(self.hosts_sent(Fetch), ["h1", "h2"])

    async def test_body_that_comes_from_another_peer_ends_the_comparison(self):
        # The body of a change announced by h1 is in transfer during a comparison with h2.
        # The digest of h3 differs too; its comparison must start when the body arrives.
        self.sync.take("h1", self.peers["h1"], Revisions({"": 5}), b"")
        self.sync.take("h2", self.peers["h2"], Digest(1), b"")
        self.sync.take("h2", self.peers["h2"], Revisions({"": 5}, [0]), b"")
        self.sync.take("h3", self.peers["h3"], Digest(2), b"")
        self.assertEqual(self.hosts_sent(Buckets), ["h2"])
        body = pack(ROUTES)
        self.sync.take("h1", self.peers["h1"], SubtreeBody(1, len(body), "", 5, False), body)
        self.assertEqual(self.hosts_sent(Buckets), ["h2", "h3"])

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

    async def test_body_exceeding_size_limit_when_decompressed_is_rejected(self):
        # A body of a few kB that decompresses to far more must not exhaust the memory.
        bomb = zlib.compress(bytes(2 * MAX_BODY_BYTES))
        message = SubtreeBody(1, len(bomb), "", 9, False)
        with self.assertRaises(Exception) as caught:
            self.sync.take("h1", self.peers["h1"], message, bomb)
        self.assertIn("longer", str(caught.exception))
        self.assertIsNone(self.store.get(""))

    async def test_age_of_platform_read_is_reported_to_listeners(self):
        read_times = []
        self.sync.on_read(read_times.append)
        self.peers["h1"].arrival = 100.0
        self.sync.take("h1", self.peers["h1"], Digest(0, 7, 250_000), b"")
        self.sync.take("h1", self.peers["h1"], Digest(0), b"")
        self.assertEqual(read_times, [99.75])
        self.assertEqual(json.dumps(self.store.revisions), "{}")

    async def test_platform_read_is_forwarded_once(self):
        # A reader is connected to a part of the fleet only.  Each node forwards a new read
        # to three successors and never forwards the same read again.
        for host, delay, reading in (("h1", 0.010, 7), ("h2", 0.030, 7), ("h3", 0.900, 8)):
            self.receive_read_notice(host, 100.0 + delay, reading)
        self.assertEqual(len(self.read_notices_sent()), 6)

    async def test_delayed_duplicate_of_platform_read_is_not_forwarded(self):
        """Delays make one read look newer each time round, so it could circulate for ever."""
        for host, delay in (("h1", 0.010), ("h2", 0.900), ("h3", 1.800)):
            self.receive_read_notice(host, 100.0 + delay, 7)
        self.assertEqual(len(self.read_notices_sent()), 3)
        self.assertEqual(len(self.read_times), 1)

    async def test_simultaneous_platform_reads_are_not_all_forwarded(self):
        """A reader fails and sixty nodes read at once; not every read may be forwarded."""
        for number in range(30):
            self.receive_read_notice(f"h{number + 1}", 100.0 + number / 1000, number + 1)
        self.assertEqual(len(self.read_notices_sent()), 3)

    def receive_read_notice(self, host, arrival, reading):
        self.peers[host].arrival = arrival
        self.sync.take(host, self.peers[host], Digest(1, reading, 10_000), b"")

    def read_notices_sent(self):
        digests = [m for c in self.peers.values() for m in c.sent if isinstance(m, Digest)]
        return [m for m in digests if m.reading]
