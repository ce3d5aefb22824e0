"""Read the platform's configuration service: readers watch it, others read it as a fallback."""

import asyncio
import random
from urllib.parse import quote

from caperstack.clock import deadline_after, now
from caperstack.documents import SUCCESS, DocumentClient, decode_json
from caperstack.exception import PlatformError
from caperstack.settings.neighbours import Topology

__all__ = ["SettingsReader"]

#: Timeout of a watch request.  The platform ends a watch after 30 s, so a longer one
#: means that the connection is dead.
WATCH_SECONDS = 40.0

#: Timeout of any other request.
READ_SECONDS = 5.0

RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0

#: Requests per second that all nodes together may make when they read without their
#: peers: a quarter of the platform's limit for all clients.
FLEET_REQUESTS_PER_SECOND = 500
#: Assumed number of requests that one such read by one node takes.
REQUESTS_PER_DIRECT_READ = 3
MIN_DIRECT_READ_INTERVAL_SECONDS = 5.0

#: Mean interval at which a node that is not a reader checks whether it has become one or
#: its peers are silent.
ROLE_CHECK_SECONDS = 0.5

#: Maximum number of invalid subtrees that are remembered, and of characters logged of each.
MAX_FOREIGN = 200
MAX_REASON_CHARACTERS = 200

#: Revisions are encoded as signed integers between nodes.
MAX_REVISION = 2**63 - 1

MAX_VALUE_BYTES = 2 * 1024 * 1024


class SettingsReader:
    """Watch the service as a reader of the zone, or read it when all peers are silent.

    Notes
    -----
    If every node requested every subtree after an outage or a restart of the whole
    fleet, the service would exceed its rate limit and no node would get settings.
    So only two nodes of each zone read; the others get settings from them and read
    directly only when all their peers are silent, at an interval that grows with the
    size of the fleet.
    """

    def __init__(self, here):
        self._here = here
        self._address = here.configuration
        self._last_revision = 0
        self._failures = 0
        self._reachable = None
        self._direct_read_at = 0.0
        self._foreign = {}
        self._failed = set()
        self._task = None

    async def start(self, kernel):
        """Start reading, if the address of a configuration service is set."""
        self._store = kernel.find("settings")
        self._members = kernel.find("members")
        self._topology = Topology(self._here, self._members)
        self._sync = kernel.find("settings sync")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        if self._address is not None:
            self._task = asyncio.create_task(self._read_loop())

    async def stop(self):
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()

    async def _read_loop(self):
        client = DocumentClient(MAX_VALUE_BYTES)
        while True:
            try:
                await self._read_once(client)
            except PlatformError as error:
                self._failures += 1
                self._record_reachability(False, str(error))
                wait = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(self._failures, 8))
                await asyncio.sleep(wait * random.uniform(0.5, 1.0))

    async def _read_once(self, client):
        if self._topology.reads:
            await self._watch(client)
        elif self._sync.silent and now() >= self._direct_read_at:
            self._direct_read_at = deadline_after(
                self._direct_read_interval() * random.uniform(1.0, 2.0)
            )
            self._metrics.count("settings_reads_for_self")
            await self._apply_index(client, await self._get(client, "/v1/subtrees", READ_SECONDS))
        else:
            await asyncio.sleep(ROLE_CHECK_SECONDS * random.uniform(0.8, 1.2))

    def _direct_read_interval(self):
        fleet = len(self._members)
        return max(
            MIN_DIRECT_READ_INTERVAL_SECONDS,
            fleet * REQUESTS_PER_DIRECT_READ / FLEET_REQUESTS_PER_SECOND,
        )

    async def _watch(self, client):
        if self._last_revision == 0:
            index = await self._get(client, "/v1/subtrees", READ_SECONDS)
        else:
            index = await self._get(client, f"/v1/watch?after={self._last_revision}", WATCH_SECONDS)
        await self._apply_index(client, index)

    async def _apply_index(self, client, index):
        subtrees = index.get("subtrees")
        if not isinstance(subtrees, dict):
            raise PlatformError("no subtrees in the index", step="index", peer=self._address)
        revision = index.get("revision", 0)
        if not _is_revision(revision):
            raise PlatformError("no revision in the index", step="index", peer=self._address)
        self._failed &= subtrees.keys()
        # A failed request ends the walk, so paths whose requests have failed come last.
        for path in sorted(subtrees, key=lambda path: (path in self._failed, path)):
            if not (_is_path(path) and _is_revision(subtrees[path])):
                self._log_foreign(path, "invalid path or revision")
            elif self._store.wants(path, subtrees[path]):
                await self._read_subtree(client, path)
        self._last_revision = max(self._last_revision, revision)
        self._failures = 0
        self._record_reachability(True, "readable")

    async def _read_subtree(self, client, path):
        """Read and apply one subtree, or log that it is invalid.

        Notes
        -----
        Another writer may leave an invalid subtree.  The others are applied all the same.
        """
        try:
            response = await self._fetch(client, f"/v1/subtrees/{quote(path)}", READ_SECONDS)
        except PlatformError as error:
            self._failed.add(path)
            step = f"read subtree {path!r}"[:MAX_REASON_CHARACTERS]
            raise PlatformError(error.message, step=step, peer=self._address) from None
        self._failed.discard(path)
        try:
            document = self._decode(response)
            stored, revision, value = (document[name] for name in ("path", "revision", "value"))
        except KeyError as error:
            self._log_foreign(path, f"{error} is missing")
        except PlatformError as error:
            self._log_foreign(path, error.message)
        else:
            if _is_path(stored) and _is_revision(revision):
                self._store.take(stored, revision, value, "platform")
            else:
                self._log_foreign(path, "invalid path or revision")

    def _log_foreign(self, path, reason):
        """Log an invalid subtree, once until the reason changes."""
        path, reason = repr(path)[:MAX_REASON_CHARACTERS], reason[:MAX_REASON_CHARACTERS]
        if self._foreign.get(path) == reason:
            return
        if len(self._foreign) >= MAX_FOREIGN:
            self._foreign.clear()
        self._foreign[path] = reason
        self._metrics.count("foreign_entries")
        self._events.log_state("foreign entry", key=path, reason=reason)

    async def _get(self, client, path, seconds):
        return self._decode(await self._fetch(client, path, seconds))

    async def _fetch(self, client, path, seconds):
        self._metrics.count("configuration_reads")
        response = await client.get(self._address, path, deadline_after(seconds))
        if response.status not in SUCCESS:
            raise PlatformError(f"status {response.status}", step="read", peer=self._address)
        return response

    def _decode(self, response):
        document = decode_json(response.body, "read", self._address)
        if not isinstance(document, dict):
            raise PlatformError("not a JSON object", step="read", peer=self._address)
        return document

    def _record_reachability(self, reachable, text):
        if reachable != self._reachable:
            self._events.state("configuration service", self._reachable, text, self._address)
            self._reachable = reachable


def _is_path(path):
    """Return whether `path` can be the path of a subtree: a text that UTF-8 can encode."""
    return isinstance(path, str) and not any("\ud800" <= char <= "\udfff" for char in path)


def _is_revision(revision):
    """Return whether `revision` is a number that nodes can exchange."""
    return type(revision) is int and 0 <= revision <= MAX_REVISION
