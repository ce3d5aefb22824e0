"""The platform's store in a simulation: items with revisions, read without a network."""

import asyncio
import contextlib
from dataclasses import replace

import msgspec

from caperstack.clock import time_left
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.standin.store import StoreCopy
from caperstack.platform.store import StoreChanges, StoreItem, StoreRead
from caperstack.settings.revisions import era_of, make_revision, number_of

__all__ = ["ModelStore"]

#: Duration of one call in seconds, and the number of items in one page.
CALL_SECONDS = 0.004
PAGE_ITEMS = 500


class ModelStore:
    """Items with revisions, in memory.

    Attributes
    ----------
    calls : int
        Calls so far; each page of a read counts as one.
    revision : int
        Revision of the last write.
    era : int
        How often the store was restored from a copy.
    """

    def __init__(self):
        self._items = {}
        self._changed = asyncio.Event()
        self.revision = 0
        self.era = 0
        self.calls = 0

    def put(self, key, document):
        """Write an item as JSON."""
        self.revision += 1
        created = self._items[key].created if key in self._items else self.revision
        value = msgspec.json.encode(document)
        self._items[key] = StoreItem(key, value, self.revision, created)
        self._wake_watches()

    def remove(self, key):
        """Delete an item."""
        self.revision += 1
        del self._items[key]
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        """Return a copy of the current items and revision."""
        return StoreCopy(dict(self._items), self.revision)

    def restore_from(self, copy):
        """Restore the store from `copy`.

        Later writes are lost and their revision numbers are assigned again.
        """
        self.era += 1
        self._items = dict(copy.items)
        self.revision = copy.revision
        self._wake_watches()

    def client(self):
        """Return a client with which a node reads the store."""
        return _Client(self)

    async def until_changed(self, limit):
        """Wait for the next write, at most until the time `limit`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(limit):
                await self._changed.wait()

    def items(self, prefix):
        """Return the items whose keys begin with `prefix`."""
        return [item for key, item in sorted(self._items.items()) if key.startswith(prefix)]


class _Client:
    """Reads the store as `caperstack.platform.store.StoreClient` does."""

    address = "store"

    def __init__(self, store):
        self._store = store

    def close(self):
        """Do nothing: there is no connection to close."""

    async def read(self, prefix, stale=False):
        """Return the `StoreRead` of all items under a prefix; `stale` has no effect."""
        items = list(self._items(prefix))
        pages = max(1, -(-len(items) // PAGE_ITEMS))
        revision = self._revision
        self._store.calls += pages
        await asyncio.sleep(CALL_SECONDS * pages)
        return StoreRead(items, revision)

    async def watch(self, prefix, after, wait_until):
        """Return the `StoreChanges` under a prefix after a revision, without deletions.

        Parameters
        ----------
        wait_until : float
            When to return without changes.

        Raises
        ------
        PlatformError
            If the store was restored during the call.
        HistoryError
            If `after` is not a revision of the store in its current era.
        """
        self._store.calls += 1
        await asyncio.sleep(CALL_SECONDS)
        era = self._store.era
        while True:
            if era != self._store.era:
                raise PlatformError("connection reset", step="watch", peer=self.address)
            if era_of(after) != era or number_of(after) > self._store.revision:
                raise HistoryError("no such revision", step="watch", peer=self.address)
            items = [item for item in self._items(prefix) if item.revision > after]
            if items or time_left(wait_until) <= 0:
                return StoreChanges(items, self._revision)
            await self._store.until_changed(wait_until)

    @property
    def _revision(self):
        return make_revision(self._store.era, self._store.revision)

    def _items(self, prefix):
        era = self._store.era
        for item in self._store.items(prefix):
            yield replace(
                item,
                revision=make_revision(era, item.revision),
                created=make_revision(era, item.created),
            )
