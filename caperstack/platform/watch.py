"""The waiting watch by which a few nodes of each zone learn at once what operators write."""

import asyncio
import random

from caperstack.clock import deadline_after, time_left
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.names import OPERATOR_PREFIX
from caperstack.settings.neighbours import Topology

__all__ = ["OperatorWatch"]

#: How long one call waits for a change, in seconds; a call that ends brings the
#: next one, and each is paid for.
WAIT_SECONDS = 15.0

#: An answer without changes that comes sooner than the end of the wait by more than
#: this is a failure, in seconds: the next call would follow at once, without end.
EARLY_SECONDS = 1.0

#: After a failed call a node waits so long before the next one, in seconds; after
#: the first failure of several it does not wait.
RETRY_SECONDS = 0.5
RETRY_SECONDS_MOST = 8.0

#: How often a node that does not watch looks whether it should, in seconds.
IDLE_SECONDS = 1.0


class OperatorWatch:
    """Hold a waiting watch on the operator's keys, if this node is one of those that do.

    Notes
    -----
    The first two nodes of each zone, in an order that all compute alike, watch.  A
    change is told to them as it is written, and they tell the others.  The readings
    in turn go on: they are what is left when a watch is cut, hears nothing or has
    lost its history.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    client : caperstack.platform.store.StoreClient
        What it watches with.
    reader : caperstack.platform.reader.StoreReader
        Takes what comes.
    """

    def __init__(self, here, client, reader):
        self._here = here
        self._client = client
        self._reader = reader
        self._revision = None
        self._history_lost = False
        self._read_anew = False
        self._failures = 0
        self._task = None

    async def start(self, kernel):
        """Begin to watch."""
        self._events = kernel.find("events")
        self._fleet = kernel.find("fleet")
        self._metrics = kernel.find("metrics")
        self._topology = Topology(self._here, kernel.find("members"))
        self._task = asyncio.create_task(self._watch_for_ever())

    async def stop(self):
        """Stop watching."""
        self._task.cancel()

    async def _watch_for_ever(self):
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
                # The store answers, so it is read at once; but only once in vain.
                at_once, self._read_anew = not self._read_anew, True
                await self._rest_after(error, at_once)
            except PlatformError as error:
                await self._rest_after(error)

    async def _watch_once(self):
        if self._revision is None:
            self._revision = await self._first_revision()
        wait_until = deadline_after(WAIT_SECONDS)
        changes = await self._client.watch(OPERATOR_PREFIX, self._revision, wait_until)
        if not changes.items and time_left(wait_until) > EARLY_SECONDS:
            raise PlatformError("answered too soon", step="watch", peer=self._client.address)
        if self._failures:
            self._events.state("watch", "cut", "open", self._client.address)
        self._failures = 0
        self._read_anew = False
        for change in changes.items:
            self._reader.take_change(change)
        self._revision = max(self._revision, changes.revision)

    async def _first_revision(self):
        """Return a revision up to which everything is known here; read only if need be."""
        known = self._reader.operator_revision
        if known is not None and not self._history_lost:
            return known
        read = await self._client.read(OPERATOR_PREFIX)
        self._reader.take_operator(read)
        self._history_lost = False
        return read.revision

    async def _rest_after(self, error, at_once=False):
        if not self._failures:
            self._events.state("watch", "open", str(error), self._client.address)
            at_once = True
        self._failures += 1
        if at_once:
            return
        wait = min(RETRY_SECONDS_MOST, RETRY_SECONDS * 2 ** min(self._failures - 2, 4))
        await asyncio.sleep(wait * random.uniform(0.7, 1.0))
