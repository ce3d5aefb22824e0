"""Read the platform's lagging host list."""

import asyncio
import json
import random

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from tornado.httpclient import AsyncHTTPClient

from caperstack.addresses import split_address
from caperstack.config.start import validation_reason
from caperstack.exception import PlatformError
from caperstack.membership.members import HostEntry

__all__ = ["HostListReader", "parse_host_list"]

#: Seconds between two readings in a small fleet; the list lags more than that.
READ_INTERVAL_SECONDS = 1.0

#: Readings a second that the whole fleet makes together, when it is large.
FLEET_READS_PER_SECOND = 100

REQUEST_TIMEOUT_SECONDS = 2.0


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
    hosts: list[_Host]


def parse_host_list(body):
    """Return the list of `HostEntry` in a host list's JSON `body`.

    Raises
    ------
    PlatformError
        Naming the field.
    """
    try:
        listed = _HostList.model_validate(json.loads(body))
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise PlatformError(reason, step="host list", peer=field) from None
    except ValueError as error:
        raise PlatformError(f"not JSON: {error}", step="host list") from None
    return [
        HostEntry(h.host, h.zone, h.region, h.service, h.peer_address, h.state == "leaving")
        for h in listed.hosts
    ]


class HostListReader:
    """Read the host list and hand it to the members.

    Notes
    -----
    A large fleet reads more rarely, so that all nodes together stay at a fixed
    rate, and asks for the body only if it changed: at 1,100 hosts the list is
    some 150 kB, thirty times what a node may spend a second.

    An unreadable list changes nothing: the last one stays, and what peers
    show by answering or not is stronger than any list.
    """

    def __init__(self, address):
        self._address = address
        self._task = None
        self._readable = None
        self._tag = ""

    async def start(self, kernel):
        """Read once, so that the first call finds its members, and go on reading."""
        self._members = kernel.find("members")
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        if self._address is None:
            return
        client = AsyncHTTPClient()
        await self._try_to_read(client)
        self._task = asyncio.create_task(self._read_periodically(client))

    async def stop(self):
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()

    async def _read_periodically(self, client):
        while True:
            pace = max(READ_INTERVAL_SECONDS, len(self._members) / FLEET_READS_PER_SECOND)
            await asyncio.sleep(pace * random.uniform(0.8, 1.2))
            await self._try_to_read(client)

    async def _try_to_read(self, client):
        try:
            await self._read(client)
        except PlatformError as error:
            self._report(False, str(error))

    async def _read(self, client):
        self._metrics.count("host_list_reads")
        headers = {"If-None-Match": self._tag} if self._tag else {}
        try:
            response = await client.fetch(
                f"http://{self._address}/hosts",
                headers=headers,
                request_timeout=REQUEST_TIMEOUT_SECONDS,
                raise_error=False,
            )
        except Exception as error:
            raise PlatformError(str(error), step="read", peer=self._address) from None
        if response.code == 200:
            self._members.apply_host_list(parse_host_list(response.body))
            self._tag = response.headers.get("Etag", "")
        elif response.code != 304:
            raise PlatformError(f"status {response.code}", step="read", peer=self._address)
        self._report(True, "readable")

    def _report(self, readable, text):
        if readable != self._readable:
            self._events.state("host list", self._readable, text, self._address)
            self._readable = readable
