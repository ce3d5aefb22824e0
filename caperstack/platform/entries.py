"""Decoding and validation of the entries under which backend servers register in the store."""

import math
import re
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from caperstack.addresses import split_address
from caperstack.calls.model import run_id
from caperstack.exception import ConfigurationError
from caperstack.platform.durations import parse_duration
from caperstack.platform.names import SERVERS_PREFIX

__all__ = ["ServerEntry", "StartTimes", "decode_entry", "keys_without_start_time", "parse_entry"]

#: The permitted instance names; a name is sent in a header without escaping.
INSTANCE_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,100}")

#: The maximum number of slots in a valid entry; real backend servers have 3 to 300.
MAX_SLOTS = 100_000

#: The highest valid start time, in milliseconds since 1970: the year 2286.
MAX_BORN_MS = 10**13

#: The maximum number of instances whose start time is remembered.  They suffice for over
#: three days if all servers of a fleet of 1,100 are replaced each day.
MAX_START_TIMES = 4096

_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_BornMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_BORN_MS)]


class _Info(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: _Slots


class _Status(msgspec.Struct):
    state: Literal["ready", "draining"]
    sequence: int
    cold_left: str = msgspec.field(name="coldLeft")


class _StoredEntry(msgspec.Struct):
    """An entry as the backend server writes it."""

    address: str
    info: _Info
    status: _Status
    # The start time of the server; some platforms leave it out.
    born: _BornMs | msgspec.UnsetType = msgspec.UNSET


class _PeerEntry(msgspec.Struct):
    """An entry as nodes pass it on, without the fields that each heartbeat changes."""

    service: str
    address: str
    zone: str
    slots: _Slots
    state: Literal["ready", "draining"]
    created: int
    born_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as registered in the store.

    Attributes
    ----------
    instance : str
        The server's name; a restarted server may keep it.
    address : str
        Its ``ip:port``.
    host : str
        The IP of `address`, which also identifies the node beside the server.
    leaving : bool
        Whether it is draining.
    created : int
        The store revision at which the entry was created.
    born_ms : int
        The start time in milliseconds since 1970, which distinguishes the starts of a
        server under one name; 0 if the platform does not give it.
    """

    instance: str
    service: str
    address: str
    host: str
    zone: str
    slots: int
    leaving: bool
    created: int
    born_ms: int = 0

    @property
    def incarnation(self):
        """The identifier that distinguishes this start of the server from every other."""
        return run_id(self.instance, self.born_ms)

    @property
    def order(self):
        """The sort key that decides between two entries for one host: the higher one is current."""
        return self.born_ms, self.created


class StartTimes:
    """The latest known start time of each instance, used to reject entries of earlier starts.

    Notes
    -----
    When a backend server restarts under the same name, a late write of its former run,
    or a peer that still holds the former entry, could bring back the old address and
    draining state.  The store's revisions cannot order the two, since the late write
    has the higher revision.
    """

    def __init__(self):
        self._latest = OrderedDict()

    def check(self, entry):
        """Record the start time of `entry`.

        Raises
        ------
        ConfigurationError
            If a later start of that instance is known.
        """
        latest = self._latest.get(entry.instance, 0)
        if entry.born_ms < latest:
            raise ConfigurationError(f"older than the start at {latest}", step="born")
        self._latest[entry.instance] = entry.born_ms
        self._latest.move_to_end(entry.instance)
        while len(self._latest) > MAX_START_TIMES:
            self._latest.popitem(last=False)

    def knows(self, instance, born_ms):
        """Return whether this start of the instance, or a later one, has been recorded."""
        return self._latest.get(instance, -1) >= born_ms


def decode_entry(key, value, created):
    """Decode an entry of the store into the document that nodes exchange.

    Parameters
    ----------
    key : str
        The key of the item.
    value : bytes or None
        The stored value; ``None`` if it was not valid base64.
    created : int
        The store revision at which the item was created.

    Raises
    ------
    ConfigurationError
        With the reason, if no backend server can have written the value.
    """
    if value is None:
        raise ConfigurationError("not base64", step=key)
    try:
        server = msgspec.json.decode(value, type=_StoredEntry)
        if not math.isfinite(parse_duration(server.status.cold_left, "coldLeft")):
            raise ValueError("coldLeft: not finite")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationError(str(error), step=key) from None
    entry = _PeerEntry(
        service=server.info.service,
        address=server.address,
        zone=server.info.zone,
        slots=server.info.slots,
        state=server.status.state,
        created=created,
        born_ms=0 if server.born is msgspec.UNSET else server.born,
    )
    document = msgspec.to_builtins(entry)
    parse_entry(key, document)
    return document


def parse_entry(key, document):
    """Return the `ServerEntry` of a document from `decode_entry` or from a peer.

    Raises
    ------
    ConfigurationError
        Naming the key and the reason.
    """
    try:
        fields = msgspec.convert(document, _PeerEntry)
        instance = key.removeprefix(SERVERS_PREFIX)
        if not INSTANCE_PATTERN.fullmatch(instance):
            raise ValueError("key: names no instance")
        if not fields.service:
            raise ValueError("service: empty")
        ip, port = split_address(fields.address)
        if f"{ip}:{port}" != fields.address:
            raise ValueError(f"address: {fields.address!r} is not plain")
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(str(error), step=key) from None
    return ServerEntry(
        instance=instance,
        service=fields.service,
        address=fields.address,
        host=ip,
        zone=fields.zone,
        slots=fields.slots,
        leaving=fields.state == "draining",
        created=fields.created,
        born_ms=fields.born_ms,
    )


def keys_without_start_time(documents):
    """Return the keys of entries without a start time if more than half of `documents` have one.

    Whether the platform gives start times is decided by the majority of the entries, so
    that a single foreign entry cannot make all others invalid.
    """
    missing = {key for key, document in documents.items() if not document["born_ms"]}
    return missing if 2 * len(missing) < len(documents) else set()
