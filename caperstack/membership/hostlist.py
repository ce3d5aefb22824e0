"""Poll the platform's host list, which lags behind the actual state of the hosts."""

import asyncio
import random
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from caperstack.addresses import split_address
from caperstack.clock import deadline_after
from caperstack.config.start import validation_reason
from caperstack.documents import DocumentClient, decode_json
from caperstack.exception import PlatformError
from caperstack.membership.members import HostEntry

__all__ = ["HostList", "HostListReader", "parse_host_list"]

OK = 200
NOT_MODIFIED = 304

#: Interval between reads in a small fleet; the list itself lags by more than this.
READ_INTERVAL_SECONDS = 1.0

#: Upper bound on the reads per second of all nodes of a large fleet together.
FLEET_READS_PER_SECOND = 100

REQUEST_TIMEOUT_SECONDS = 2.0

#: Maximum size of a list, in bytes.
MAX_LIST_BYTES = 4 * 1024 * 1024

#: Maximum number of invalid entries that a log line names, and of characters for each.
MAX_LOGGED_ERRORS = 5
MAX_REASON_CHARACTERS = 200


class _Host(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    host: str = Field(min_length=1, max_length=128)
    zone: str = Field(min_length=1, max_length=64)
    region: str = "local"
    service: str = Field(min_length=1, max_length=64)
    peer_address: str
    state: str = "live"

    @field_validator("peer_address")
    @classmethod
    def _address(cls, value):
        split_address(value)
        return value


class _HostList(BaseModel):
    hosts: list[object]


@dataclass(frozen=True, slots=True)
class HostList:
    """The valid entries of a host list, and the errors of the others.

    Attributes
    ----------
    entries : list of HostEntry
        The valid entries.
    errors : list of PlatformError
        One for each invalid entry; ``peer`` names its first invalid field.
    """

    entries: list
    errors: list


def parse_host_list(body):
    """Parse the JSON `body` of a host list and return its `HostList`.

    Parameters
    ----------
    body : bytes or str
        The JSON document.

    Raises
    ------
    PlatformError
        If `body` is not a host list; ``peer`` names the invalid field.

    Notes
    -----
    Another writer may leave an invalid entry.  The other entries are applied all the same.
    """
    try:
        listed = _HostList.model_validate(decode_json(body, "host list", ""))
    except ValidationError as error:
        raise _error(error) from None
    result = HostList([], [])
    for number, document in enumerate(listed.hosts):
        try:
            result.entries.append(_entry(_Host.model_validate(document)))
        except ValidationError as error:
            result.errors.append(_error(error, f"hosts.{number}."))
    return result


def _entry(host):
    leaving = host.state == "leaving"
    return HostEntry(host.host, host.zone, host.region, host.service, host.peer_address, leaving)


def _error(error, place=""):
    field, reason = validation_reason(error)
    return PlatformError(reason, step="host list", peer=f"{place}{field}")


class HostListReader:
    """Poll the host list and apply it to the members.

    Parameters
    ----------
    address : str or None
        Address of the service that publishes the host list; ``None`` disables
        polling.

    Notes
    -----
    In a large fleet each node polls less often, so that the total rate is bounded,
    and fetches the body only if it changed (``If-None-Match``): at 1,100 hosts the
    list is about 150 kB, thirty times a node's traffic budget per second.

    If the list cannot be read, the members of the last one are kept.  Whether a
    peer answers takes precedence over any list.
    """

    def __init__(self, address):
        self._address = address
        self._task = None
        self._readable = None
        self._invalid = []
        self._tag = ""

    async def start(self, kernel):
        """Read the list once, so that the first call finds its members, then poll it."""
        self._members = kernel.find("members")
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        if self._address is None:
            return
        client = DocumentClient(MAX_LIST_BYTES)
        await self._try_to_read(client)
        self._task = asyncio.create_task(self._read_periodically(client))

    async def stop(self):
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def _read_periodically(self, client):
        while True:
            interval = max(READ_INTERVAL_SECONDS, len(self._members) / FLEET_READS_PER_SECOND)
            await asyncio.sleep(interval * random.uniform(0.8, 1.2))
            await self._try_to_read(client)

    async def _try_to_read(self, client):
        try:
            await self._read(client)
        except PlatformError as error:
            self._report(False, str(error))

    async def _read(self, client):
        self._metrics.count("host_list_reads")
        headers = {"If-None-Match": self._tag} if self._tag else {}
        deadline = deadline_after(REQUEST_TIMEOUT_SECONDS)
        response = await client.get(self._address, "/hosts", deadline, headers)
        if response.status == OK:
            listed = parse_host_list(response.body)
            self._members.apply_host_list(listed.entries)
            self._log_errors(listed.errors)
            self._tag = response.headers.get("Etag", "")
        elif response.status != NOT_MODIFIED:
            raise PlatformError(f"status {response.status}", step="read", peer=self._address)
        self._report(True, "readable")

    def _log_errors(self, errors):
        """Log the invalid entries, once until others are invalid."""
        texts = [str(error)[:MAX_REASON_CHARACTERS] for error in errors[:MAX_LOGGED_ERRORS]]
        former, self._invalid = self._invalid, texts
        if texts and texts != former:
            self._metrics.count("foreign_entries")
            self._events.log_state("foreign entry", key="host list", reason="; ".join(texts))

    def _report(self, readable, text):
        if readable != self._readable:
            self._events.state("host list", self._readable, text, self._address)
            self._readable = readable
