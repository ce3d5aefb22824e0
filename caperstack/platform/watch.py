"""The long-poll watch by which two nodes of each zone immediately learn of operators' changes."""

import asyncio
import random

from caperstack.clock import deadline_after, time_left
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.names import OPERATOR_PREFIX
from caperstack.settings.neighbours import Topology

__all__ = ["OperatorWatch"]

#: How long the store holds one call while there is no change, in seconds.  The calls follow
#: each other, and the platform charges for each, so a short wait would be expensive.
WAIT_SECONDS = 15.0

#: An answer without changes that arrives more than this time before the end of the wait, in
#: seconds, is treated as a failure, which prevents a busy loop of calls.
MIN_EARLY_SECONDS = 1.0

#: The back-off after a failed call, in seconds; the first of several failures is retried at once.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0

#: How often a node that does not watch checks whether it should, in seconds.
IDLE_SECONDS = 1.0


class OperatorWatch:
    """Watches the operators' keys by long polling, if this node is a reader of its zone.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    client : caperstack.platform.store.StoreClient
        The client of the store.
    reader : caperstack.platform.reader.StoreReader
        Applies the changes.

    Notes
    -----
    The readers are the first two nodes of each zone in an order that all nodes compute
    alike.  They get each change as it is written and pass it on to the other nodes.  The
    periodic reads of `StoreReader` continue, for the case that a watch is interrupted,
    receives nothing or has lost its history.
    """

    def __init__(self, here, client, reader):
        self._here = here
        self._client = client
        self._reader = reader
        self._revision = None
        self._history_lost = False
        self._retried_at_once = False
        self._failures = 0
        self._task = None

    async def start(self, kernel):
        """Start the watch loop."""
        self._events = kernel.find("events")
        self._fleet = kernel.find("fleet")
        self._metrics = kernel.find("metrics")
        self._topology = Topology(self._here, kernel.find("members"))
        self._task = asyncio.create_task(self._watch_loop())

    async def stop(self):
        """Stop the watch loop."""
        self._task.cancel()

    async def _watch_loop(self):
        while True:
            if not (self._topology.reads and self._fleet.registered):
                self._revision = None
                await asyncio.sleep(IDLE_SECONDS)
                continue
            try:
                await self._watch_once()
            except HistoryError as error:
                self._revision = None
                self._history_lost = True
                # The store does answer, so the next attempt follows without a back-off, but
                # only once until a watch succeeds.
                immediately, self._retried_at_once = not self._retried_at_once, True
                await self._back_off(error, immediately)
            except PlatformError as error:
                await self._back_off(error)

    async def _watch_once(self):
        if self._revision is None:
            self._revision = await self._first_revision()
        wait_until = deadline_after(WAIT_SECONDS)
        changes = await self._client.watch(OPERATOR_PREFIX, self._revision, wait_until)
        if not changes.items and time_left(wait_until) > MIN_EARLY_SECONDS:
            raise PlatformError("answered too soon", step="watch", peer=self._client.address)
        if self._failures:
            self._events.state("watch", "cut", "open", self._client.address)
        self._failures = 0
        self._retried_at_once = False
        for change in changes.items:
            self._reader.apply_change(change)
        self._revision = max(self._revision, changes.revision)

    async def _first_revision(self):
        """Return a revision up to which this node knows all changes; read only if necessary."""
        known = self._reader.operator_revision
        if known is not None and not self._history_lost:
            return known
        read = await self._client.read(OPERATOR_PREFIX)
        self._reader.apply_operator_read(read)
        self._history_lost = False
        return read.revision

    async def _back_off(self, error, immediately=False):
        if not self._failures:
            self._events.state("watch", "open", str(error), self._client.address)
            immediately = True
        self._failures += 1
        if immediately:
            return
        wait = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(self._failures - 2, 4))
        await asyncio.sleep(wait * random.uniform(0.7, 1.0))
