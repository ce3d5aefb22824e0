"""Poll the health and load endpoints of the backend server at a fixed rate."""

import asyncio
import random

from caperstack.calls.model import ServerState
from caperstack.clock import deadline_after, now
from caperstack.documents import SUCCESS, DocumentClient, decode_json
from caperstack.exception import PlatformError

__all__ = ["BackendMonitor"]

#: Timeout of a request to an endpoint, in seconds.
REQUEST_SECONDS = 1.0

#: Maximum size of the document of an endpoint, in bytes.
MAX_DOCUMENT_BYTES = 64 * 1024

#: Consecutive failed requests after which a backend server counts as down, unless it
#: still answers calls: these are better evidence than the health endpoint.
MAX_FAILURES = 3

#: Policies that use the load reported by the load endpoint.
POLICIES_BY_REPORT = frozenset(("least_reported", "power_of_two"))

_STATES = {
    "ok": ServerState.WARM,
    "cold": ServerState.COLD,
    "draining": ServerState.DRAINING,
}


class BackendMonitor:
    """Poll the health and load endpoints of the node's own backend server.

    Parameters
    ----------
    here : caperstack.config.start.StartSettings
        Paths of the endpoints, and address and service of the backend server.

    Notes
    -----
    No other node polls the backend server, so its polling load does not depend on the
    number of nodes.  The settings limit the total rate of both endpoints.  The load
    endpoint is polled, alternating with the health endpoint, only for policies that use
    its reports.  Other policies know the load from the calls, and use the whole
    rate for the health endpoint, which shows a drain sooner.
    """

    def __init__(self, here):
        self._here = here
        self._failures = 0
        self._task = None
        self._incarnation = None

    async def start(self, kernel):
        """Start polling."""
        self._owner = kernel.find("owner")
        self._settings = kernel.find("settings")
        self._metrics = kernel.find("metrics")
        self._task = asyncio.create_task(self._read_forever())

    async def stop(self):
        """Stop polling."""
        self._task.cancel()

    async def _read_forever(self):
        client = DocumentClient(MAX_DOCUMENT_BYTES)
        backend = self._here.backend
        load_next = False
        while True:
            due = deadline_after(self._interval_seconds() * random.uniform(0.95, 1.05))
            if load_next and self._service.policy in POLICIES_BY_REPORT:
                self._take_load(await self._read(client, backend.load_path))
            else:
                self._take_health(await self._read(client, backend.health_path))
            load_next = not load_next
            await asyncio.sleep(max(0.0, due - now()))

    @property
    def _service(self):
        return self._settings.service(self._here.backend.service)

    def _interval_seconds(self):
        return 1.0 / self._service.measuring_per_second

    async def _read(self, client, path):
        self._metrics.count("measuring_requests")
        address = self._here.backend.address
        try:
            response = await client.get(address, path, deadline_after(REQUEST_SECONDS))
            if response.status not in SUCCESS:
                raise PlatformError(f"status {response.status}", step="read", peer=address)
            document = decode_json(response.body, "health", address)
        except PlatformError as error:
            self._metrics.count("measuring_failures", kind=error.step)
            return None
        return document if isinstance(document, dict) else None

    def _take_health(self, document):
        if self._owner.node_leaves:
            return
        if document is None:
            self._failures += 1
            if self._failures >= MAX_FAILURES and not self._owner.answering:
                self._set_state(ServerState.DOWN)
            return
        self._failures = 0
        state = _STATES.get(document.get("state"), ServerState.WARM)
        if state == ServerState.COLD and document.get("started") != self._incarnation:
            self._owner.start_cold()
        self._incarnation = document.get("started")
        self._set_state(state)

    def _take_load(self, document):
        if document is None:
            return
        in_flight = document.get("in_flight")
        if isinstance(in_flight, int) and in_flight >= 0:
            self._owner.set_published(in_flight)

    def _set_state(self, state):
        self._owner.set_health(state)
