"""The client of the platform's store, which can only be read."""

import asyncio
import base64
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from caperstack.clock import time_left
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.names import STORE_ERA_HEADER
from caperstack.settings.revisions import ERAS, NUMBERS, era_of, number_of, revision_in

__all__ = ["StoreChanges", "StoreClient", "StoreItem", "StoreRead"]

#: An answer takes 4 ms as a rule and 60 times that on bad days.
CALL_TIMEOUT_SECONDS = 1.0

#: The store gives at most 1 MB a page, in base64 and JSON somewhat more.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024

#: How much later than the end of its wait a watch is answered at most, in seconds.
WATCH_GRACE_SECONDS = 1.0

#: The status of a watch whose history is not kept any more.
HISTORY_GONE = 410

#: Pages of one read; beyond that something is wrong.
MAX_PAGES = 200


_Revision = Annotated[int, msgspec.Meta(ge=0, lt=NUMBERS)]


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    revision: _Revision = 0
    created: _Revision = 0


class _Page(msgspec.Struct):
    items: list[_Item]
    more: bool = msgspec.field(name="hasMore")
    # The store's revision when the page was read.
    revision: _Revision = msgspec.field(name="storeRevision")


class _Event(msgspec.Struct):
    key: str
    value: str = ""
    revision: _Revision = 0
    created: _Revision = 0
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    # From where the next watch goes on.
    revision: _Revision = msgspec.field(name="storeRevision")


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One item, with the revisions of its last change and of its creation.

    Revisions here and below are in order over all eras of the store, see
    `caperstack.settings.revisions.revision_in`.

    Attributes
    ----------
    value : bytes or None
        ``None`` if it was not encoded as the store encodes.
    deleted : bool
        Whether that change took it away.
    """

    key: str
    value: bytes | None
    revision: int
    created: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class StoreRead:
    """All items under a prefix.

    Attributes
    ----------
    items : list of StoreItem
        The items, by key.
    revision : int
        The store's revision at the first page: what is missing was gone then.
    """

    items: list
    revision: int


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """What has changed under a prefix.

    Attributes
    ----------
    items : list of StoreItem
        The changes, in order.
    revision : int
        Where the next watch goes on.
    """

    items: list
    revision: int


class StoreClient:
    """Reads the store over HTTP, with a timeout for each call.

    Parameters
    ----------
    address : str
        The store's ``ip:port``.
    metrics : caperstack.operators.metrics.Metrics
        Counts the calls, which are priced, refused ones included.
    """

    def __init__(self, address, metrics):
        self._address = address
        self._metrics = metrics
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_body_size=MAX_RESPONSE_BYTES)

    @property
    def address(self):
        """The store's ``ip:port``."""
        return self._address

    def close(self):
        """Drop all calls."""
        self._client.close()

    async def read(self, prefix, stale=False):
        """Return the `StoreRead` of all items whose keys begin with `prefix`.

        Parameters
        ----------
        prefix : str
            Of the keys.
        stale : bool
            Whether what is told may be seconds old, at a tenth of the price.

        Raises
        ------
        PlatformError
            If the store refuses, is silent or sends something else.
        """
        items = []
        revision = None
        after = None
        for _ in range(MAX_PAGES):
            page, era = await self._page(prefix, after, stale)
            if revision is None:
                revision = revision_in(era, page.revision)
            elif era != era_of(revision):
                raise PlatformError("restored between pages", step="read", peer=self._address)
            items += [_store_item(item, era) for item in page.items]
            if not page.more or not page.items:
                return StoreRead(items, revision)
            after = page.items[-1].key
        raise PlatformError("no end of pages", step="read", peer=self._address)

    async def watch(self, prefix, after, wait_until):
        """Return the `StoreChanges` under `prefix` beyond a revision, as soon as there are any.

        Parameters
        ----------
        prefix : str
            Of the keys.
        after : int
            The revision beyond which changes are told.
        wait_until : float
            The point until which the store waits for one; none have come then.

        Raises
        ------
        HistoryError
            If the store does not keep the changes since that revision any more, or
            has come back from a copy since.
        PlatformError
            If the store refuses, is silent or sends something else.
        """
        wait = max(0.0, time_left(wait_until))
        query = urlencode({"prefix": prefix, "after": number_of(after), "waitMs": int(wait * 1000)})
        response = await self._get(f"/v1/kv-watch?{query}", wait + WATCH_GRACE_SECONDS)
        try:
            page = msgspec.json.decode(response.body, type=_Events)
        except msgspec.MsgspecError as error:
            raise PlatformError(str(error), step="watch", peer=self._address) from None
        era = self._era(response)
        if era != era_of(after):
            # The number may be given out again: what was written below it is not told.
            raise HistoryError("another era", step="watch", peer=self._address)
        items = [_store_item(event, era) for event in page.events]
        return StoreChanges(items, revision_in(era, page.revision))

    async def _page(self, prefix, after, stale):
        query = {"prefix": prefix}
        if after is not None:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        response = await self._get(f"/v1/kv-range?{urlencode(query)}")
        try:
            return msgspec.json.decode(response.body, type=_Page), self._era(response)
        except msgspec.MsgspecError as error:
            raise PlatformError(str(error), step="page", peer=self._address) from None

    def _era(self, response):
        """Return the era that an answer names; 0 where the store names none."""
        text = response.headers.get(STORE_ERA_HEADER, "0")
        if not (text.isascii() and text.isdigit() and int(text) < ERAS):
            raise PlatformError(
                f"{STORE_ERA_HEADER}: {text[:20]!r}", step="read", peer=self._address
            )
        return int(text)

    async def _get(self, path, seconds=CALL_TIMEOUT_SECONDS):
        self._metrics.count("store_calls")
        try:
            request = self._client.fetch(
                f"http://{self._address}{path}",
                connect_timeout=CALL_TIMEOUT_SECONDS,
                request_timeout=seconds,
                decompress_response=False,
            )
            # A call that nobody waits for any more ends by itself; cancelled, it would
            # write its failure to standard error.
            request.add_done_callback(_retrieve_exception)
            response = await asyncio.shield(request)
        except HTTPClientError as error:
            reason = f"status {error.code}"
            if error.code == HISTORY_GONE:
                raise HistoryError(reason, step="watch", peer=self._address) from None
            raise PlatformError(reason, step="read", peer=self._address) from None
        except OSError as error:
            raise PlatformError(str(error), step="read", peer=self._address) from None
        return response


def _retrieve_exception(request):
    if not request.cancelled():
        request.exception()


def _store_item(item, era):
    # Failure: one value that can't be read fails the whole reading, for as long
    # as it lies there, and nobody learns of any other server.
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = None
    deleted = isinstance(item, _Event) and item.deleted
    return StoreItem(
        item.key,
        value,
        revision_in(era, item.revision),
        revision_in(era, item.created),
        deleted,
    )
