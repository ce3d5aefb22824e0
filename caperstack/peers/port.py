"""The server side of the peer protocol: connections dialled by other nodes."""

import asyncio
from functools import singledispatchmethod

from caperstack.addresses import split_address
from caperstack.admission.rate import KnownRate
from caperstack.calls.model import NotRun
from caperstack.clock import deadline_after, now
from caperstack.exception import PeerError
from caperstack.peers.connection import (
    BUFFER_BYTES,
    HANDSHAKE_TIMEOUT_SECONDS,
    PeerConnection,
)
from caperstack.peers.messages import (
    CallBody,
    CallMessage,
    Claim,
    Claimed,
    Ping,
    Pong,
    Revoke,
    Settle,
    State,
)
from caperstack.peers.security import RELOAD_SECONDS
from caperstack.peers.translate import (
    call_from_message,
    hello_message,
    load_report,
    reply_for_outcome,
)
from caperstack.peers.withheld import WithheldBodies, WithheldBody

__all__ = ["PeerPort"]

#: Limit on connections whose handshake is not complete.
MAX_PENDING_HANDSHAKES = 64

#: How often the load is compared with the load that was pushed last.
PUSH_SECONDS = 0.1

#: Change of the service time, as a factor up or down, that triggers a push.
MIN_SERVICE_TIME_FACTOR = 2.0

#: Change of a stated rate limit, as a factor up or down, of which all entries are told.
MIN_RATE_LIMIT_FACTOR = 2.0

#: Change of the occupancy that triggers a push, in calls per slot.
MIN_OCCUPANCY_CHANGE = 0.25

#: Minimum interval between pushes that only a changed occupancy triggers.
OCCUPANCY_PUSH_SECONDS = 0.3

#: How long `PeerPort.stop` waits for the tasks of closed connections.  They normally
#: end within a few iterations of the event loop.
STOP_SECONDS = 0.2

#: Silence after which the connection of an entry is dropped.
ENTRY_SILENT_SECONDS = 30.0


class PeerPort:
    """Accept connections of peers and serve their calls, heartbeats and claims.

    Other messages, such as settings, go to the registered hooks.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node's identity and addresses.
    security : PeerSecurity or PlaintextSecurity
        Supplies the TLS context for accepting.

    Notes
    -----
    A peer that sends invalid data is disconnected and counted; the error ends the task
    of that connection and affects no other.
    """

    def __init__(self, here, security):
        self._here = here
        self._security = security
        self._server = None
        self._connections = {}
        self._withheld = WithheldBodies()
        self._tasks = set()
        self._connection_tasks = set()
        self._calls = 0
        self._pending_handshakes = 0
        self._last_pushed = None
        self._occupancy_push_at = 0.0
        self._push_task = None
        self._key_watch_task = None
        self._context = None
        self._hooks = []

    @property
    def peers(self):
        """The hosts that have an open connection to this port, sorted."""
        return sorted({connection.hello.host for connection in self._connections})

    @property
    def calls(self):
        """The number of peers' calls and revocations in progress."""
        return self._calls

    async def start(self, kernel):
        """Listen on the peer address and start the background tasks."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._owner = kernel.find("owner")
        self._keeper = kernel.find("keeper") if "keeper" in kernel.names else None
        self._links = kernel.find("links")
        await self._listen(self._security.server_context())
        self._owner.listen(self.push_state)
        self._push_task = asyncio.create_task(self._push_loop())
        self._key_watch_task = asyncio.create_task(self._watch_keys())

    async def stop(self):
        """Close the listening socket and all connections."""
        self._push_task.cancel()
        self._key_watch_task.cancel()
        self._server.close()
        for connection in list(self._connections):
            connection.close()
        # The tasks end once their connections are closed.  A task that is cancelled
        # with the event loop instead prints a traceback to standard error.
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks, timeout=STOP_SECONDS)

    async def _listen(self, context):
        self._context = context
        ip, port = split_address(self._here.peer_address)
        # Without a limit, a client that never starts the TLS handshake would hold its
        # connection for a minute, the asyncio default.
        limit = HANDSHAKE_TIMEOUT_SECONDS if context is not None else None
        self._server = await asyncio.start_server(
            self._accept,
            ip,
            port,
            limit=BUFFER_BYTES,
            ssl=context,
            ssl_handshake_timeout=limit,
        )

    async def _watch_keys(self):
        # Open connections keep the keys they started with; new connections are
        # verified against the new authorities.
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            context = self._security.server_context()
            if context is not self._context:
                self._server.close()
                await self._listen(context)
                self._events.state("peer keys", "older", "new ones in force")

    def hook(self, hook):
        """Register an observer with the methods ``opened``, ``closed`` and ``take``."""
        self._hooks.append(hook)

    def push_state(self):
        """Push the current load now, to all entries if the state has changed."""
        self._push(self._owner.load)

    async def _accept(self, reader, writer):
        address = ":".join(str(part) for part in writer.get_extra_info("peername")[:2])
        connection = PeerConnection(reader, writer, address, self._metrics)
        task = asyncio.current_task()
        self._connection_tasks.add(task)
        task.add_done_callback(self._connection_tasks.discard)
        try:
            await self._perform_handshake(connection)
            await self._serve(connection)
        except Exception as error:
            # Invalid data from a peer, or a programming error that it triggers, closes
            # this connection only.
            self._metrics.count("peer_errors", kind=type(error).__name__)
            self._events.add("peer", f"cut off {address}: {error}")
        finally:
            connection.abort()
            self._withheld.fail_all(connection)
            if self._connections.pop(connection, None):
                for hook in self._hooks:
                    hook.closed(connection.hello.host)

    async def _perform_handshake(self, connection):
        if self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
            raise PeerError("too many strangers", step="accept", peer=connection.address)
        self._pending_handshakes += 1
        try:
            await connection.handshake(
                hello_message(
                    self._here,
                    self._links.incarnation,
                    self._owner.load,
                    body_bytes_per_second=self._links.budget.bytes_per_second,
                )
            )
        finally:
            self._pending_handshakes -= 1

    async def _serve(self, connection):
        self._connections[connection] = True
        known = KnownRate(connection.hello.known_run, connection.hello.known_rate)
        if known.stated:
            self._owner.recall_rate(known)
        self._links.on_peer_dialled(connection.hello.host)
        # The state may have changed since the hello was sent, while the connection was
        # not yet among those that get pushes.  Without this update the entry would
        # avoid a server that has just become ready until its next heartbeat, 2 s later.
        self._send_load(connection)
        for hook in self._hooks:
            hook.opened(connection.hello.host, connection)
        async for message, body in connection.messages():
            self._handle_message(message, body, connection)

    # -- messages ---------------------------------------------------------

    @singledispatchmethod
    def _handle_message(self, message, body, connection):
        for hook in self._hooks:
            hook.take(connection.hello.host, connection, message, body)

    @_handle_message.register
    def _(self, message: CallMessage, body, connection):
        self._events.clock.merge(message.clock)
        lateness = connection.transit.lateness(message.sent_us / 1e6, connection.arrival)
        call = call_from_message(message, body, connection.hello.host, connection.arrival, lateness)
        if message.withheld:
            call.withheld = WithheldBody(
                self._withheld,
                connection,
                message.id,
                message.body_bytes,
                message.body_bytes_per_second,
            )
        connection.interest.record_call()
        self._spawn(self._run(call, connection))

    @_handle_message.register
    def _(self, message: CallBody, body, connection):
        self._withheld.deliver(connection, message.id, body)

    @_handle_message.register
    def _(self, message: Revoke, body, connection):
        origin = connection.hello.host
        if message.waiting_only:
            self._spawn(self._withdraw(origin, message.id, connection))
        elif message.reply:
            lateness = connection.transit.lateness(message.sent_us / 1e6, connection.arrival)
            sent_at = connection.arrival - lateness - message.age_us / 1e6
            self._spawn(self._resolve(origin, message.id, sent_at, connection))
        else:
            self._owner.abandon(origin, message.id)

    @_handle_message.register
    def _(self, message: Ping, body, connection):
        self._events.clock.merge(message.clock)
        pong = Pong(message.id, self._record_and_report_load(connection), self._events.clock.tick())
        self._send(connection, pong)

    @_handle_message.register
    def _(self, message: Claim, body, connection):
        if self._keeper is None:
            return
        verdict, vouches = self._keeper.claim(message)
        self._send(connection, Claimed(message.id, verdict, vouches, self._events.clock.tick()))

    @_handle_message.register
    def _(self, message: Settle, body, connection):
        if self._keeper is not None:
            self._keeper.settle(message)

    # -- calls ------------------------------------------------------------

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, call, connection):
        begun = now()
        self._calls += 1
        try:
            outcome = await self._owner.run(call, lambda: self._send_load(connection))
            self._events.call("owner", call, outcome, begun)
            await self._reply(call.id, outcome, connection)
        finally:
            self._calls -= 1

    async def _resolve(self, origin, number, sent_at, connection):
        self._calls += 1
        try:
            outcome = await self._owner.revoke(origin, number, sent_at)
            self._metrics.count("resolved", proof=str(isinstance(outcome, NotRun)))
            await self._reply(number, outcome, connection)
        finally:
            self._calls -= 1

    async def _withdraw(self, origin, number, connection):
        outcome = await self._owner.withdraw(origin, number)
        if outcome is not None:
            await self._reply(number, outcome, connection)

    async def _reply(self, number, outcome, connection):
        report = self._record_and_report_load(connection)
        message, body = reply_for_outcome(outcome, number, report, self._events.clock.tick())
        try:
            await connection.send_in_chunks(message, body)
        except (PeerError, ConnectionError):
            # The entry asks again over a new connection; the owner keeps the outcome.
            self._metrics.count("replies_without_connection")

    def _send_load(self, connection):
        # Also called when a call is queued: its answer, which carries the load too, comes
        # late, and without this update the entry would keep sending calls meanwhile.
        self._send(connection, State(self._record_and_report_load(connection)))

    def _record_and_report_load(self, connection):
        """Return a report of the current load and record that the entry gets it."""
        load = self._owner.load
        connection.interest.record_load(load)
        return load_report(load)

    def _send(self, connection, message):
        try:
            connection.send(message)
        except PeerError:
            self._metrics.count("unsent_notices")

    # -- load -------------------------------------------------------------

    async def _push_loop(self):
        while True:
            await asyncio.sleep(PUSH_SECONDS)
            load = self._owner.load
            if self._is_significant_change(load):
                self._push(load)
            self._drop_silent_connections()

    def _drop_silent_connections(self):
        # An entry pings an idle connection every few seconds.  A silent one is gone
        # without closing its connection, and its write buffer would never be freed.
        limit = now() - ENTRY_SILENT_SECONDS
        for connection in list(self._connections):
            if connection.arrival < limit:
                connection.abort()

    def _is_significant_change(self, load):
        last = self._last_pushed
        if last is None or _concerns_every_entry(load, last):
            return True
        if (
            now() >= self._occupancy_push_at
            and _occupancy_change(load, last) >= MIN_OCCUPANCY_CHANGE
        ):
            return True
        before = max(1, last.service_us)
        after = max(1, load.service_us)
        return not 1 / MIN_SERVICE_TIME_FACTOR < after / before < MIN_SERVICE_TIME_FACTOR

    def _push(self, load):
        """Send `load` to the entries that need it, or to all if a change concerns every entry.

        Notes
        -----
        A backend server may be listed again, or restart, seconds after it was removed
        from the host list.  Entries that take it for draining send no calls, so they
        don't count as interested in its load.  If they weren't told of the new state,
        they would avoid the server until their next heartbeat, 2 s later, and refuse
        a call for which no other server is left.  The same holds for a server that no
        longer limits the rate of its requests, or much less.
        """
        last = self._last_pushed
        changed = last is None or _concerns_every_entry(load, last)
        self._last_pushed = load
        self._occupancy_push_at = deadline_after(OCCUPANCY_PUSH_SECONDS)
        message = State(load_report(load))
        for connection in list(self._connections):
            if changed or connection.interest.wants_update(load):
                connection.interest.record_load(load)
                self._send(connection, message)


def _concerns_every_entry(load, last):
    """Return whether the state or the rate limit has changed so much that all entries are told."""
    if load.state != last.state or bool(load.rate_limit) != bool(last.rate_limit):
        return True
    low, high = sorted((load.rate_limit, last.rate_limit))
    return high > MIN_RATE_LIMIT_FACTOR * low


def _occupancy_change(load, last):
    """Return the absolute change of the occupancy, in calls per slot."""
    return abs(_occupancy(load) - _occupancy(last))


def _occupancy(load):
    """Return the running and queued calls per slot."""
    return (load.in_flight + load.queued) / max(1, load.limit)
