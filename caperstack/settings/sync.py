"""Replicate settings between peers.

Changed revisions are pushed, digests are compared periodically, and the bodies of
subtrees are fetched where the revisions differ.
"""

import asyncio
import contextlib
import itertools
import random
import zlib
from functools import singledispatchmethod

from caperstack.clock import deadline_after, now
from caperstack.exception import FrameError, PeerError
from caperstack.peers.messages import Buckets, Digest, Fetch, Revisions, SubtreeBody
from caperstack.settings.bodies import MAX_BODY_BYTES, pack, unpack
from caperstack.settings.comparison import Comparisons
from caperstack.settings.connections import SettingsConnections
from caperstack.settings.digest import BUCKETS
from caperstack.settings.fetches import FETCH_TIMEOUT_SECONDS, Fetches
from caperstack.settings.neighbours import Topology
from caperstack.settings.restores import Restores
from caperstack.settings.seen_reads import SeenReads

__all__ = ["SettingsSync"]

#: Intervals between checks of the parent connections and between digests sent to all
#: connected hosts, in seconds; both are varied by up to 20 %.
MAINTENANCE_SECONDS = 1.0
DIGEST_SECONDS = 5.0

#: Number of parents that a node other than a reader keeps connected.
CONNECTED_PARENTS = 2

#: Number of successors in the order of all hosts that each node keeps connected, in
#: whatever zone.  The parents of a node don't dial it, so a node that starts without
#: access to the platform and knows no peers is reached through its predecessors in
#: this order.  Among three of them one can read the platform unless most of the
#: fleet cannot.
SUCCESSORS = 3

#: With more connected hosts than this, a change is announced to the successors and to a
#: few peers of the own zone and of other zones; these forward it, and digests reach the
#: rest.  If all were notified, 72 peers at once would fetch a configuration of 1,400
#: routes from the node that read it and saturate its 10 Mbit/s link for seconds.
MAX_PEERS_NOTIFIED_DIRECTLY = 16
NOTIFIED_SAME_ZONE = 2
NOTIFIED_OTHER_ZONES = 1

#: If more subtrees than this change in one iteration of the event loop, only the digest
#: is sent.  A starting node receives the entries of the whole fleet at once; its peers
#: hold most of them, and a comparison finds those that they lack.
MAX_REVISIONS_PER_NOTICE = 16

#: Maximum time that a starting node waits to agree with a peer, in seconds.
START_TIMEOUT_SECONDS = 2.0

#: Maximum time after its start that a node holds calls until it agrees with a peer, in
#: seconds.  A connection to a live peer takes some milliseconds.
HOLD_CALLS_SECONDS = 1.0

#: Time without settings messages from any peer, in seconds, after which a node no longer
#: relies on its peers and reads the platform itself.
SILENCE_SECONDS = 12.0


class SettingsSync:
    """Replicate settings between this node and its connected peers.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    restores : caperstack.settings.restores.Restores, optional
        Tracks the era of the platform's revisions, which is sent with each announced
        read of the platform.

    Notes
    -----
    A restarted node holds no settings.  If the platform serves an old revision at
    that time, the node would adopt it and revert a change for its callers.  So a node
    begins to serve when it agrees with a peer, or when none can be reached within a
    second or two.

    Changes are sent over a connection in both directions, whichever side dialled it, so
    a change that only one node has seen reaches all connected nodes.
    """

    def __init__(self, here, restores=None):
        self._here = here
        self._restores = restores or Restores()
        self._connections = SettingsConnections()
        self._numbers = itertools.count(1)
        self._active_until = 0.0
        self._tasks = set()
        self._task = None
        self._fetches = Fetches()
        self._seen_reads = SeenReads(here.host)
        self._read_listeners = []
        self._agrees = asyncio.Event()
        self._hold_until = 0.0
        self._comparisons = Comparisons()
        self._changes = {}

    def on_read(self, listener):
        """Call ``listener(read_at)`` when a peer announces a read of the platform."""
        self._read_listeners.append(listener)

    def announce_read(self, read_at):
        """Announce to all peers a read of the platform, with the digest held after it.

        Parameters
        ----------
        read_at : float
            When the read began, on the clock of `caperstack.clock.now`, in seconds.
        """
        message = self._read_message(self._seen_reads.begin(read_at), read_at)
        for host in self._connections.hosts:
            self._connections.send(host, message)

    @property
    def silent(self):
        """Whether no peer has sent a settings message lately; see `SILENCE_SECONDS`."""
        return now() > self._active_until

    async def start(self, kernel):
        """Subscribe to connections and changes, and wait until this node agrees with a peer."""
        self._store = kernel.find("settings")
        self._members = kernel.find("members")
        self._metrics = kernel.find("metrics")
        self._connections.set_metrics(self._metrics)
        self._topology = Topology(self._here, self._members)
        self._active_until = deadline_after(random.uniform(0.2, 0.5) * SILENCE_SECONDS)
        kernel.find("links").hook(self)
        kernel.find("peer port").hook(self)
        self._hold_until = deadline_after(HOLD_CALLS_SECONDS)
        self._store.listen(self._on_change)
        self._task = asyncio.create_task(self._maintenance_loop())
        if next(self._topology.parents(), None) is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._agrees.wait(), START_TIMEOUT_SECONDS)

    async def stop(self):
        """Stop maintaining connections and sending digests."""
        self._task.cancel()

    # -- connections ------------------------------------------------------

    async def _maintenance_loop(self):
        digest_due = 0.0
        while True:
            self._keep_connections()
            self._compare_next()
            if now() >= digest_due:
                digest_due = deadline_after(DIGEST_SECONDS * random.uniform(0.8, 1.2))
                self._send_digests()
            await asyncio.sleep(MAINTENANCE_SECONDS * random.uniform(0.8, 1.2))

    def _keep_connections(self):
        for host in self._topology.successors(SUCCESSORS):
            self._members.find(host).owner.touch()
        # Settings cross from zone to zone between readers, so a reader keeps all its
        # parents connected, in its own zone and in the others.
        missing = None if self._topology.reads else CONNECTED_PARENTS
        for host in self._topology.parents():
            member = self._members.find(host)
            member.owner.touch()
            if missing is not None:
                missing -= member.owner.usable
                if missing == 0:
                    return

    def _send_digests(self):
        message = Digest(self._store.digest.value)
        for host in self._connections.hosts:
            self._connections.send(host, message)

    def opened(self, host, connection):
        """Register a connection, dialled by either side, and send the digest over it."""
        self._connections.add(host, connection)
        self._connections.send_over(connection, Digest(self._store.digest.value))

    def closed(self, host):
        """Remove the closed connections to `host`.

        If none is left, its pending fetches go to other peers and its comparison ends.
        """
        if not self._connections.drop_closed(host):
            self._fetches.forget_host(host)
            self._send_due_fetches()
            self._comparisons.remove(host)
            self._compare_next()

    # -- messages ---------------------------------------------------------

    @singledispatchmethod
    def _handle(self, message, body, host, connection):
        """Ignore messages of other types, which other services handle."""

    def take(self, host, connection, message, body):
        """Handle a message received over a connection."""
        self._handle(message, body, host, connection)

    async def wait_for_agreement(self):
        """Wait until this node agrees with a peer or `HOLD_CALLS_SECONDS` have passed.

        Notes
        -----
        Without this wait, a starting node that has read an old copy of the platform's
        settings answers that a route does not exist just before a peer sends it.  It
        would also forward its first calls before it learns which requests are
        quarantined, and one of them may crash the backend server beside it.  A newly
        connected peer announces these requests before any settings message, so a node
        that agrees on settings knows them.
        """
        if self._agrees.is_set() or now() >= self._hold_until:
            return
        if next(self._topology.parents(), None) is None:
            return
        self._keep_connections()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._hold_until):
                await self._agrees.wait()

    def _record_activity(self):
        self._active_until = deadline_after(SILENCE_SECONDS)

    @_handle.register
    def _(self, message: Digest, body, host, connection):
        self._record_activity()
        if message.reading:
            self._handle_read_notice(message, connection)
        if message.value == self._store.digest.value:
            self._agrees.set()
            self._comparisons.remove(host)
        else:
            self._metrics.count("settings_differences")
            self._comparisons.differs(host, message.value)
        self._compare_next()

    def _compare_next(self):
        """Start a comparison with a peer whose digest differs, unless one is running."""
        host = self._comparisons.begin(self._store.digest.value)
        if host is not None:
            digest = self._store.digest
            self._connections.send(host, Buckets(digest.value, digest.buckets))

    @_handle.register
    def _(self, message: Buckets, body, host, connection):
        self._record_activity()
        own_digest = self._store.digest
        if message.value == own_digest.value:
            self._connections.send_over(connection, Digest(own_digest.value))
            return
        pairs = enumerate(zip(message.values, own_digest.buckets, strict=False))
        # If only the whole values differ, some buckets collide: send all revisions.
        unequal = [index for index, (theirs, ours) in pairs if theirs != ours] or range(BUCKETS)
        buckets = list(unequal)
        self._connections.send_over(
            connection, Revisions(self._store.revisions_in(buckets), buckets)
        )

    def _handle_read_notice(self, message, connection):
        """Process an announced read of the platform and forward it if it is new.

        Notes
        -----
        In a large fleet a reader is connected to a part of the nodes only.  Each node
        forwards the announcement to its three successors, once.
        """
        if not self._seen_reads.add(message.reading):
            return
        lateness = connection.transit.lateness(message.sent_us / 1e6, connection.arrival)
        sent_at = connection.arrival - lateness
        read_at = sent_at - message.read_age_us / 1e6
        self._restores.note_era(message.era, sent_at - message.era_age_us / 1e6)
        self._metrics.time("reading_age_seconds", now() - read_at, "heard")
        for listener in self._read_listeners:
            listener(read_at)
        if not self._seen_reads.should_forward(read_at):
            return
        message = self._read_message(message.reading, read_at)
        # Connected hosts that are not members are no node's successors, so each node that
        # is connected to them notifies them.
        unlisted = [h for h in self._connections.hosts if self._members.find(h) is None]
        for host in (*self._topology.successors(SUCCESSORS), *unlisted):
            self._connections.send(host, message)

    def _read_message(self, reading, read_at):
        moment = now()
        age = max(1, int((moment - read_at) * 1e6))
        era = self._restores.era
        era_age = max(0, int((moment - self._restores.began_at) * 1e6)) if era else 0
        sent = int(moment * 1e6)
        return Digest(self._store.digest.value, reading, age, sent, era, era_age)

    @_handle.register
    def _(self, message: Revisions, body, host, connection):
        self._record_activity()
        wanted = {p: r for p, r in message.revisions.items() if self._store.wants(p, r)}
        for path, revision in wanted.items():
            self._fetches.add_holder(host, path, revision)
        self._send_due_fetches()
        if message.buckets:
            held = self._store.revisions_in(message.buckets)
            higher = {p: r for p, r in held.items() if r > message.revisions.get(p, -1)}
            if higher:
                self._connections.send_over(connection, Revisions(higher))
        if not wanted:
            self._agrees.set()
            if message.buckets:
                self._comparisons.done(host)
                self._compare_next()

    def _send_due_fetches(self):
        due = self._fetches.take_due()
        for host, paths in due.items():
            self._connections.send(host, Fetch(paths))
        if due:
            asyncio.get_running_loop().call_later(FETCH_TIMEOUT_SECONDS, self._send_due_fetches)

    @_handle.register
    def _(self, message: Fetch, body, host, connection):
        for path in message.paths:
            held = self._store.get(path)
            if held is not None and held.revision >= 0:
                self._spawn(self._send_body(held, connection, host))

    @_handle.register
    def _(self, message: SubtreeBody, body, host, connection):
        self._record_activity()
        if message.size > MAX_BODY_BYTES:
            self._metrics.count("settings_bodies_refused")
            return
        try:
            document = None if message.deleted else unpack(body)
        except (ValueError, zlib.error) as error:
            raise FrameError(f"subtree is not JSON: {error}", step="settings", peer=host) from None
        self._store.take(message.path, message.revision, document, host)
        self._fetches.done(message.path, message.revision)
        if self._fetches.idle:
            self._agrees.set()
            self._comparisons.finish_current()
            self._compare_next()

    async def _send_body(self, held, connection, host):
        body = pack(held.document)
        message = SubtreeBody(
            next(self._numbers), len(body), held.path, held.revision, held.deleted
        )
        self._metrics.count("settings_bodies_sent")
        try:
            await connection.send_in_chunks(message, body)
        except (PeerError, ConnectionError):
            self._metrics.count("unsent_notices")

    def _on_change(self, held):
        if not self._changes:
            asyncio.get_running_loop().call_soon(self._notify_changes)
        self._changes[held.path] = held

    def _notify_changes(self):
        """Notify a few peers of the changes made in this iteration of the event loop."""
        changes, self._changes = self._changes, {}
        for host in self.notification_targets():
            # The host that sent a revision holds it already.
            notice = {path: held.revision for path, held in changes.items() if held.source != host}
            if len(notice) > MAX_REVISIONS_PER_NOTICE:
                self._connections.send(host, Digest(self._store.digest.value))
            elif notice:
                self._connections.send(host, Revisions(notice))

    def _initial_targets(self, hosts):
        """Return the hosts, besides the successors, that are notified of a change directly."""
        if len(hosts) <= MAX_PEERS_NOTIFIED_DIRECTLY:
            return hosts
        random.shuffle(hosts)
        near = [host for host in hosts if self._zone_of(host) == self._here.zone]
        far = [host for host in hosts if host not in near]
        return near[:NOTIFIED_SAME_ZONE] + far[:NOTIFIED_OTHER_ZONES]

    def notification_targets(self):
        """Return the hosts to notify of a change; each forwards what is new to it.

        Notes
        -----
        The successors of this node are among them, so a change reaches the whole
        fleet.  With randomly chosen hosts alone it occasionally misses a node.
        """
        connected = self._connections.hosts
        hosts = self._initial_targets(connected)
        return list(
            dict.fromkeys((*hosts, *self._topology.nearest_successors(connected, SUCCESSORS)))
        )

    def connections_to(self, host):
        """Return the open connections to a host, a list."""
        return self._connections.to(host)

    def send(self, host, message):
        """Send a message over the newest open connection to a host, if there is one."""
        self._connections.send(host, message)

    def _zone_of(self, host):
        member = self._members.find(host)
        return "" if member is None else member.zone

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
