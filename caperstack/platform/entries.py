"""Entries of backend servers in the platform's store: decoded whole, or foreign."""

import math
import re
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from caperstack.addresses import split_address
from caperstack.exception import ConfigurationError
from caperstack.platform.durations import parse_duration
from caperstack.platform.names import SERVERS_PREFIX

__all__ = ["ServerEntry", "StartTimes", "decode_entry", "keys_without_start_time", "parse_entry"]

#: What an instance may be called: it goes into a header as it is.
INSTANCE_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,100}")

#: Slots beyond this are no backend server's; sites have 3 to 300.
MAX_SLOTS = 100_000

#: Births beyond this, in milliseconds since 1970, are no point in time: the year 2286.
MAX_BORN_MS = 10**13

#: Instances whose birth is remembered; of 1,100 servers replaced each day the last three days.
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
    # When the server started; platforms that do not tell it leave it out.
    born: _BornMs | msgspec.UnsetType = msgspec.UNSET


class _PeerEntry(msgspec.Struct):
    """What matters of an entry, as nodes tell each other: no heartbeat and no age."""

    service: str
    address: str
    zone: str
    slots: _Slots
    state: Literal["ready", "draining"]
    created: int
    born_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as it registered itself.

    Attributes
    ----------
    instance : str
        The name that the server has; it may start again under the same one.
    address : str
        Its ``ip:port``.
    host : str
        The IP in it, which names the node beside the server.
    leaving : bool
        Whether it drains.
    created : int
        The store's revision at which the entry appeared.
    born_ms : int
        When the server started, in milliseconds since 1970; tells its starts
        under one name apart. 0 where the platform does not say.
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
        """What tells this start of the server from every other."""
        return f"{self.instance}@{self.born_ms}"

    @property
    def order(self):
        """Of two entries at one address the one that is higher here holds it."""
        return self.born_ms, self.created


class StartTimes:
    """The latest birth seen of each instance, so that an older one never wins.

    Notes
    -----
    Failure: a backend server starts again under the name that it had, and a
    late write of its former run, or a peer that still holds that, puts the
    former address and draining mark in its place.  The store's revisions do
    not tell them apart: the late write has the higher one.
    """

    def __init__(self):
        self._latest = OrderedDict()

    def check(self, entry):
        """Note the birth of `entry`.

        Raises
        ------
        ConfigurationError
            If a later birth of that instance is known.
        """
        latest = self._latest.get(entry.instance, 0)
        if entry.born_ms < latest:
            raise ConfigurationError(f"older than the start at {latest}", step="born")
        self._latest[entry.instance] = entry.born_ms
        self._latest.move_to_end(entry.instance)
        while len(self._latest) > MAX_START_TIMES:
            self._latest.popitem(last=False)

    def knows(self, instance, born_ms):
        """Return whether that start of an instance, or a later one, was seen."""
        return self._latest.get(instance, -1) >= born_ms


def decode_entry(key, value, created):
    """Return what matters of the entry in `value`, as a document for peers.

    Parameters
    ----------
    key : str
        The item's key.
    value : bytes or None
        What lies there; ``None`` if it could not be read.
    created : int
        The store's revision at which the item appeared.

    Raises
    ------
    ConfigurationError
        If no backend server registers itself so, with the reason.
    """
    if value is None:
        raise ConfigurationError("not base64", step=key)
    try:
        server = msgspec.json.decode(value, type=_StoredEntry)
        if not math.isfinite(parse_duration(server.status.cold_left, "coldLeft")):
            raise ValueError("coldLeft: not finite")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationError(str(error), step=key) from None
    told = _PeerEntry(
        service=server.info.service,
        address=server.address,
        zone=server.info.zone,
        slots=server.info.slots,
        state=server.status.state,
        created=created,
        born_ms=0 if server.born is msgspec.UNSET else server.born,
    )
    document = msgspec.to_builtins(told)
    parse_entry(key, document)
    return document


def parse_entry(key, document):
    """Return the `ServerEntry` of a document that `decode_entry` or a peer gave.

    Raises
    ------
    ConfigurationError
        Naming the key and the reason.
    """
    try:
        told = msgspec.convert(document, _PeerEntry)
        instance = key.removeprefix(SERVERS_PREFIX)
        if not INSTANCE_PATTERN.fullmatch(instance):
            raise ValueError("key: names no instance")
        if not told.service:
            raise ValueError("service: empty")
        ip, port = split_address(told.address)
        if f"{ip}:{port}" != told.address:
            raise ValueError(f"address: {told.address!r} is not plain")
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(str(error), step=key) from None
    return ServerEntry(
        instance=instance,
        service=told.service,
        address=told.address,
        host=ip,
        zone=told.zone,
        slots=told.slots,
        leaving=told.state == "draining",
        created=told.created,
        born_ms=told.born_ms,
    )


def keys_without_start_time(documents):
    """Return the keys of `documents` that lack a birth though most tell theirs.

    A platform whose servers tell their births is told from one that does not
    by what most entries hold: one foreign entry must not decide for all others.
    """
    silent = {key for key, document in documents.items() if not document["born_ms"]}
    return silent if 2 * len(silent) < len(documents) else set()
