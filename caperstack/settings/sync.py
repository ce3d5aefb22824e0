"""Settings from peer to peer: revisions pushed, digests compared, bodies on difference."""

import asyncio
import contextlib
import itertools
import random
import zlib
from functools import singledispatchmethod

from caperstack.clock import deadline_after, now
from caperstack.exception import FrameError, PeerError
from caperstack.peers.messages import Buckets, Digest, Fetch, Revisions, SubtreeBody
from caperstack.settings.bodies import MAX_BODY, pack, unpack
from caperstack.settings.comparison import Comparisons
from caperstack.settings.connections import SettingsConnections
from caperstack.settings.digest import BUCKETS
from caperstack.settings.fetches import FETCH_SECONDS, Fetches
from caperstack.settings.neighbours import Topology
from caperstack.settings.readings import Readings
from caperstack.settings.restores import Restores

__all__ = ["SettingsSync"]

#: How often parents are looked after, and how often digests are compared.
CARE_SECONDS = 1.0
DIGEST_SECONDS = 5.0

#: Parents that are kept connected.
PARENTS = 2

#: Hosts next in the order of all hosts that each node keeps connected, whatever
#: its zone.  Failure: a node starts, cannot reach the platform and knows
#: nobody; its parents never dial it.  Its predecessors in this order do, and
#: one that can read is among three of them unless most of the fleet cannot.
SUCCESSORS = 3

#: With more connections than this, a change is told to a few peers of the own
#: zone and of other zones; they tell others, and digests reach the rest.
#: Failure: a configuration of 1,400 routes is asked for by 72 peers at once from
#: the node that read it, and its link of 10 Mbit/s is full for seconds.
TELL_ALL = 16
TELL_NEAR = 2
TELL_FAR = 1

#: Changes of one turn beyond this many are told by the digest alone.  A node that
#: starts takes in the whole fleet at once; its peers know most of it, and what
#: they lack a comparison shows.
TELL_EACH = 16

#: How long a starting node waits for a neighbour to agree with, in seconds.
FIRST_CONTACT_SECONDS = 2.0

#: How long after its start a node holds calls until it agrees with a peer, in seconds;
#: a connection takes some milliseconds where one lives.
CONTACT_SECONDS = 1.0

#: Silence of all peers after which a node no longer counts on them.
SILENT_SECONDS = 12.0


class SettingsSync:
    """Keep the settings of this node and its neighbours alike.

    Notes
    -----
    Failure: a node restarts while the platform serves an old revision.  It has
    no memory, takes the old one, and callers see a change undone.  So a node
    begins to serve when it agrees with a neighbour, or when none can be
    reached within a second or two.

    News travels both ways on every settings connection, whoever dialled it,
    so a change that one node alone has seen reaches all that are connected.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    restores : caperstack.settings.restores.Restores, optional
        The era of the platform's revisions, told with each reading.
    """

    def __init__(self, here, restores=None):
        self._here = here
        self._restores = restores or Restores()
        self._connections = SettingsConnections()
        self._numbers = itertools.count(1)
        self._heard_until = 0.0
        self._tasks = set()
        self._task = None
        self._fetches = Fetches()
        self._readings = Readings(here.host)
        self._read_listeners = []
        self._agrees = asyncio.Event()
        self._contact_until = 0.0
        self._comparisons = Comparisons()
        self._news = {}

    def on_read(self, listener):
        """Call ``listener(read_at)`` when a peer tells that the platform was read."""
        self._read_listeners.append(listener)

    def tell_read(self, read_at):
        """Tell all peers that the platform was read at `read_at`, and what is held since."""
        message = self._read_message(self._readings.begin(read_at), read_at)
        for host in self._connections.hosts:
            self._connections.send(host, message)

    @property
    def silent(self):
        """Whether no peer has spoken of settings lately."""
        return now() > self._heard_until

    async def start(self, kernel):
        """Follow links, connections and changes."""
        self._store = kernel.find("settings")
        self._members = kernel.find("members")
        self._metrics = kernel.find("metrics")
        self._connections.count_in(self._metrics)
        self._topology = Topology(self._here, self._members)
        self._heard_until = deadline_after(random.uniform(0.2, 0.5) * SILENT_SECONDS)
        kernel.find("links").hook(self)
        kernel.find("peer port").hook(self)
        self._contact_until = deadline_after(CONTACT_SECONDS)
        self._store.listen(self._on_change)
        self._task = asyncio.create_task(self._care())
        if next(self._topology.parents(), None) is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._agrees.wait(), FIRST_CONTACT_SECONDS)

    async def stop(self):
        """Stop looking after parents."""
        self._task.cancel()

    # -- neighbours -------------------------------------------------------

    async def _care(self):
        digest_due = 0.0
        while True:
            self._touch_parents()
            self._compare_next()
            if now() >= digest_due:
                digest_due = deadline_after(DIGEST_SECONDS * random.uniform(0.8, 1.2))
                self._compare_digests()
            await asyncio.sleep(CARE_SECONDS * random.uniform(0.8, 1.2))

    def _touch_parents(self):
        for host in self._topology.successors(SUCCESSORS):
            self._members.find(host).owner.touch()
        # Readers join the zones: they keep to all other readers.
        missing = None if self._topology.reads else PARENTS
        for host in self._topology.parents():
            member = self._members.find(host)
            member.owner.touch()
            if missing is not None:
                missing -= member.owner.usable
                if missing == 0:
                    return

    def _compare_digests(self):
        message = Digest(self._store.digest.value)
        for host in self._connections.hosts:
            self._connections.send(host, message)

    def opened(self, host, connection):
        """A connection is up, dialled by either side: tell all revisions."""
        self._connections.add(host, connection)
        self._connections.send_over(connection, Digest(self._store.digest.value))

    def closed(self, host):
        """A connection is down."""
        if not self._connections.drop_closed(host):
            self._fetches.drop(host)
            self._ask_due()
            self._comparisons.agrees(host)
            self._compare_next()

    # -- messages ---------------------------------------------------------

    @singledispatchmethod
    def _handle(self, message, body, host, connection):
        """Other messages are somebody else's."""

    def take(self, host, connection, message, body):
        """Take a message that came over a connection."""
        self._handle(message, body, host, connection)

    async def until_contact(self):
        """Wait until this node agrees with a peer, or so long that none seems to be there.

        Notes
        -----
        Failure: a node starts, reads an old copy of the platform's settings, and tells
        callers that a route does not exist, just as a peer is about to send it.  Or it
        sends on its first calls before any peer could tell it which requests all others
        keep away; one of these ends the server beside it.  A new peer tells that before
        it speaks of settings, so whoever agrees on settings knows it.
        """
        if self._agrees.is_set() or now() >= self._contact_until:
            return
        if next(self._topology.parents(), None) is None:
            return
        self._touch_parents()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._contact_until):
                await self._agrees.wait()

    def _hear(self):
        self._heard_until = deadline_after(SILENT_SECONDS)

    @_handle.register
    def _(self, message: Digest, body, host, connection):
        self._hear()
        if message.reading:
            self._hear_read(message, connection)
        if message.value == self._store.digest.value:
            self._agrees.set()
            self._comparisons.agrees(host)
        else:
            self._metrics.count("settings_differences")
            self._comparisons.differs(host, message.value)
        self._compare_next()

    def _compare_next(self):
        """Compare with a peer that holds something else, if no other comparison runs."""
        host = self._comparisons.begin(self._store.digest.value)
        if host is not None:
            digest = self._store.digest
            self._connections.send(host, Buckets(digest.value, digest.buckets))

    @_handle.register
    def _(self, message: Buckets, body, host, connection):
        self._hear()
        mine = self._store.digest
        if message.value == mine.value:
            self._connections.send_over(connection, Digest(mine.value))
            return
        pairs = enumerate(zip(message.values, mine.buckets, strict=False))
        # Equal buckets under unequal whole values are equal by chance: all are told then.
        unequal = [place for place, (theirs, ours) in pairs if theirs != ours] or range(BUCKETS)
        buckets = list(unequal)
        self._connections.send_over(
            connection, Revisions(self._store.revisions_in(buckets), buckets)
        )

    def _hear_read(self, message, connection):
        """Take note of a reading, and pass the word on if it is new here.

        Notes
        -----
        A reader is connected to some of a large fleet. Its word goes round by
        the three successors of each node; an old word is not passed on again.
        """
        if not self._readings.add(message.reading):
            return
        lateness = connection.transit.lateness(message.sent_us / 1e6, connection.arrival)
        sent_at = connection.arrival - lateness
        read_at = sent_at - message.read_age_us / 1e6
        self._restores.note_era(message.era, sent_at - message.era_age_us / 1e6)
        self._metrics.time("reading_age_seconds", now() - read_at, "heard")
        for listener in self._read_listeners:
            listener(read_at)
        if not self._readings.passes_on(read_at):
            return
        message = self._read_message(message.reading, read_at)
        # A host that is not listed has a place in nobody's order.
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
        self._hear()
        wanted = {p: r for p, r in message.revisions.items() if self._store.wants(p, r)}
        for path, revision in wanted.items():
            self._fetches.offer(host, path, revision)
        self._ask_due()
        if message.buckets:
            mine = self._store.revisions_in(message.buckets)
            higher = {p: r for p, r in mine.items() if r > message.revisions.get(p, -1)}
            if higher:
                self._connections.send_over(connection, Revisions(higher))
        if not wanted:
            self._agrees.set()
            if message.buckets:
                self._comparisons.done(host)
                self._compare_next()

    def _ask_due(self):
        due = self._fetches.take_due()
        for host, paths in due.items():
            self._connections.send(host, Fetch(paths))
        if due:
            asyncio.get_running_loop().call_later(FETCH_SECONDS, self._ask_due)

    @_handle.register
    def _(self, message: Fetch, body, host, connection):
        for path in message.paths:
            held = self._store.get(path)
            if held is not None and held.revision >= 0:
                self._spawn(self._send_body(held, connection, host))

    @_handle.register
    def _(self, message: SubtreeBody, body, host, connection):
        self._hear()
        if message.size > MAX_BODY:
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
            self._comparisons.over()
            self._compare_next()

    async def _send_body(self, held, connection, host):
        body = pack(held.document)
        message = SubtreeBody(
            next(self._numbers), len(body), held.path, held.revision, held.deleted
        )
        self._metrics.count("settings_bodies_sent")
        try:
            await connection.send_whole(message, body)
        except (PeerError, ConnectionError):
            self._metrics.count("unsent_notices")

    def _on_change(self, held):
        if not self._news:
            asyncio.get_running_loop().call_soon(self._tell_news)
        self._news[held.path] = held

    def _tell_news(self):
        """Tell a few peers what has changed in this turn of the loop."""
        news, self._news = self._news, {}
        for host in self.told_of_news():
            # Whoever told it knows it.
            told = {path: held.revision for path, held in news.items() if held.source != host}
            if len(told) > TELL_EACH:
                self._connections.send(host, Digest(self._store.digest.value))
            elif told:
                self._connections.send(host, Revisions(told))

    def _told_first(self, hosts):
        """Return those of the connected `hosts` that are told of a change at once."""
        if len(hosts) <= TELL_ALL:
            return hosts
        random.shuffle(hosts)
        near = [host for host in hosts if self._zone_of(host) == self._here.zone]
        far = [host for host in hosts if host not in near]
        return near[:TELL_NEAR] + far[:TELL_FAR]

    def told_of_news(self):
        """Return the hosts to tell of news, which pass on what is new to them.

        Notes
        -----
        The next hosts in the order of all are among them, so news goes round the
        whole fleet; a few picked by chance alone miss a node now and then.
        """
        connected = self._connections.hosts
        hosts = self._told_first(connected)
        return list(dict.fromkeys((*hosts, *self._topology.next_of(connected, SUCCESSORS))))

    def connections_to(self, host):
        """Return the open connections to a host, a list."""
        return self._connections.to(host)

    def send(self, host, message):
        """Send a message to a host over an open connection, if there is one."""
        self._connections.send(host, message)

    def _zone_of(self, host):
        member = self._members.find(host)
        return "" if member is None else member.zone

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
