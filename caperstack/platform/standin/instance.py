"""A stand-in for a backend server of the platform, with faults that tests switch on and off."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.clock import now, time_left
from caperstack.platform.names import DIALECT, SERVER_SEAL_HEADER
from caperstack.platform.standin.arrival import ArrivalServer, max_in_window

__all__ = ["Behaviour", "Run", "StandinInstance"]

HEALTH_PATH = "/health"

#: What is sent again and again where a response has no end, and bytes of an answer that has none
#: either but stops.
ENDLESS_BLOCK = b"x" * 16 * 1024
FIRST_PART_BYTES = 5


@dataclass
class Behaviour:
    """How the server behaves; tests change the fields at any time.

    Attributes
    ----------
    seconds : float
        How long a request runs, before `pace` is applied.
    pace : float
        Slowdown: the factor by which requests that start now run longer. The load header
        reports it as a percentage.
    status : int
        Status code of the responses to requests that ran.
    refuse : bool
        Answer 503 with the header that says that the request was not executed.
    lose_answers : bool
        Run each request, then close the connection without a response.
    extra_answers : bool
        Send a second response after each response.
    unframed : str
        Send responses without a length. With ``"whole"`` the connection is closed after
        the body, with ``"reset"`` it is reset in the middle of the body, and with ``"silent"``
        nothing follows the first part of the body and the connection stays open.
    raw : bytes
        Sent in place of the responses to requests that ran, if not empty, before the
        connection is closed.
    endless : str
        Send responses without end, those of the health path too: ``"head"`` or ``"body"`` tells
        what does not end.
    healthy : bool
        Whether the health path answers 200 or 503.
    fatal : frozenset of str
        Request targets that crash the server once they have run for `fatal_seconds`.
    fatal_seconds : float
        How long a fatal request runs, before `pace` is applied.
    cold_since, cold_until : float
        The period in which the server is cold, in the time of `caperstack.clock.now`. The
        health path reports the milliseconds that are left of it.
    cold_text : str
        Reported in place of these milliseconds, if not empty.
    cold_bears : float
        Requests per second that the server tolerates while it is cold; more crash it.
        0 for no limit.
    rate_limit : str
        Stated in every response as the rate limit, if not empty.
    health_states_limit : bool
        Whether responses of the health path state the rate limit too.
    rejections_state_limit : bool
        Whether responses to requests that are rejected state it too.
    leaving : str
        Stated in every response as the leaving mark, if not empty.
    body : bytes
        Body of the responses to requests that ran.
    bodies : dict of str to bytes
        The same for particular request targets, in place of `body`.
    """

    seconds: float = 0.0
    pace: float = 1.0
    status: int = 200
    refuse: bool = False
    lose_answers: bool = False
    extra_answers: bool = False
    unframed: str = ""
    raw: bytes = b""
    endless: str = ""
    healthy: bool = True
    fatal: frozenset = frozenset()
    fatal_seconds: float = 0.05
    cold_since: float = 0.0
    cold_until: float = 0.0
    cold_text: str = ""
    cold_bears: float = 0.0
    rate_limit: str = ""
    health_states_limit: bool = True
    rejections_state_limit: bool = True
    leaving: str = ""
    body: bytes = b"whole answer"
    bodies: dict = field(default_factory=dict)

    def body_for(self, target):
        """Return the body of the response to a request for `target`."""
        return self.bodies.get(target, self.body)


@dataclass(frozen=True, slots=True)
class Run:
    """A request that ran: its id and target, when it arrived, and where."""

    name: str
    at: float
    instance: str
    service: str
    target: str


@dataclass
class StandinInstance:
    """One backend server, registered under the name of its current instance.

    Attributes
    ----------
    runs : Counter
        How often each request id ran.
    ledger : list of Run
        Every request that ran, in the order of their starts.
    arrivals : list of float
        When each request for this instance arrived, rejected ones included.
    seen : list of dict
        The headers of each request that ran, with its method, target and body, except
        requests that crashed the server by overload.
    born_ms : int
        Start time of this run of the server, in milliseconds since 1970.
    cancelled : int
        Requests whose connection closed while they ran.
    misdirected : int
        Requests that named another instance; they were answered 421.
    overloaded : int
        How often the server crashed because it was cold and got more requests than
        ``behaviour.cold_bears``.
    running : int
        Requests that run now.
    on_crash : callable
        Called with the instance and the target when a request crashes the server; the
        target is empty when the crash is due to overload.
    """

    address: str
    service: str
    name: str
    slots: int = 8
    born_ms: int = 1_790_000_000_000
    behaviour: Behaviour = field(default_factory=Behaviour)
    runs: Counter = field(default_factory=Counter)
    ledger: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    seen: list = field(default_factory=list)
    cancelled: int = 0
    misdirected: int = 0
    overloaded: int = 0
    running: int = 0
    on_crash: object = None

    async def start(self):
        """Listen at the address."""
        self._tasks = set()
        self._server = ArrivalServer(self._accept, idle_connection_timeout=3600)
        ip, port = self.address.rsplit(":", 1)
        self._server.listen(int(port), ip)

    async def stop(self):
        """Close the port and all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    async def crash(self):
        """Stop at once and cancel all running requests."""
        for task in list(self._tasks):
            task.cancel()
        await self.stop()

    async def restart(self):
        """Crash and start again under the same instance name, with a later start time."""
        await self.crash()
        self.born_ms += 1000
        await self.start()

    def entry(self, zone, state="ready"):
        """Return the document with which the server registers itself in the store."""
        return {
            "address": self.address,
            "info": {"service": self.service, "version": "v1", "zone": zone, "slots": self.slots},
            "status": {"state": state, "sequence": 1, "coldLeft": "0ms"},
            "born": self.born_ms,
        }

    def _accept(self, request):
        task = asyncio.create_task(self._handle(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    async def _handle(self, request):
        if self.behaviour.endless:
            await self._write_endless(request)
        elif request.path == HEALTH_PATH:
            milliseconds = max(0, round(time_left(self.behaviour.cold_until) * 1000))
            text = self.behaviour.cold_text or (str(milliseconds) if milliseconds else "")
            headers = {DIALECT.cold: text} if text else {}
            self._write(request, 200 if self.behaviour.healthy else 503, b"", headers)
        elif request.headers.get(DIALECT.target_instance, self.name) != self.name:
            self.misdirected += 1
            self._write(request, 421, b"", {})
        else:
            self.arrivals.append(request.connection.stream.arrived_at)
            if self.behaviour.refuse:
                self._write(request, 503, b"", {DIALECT.not_executed: "1"})
            else:
                await self._run(request)

    async def _run(self, request):
        request_id = request.headers.get(DIALECT.request_id, "")
        self.runs[request_id] += 1
        at = request.connection.stream.arrived_at
        self.ledger.append(Run(request_id, at, self.name, self.service, request.uri))
        headers = dict(request.headers.get_all())
        if self._is_overloaded(at):
            self.overloaded += 1
            self.on_crash(self, "")
            return
        self.seen.append(
            headers | {"method": request.method, "target": request.uri, "body": request.body}
        )
        self.running += 1
        fatal = request.uri in self.behaviour.fatal
        seconds = self.behaviour.fatal_seconds if fatal else self.behaviour.seconds
        try:
            await asyncio.sleep(seconds * self.behaviour.pace)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        if fatal:
            self.on_crash(self, request.uri)
        else:
            self._answer(request)

    def _is_overloaded(self, at):
        """Return whether the cold server got more requests in a second around `at` than it bears.

        Requests are not always read in the order in which they arrived.
        """
        if now() >= self.behaviour.cold_until or not self.behaviour.cold_bears:
            return False
        recent = itertools.takewhile(lambda run: run.at > at - 2.0, reversed(self.ledger))
        times = [
            run.at
            for run in recent
            if run.instance == self.name and run.at > self.behaviour.cold_since
        ]
        return max_in_window(times, 1.0) > self.behaviour.cold_bears

    def _answer(self, request):
        behaviour = self.behaviour
        if behaviour.lose_answers:
            request.connection.stream.close()
        elif behaviour.raw:
            request.connection.stream.write(behaviour.raw)
            request.connection.stream.close()
        elif behaviour.unframed:
            self._write_unframed(request)
        else:
            body = behaviour.body_for(request.uri)
            self._write(request, behaviour.status, body, {SERVER_SEAL_HEADER: str(len(body))})

    def _headers(self, request, more):
        headers = HTTPHeaders(more)
        headers[DIALECT.instance] = self.name
        percent = round(self.behaviour.pace * 100)
        headers[DIALECT.load] = f"{self.running},0,{self.slots},{percent}"
        if self.behaviour.rate_limit and self._states_limit(request, more):
            headers[DIALECT.rate_limit] = self.behaviour.rate_limit
        if self.behaviour.leaving:
            headers[DIALECT.leaving] = self.behaviour.leaving
        request_id = request.headers.get(DIALECT.request_id)
        if request_id:
            headers[DIALECT.request_id] = request_id
        return headers

    def _states_limit(self, request, headers):
        """Return whether the response with `headers` to a request states the rate limit."""
        if request.path == HEALTH_PATH:
            return self.behaviour.health_states_limit
        return self.behaviour.rejections_state_limit or DIALECT.not_executed not in headers

    def _write(self, request, status, body, more):
        headers = self._headers(request, more)
        headers["Content-Length"] = str(len(body))
        stream = request.connection.stream
        request.connection.write_headers(ResponseStartLine("", status, "Said"), headers, body)
        request.connection.finish()
        if self.behaviour.extra_answers and SERVER_SEAL_HEADER in headers:
            head = f"HTTP/1.1 200 OK\r\n{DIALECT.request_id}: {headers[DIALECT.request_id]}\r\n"
            stream.write(
                f"{head}{SERVER_SEAL_HEADER}: 5\r\nContent-Length: 5\r\n\r\nextra".encode()
            )

    def _write_unframed(self, request):
        body = self.behaviour.body_for(request.uri)
        complete = self.behaviour.unframed == "whole"
        stream = request.connection.stream
        sent = body if complete else body[:FIRST_PART_BYTES]
        stream.write(self._unframed_head(request, body) + b"\r\n" + sent)
        if self.behaviour.unframed == "silent":
            return
        if not complete:
            _reset_on_close(stream.socket)
        asyncio.get_running_loop().call_later(0.02, stream.close)

    def _unframed_head(self, request, body):
        """Return the head of a response without a length, but for the empty line after it."""
        headers = self._headers(request, {SERVER_SEAL_HEADER: str(len(body))})
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.get_all())
        return f"HTTP/1.1 200 OK\r\n{lines}".encode()

    async def _write_endless(self, request):
        """Send until the connection is closed, which cancels the task."""
        stream = request.connection.stream
        begin = b"\r\n" if self.behaviour.endless == "body" else b"X-Filler: "
        await stream.write(self._unframed_head(request, b"") + begin)
        while True:
            await stream.write(ENDLESS_BLOCK)
            # A write that the kernel takes at once does not let other tasks run.
            await asyncio.sleep(0)


def _reset_on_close(sock):
    # Closing a socket with a linger time of zero sends a reset. 1 and 13 are SOL_SOCKET and
    # SO_LINGER on Linux.
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
