"""A stand-in backend server with slots, service times, injected faults and a ledger of calls."""

import asyncio
import hashlib
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, fields

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.calls.headers import DEPTH, REQUEST_ID, TIME_LEFT, TRACEPARENT

__all__ = ["LEDGER_ID", "BackendFaults", "StandinBackend", "expected_body"]

#: Header with the name of a call in the ledger; the load tool sets one for each call.
LEDGER_ID = "Ledger-Id"

#: Factor by which service times are longer while the server is cold.
COLD_FACTOR = 3.0

MAX_BODY_BYTES = 128 * 1024 * 1024

#: Maximum number of concurrent calls to other services. The default of tornado is lower
#: than the number of slots.
MAX_NESTED_CALLS = 10_000

#: Headers that a nested call takes over from the call that makes it.
_FORWARDED_HEADERS = (TRACEPARENT, REQUEST_ID, DEPTH)


@dataclass
class BackendFaults:
    """Faults and states of the server, set by ``POST /control`` with any of these names.

    Attributes
    ----------
    slow_factor : float
        Factor by which service times are multiplied.
    fail_status : int
        HTTP status with which every call is answered at once; 0 for none.
    draining : bool
        The health endpoint reports that the server drains. Calls that arrive nevertheless
        are served, and counted if they start more than 2 s later.
    shed_above : int
        Number of waiting calls from which new ones are refused with 503; 0 for never.
    lie_in_flight : int
        Value that the load endpoint reports; -1 for the real number of calls.
    load_lag_seconds : float
        Age of the value that the load endpoint reports, in seconds.
    cold_seconds : float
        Time after its start during which the server is slow and reports that it is cold,
        in seconds. Setting it restarts that time.
    die_mid_answer : bool
        Whether to send half of each answer and then close the connection.
    die_after_run : bool
        Whether to run each call and then close the connection without an answer.
    mute : bool
        Whether the health and load endpoints fail.
    """

    slow_factor: float = 1.0
    fail_status: int = 0
    draining: bool = False
    shed_above: int = 0
    lie_in_flight: int = -1
    load_lag_seconds: float = 0.0
    cold_seconds: float = 0.0
    die_mid_answer: bool = False
    die_after_run: bool = False
    mute: bool = False


def expected_body(ledger_id, size, request_body=b""):
    """Return the body of an answer: the call's name, a digest of its body, and filler.

    Parameters
    ----------
    ledger_id : str
        Name of the call.
    size : int
        Length of the filler in bytes.
    request_body : bytes
        Body of the request.
    """
    digest = hashlib.blake2b(request_body, digest_size=16).hexdigest()
    head = f"{ledger_id} {digest}\n".encode()
    filler = hashlib.blake2b(head, digest_size=32).hexdigest().encode()
    return head + (filler * (size // len(filler) + 1))[:size]


def _next_chain_path(path):
    """Return the path of the nested call: ``/l4`` after ``/l3``, otherwise the same path."""
    level = path.removeprefix("/l")
    return f"/l{int(level) + 1}" if level.isdigit() else path


class StandinBackend:
    """One stand-in backend server.

    Parameters
    ----------
    port : int
        Port on loopback at which it listens.
    slots : int
        Maximum number of concurrent calls; further calls wait in the server.
    mean_seconds, sigma : float
        Mean and shape parameter of the lognormal service time. With a mean of 0, calls
        take no time.
    node : str
        Address of the node beside it, to which nested calls go.
    seed : int
        Seed of the service times.

    Attributes
    ----------
    faults : BackendFaults
        The current faults.
    """

    def __init__(self, port, slots=20, mean_seconds=0.0, sigma=1.0, node="", seed=0):
        self._port = port
        self._slots = asyncio.Semaphore(slots)
        self._mean_seconds = mean_seconds
        self._sigma = sigma
        self._node = node
        self._random = random.Random(seed)
        self._ledger = Counter()
        self._run_at = {}
        self._running = 0
        self._waiting = 0
        self._load_history = []
        self._probes = 0
        self._calls_after_drain = 0
        self._drained_at = None
        self._started = time.time()
        self._server = None
        self._handlers = set()
        self.faults = BackendFaults()

    async def start(self):
        """Start to listen."""
        self._server = HTTPServer(
            self._start_handling,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
            idle_connection_timeout=3600,
        )
        self._server.listen(self._port, "127.0.0.1", backlog=1024)

    def _start_handling(self, request):
        task = asyncio.create_task(self._handle(request))
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)
        request.connection.set_close_callback(task.cancel)

    async def _handle(self, request):
        endpoint = {
            "/health": self._health,
            "/load": self._load,
            "/ledger": self._show_ledger,
            "/control": self._control,
        }.get(request.path)
        if endpoint is not None:
            status, document = endpoint(request)
            self._respond(request, status, json.dumps(document).encode())
            return
        await self._serve(request)

    # -- endpoints --------------------------------------------------------

    def _health(self, request):
        self._probes += 1
        if self.faults.mute:
            return 500, {}
        state = "draining" if self.faults.draining else "cold" if self._is_cold else "ok"
        return 200, {"state": state, "started": self._started}

    @property
    def _is_cold(self):
        return time.time() - self._started < self.faults.cold_seconds

    def _load(self, request):
        self._probes += 1
        if self.faults.mute:
            return 500, {}
        if self.faults.lie_in_flight >= 0:
            return 200, {"in_flight": self.faults.lie_in_flight}
        current = time.time()
        self._load_history.append((current, self._running + self._waiting))
        reported_at = current - self.faults.load_lag_seconds
        older = [entry for entry in self._load_history if entry[0] <= reported_at]
        self._load_history = self._load_history[-100:]
        return 200, {"in_flight": (older or self._load_history)[-1][1]}

    def _show_ledger(self, request):
        return 200, {
            "runs": sum(self._ledger.values()),
            "ledger": self._ledger,
            "run_at": self._run_at,
            "after_drain": self._calls_after_drain,
            "measured": self._probes,
            "seconds": time.time() - self._started,
        }

    def _control(self, request):
        document = json.loads(request.body)
        known = {field.name for field in fields(BackendFaults)}
        unknown = set(document) - known
        if unknown:
            return 400, {"field": sorted(unknown)[0], "reason": "no such trouble"}
        for name, value in document.items():
            setattr(self.faults, name, value)
        if document.get("cold_seconds"):
            self._started = time.time()
        if "draining" in document:
            self._drained_at = time.time() if document["draining"] else None
        return 200, {"set": document}

    # -- calls ------------------------------------------------------------

    async def _serve(self, request):
        if self.faults.fail_status:
            self._respond(request, self.faults.fail_status, b"failing")
            return
        if self.faults.shed_above and self._waiting >= self.faults.shed_above:
            self._respond(request, 503, b"shed")
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await self._run(request)
        finally:
            self._running -= 1
            self._slots.release()

    async def _run(self, request):
        name = request.headers.get(LEDGER_ID, "")
        self._ledger[name] += 1
        self._run_at[name] = time.time()
        if self._drained_at is not None and time.time() - self._drained_at > 2.0:
            self._calls_after_drain += 1
        if self._mean_seconds:
            await asyncio.sleep(self._service_seconds())
        depth_left = int(request.query_arguments.get("deep", [b"0"])[0])
        if depth_left > 0 and not await self._call_nested(request, depth_left):
            self._respond(request, 502, b"a deeper call failed")
            return
        size = int(request.query_arguments.get("size", [b"64"])[0])
        self._respond_to_call(request, expected_body(name, size, request.body))

    def _service_seconds(self):
        factor = self.faults.slow_factor * (COLD_FACTOR if self._is_cold else 1.0)
        # A lognormal distribution has the mean exp(mu + sigma^2 / 2), here 1.
        draw = self._random.lognormvariate(-self._sigma**2 / 2, self._sigma)
        return self._mean_seconds * draw * factor

    async def _call_nested(self, request, depth_left):
        path = _next_chain_path(request.path)
        headers = {n: request.headers[n] for n in _FORWARDED_HEADERS if n in request.headers}
        headers[LEDGER_ID] = f"{request.headers.get(LEDGER_ID, '')}/{depth_left}"
        left_ms = int(request.headers.get(TIME_LEFT, "5000"))
        headers[TIME_LEFT] = str(left_ms)
        url = f"http://{self._node}{path}?deep={depth_left - 1}"
        client = AsyncHTTPClient(max_clients=MAX_NESTED_CALLS)
        try:
            await client.fetch(url, headers=headers, request_timeout=max(0.001, left_ms / 1000))
        except (HTTPError, OSError):
            return False
        return True

    def _respond_to_call(self, request, body):
        if self.faults.die_after_run:
            request.connection.stream.close()
        elif self.faults.die_mid_answer:
            start = ResponseStartLine("", 200, "OK")
            headers = HTTPHeaders({"Content-Length": str(len(body))})
            request.connection.write_headers(start, headers, body[: len(body) // 2])
            asyncio.get_running_loop().call_later(0.01, request.connection.stream.close)
        else:
            self._respond(request, 200, body)

    def _respond(self, request, status, body):
        start = ResponseStartLine("", status, "OK" if status == 200 else "Trouble")
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        if request.method == "HEAD":
            body = b""
        request.connection.write_headers(start, headers, body)
        request.connection.finish()
