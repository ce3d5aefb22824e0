"""Who reads the platform's store, and how what it holds becomes settings and members."""

import asyncio
import random

from xxhash import xxh3_64_intdigest

from caperstack.clock import deadline_after, now
from caperstack.exception import ConfigurationError, PlatformError
from caperstack.platform.entries import decode_entry, without_births
from caperstack.platform.items import decode_configuration
from caperstack.platform.names import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
)
from caperstack.settings.neighbours import Topology
from caperstack.settings.restores import RETURN_SECONDS, Restores
from caperstack.settings.revisions import era_of, in_words, number_of

__all__ = ["StoreReader"]

#: The first node in order reads when the newest reading that it knows of is
#: this old; each further one waits a step longer.  A leaving mark must be known
#: everywhere two seconds after the store has it: the fourth node in order still
#: reads in time when the first three have died or gone silent.
READ_AFTER_SECONDS = 0.75
STEP_SECONDS = 0.25
STEPS_MOST = 4

#: After a failed reading a node waits so long, and counts itself behind all
#: others that can read.
RETRY_SECONDS = 0.6
RETRY_SECONDS_MOST = 2.5
STAND_DOWN_SECONDS = 4.0

#: A reading that is older than this means that the store was away.
AWAY_SECONDS = 3.0


#: The prefix of all keys.  A store that holds no more than this many bytes is
#: read with one call in place of two, since calls are what is paid for.
EVERYTHING = ""
ALL_AT_ONCE_BYTES = 48 * 1024

#: Foreign entries that are told in the log, one line each, and how much of the
#: reason, in characters.
FOREIGN_TOLD_MOST = 200
REASON_MOST = 200


class StoreReader:
    """Read the store in turn with all other nodes, and tell them that it was read.

    Notes
    -----
    Failure: every node reads for itself, and what the fleet reads grows with
    its size beyond what the store allows.  Or one node reads for all, dies or
    is refused, and all go by what was.  Here the age of the newest reading is
    told with every reading; whoever finds it too old reads, in an order that
    all compute alike.  Nobody is elected, and two readers at once cost a call.

    Parameters
    ----------
    here : caperstack.config.here.Here
        This node.
    client : caperstack.platform.store.StoreClient
        What it reads with.
    restores : caperstack.settings.restores.Restores, optional
        Tells whether the store came back from a copy lately.
    """

    def __init__(self, here, client, restores=None):
        self._here = here
        self._client = client
        self._read_at = None
        self._operator_revision = None
        self._all_at_once = True
        self._failures = 0
        self._resume_at = 0.0
        self._behind_until = 0.0
        self._returning_until = 0.0
        self._foreign = set()
        self._store_revision = 0
        self._restores = restores or Restores()
        self._configuration_seen = None
        self._task = None

    @property
    def operator_revision(self):
        """The revision up to which this node has read what operators write; ``None`` before."""
        return self._operator_revision

    async def start(self, kernel):
        """Read once, so that a starting node knows the fleet if it can, and go on."""
        self._settings = kernel.find("settings")
        self._sync = kernel.find("settings sync")
        self._fleet = kernel.find("fleet")
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._topology = Topology(self._here, kernel.find("members"))
        self._sync.on_read(self._take_told)
        self._metrics.gauge("store_read_age_seconds", "age of the newest reading", self._age)
        self._task = asyncio.create_task(self._read_for_ever())

    async def stop(self):
        """Stop reading."""
        self._task.cancel()
        self._client.close()

    def _age(self):
        return now() - self._read_at if self._read_at is not None else -1.0

    def _take_told(self, read_at):
        if self._read_at is None or read_at > self._read_at:
            self._note_gap(read_at)
            self._read_at = read_at

    def _note_gap(self, read_at):
        if self._read_at is not None and read_at - self._read_at > AWAY_SECONDS:
            self._returning_until = deadline_after(RETURN_SECONDS)

    def _due(self):
        if self._read_at is None or self._starting:
            return self._resume_at
        steps = min(self._topology.rank, STEPS_MOST)
        if now() < self._behind_until:
            steps = STEPS_MOST + 1
        wait = READ_AFTER_SECONDS + steps * STEP_SECONDS
        return max(self._resume_at, self._read_at + wait)

    async def _read_for_ever(self):
        while True:
            wait = self._due() - now()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            await self._try_to_read()

    async def _try_to_read(self):
        began = now()
        stale = self._starting
        try:
            await self._read(began, stale)
        except PlatformError as error:
            self._failed(error)
            return
        if self._failures:
            self._events.state("store", "unreadable", "readable", self._client.address)
        self._failures = 0
        if stale:
            # Others must not take it for a reading of the present state.
            self._resume_at = deadline_after(READ_AFTER_SECONDS)
            return
        self._read_at = began
        self._sync.tell_read(began)

    @property
    def _starting(self):
        """Whether this host is not in the list yet, so that no reader can know of it.

        Notes
        -----
        Failure: all hosts start together, and until its backend server is
        registered and seen, each node reads for itself: at 73 hosts 680 calls
        before the first request.  Readings that may be old cost a tenth, and
        nothing depends on them yet but whom to dial.
        """
        return self._read_at is not None and not self._fleet.registered

    def _failed(self, error):
        if not self._failures:
            self._events.state("store", "readable", str(error), self._client.address)
        self._failures += 1
        wait = min(RETRY_SECONDS_MOST, RETRY_SECONDS * 2 ** min(self._failures - 1, 4))
        self._resume_at = deadline_after(wait * random.uniform(0.7, 1.0))
        self._behind_until = deadline_after(STAND_DOWN_SECONDS)

    async def _read(self, began, stale):
        if self._all_at_once:
            reads = [await self._client.read(EVERYTHING, stale)]
        else:
            reads = [
                await self._client.read(OPERATOR_PREFIX, stale),
                await self._client.read(SERVERS_PREFIX, stale),
            ]
        if not stale:
            # Before what is missing is judged: it may be missing because of the gap.
            self._note_gap(began)
            self._note_position(reads[0])
        self.take_operator(reads[0])
        self._operator_revision = reads[0].revision
        self._take_servers(reads[-1])
        size = sum(len(item.value or b"") for read in reads for item in read.items)
        self._all_at_once = size <= ALL_AT_ONCE_BYTES

    def _note_position(self, read):
        """Tell the first position of the store, and when it goes back or names another era."""
        former, self._store_revision = self._store_revision, read.revision
        self._restores.note(read.revision)
        if former and era_of(former) == era_of(read.revision) and former <= read.revision:
            return
        if former:
            self._metrics.count("store_went_back")
        old = in_words(former) if former else "unknown"
        self._events.state("store position", old, in_words(read.revision), self._client.address)

    def take_operator(self, read):
        """Take what operators have written, from a `StoreRead` that holds all of it."""
        for item in read.items:
            self.take_change(item)
        if self._restores.missing_may_return:
            return
        marks = {item.key for item in read.items if item.key.startswith(EVACUATIONS_PREFIX)}
        self._withdraw(EVACUATIONS_PREFIX, marks, read.revision)

    def take_change(self, item):
        """Take one item that operators have written or taken away; others are passed over."""
        if item.key.startswith(EVACUATIONS_PREFIX):
            # What the mark holds says nothing: its key names the zone.
            document = None if item.deleted else {}
            self._settings.take(item.key, item.revision, document, "store")
        elif item.key == CONFIGURATION_KEY and not item.deleted:
            self._take_configuration(item)

    def _take_configuration(self, item):
        """Take the configuration if its version is higher than the one in force.

        Notes
        -----
        Failure: the store loses its last writes, gives their revisions out again, and
        the next configurations lie at revisions that were seen before.  Operators
        raise the version with each configuration, whatever the store forgets.
        """
        value = item.value or b""
        seen, self._configuration_seen = self._configuration_seen, xxh3_64_intdigest(value)
        if seen == self._configuration_seen:
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

    def _withdraw(self, prefix, present, revision):
        """Take all that is held under `prefix` and was not `present` at `revision` for deleted."""
        for held in self._settings.held():
            missing = held.path.startswith(prefix) and held.path not in present
            if missing and not held.deleted:
                self._settings.take(held.path, revision, None, "store")

    def _take_servers(self, read):
        items = {i.key: i for i in read.items if i.key.startswith(SERVERS_PREFIX)}
        entries = {}
        foreign = {}
        for key, item in items.items():
            try:
                entries[key] = decode_entry(key, item.value, item.created)
            except ConfigurationError as error:
                foreign[key] = error.message
        for key in without_births(entries):
            foreign[key] = "born: missing"
            del entries[key]
        self._withdraw_foreign(foreign, items)
        for key, entry in entries.items():
            self._take_server(items[key], entry)
        if now() < self._returning_until or self._restores.missing_may_return:
            return
        self._withdraw(SERVERS_PREFIX, items, read.revision)

    def _withdraw_foreign(self, foreign, items):
        """Name no backend server by entries that no backend server writes.

        Notes
        -----
        Failure: another writer puts something else in the place of a good
        entry.  The last good one would be called on though its server may be
        long gone; where it lives, its next heartbeat brings the entry back.
        """
        for key, reason in foreign.items():
            held = self._settings.get(key)
            if held is not None and not held.deleted:
                self._settings.take(key, items[key].revision, None, "store")
            if key not in self._foreign and len(self._foreign) < FOREIGN_TOLD_MOST:
                self._foreign.add(key)
                self._metrics.count("foreign_entries")
                self._events.log_state("foreign entry", key=key, reason=reason[:REASON_MOST])
        self._foreign &= foreign.keys()

    def _take_server(self, item, entry):
        held = self._settings.get(item.key)
        if held is None:
            self._settings.take(item.key, item.revision, entry, "store")
            return
        if not held.deleted and number_of(held.document["created"]) == number_of(entry["created"]):
            # A restore changes the era of all creations, and of no server.
            entry["created"] = held.document["created"]
        # The heartbeat raises the item's revision all the time; only what
        # changed in substance is news to others.
        if held.document != entry:
            self._settings.take(item.key, item.revision, entry, "store")
