"""Reads the platform's store in turn with the other nodes and applies its items as settings."""

import asyncio
import random

from xxhash import xxh3_64_intdigest

from caperstack.clock import deadline_after, now
from caperstack.exception import ConfigurationError, PlatformError
from caperstack.platform.entries import decode_entry, keys_without_start_time
from caperstack.platform.items import decode_configuration
from caperstack.platform.names import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
)
from caperstack.settings.neighbours import Topology
from caperstack.settings.restores import RETURN_SECONDS, Restores
from caperstack.settings.revisions import era_of, format_revision, number_of

__all__ = ["StoreReader"]

#: The node of rank 0 reads once the newest read that it knows of is this old; each
#: further rank waits one step longer.  A server's draining state must be known on all
#: nodes 2 s after the store has it: with these values the fourth node in order still
#: reads in time if the first three have failed.
READ_AFTER_SECONDS = 0.75
RANK_STEP_SECONDS = 0.25
MAX_RANK_STEPS = 4

#: The back-off after failed reads, in seconds, and how long after a failure the node
#: ranks itself behind all others, which may still reach the store.
RETRY_SECONDS = 0.6
MAX_RETRY_SECONDS = 2.5
STAND_DOWN_SECONDS = 4.0

#: A gap between reads longer than this means that the store was unreachable.
OUTAGE_SECONDS = 3.0

#: The common prefix of all keys.
ALL_KEYS_PREFIX = ""

#: If all values together take at most this many bytes, the store is read with one call
#: instead of two, since the platform charges by the call.
MAX_SINGLE_READ_BYTES = 48 * 1024

#: The maximum number of foreign entries that are logged, one line each, and the maximum
#: length of the reason in a line.  An entry is foreign if no backend server can have
#: written it.
MAX_LOGGED_FOREIGN = 200
MAX_REASON_CHARS = 200


class StoreReader:
    """Reads the store in turn with all other nodes and announces each read to them.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    client : caperstack.platform.store.StoreClient
        The client of the store.
    restores : caperstack.settings.restores.Restores, optional
        Tells whether the store was restored from an older copy recently.

    Notes
    -----
    If every node read the store itself, the number of calls would grow with the fleet
    beyond what the store allows.  A single reader for all nodes could fail or be refused
    and leave all of them with stale state.  Therefore each read is announced with its
    time, and a node reads when the newest read it knows of is too old for its rank in an
    order that all nodes compute alike.  No leader is elected; if two nodes read at the
    same time, that costs one extra call.
    """

    def __init__(self, here, client, restores=None):
        self._here = here
        self._client = client
        self._read_at = None
        self._operator_revision = None
        self._single_read = True
        self._failures = 0
        self._resume_at = 0.0
        self._standing_down_until = 0.0
        self._keep_missing_until = 0.0
        self._logged_foreign = set()
        self._store_revision = 0
        self._restores = restores or Restores()
        self._configuration_digest = None
        self._task = None

    @property
    def operator_revision(self):
        """The store revision of the last read of the operators' keys, ``None`` before the first."""
        return self._operator_revision

    async def start(self, kernel):
        """Start the read loop, which reads at once so that the node knows the fleet early."""
        self._settings = kernel.find("settings")
        self._sync = kernel.find("settings sync")
        self._fleet = kernel.find("fleet")
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._topology = Topology(self._here, kernel.find("members"))
        self._sync.on_read(self._on_peer_read)
        self._metrics.gauge(
            "store_read_age_seconds", "age of the newest reading", self._read_age_seconds
        )
        self._task = asyncio.create_task(self._read_loop())

    async def stop(self):
        """Stop the read loop and close the client."""
        self._task.cancel()
        self._client.close()

    def _read_age_seconds(self):
        return now() - self._read_at if self._read_at is not None else -1.0

    def _on_peer_read(self, read_at):
        if self._read_at is None or read_at > self._read_at:
            self._detect_outage(read_at)
            self._read_at = read_at

    def _detect_outage(self, read_at):
        """Keep missing servers for a while if the previous read was long before `read_at`."""
        if self._read_at is not None and read_at - self._read_at > OUTAGE_SECONDS:
            self._keep_missing_until = deadline_after(RETURN_SECONDS)

    def _next_read_at(self):
        if self._read_at is None or self._unlisted:
            return self._resume_at
        steps = min(self._topology.rank, MAX_RANK_STEPS)
        if now() < self._standing_down_until:
            steps = MAX_RANK_STEPS + 1
        wait = READ_AFTER_SECONDS + steps * RANK_STEP_SECONDS
        return max(self._resume_at, self._read_at + wait)

    async def _read_loop(self):
        while True:
            wait = self._next_read_at() - now()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            await self._try_to_read()

    async def _try_to_read(self):
        began = now()
        stale = self._unlisted
        try:
            await self._read(began, stale)
        except PlatformError as error:
            self._on_read_failure(error)
            return
        if self._failures:
            self._events.state("store", "unreadable", "readable", self._client.address)
        self._failures = 0
        if stale:
            # Not announced: other nodes would take it for a read of the current state.
            self._resume_at = deadline_after(READ_AFTER_SECONDS)
            return
        self._read_at = began
        self._sync.announce_read(began)

    @property
    def _unlisted(self):
        """Whether this node's backend server has not been listed, so that no peer knows the node.

        Notes
        -----
        Such a node has to read the store itself: when all hosts started together, 73
        hosts made 680 calls before the first request.  It uses stale reads, which cost a
        tenth, since until the server is listed they only decide which peers to connect to.
        """
        return self._read_at is not None and not self._fleet.registered

    def _on_read_failure(self, error):
        if not self._failures:
            self._events.state("store", "readable", str(error), self._client.address)
        self._failures += 1
        wait = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(self._failures - 1, 4))
        self._resume_at = deadline_after(wait * random.uniform(0.7, 1.0))
        self._standing_down_until = deadline_after(STAND_DOWN_SECONDS)

    async def _read(self, began, stale):
        if self._single_read:
            reads = [await self._client.read(ALL_KEYS_PREFIX, stale)]
        else:
            reads = [
                await self._client.read(OPERATOR_PREFIX, stale),
                await self._client.read(SERVERS_PREFIX, stale),
            ]
        if not stale:
            # Must precede the deletions below: a server's entry may be missing because
            # of the outage.
            self._detect_outage(began)
            self._track_revision(reads[0])
        self.apply_operator_read(reads[0])
        self._operator_revision = reads[0].revision
        self._apply_servers(reads[-1])
        size = sum(len(item.value or b"") for read in reads for item in read.items)
        self._single_read = size <= MAX_SINGLE_READ_BYTES

    def _track_revision(self, read):
        """Log the store's first revision, and any later one that is lower or of another era."""
        former, self._store_revision = self._store_revision, read.revision
        self._restores.note(read.revision)
        if former and era_of(former) == era_of(read.revision) and former <= read.revision:
            return
        if former:
            self._metrics.count("store_went_back")
        old = format_revision(former) if former else "unknown"
        self._events.state(
            "store position", old, format_revision(read.revision), self._client.address
        )

    def apply_operator_read(self, read):
        """Apply a `StoreRead` that holds all keys of the operators."""
        for item in read.items:
            self.apply_change(item)
        if self._restores.missing_may_return:
            return
        marks = {item.key for item in read.items if item.key.startswith(EVACUATIONS_PREFIX)}
        self._delete_missing(EVACUATIONS_PREFIX, marks, read.revision)

    def apply_change(self, item):
        """Apply one item that an operator wrote or deleted.

        Other kinds of keys, and a deletion of the configuration, are ignored.
        """
        if item.key.startswith(EVACUATIONS_PREFIX):
            # The key names the zone; the value is ignored.
            document = None if item.deleted else {}
            self._settings.take(item.key, item.revision, document, "store")
        elif item.key == CONFIGURATION_KEY and not item.deleted:
            self._apply_configuration(item)

    def _apply_configuration(self, item):
        """Pass the configuration to the settings, with its version as the revision.

        Notes
        -----
        The store's revision cannot order configurations: a store that loses its last
        writes assigns their revisions again, so that a new configuration may have a
        revision that was seen before.  Operators raise the version with each
        configuration, independently of the store.
        """
        value = item.value or b""
        seen, self._configuration_digest = self._configuration_digest, xxh3_64_intdigest(value)
        if seen == self._configuration_digest:
            return
        try:
            document, version = decode_configuration(item.key, value)
        except ConfigurationError as error:
            self._events.state(item.key, "offered", f"refused: {error.message}")
            return
        held = self._settings.get(item.key)
        if held is not None and version < held.revision:
            self._events.log_state(
                "passed over", key=item.key, version=version, held_version=held.revision
            )
        self._settings.take(item.key, version, document, "store")

    def _delete_missing(self, prefix, present, revision):
        """Delete, as of `revision`, all settings under `prefix` whose keys are not in `present`."""
        for held in self._settings.held():
            missing = held.path.startswith(prefix) and held.path not in present
            if missing and not held.deleted:
                self._settings.take(held.path, revision, None, "store")

    def _apply_servers(self, read):
        items = {i.key: i for i in read.items if i.key.startswith(SERVERS_PREFIX)}
        entries = {}
        foreign = {}
        for key, item in items.items():
            try:
                entries[key] = decode_entry(key, item.value, item.created)
            except ConfigurationError as error:
                foreign[key] = error.message
        for key in keys_without_start_time(entries):
            foreign[key] = "born: missing"
            del entries[key]
        self._delete_foreign(foreign, items)
        for key, entry in entries.items():
            self._apply_server(items[key], entry)
        if now() < self._keep_missing_until or self._restores.missing_may_return:
            return
        self._delete_missing(SERVERS_PREFIX, items, read.revision)

    def _delete_foreign(self, foreign, items):
        """Delete the settings of keys whose entries no backend server can have written.

        Parameters
        ----------
        foreign : dict of str to str
            The reason for each key.
        items : dict of str to StoreItem
            The items that were read.

        Notes
        -----
        Another writer may overwrite a valid entry.  Keeping the last valid one would
        send calls to a server that may be long gone; if the server lives, its next
        heartbeat restores the entry.
        """
        for key, reason in foreign.items():
            held = self._settings.get(key)
            if held is not None and not held.deleted:
                self._settings.take(key, items[key].revision, None, "store")
            if key not in self._logged_foreign and len(self._logged_foreign) < MAX_LOGGED_FOREIGN:
                self._logged_foreign.add(key)
                self._metrics.count("foreign_entries")
                self._events.log_state("foreign entry", key=key, reason=reason[:MAX_REASON_CHARS])
        self._logged_foreign &= foreign.keys()

    def _apply_server(self, item, entry):
        held = self._settings.get(item.key)
        if held is None:
            self._settings.take(item.key, item.revision, entry, "store")
            return
        if not held.deleted and number_of(held.document["created"]) == number_of(entry["created"]):
            # A restore of the store changes the era of every creation revision, but the
            # server is the same.
            entry["created"] = held.document["created"]
        # Each heartbeat raises the item's revision; only a changed entry is passed on to
        # other nodes.
        if held.document != entry:
            self._settings.take(item.key, item.revision, entry, "store")
