"""A stand-in for a backend server of the platform: slots, load header, refusals, a ledger."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from caperstack.clock import now, time_left
from caperstack.platform.names import DIALECT, SEAL

__all__ = ["Behaviour", "Run", "StandinInstance"]


@dataclass
class Behaviour:
    """How the server behaves; a test changes it at any time.

    Attributes
    ----------
    seconds : float
        How long work takes, before the pace.
    pace : float
        How many times longer work takes that starts now; told in the load header.
    status : int
        Of answers to requests that ran.
    refuse : bool
        Answer 503 with the mark that the request was not run.
    lose_answers : bool
        Run each request, then reset the connection.
    extra_answers : bool
        Send each answer twice.
    unframed : str
        Answers without a length: ``"whole"`` end with a close, ``"reset"`` in
        the middle with a reset.
    healthy : bool
        What the health path says.
    fatal : frozenset of str
        Targets that end the server, when their work has lasted ``fatal_seconds``.
    fatal_seconds : float
        Work until then, before the pace.
    cold_since, cold_until : float
        Between these points the server is cold; its health path tells for how long.
    cold_text : str
        Told in place of that, if not empty.
    cold_bears : float
        Requests in a second that end the server while it is cold, if there are more.
    """

    seconds: float = 0.0
    pace: float = 1.0
    status: int = 200
    refuse: bool = False
    lose_answers: bool = False
    extra_answers: bool = False
    unframed: str = ""
    healthy: bool = True
    fatal: frozenset = frozenset()
    fatal_seconds: float = 0.05
    cold_since: float = 0.0
    cold_until: float = 0.0
    cold_text: str = ""
    cold_bears: float = 0.0
    body: bytes = b"whole answer"


@dataclass(frozen=True, slots=True)
class Run:
    """A request that ran: when it began, at which instance of which service."""

    name: str
    at: float
    instance: str
    service: str
    target: str


@dataclass
class StandinInstance:
    """One backend server, known by the name of its present instance.

    Attributes
    ----------
    runs : Counter
        How often each request id ran.
    ledger : list of Run
        Every run, in order.
    seen : list of dict
        The headers of each request that ran, with its method, target and body.
    born_ms : int
        When it started, in milliseconds since 1970.
    cancelled : int
        Requests whose connection closed while they ran.
    misdirected : int
        Requests that were meant for another instance.
    overloaded : int
        How often it ended since it was cold and got more than it bears.
    on_crash : callable
        Called with the instance and the target when a request has ended it.
    """

    address: str
    service: str
    name: str
    slots: int = 8
    born_ms: int = 1_790_000_000_000
    behaviour: Behaviour = field(default_factory=Behaviour)
    runs: Counter = field(default_factory=Counter)
    ledger: list = field(default_factory=list)
    seen: list = field(default_factory=list)
    cancelled: int = 0
    misdirected: int = 0
    overloaded: int = 0
    running: int = 0
    on_crash: object = None

    async def start(self):
        """Listen."""
        self._tasks = set()
        self._server = HTTPServer(self._accept, idle_connection_timeout=3600)
        ip, port = self.address.rsplit(":", 1)
        self._server.listen(int(port), ip)

    async def stop(self):
        """Close the port and all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    async def crash(self):
        """End at once, with all that it runs."""
        for task in list(self._tasks):
            task.cancel()
        await self.stop()

    async def restart(self):
        """End with all that it runs, and start again under the same name."""
        await self.crash()
        self.born_ms += 1000
        await self.start()

    def entry(self, zone, state="ready"):
        """Return the document under which the server registers itself."""
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
        if request.path == "/health":
            left = max(0, round(time_left(self.behaviour.cold_until) * 1000))
            text = self.behaviour.cold_text or (str(left) if left else "")
            told = {DIALECT.cold: text} if text else {}
            self._write(request, 200 if self.behaviour.healthy else 503, b"", told)
        elif request.headers.get(DIALECT.target_instance, self.name) != self.name:
            self.misdirected += 1
            self._write(request, 421, b"", {})
        elif self.behaviour.refuse:
            self._write(request, 503, b"", {DIALECT.not_executed: "1"})
        else:
            await self._run(request)

    async def _run(self, request):
        name = request.headers.get(DIALECT.request_id, "")
        self.runs[name] += 1
        self.ledger.append(Run(name, now(), self.name, self.service, request.uri))
        seen = dict(request.headers.get_all())
        if self._is_overloaded():
            self.overloaded += 1
            self.on_crash(self, "")
            return
        self.seen.append(
            seen | {"method": request.method, "target": request.uri, "body": request.body}
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

    def _is_overloaded(self):
        """Return whether the server got more in a second than it bears, cold all the while."""
        if now() >= self.behaviour.cold_until or not self.behaviour.cold_bears:
            return False
        return (
            self.runs_since(max(self.behaviour.cold_since, now() - 1.0)) > self.behaviour.cold_bears
        )

    def runs_since(self, since):
        """Return how many requests this instance ran since that point."""
        recent = itertools.takewhile(lambda run: run.at > since, reversed(self.ledger))
        return sum(1 for run in recent if run.instance == self.name)

    def _answer(self, request):
        behaviour = self.behaviour
        if behaviour.lose_answers:
            request.connection.stream.close()
        elif behaviour.unframed:
            self._write_unframed(request)
        else:
            self._write(request, behaviour.status, behaviour.body, {SEAL: str(len(behaviour.body))})

    def _headers(self, request, more):
        headers = HTTPHeaders(more)
        headers[DIALECT.instance] = self.name
        percent = round(self.behaviour.pace * 100)
        headers[DIALECT.load] = f"{self.running},0,{self.slots},{percent}"
        name = request.headers.get(DIALECT.request_id)
        if name:
            headers[DIALECT.request_id] = name
        return headers

    def _write(self, request, status, body, more):
        headers = self._headers(request, more)
        headers["Content-Length"] = str(len(body))
        stream = request.connection.stream
        request.connection.write_headers(ResponseStartLine("", status, "Said"), headers, body)
        request.connection.finish()
        if self.behaviour.extra_answers and SEAL in headers:
            head = f"HTTP/1.1 200 OK\r\n{DIALECT.request_id}: {headers[DIALECT.request_id]}\r\n"
            stream.write(f"{head}{SEAL}: 5\r\nContent-Length: 5\r\n\r\nextra".encode())

    def _write_unframed(self, request):
        headers = self._headers(request, {SEAL: str(len(self.behaviour.body))})
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.get_all())
        body = self.behaviour.body
        whole = self.behaviour.unframed == "whole"
        stream = request.connection.stream
        stream.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body[: None if whole else 5])
        if not whole:
            _reset_on_close(stream.socket)
        asyncio.get_running_loop().call_later(0.02, stream.close)


def _reset_on_close(sock):
    # A linger time of zero makes the close a reset.
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
