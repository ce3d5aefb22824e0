"""Settings from peer to peer: revisions pushed, digests compared, bodies on difference."""

import asyncio
import contextlib
import itertools
import json
import random
from functools import singledispatchmethod

import xxhash

from caperstack.clock import deadline_after, now
from caperstack.exception import FrameError, PeerError
from caperstack.peers.messages import Digest, Fetch, Revisions, SubtreeBody
from caperstack.settings.neighbours import Topology

__all__ = ["SettingsSync", "digest_of"]

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

#: A body larger than this is refused; the platform holds values up to a megabyte.
MAX_BODY = 2 * 1024 * 1024

#: How long a starting node waits for a neighbour to agree with, in seconds.
FIRST_CONTACT_SECONDS = 2.0

#: Silence of all peers after which a node no longer counts on them.
SILENT_SECONDS = 12.0


def digest_of(revisions):
    """Return a 63-bit number that stands for a dict of revisions."""
    text = json.dumps(sorted(revisions.items()))
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


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
    """

    def __init__(self, here):
        self._here = here
        self._connections = {}
        self._numbers = itertools.count(1)
        self._heard_until = 0.0
        self._tasks = set()
        self._task = None
        self._wanted = set()
        self._read_listeners = []
        self._agrees = asyncio.Event()

    def on_read(self, listener):
        """Call ``listener(read_at)`` when a peer tells that the platform was read."""
        self._read_listeners.append(listener)

    def tell_read(self, read_at):
        """Tell all peers that the platform was read at `read_at`, and what is held since."""
        age = max(1, int((now() - read_at) * 1e6))
        message = Digest(digest_of(self._store.revisions), age)
        for host, connection in list(self._connections.items()):
            self._send(connection, message, host)

    @property
    def silent(self):
        """Whether no peer has spoken of settings lately."""
        return now() > self._heard_until

    async def start(self, kernel):
        """Follow links, connections and changes."""
        self._store = kernel.find("settings")
        self._members = kernel.find("members")
        self._metrics = kernel.find("metrics")
        self._topology = Topology(self._here, self._members)
        self._heard_until = deadline_after(random.uniform(0.2, 0.5) * SILENT_SECONDS)
        kernel.find("links").hook(self)
        kernel.find("peer port").hook(self)
        self._store.listen(self._on_change)
        self._task = asyncio.create_task(self._care())
        if self._topology.parents:
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
            if now() >= digest_due:
                digest_due = deadline_after(DIGEST_SECONDS * random.uniform(0.8, 1.2))
                self._compare_digests()
            await asyncio.sleep(CARE_SECONDS * random.uniform(0.8, 1.2))

    def _touch_parents(self):
        for host in self._topology.successors[:SUCCESSORS]:
            self._members.find(host).owner.touch()
        parents = self._topology.parents
        # Readers join the zones: they keep to all other readers.
        wanted = len(parents) if self._topology.reads else PARENTS
        kept = 0
        for host in parents:
            member = self._members.find(host)
            member.owner.touch()
            kept += member.owner.usable
            if kept >= wanted:
                return

    def _compare_digests(self):
        message = Digest(digest_of(self._store.revisions))
        for host, connection in list(self._connections.items()):
            self._send(connection, message, host)

    def opened(self, host, connection):
        """A connection is up, dialled by either side: tell all revisions."""
        self._connections[host] = connection
        self._send(connection, Digest(digest_of(self._store.revisions)), host)

    def closed(self, host):
        """A connection is down."""
        connection = self._connections.get(host)
        if connection is not None and connection.closed:
            del self._connections[host]

    # -- messages ---------------------------------------------------------

    @singledispatchmethod
    def _handle(self, message, body, host, connection):
        """Other messages are somebody else's."""

    def take(self, host, connection, message, body):
        """Take a message that came over a connection."""
        self._handle(message, body, host, connection)

    def _hear(self):
        self._heard_until = deadline_after(SILENT_SECONDS)

    @_handle.register
    def _(self, message: Digest, body, host, connection):
        self._hear()
        if message.read_age_us:
            for listener in self._read_listeners:
                listener(connection.arrival - message.read_age_us / 1e6)
        revisions = self._store.revisions
        if message.value == digest_of(revisions):
            self._agrees.set()
            return
        self._metrics.count("settings_differences")
        self._send(connection, Revisions(revisions, True), host)

    @_handle.register
    def _(self, message: Revisions, body, host, connection):
        self._hear()
        wanted = [p for p, r in message.revisions.items() if self._store.wants(p, r)]
        self._wanted.update(wanted)
        if wanted:
            self._send(connection, Fetch(wanted), host)
        else:
            self._agrees.set()
        if message.full:
            mine = self._store.revisions
            higher = {p: r for p, r in mine.items() if r > message.revisions.get(p, -1)}
            if higher:
                self._send(connection, Revisions(higher, False), host)

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
            document = None if message.deleted else json.loads(body)
        except ValueError as error:
            raise FrameError(f"subtree is not JSON: {error}", step="settings", peer=host) from None
        self._store.take(message.path, message.revision, document, host)
        self._wanted.discard(message.path)
        if not self._wanted:
            self._agrees.set()

    async def _send_body(self, held, connection, host):
        body = b"" if held.document is None else json.dumps(held.document).encode()
        message = SubtreeBody(
            next(self._numbers), len(body), held.path, held.revision, held.deleted
        )
        self._metrics.count("settings_bodies_sent")
        try:
            await connection.send_whole(message, body)
        except (PeerError, ConnectionError):
            self._metrics.count("unsent_notices")

    def _on_change(self, held):
        message = Revisions({held.path: held.revision}, False)
        for host, connection in list(self._connections.items()):
            if host != held.source:
                self._send(connection, message, host)

    def _send(self, connection, message, host):
        try:
            connection.send(message)
        except PeerError:
            self._metrics.count("unsent_notices")

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
