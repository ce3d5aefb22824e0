"""The leg to the backend server: warm curl handles on the event loop."""

import asyncio
from collections import deque
from http.client import responses

import pycurl

from caperstack.backend.sockets import ClientSockets
from caperstack.calls.headers import TIME_LEFT
from caperstack.calls.model import Answered
from caperstack.clock import time_left
from caperstack.exception import BackendError

__all__ = ["BackendClient"]

CONNECT_MILLISECONDS = 1000
BODILESS_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))

#: Headers that curl adds unless they are named with no value.
_SILENCED = ("Accept:", "Expect:", "User-Agent:", "Content-Type:", "Transfer-Encoding:")
_SILENCED_NAMES = tuple(line[:-1].lower() for line in _SILENCED)

_NOT_SENT = frozenset((pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST))


class _Request:
    """A warm easy handle and what its callbacks collect for one request."""

    def __init__(self, answer_bytes, tells_time, sockets):
        self._sockets = sockets
        self._answer_bytes = answer_bytes
        self._tells_time = tells_time
        self.easy = easy = pycurl.Curl()
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.FOLLOWLOCATION, 0)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_MILLISECONDS)
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
        easy.setopt(pycurl.PREREQFUNCTION, self._on_request)
        sockets.install(easy)
        self._begin(False)

    @property
    def sent(self):
        """Whether any byte of the request may have left."""
        return self._requests > 0

    def _begin(self, idempotent):
        self._idempotent = idempotent
        self._requests = 0
        self.stale = False
        self._framed = False
        self._size = 0
        self.reason = ""
        self.headers = []
        self.parts = []
        self.future = None

    def prepare(self, url, call, future, fresh):
        """Set what differs from request to request; with `fresh` on a new connection."""
        self._begin(call.idempotent)
        self.future = future
        easy = self.easy
        easy.setopt(pycurl.FRESH_CONNECT, fresh)
        easy.setopt(pycurl.URL, url)
        milliseconds = max(1, int(time_left(call.deadline) * 1000))
        easy.setopt(pycurl.TIMEOUT_MS, milliseconds)
        lines = _header_lines(call.headers)
        if self._tells_time:
            lines.append(f"{TIME_LEFT}: {milliseconds}")
        easy.setopt(pycurl.HTTPHEADER, lines)
        self._set_method(call)

    def _set_method(self, call):
        easy = self.easy
        if call.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
            easy.setopt(pycurl.CUSTOMREQUEST, "HEAD")
            return
        if call.body or call.method not in BODILESS_METHODS:
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDSIZE_LARGE, len(call.body))
            easy.setopt(pycurl.POSTFIELDS, call.body)
        else:
            easy.setopt(pycurl.HTTPGET, 1)
        easy.setopt(pycurl.CUSTOMREQUEST, call.method)

    def _on_request(self, _far_ip, _near_ip, _far_port, near_port):
        if self._sockets.closed_by_peer(near_port):
            self.stale = True
            return pycurl.PREREQFUNC_ABORT
        # libcurl sends a request again, of any method, when a kept-alive
        # connection closes before the first byte of the answer.  A backend
        # server that ran a sweep and died would then see it twice.  This hook
        # runs before each sending: the second of a non-idempotent one fails.
        self._requests += 1
        if self._requests > 1 and not self._idempotent:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line):
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.reason = text.split(" ", 2)[2] if text.count(" ") > 1 else ""
            self.headers = []
            self._framed = False
            return
        name, colon, value = text.partition(":")
        if colon:
            self.headers.append((name, value.strip()))
            self._framed |= name.lower() in ("content-length", "transfer-encoding")

    def _on_body(self, data):
        self._size += len(data)
        if self._size > self._answer_bytes:
            return 0
        self.parts.append(data)

    def answer(self):
        """Return the `Answered` that was collected.

        Raises
        ------
        BackendError
            If the end of the body was not marked: a server that dies in the
            middle would look the same as one that finished.
        """
        status = self.easy.getinfo(pycurl.RESPONSE_CODE)
        body = b"".join(self.parts)
        if body and not self._framed:
            raise BackendError("answer without a length", step="answer")
        return Answered(status, self.reason or responses.get(status, ""), self.headers, body)


def _header_lines(headers):
    lines = [f"{name}: {value}" if value else f"{name};" for name, value in headers]
    names = {name.lower() for name, _ in headers}
    return lines + [
        line for line, name in zip(_SILENCED, _SILENCED_NAMES, strict=True) if name not in names
    ]


class BackendClient:
    """Requests to one backend server over at most `connections` connections.

    Parameters
    ----------
    address : str
        Its ``ip:port``.
    connections : int
        The most connections that are open at once; further requests wait.
    answer_bytes : int
        The longest answer that is taken.
    tells_time : bool
        Whether each request says how much time is left.

    Notes
    -----
    Tornado's curl client spends most of its time setting some forty options
    anew per request and passing through two timers of the loop.  Here handles
    stay set up, curl acts at once when a request is added, and only what
    differs is set; see docs/design/backend-leg.md for the figures.
    """

    def __init__(self, address, connections, answer_bytes, tells_time=True):
        self._base = f"http://{address}"
        self._address = address
        self._answer_bytes = answer_bytes
        self._tells_time = tells_time
        self._sockets = ClientSockets()
        self._idle = deque()
        self._running = {}
        self._timer = None
        self._loop = None
        self._multi = multi = pycurl.CurlMulti()
        multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, connections)
        multi.setopt(pycurl.M_MAXCONNECTS, connections)
        self._watched = {}

    @property
    def in_flight(self):
        """How many requests are running."""
        return len(self._running)

    async def fetch(self, call):
        """Send `call` to the backend server and return its whole answer.

        Cancelling the task closes the connection, which is how a backend
        server learns that nobody waits any longer.

        Raises
        ------
        BackendError
            If there was no whole answer; ``sent`` tells whether the backend
            server may have got the request.
        """
        self._loop = asyncio.get_running_loop()
        request = self._idle.pop() if self._idle else self._new_request()
        try:
            code, text = await self._perform(request, call, False)
            if request.stale:
                code, text = await self._perform(request, call, True)
            return self._result(request, code, text)
        finally:
            self._idle.append(request)

    async def _perform(self, request, call, fresh):
        future = self._loop.create_future()
        request.prepare(self._base + call.target, call, future, fresh)
        self._running[request.easy] = request
        self._multi.add_handle(request.easy)
        self._act(pycurl.SOCKET_TIMEOUT, 0)
        try:
            return await future
        finally:
            self._remove(request)

    def _new_request(self):
        return _Request(self._answer_bytes, self._tells_time, self._sockets)

    def _result(self, request, code, text):
        if code == 0:
            return request.answer()
        sent = request.sent and code not in _NOT_SENT
        if code == pycurl.E_OPERATION_TIMEDOUT:
            text = "deadline passed"
        elif code == pycurl.E_WRITE_ERROR:
            text = "answer is too large"
        raise BackendError(text, step="backend", peer=self._address, sent=sent)

    def _remove(self, request):
        if self._running.pop(request.easy, None):
            self._multi.remove_handle(request.easy)

    def _on_socket(self, event, descriptor, _multi, _data):
        reads, writes = self._watched.pop(descriptor, (False, False))
        want_read = event in (pycurl.POLL_IN, pycurl.POLL_INOUT)
        want_write = event in (pycurl.POLL_OUT, pycurl.POLL_INOUT)
        if want_read != reads:
            if want_read:
                self._loop.add_reader(descriptor, self._act, descriptor, pycurl.CSELECT_IN)
            else:
                self._loop.remove_reader(descriptor)
        if want_write != writes:
            if want_write:
                self._loop.add_writer(descriptor, self._act, descriptor, pycurl.CSELECT_OUT)
            else:
                self._loop.remove_writer(descriptor)
        if want_read or want_write:
            self._watched[descriptor] = (want_read, want_write)

    def _on_timer(self, milliseconds):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        # A timer of zero is served by the call of _act that follows.
        if milliseconds >= 0 and self._loop is not None:
            self._timer = self._loop.call_later(
                milliseconds / 1000, self._act, pycurl.SOCKET_TIMEOUT, 0
            )

    def _act(self, descriptor, events):
        self._multi.socket_action(descriptor, events)
        more = True
        while more:
            more, done, failed = self._multi.info_read()
            for easy in done:
                self._finish(easy, 0, "")
            for easy, code, text in failed:
                self._finish(easy, code, text)

    def _finish(self, easy, code, text):
        request = self._running.get(easy)
        if request is not None and not request.future.done():
            request.future.set_result((code, text))

    async def start(self, kernel):
        """Nothing to start: connections open with the first requests."""

    async def stop(self):
        """Drop all requests and connections."""
        for request in list(self._running.values()):
            self._remove(request)
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()
