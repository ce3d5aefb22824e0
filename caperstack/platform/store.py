"""The read-only client of the platform's key-value store."""

import base64
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlencode

import msgspec

from caperstack.calls.dialect import is_whole_number
from caperstack.clock import deadline_after, time_left
from caperstack.documents import SUCCESS, DocumentClient
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.names import STORE_ERA_HEADER
from caperstack.settings.revisions import ERAS, NUMBERS, era_of, make_revision, number_of

__all__ = ["StoreChanges", "StoreClient", "StoreItem", "StoreRead"]

#: The timeout of a call, in seconds.  An answer usually takes 4 ms, but 60 times as long when
#: the store is slow.
CALL_TIMEOUT_SECONDS = 1.0

#: A page has at most 1 MB, which base64 and JSON enlarge.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024

#: How long after the end of its wait a watch may be answered, in seconds.
WATCH_GRACE_SECONDS = 1.0

#: The HTTP status if the store no longer keeps the changes that a watch asks for.
HISTORY_GONE = 410

#: The maximum number of pages of one read.  A store that sends more is faulty: it may, for
#: example, never send a last page.
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
    # The revision from which the next watch continues.
    revision: _Revision = msgspec.field(name="storeRevision")


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One item of the store.

    The revisions here and in the classes below are ordered across all eras of the store,
    see `caperstack.settings.revisions.make_revision`.

    Attributes
    ----------
    key : str
        The key.
    value : bytes or None
        The value; ``None`` if it was not valid base64.
    revision : int
        The revision of the last change.
    created : int
        The revision of the creation.
    deleted : bool
        Whether the last change deleted the item.
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
        The items, in the order of their keys.
    revision : int
        The store's revision at the first page; deletions of items that are missing from the
        read are applied as of this revision.
    """

    items: list
    revision: int


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """The changes under a prefix.

    Attributes
    ----------
    items : list of StoreItem
        The changes, in order.
    revision : int
        The revision from which the next watch continues.
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
        Counts the calls; the platform charges for each, refused ones included.
    """

    def __init__(self, address, metrics):
        self._address = address
        self._metrics = metrics
        self._client = DocumentClient(MAX_RESPONSE_BYTES)

    @property
    def address(self):
        """The store's ``ip:port``."""
        return self._address

    def close(self):
        """Close the HTTP client and abort its calls."""
        self._client.close()

    async def read(self, prefix, stale=False):
        """Return the `StoreRead` of all items whose keys begin with `prefix`.

        Parameters
        ----------
        prefix : str
            The prefix of the keys.
        stale : bool
            Whether the answer may be seconds old, at a tenth of the price.

        Raises
        ------
        PlatformError
            If the store refuses the call, does not answer in time or sends an invalid answer.
        """
        items = []
        revision = None
        after = None
        for _ in range(MAX_PAGES):
            page, era = await self._page(prefix, after, stale)
            if revision is None:
                revision = make_revision(era, page.revision)
            elif era != era_of(revision):
                raise PlatformError("restored between pages", step="read", peer=self._address)
            items += [_store_item(item, era) for item in page.items]
            if not page.more or not page.items:
                return StoreRead(items, revision)
            after = page.items[-1].key
        raise PlatformError("no end of pages", step="read", peer=self._address)

    async def watch(self, prefix, after, wait_until):
        """Wait for changes under `prefix` after a revision and return the `StoreChanges`.

        Parameters
        ----------
        prefix : str
            The prefix of the keys.
        after : int
            The revision after which changes are returned.
        wait_until : float
            The time until which the store waits for a change; the result is empty then.

        Raises
        ------
        HistoryError
            If the store no longer keeps the changes since that revision, or has been
            restored from an older copy since.
        PlatformError
            If the store refuses the call, does not answer in time or sends an invalid answer.
        """
        wait = max(0.0, time_left(wait_until))
        query = urlencode({"prefix": prefix, "after": number_of(after), "waitMs": int(wait * 1000)})
        response = await self._get(f"/v1/kv-watch?{query}", wait + WATCH_GRACE_SECONDS)
        page = self._decode(response, _Events, "watch")
        era = self._era(response)
        if era != era_of(after):
            # After a restore the store assigns revisions again, so this answer lacks the
            # changes that were written below `after`.
            raise HistoryError("another era", step="watch", peer=self._address)
        items = [_store_item(event, era) for event in page.events]
        return StoreChanges(items, make_revision(era, page.revision))

    async def _page(self, prefix, after, stale):
        query = {"prefix": prefix}
        if after is not None:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        response = await self._get(f"/v1/kv-range?{urlencode(query)}")
        return self._decode(response, _Page, "page"), self._era(response)

    def _decode(self, response, page_type, step):
        try:
            return msgspec.json.decode(response.body, type=page_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise PlatformError(str(error), step=step, peer=self._address) from None

    def _era(self, response):
        """Return the era in the header of an answer; 0 if the store sends none."""
        text = response.headers.get(STORE_ERA_HEADER, "0")
        if not is_whole_number(text) or int(text) >= ERAS:
            raise PlatformError(
                f"{STORE_ERA_HEADER}: {text[:20]!r}", step="read", peer=self._address
            )
        return int(text)

    async def _get(self, path, seconds=CALL_TIMEOUT_SECONDS):
        self._metrics.count("store_calls")
        response = await self._client.get(
            self._address,
            path,
            deadline_after(seconds),
            connect_until=deadline_after(CALL_TIMEOUT_SECONDS),
        )
        if response.status == HISTORY_GONE:
            raise HistoryError("history is gone", step="watch", peer=self._address)
        if response.status not in SUCCESS:
            raise PlatformError(f"status {response.status}", step="read", peer=self._address)
        return response


def _store_item(item, era):
    # A value that is not base64 must not fail the whole read; otherwise no node would learn of
    # changes to any other server as long as it is stored.
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = None
    deleted = isinstance(item, _Event) and item.deleted
    return StoreItem(
        item.key,
        value,
        make_revision(era, item.revision),
        make_revision(era, item.created),
        deleted,
    )
