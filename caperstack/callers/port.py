"""The HTTP port for callers, based on tornado's HTTP server."""

import asyncio
import itertools
import socket
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from caperstack.addresses import split_address
from caperstack.callers.exchange import DISCARD_BYTES, Exchange
from caperstack.callers.unread import UnreadAnswers
from caperstack.callers.waiting import WaitEstimator
from caperstack.calls.dialect import Dialect, is_whole_number
from caperstack.calls.fingerprint import fingerprint_of
from caperstack.calls.headers import (
    DEPTH,
    IDEMPOTENCY_KEY,
    TRACEPARENT,
    end_to_end,
    forwarded,
    request_id,
    traceparent,
)
from caperstack.calls.model import Call, NotRun, Unknown
from caperstack.calls.responses import outcome_name
from caperstack.clock import now
from caperstack.routing.split import Splitter

__all__ = ["CallerPort"]

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))

MAX_HEADER_BYTES = 64 * 1024
MAX_DEADLINE_SECONDS = 300.0
MAX_KEY_CHARACTERS = 255
MAX_DEPTH = 64

#: Connections that the kernel holds until they are accepted.
BACKLOG = 1024

#: Interval between checks for idle connections and incomplete requests, in seconds.
SWEEP_SECONDS = 1.0

#: Bytes that the kernel accepts for a connection beyond those it can send.  Without this
#: limit it holds some MB for each caller that does not read, which no count here includes.
UNSENT_BYTES = 64 * 1024

#: ``Retry-After`` of requests that arrive before the first settings, in seconds.
NO_SETTINGS_SECONDS = 0.3


@dataclass(slots=True)
class _BadRequestError(Exception):
    field: str
    reason: str


class CallerPort:
    """Accept callers' requests, pass them to the dispatcher and return the outcomes.

    Parameters
    ----------
    here : caperstack.config.start.StartSettings or caperstack.config.node.NodeSettings
        Addresses, limits and backend server of the node.
    dialect : caperstack.calls.dialect.Dialect, optional
        Header names and conventions of the callers.

    Attributes
    ----------
    limits : caperstack.config.start.LimitSettings or caperstack.config.node.Limits
        Limits on bodies and times.
    exchanges : set of Exchange
        Requests whose head has arrived and that have no response yet.
    incomplete : set of Exchange
        Idle connections, and requests whose body has not arrived completely.
    unread : caperstack.callers.unread.UnreadAnswers
        Responses that their callers have not read completely, by `Exchange`.
    draining : bool
        Whether callers are asked to close their connections.
    """

    def __init__(self, here, dialect=None):
        self._here = here
        self._dialect = dialect or Dialect()
        self._own_headers = _own_headers(self._dialect)
        self._splitter = Splitter()
        self._wait_estimator = WaitEstimator()
        self._server = None
        self._sockets = []
        self._body_bytes = 0
        self.limits = here.limits
        self.exchanges = set()
        self.incomplete = set()
        self.unread = UnreadAnswers(here.limits)
        self.draining = False
        self._sweeper = None

    @property
    def fractional_seconds(self):
        """Whether callers read fractions of a second in ``Retry-After``."""
        return self._dialect.fractional_seconds

    @property
    def request_id_header(self):
        """Name of the header that contains the request id."""
        return self._dialect.request_id

    @property
    def open_exchanges(self):
        """Number of requests without a response, or with one that is not read completely."""
        return len(self.exchanges) + len(self.unread)

    async def start(self, kernel):
        """Start listening."""
        self.metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._settings = kernel.find("settings")
        self._dispatcher = kernel.find("dispatcher")
        self._pauses = kernel.find("pauses")
        self._sync = kernel.find("settings sync")
        self._trees = kernel.find("call trees")
        self._claims = kernel.find("claims") if "claims" in kernel.names else None
        self._server = _Server(
            _ConnectionDelegate(self),
            idle_connection_timeout=0,
            max_header_size=MAX_HEADER_BYTES,
            max_buffer_size=DISCARD_BYTES,
            max_body_size=DISCARD_BYTES,
        )
        ip, port = split_address(self._here.caller_address)
        self._sockets = bind_sockets(port, ip, backlog=BACKLOG)
        for listening in self._sockets:
            # Accepted connections inherit the option.
            listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
        self._server.add_sockets(self._sockets)
        self.metrics.gauge(
            "unread_answers", "answers that callers have not read", lambda: len(self.unread)
        )
        self.metrics.gauge(
            "unread_answer_bytes",
            "bytes held for callers that have not read their answers",
            lambda: self.unread.held_bytes,
        )
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self):
        """Close the port and all connections."""
        self._sweeper.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    def begin_drain(self):
        """Ask callers to close their connections, in the next response on each."""
        self.draining = True

    def stop_listening(self):
        """Accept no new connections; open ones still get responses and are asked to close.

        Notes
        -----
        Closing a listening socket resets the connections that wait to be accepted, on which
        callers may have sent requests.  They are therefore accepted first.
        """
        self.draining = True
        sockets, self._sockets = self._sockets, []
        for connection, address in itertools.chain.from_iterable(map(_accept_waiting, sockets)):
            stream = IOStream(connection, max_buffer_size=DISCARD_BYTES)
            self._server.handle_stream(stream, address)
        self._server.stop()

    def give_up(self):
        """Respond to all open requests now, because the process is about to end."""
        for exchange in list(self.exchanges):
            exchange.give_up()

    async def _sweep(self):
        # Tornado's own timeouts would cost two timers and two futures per request, a tenth
        # of the request's processor time.  A periodic check has the same effect.
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            moment = now()
            for exchange in [e for e in self.incomplete if e.due <= moment]:
                self.metrics.count("callers_timed_out")
                exchange.expire()
            for exchange in self.unread:
                self.unread.observe(exchange, exchange.held_bytes, exchange.unread_bytes)
            for exchange in self.unread.overdue():
                self._break_off(exchange, "no progress")
            for exchange in self.unread.stalled_excess():
                self._break_off(exchange, "memory")

    def observe_unread(self, exchange):
        """Record how much of a response is unread; disconnect others if that is too much."""
        self.unread.observe(exchange, exchange.held_bytes, exchange.unread_bytes)
        for other in self.unread.excess():
            self._break_off(other, "memory")

    def _break_off(self, exchange, reason):
        held_bytes = self.unread.held_bytes
        answer = self.unread.remove(exchange)
        self.metrics.count("answers_broken_off", reason=reason)
        self._events.failure(
            "answer broken off",
            id=exchange.request_id,
            reason=reason,
            unread_bytes=answer.unread_bytes,
            stalled_s=round(now() - answer.progress_at, 3),
            held_bytes=held_bytes,
        )
        exchange.reset()

    def close_idle(self, seconds):
        """Close connections that have been idle for at least `seconds`.

        Returns
        -------
        int
            Number of open connections; each open request and unread response has one.

        Notes
        -----
        If a draining node closed a keep-alive connection just when the caller sends a
        request on it, the caller could not know whether the request ran.  Therefore the
        next response on a connection in use contains ``Connection: close``, and the
        caller closes it.  The node itself closes only connections that have been idle
        for a while.
        """
        moment = now()
        for exchange in [e for e in self.incomplete if moment - e.idle_since >= seconds]:
            if exchange not in self.exchanges:
                exchange.expire()
        return self._server.open_connections

    def reserve(self, size):
        """Reserve `size` bytes for a part of a body; return whether they are available."""
        if self._body_bytes + size > self.limits.bodies_bytes:
            return False
        self._body_bytes += size
        return True

    def release(self, size):
        """Release `size` reserved bytes."""
        self._body_bytes -= size

    def record_error(self, error):
        """Report an unexpected exception; the caller still gets a response."""
        self.metrics.count("faults", kind=type(error).__name__)
        self._events.state("fault", "none", f"{type(error).__name__}: {error}")

    async def handle(self, start, headers, body, context):
        """Handle a complete request.

        Parameters
        ----------
        start : tornado.httputil.RequestStartLine
            Request line.
        headers : tornado.httputil.HTTPHeaders
            Headers as the caller sent them.
        body : bytes
            Complete body.
        context
            Tornado's context of the connection, with the caller's ``remote_ip``.

        Returns
        -------
        outcome : caperstack.calls.model.Outcome
            Outcome of the call.
        headers : list of (str, str)
            Headers to add to the response.
        """
        begun = now()
        identifier = request_id(headers.get(self._dialect.request_id))
        extra = [(self._dialect.request_id, identifier)]
        # This precedes the route lookup, because a node that has just started may hold
        # older settings than its peers.
        await self._sync.wait_for_agreement()
        try:
            call = self._call(start, headers, body, context, identifier, begun)
        except _BadRequestError as error:
            text = f"{error.field}: {error.reason}"
            return self._count_outcome(NotRun(text, status=400), "none"), extra
        if call is None:
            return self._count_outcome(self._no_route(start, headers, identifier), "none"), extra
        if self._pauses.recently_paused():
            # The time left in the headers counts from the moment when the request was
            # sent.  After a pause of the node it is unknown how long ago that was.
            return self._count_outcome(NotRun("node was paused", 0.1), call.service), extra
        self._trees.adopt(call)
        outcome = await self._outcome(call)
        self._events.call("entry", call, outcome, begun)
        self.metrics.time("caller_seconds", now() - begun, call.service)
        return self._count_outcome(outcome, call.service), extra

    def _count_outcome(self, outcome, service):
        self.metrics.count("outcomes", outcome=outcome_name(outcome), service=service)
        return outcome

    async def _outcome(self, call):
        if call.idempotent or not call.key or self._claims is None:
            return await self._dispatcher.dispatch(call)
        held, refusal = await self._claims.claim(call)
        if refusal is not None:
            return refusal
        outcome = Unknown("cancelled")
        try:
            outcome = await self._dispatcher.dispatch(call)
        finally:
            self._claims.settle(held, outcome)
        return outcome

    def _no_route(self, start, headers, identifier):
        if not self._settings.known:
            # A node that has just started knows no routes yet.  Callers would not retry
            # after a 404.
            outcome = NotRun("no settings yet", NO_SETTINGS_SECONDS)
        else:
            outcome = NotRun("no route for this host, method and path", status=404)
        self._events.failure(
            "entry refuses",
            id=identifier,
            reason=outcome.reason,
            asked_host=headers.get("Host", ""),
            path=start.path,
            settings=self._settings.routes_revision,
        )
        return outcome

    def _call(self, start, headers, body, context, identifier, begun):
        if start.version == "HTTP/1.1" and "Host" not in headers:
            raise _BadRequestError("Host", "missing")
        path = start.path.partition("?")[0]
        route = self._settings.route(start.method, path, headers.get("Host", ""))
        if route is None:
            return None
        given = self._time_left_seconds(headers)
        seconds = min(given, route.deadline_seconds) if given else route.deadline_seconds
        elapsed_wait = (
            self._wait_estimator.elapsed_wait(route.name or route.path, given) if given else 0.0
        )
        depth = _depth(headers)
        key = headers.get(IDEMPOTENCY_KEY, "")
        if len(key) > MAX_KEY_CHARACTERS:
            raise _BadRequestError(IDEMPOTENCY_KEY, f"longer than {MAX_KEY_CHARACTERS} characters")
        idempotent = route.idempotent
        if idempotent is None:
            idempotent = start.method in SAFE_METHODS
        deadline = begun + seconds
        objective_at = begun + route.objective_seconds - elapsed_wait
        return Call(
            id=0,
            origin=self._here.host,
            request_id=identifier,
            service=self._splitter.choose(route),
            method=start.method,
            target=start.path,
            headers=self._backend_headers(headers, context.remote_ip, depth),
            body=body,
            deadline=deadline,
            idempotent=idempotent,
            criticality=route.criticality,
            key=key,
            depth=depth,
            route=route.name or route.path,
            objective_at=min(deadline, objective_at),
            attempts=route.attempts,
            fingerprint=fingerprint_of(
                start.method, start.path, headers, body, self._here.backend.service
            ),
        )

    def _time_left_seconds(self, headers):
        """Return for how many seconds the caller still waits; ``None`` if not given."""
        name = self._dialect.time_left
        given = headers.get(name)
        if given is None:
            return None
        if not is_whole_number(given):
            raise _BadRequestError(name, "not a whole number of milliseconds")
        return min(int(given) / 1000, MAX_DEADLINE_SECONDS)

    def _backend_headers(self, headers, remote_ip, depth):
        kept = [pair for pair in headers.get_all() if pair[0].lower() not in self._own_headers]
        kept = end_to_end(kept)
        if self._dialect.traces:
            kept = forwarded(kept, remote_ip, headers.get("Host", ""))
            kept.append((TRACEPARENT, traceparent(headers.get(TRACEPARENT))))
            kept.append((DEPTH, str(depth + 1)))
        if self._dialect.caller_service:
            kept.append((self._dialect.caller_service, self._here.backend.service))
        return kept


class _Server(HTTPServer):
    """An HTTP server that counts its open connections.

    Attributes
    ----------
    open_connections : int
        Number of connections that neither side has closed.
    """

    def initialize(self, *arguments, **options):
        """Initialize the server, as tornado does in place of a constructor."""
        super().initialize(*arguments, **options)
        self.open_connections = 0

    def handle_stream(self, stream, address):
        """Serve a connection that was accepted."""
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_connection):
        """Forget a connection that has been closed."""
        self.open_connections -= 1
        super().on_close(server_connection)


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    """Create an `Exchange` for each request that tornado's server receives."""

    def __init__(self, port):
        self._port = port

    def start_request(self, _server_connection, request_connection):
        """Return the delegate for a new request."""
        return Exchange(self._port, request_connection)

    def on_close(self, _server_connection):
        """Do nothing; tornado notifies each `Exchange` of the close."""


def _accept_waiting(listening):
    """Yield each connection that waits at a non-blocking socket, and its address."""
    for _ in range(BACKLOG):
        try:
            yield listening.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            continue


def _depth(headers):
    given = headers.get(DEPTH, "0")
    if not is_whole_number(given) or int(given) > MAX_DEPTH:
        raise _BadRequestError(DEPTH, f"not a whole number up to {MAX_DEPTH}")
    return int(given)


def _own_headers(dialect):
    """Return the lower-case names of headers that nodes set in requests to backend servers."""
    names = [dialect.request_id, dialect.time_left, dialect.caller_service]
    names += [dialect.target_instance]
    if dialect.traces:
        names += [TRACEPARENT, DEPTH]
    return frozenset(name.lower() for name in names if name)
