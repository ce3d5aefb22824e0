"""The client side of the peer protocol: a reconnecting link to one remote owner."""

import asyncio
import contextlib
import itertools
import math
import random
from functools import singledispatchmethod

from caperstack.addresses import split_address
from caperstack.calls.model import ServerState, Unknown
from caperstack.clock import deadline_after, now
from caperstack.exception import FrameError, PeerError
from caperstack.peers.connection import BUFFER_BYTES, PeerConnection
from caperstack.peers.messages import (
    Answer,
    CallBody,
    Claimed,
    Ping,
    Pong,
    Refused,
    Revoke,
    SendBody,
    State,
    Unsure,
)
from caperstack.peers.translate import call_message, load_from_report, outcome_from_reply

__all__ = ["Link", "PING_SECONDS"]

CONNECT_TIMEOUT_SECONDS = 1.0
REDIAL_SECONDS = 0.1
MAX_REDIAL_SECONDS = 2.0

#: Any received message counts as a heartbeat.  If none arrives, a ping is sent after
#: 0.4 s while calls are pending and after 2 s on an idle link.  A connection that has
#: been silent for 1.2 s, with a ping unanswered, counts as lost, so that an idempotent
#: call whose owner is unreachable or paused can still be answered by another owner
#: within a deadline of 2 s.  TCP retransmits a lost packet after 0.2 to 0.6 s, so two
#: losses in a row are tolerated.
PING_SECONDS = 0.4
IDLE_PING_SECONDS = 2.0
SILENCE_TIMEOUT_SECONDS = 1.2

#: Idle time after which an unused link is closed.
IDLE_CLOSE_SECONDS = 60.0

#: How long the entry waits beyond a call's deadline for the owner to report the outcome.
DEADLINE_GRACE_SECONDS = 0.05


class Link:
    """A link to one remote owner over a connection that is redialled when lost.

    Parameters
    ----------
    member : caperstack.membership.members.Member
        The peer.
    links : caperstack.peers.links.Links
        The service that manages this link.
    """

    def __init__(self, member, links):
        self._member = member
        self._links = links
        self._connection = None
        self._pending = {}
        self._calls = {}
        self._sending = set()
        self._numbers = itertools.count(1)
        self._task = None
        self._connected = asyncio.Event()
        self._redial_requested = asyncio.Event()
        self._used_until = 0.0
        self._last_received_at = 0.0
        self._awaiting_pong = False
        self._failures = 0
        self._retired = False
        self._last_deadline = math.inf

    @property
    def retired(self):
        """Whether the link was retired and its task has ended."""
        return self._retired and (self._task is None or self._task.done())

    @property
    def usable(self):
        """Whether calls can be sent now; a link that was never dialled counts as usable."""
        if self._connection is None:
            return self._failures == 0
        return not self._awaiting_pong or now() - self._last_received_at < SILENCE_TIMEOUT_SECONDS

    @property
    def connection(self):
        """The open `PeerConnection`, or ``None``."""
        return self._connection

    def touch(self):
        """Open the link if it is closed, and restart its idle timeout."""
        if self._retired:
            return
        self._used_until = deadline_after(IDLE_CLOSE_SECONDS)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._maintain_connection())

    def freshen(self, estimate):
        """Do nothing: the owner pushes load updates, so the link does not poll them."""

    def redial_now(self):
        """Dial now instead of after the current redial delay."""
        self._redial_requested.set()

    def retire(self):
        """Close the link for good once its pending calls have ended.

        Called when the member is no longer listed.

        Notes
        -----
        A backend server that shuts down gracefully is removed from the host list while
        calls still run there.  Closing the link at once would report their outcome as
        unknown to the callers, although the answers are still to come.
        """
        self._retired = True
        self._used_until = 0.0
        if not self._pending:
            self.close()

    def close(self):
        """Close the link for good, without waiting for pending calls."""
        if self._task is not None:
            self._task.cancel()

    # -- calls ------------------------------------------------------------

    async def run(self, call):
        """Send `call` to the owner and return the outcome that it reports.

        Raises
        ------
        PeerError
            If the link fails; its ``sent`` attribute tells whether the call may have
            reached the owner.
        """
        connection = await self._open(call.deadline)
        if call.deadline > self._last_deadline:
            raise PeerError("node stops", step="call", peer=self._member.host, sent=False)
        future = self._expect(call.id)
        budget = self._links.budget
        estimate = self._member.estimate
        large = budget.is_large(len(call.body), estimate.body_bytes_per_second)
        withheld = large or estimate.should_withhold_body(len(call.body))
        self._calls[call.id] = call
        try:
            message = call_message(
                call, self._links.events.clock.tick(), withheld, budget.bytes_per_second
            )
            async with asyncio.timeout_at(call.deadline + DEADLINE_GRACE_SECONDS):
                await connection.send_in_chunks(message, b"" if withheld else call.body)
                message, body = await future
        except TimeoutError:
            self._send_if_connected(Revoke(call.id, False))
            return Unknown("deadline passed", 504)
        except asyncio.CancelledError:
            self._send_if_connected(Revoke(call.id, False))
            raise
        finally:
            self._pending.pop(call.id, None)
            del self._calls[call.id]
        return outcome_from_reply(message, body)

    async def resolve(self, call):
        """Revoke a call whose connection was lost and return its outcome.

        Returns
        -------
        Outcome
            `NotRun` if the owner revoked the call or certainly never received it; the
            owner then also refuses a copy that arrives later.  The actual outcome if the
            call was dispatched.  `Unknown` if the owner's records do not reach back to when
            the call was sent, as after a restart, or if it cannot be reached or does not
            reply by the call's deadline.
        """
        try:
            connection = await self._open(call.deadline)
            future = self._expect(call.id)
            connection.send(_revocation(call))
            async with asyncio.timeout_at(call.deadline):
                message, body = await future
        except (PeerError, TimeoutError):
            return Unknown("connection to the owner was lost")
        finally:
            self._pending.pop(call.id, None)
        return outcome_from_reply(message, body)

    def end_by(self, end_at):
        """Send no more calls whose deadline is after `end_at`, and withdraw those that wait.

        The owner replies that a call did not run, unless the backend server runs it.
        """
        self._last_deadline = end_at
        for call in self._calls.values():
            if call.deadline > end_at:
                self._send_if_connected(_revocation(call, waiting_only=True))

    async def ask(self, message, deadline):
        """Send a request message and return the reply, which has the same ``id``.

        Raises
        ------
        PeerError
            If no reply arrives by `deadline`.
        """
        connection = await self._open(deadline)
        # Negative, so that it differs from the ids of all calls.
        message.id = -next(self._numbers)
        future = self._expect(message.id)
        try:
            connection.send(message)
            async with asyncio.timeout_at(deadline):
                reply, _ = await future
        except TimeoutError:
            raise PeerError("no reply in time", step="ask", peer=self._member.host) from None
        finally:
            self._pending.pop(message.id, None)
        return reply

    def tell(self, message):
        """Send a message that needs no reply; drop it if the link is down."""
        self._send_if_connected(message)

    def _expect(self, number):
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        return future

    def _send_if_connected(self, message):
        if self._connection is None:
            return
        try:
            self._connection.send(message)
        except PeerError:
            self._links.metrics.count("unsent_notices")

    async def _open(self, deadline):
        self.touch()
        if self._connection is None:
            try:
                async with asyncio.timeout_at(
                    min(deadline, deadline_after(CONNECT_TIMEOUT_SECONDS))
                ):
                    await self._connected.wait()
            except TimeoutError:
                raise PeerError(
                    "no connection", step="connect", peer=self._member.host, sent=False
                ) from None
        if self._connection is None:
            raise PeerError("connection lost", step="connect", peer=self._member.host, sent=False)
        return self._connection

    # -- the link's task --------------------------------------------------

    async def _maintain_connection(self):
        while now() < self._used_until:
            try:
                await self._serve_one_connection()
            except Exception as error:
                # Redial after any error.  Programming errors show up in the
                # metric under their exception class.
                self._failures += 1
                self._links.metrics.count("link_failures", kind=type(error).__name__)
                if self._failures == 1:
                    self._links.events.state("link", "up", f"down: {error}", self._member.host)
            wait = min(MAX_REDIAL_SECONDS, REDIAL_SECONDS * 2 ** min(self._failures, 8))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * random.uniform(0.5, 1.0)):
                    await self._redial_requested.wait()
            self._redial_requested.clear()

    async def _serve_one_connection(self):
        connection = await self._dial()
        try:
            await self._perform_handshake(connection)
            async for message, body in connection.messages():
                self._last_received_at = connection.arrival
                self._awaiting_pong = False
                self._handle_message(message, body)
        finally:
            connection.abort()
            self._on_connection_lost()

    async def _dial(self):
        ip, port = split_address(self._member.peer_address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    ip, port, limit=BUFFER_BYTES, ssl=self._links.client_tls()
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or "no connection in time"
            raise PeerError(reason, step="connect", peer=self._member.host, sent=False) from None
        return PeerConnection(reader, writer, self._member.peer_address, self._links.metrics)

    async def _perform_handshake(self, connection):
        hello = await connection.handshake(self._links.hello(self._member))
        if hello.host != self._member.host:
            reason = f"it is {hello.host}, not {self._member.host}"
            raise FrameError(reason, step="handshake", peer=self._member.peer_address)
        self._member.incarnation = max(self._member.incarnation, hello.incarnation)
        self._member.estimate.body_bytes_per_second = hello.body_bytes_per_second
        self._apply_load(hello.load)
        if self._failures:
            self._links.events.state("link", "down", "up", self._member.host)
        self._failures = 0
        self._last_received_at = now()
        self._connection = connection
        self._connected.set()
        self._links.opened(self._member, connection)

    def check_liveness(self):
        """Send a ping, drop a silent connection or close an idle one, as needed."""
        connection = self._connection
        if connection is None:
            return
        quiet = now() - self._last_received_at
        if quiet > SILENCE_TIMEOUT_SECONDS + (0 if self._awaiting_pong else IDLE_PING_SECONDS):
            # A network partition doesn't close the TCP connection, and a call
            # would wait for its answer until its deadline.  After the abort an
            # idempotent call is retried at another owner, and the outcome of any
            # other call is queried over a new connection.
            self._member.estimate.mark_down()
            connection.abort()
        elif now() > self._used_until and not self._pending:
            connection.close()
            if self._retired:
                self.close()
        elif quiet >= (PING_SECONDS if self._pending else IDLE_PING_SECONDS):
            self._awaiting_pong = True
            self._send_if_connected(Ping(0, self._links.events.clock.tick()))

    def _on_connection_lost(self):
        was_up, self._connection = self._connection is not None, None
        self._connected.clear()
        error = PeerError("connection lost", step="call", peer=self._member.host)
        for future in self._pending.values():
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved; asyncio logs those that never are.
                future.exception()
        if was_up:
            self._failures += 1
            self._links.closed(self._member)

    # -- messages ---------------------------------------------------------

    @singledispatchmethod
    def _handle_message(self, message, body):
        self._links.take(self._member, message, body)

    @_handle_message.register
    def _(self, message: Answer | Refused | Unsure, body):
        self._links.events.clock.merge(message.clock)
        self._apply_load(message.load)
        self._reply(message, body)

    @_handle_message.register
    def _(self, message: Claimed, body):
        self._links.events.clock.merge(message.clock)
        self._reply(message, body)

    @_handle_message.register
    def _(self, message: SendBody, body):
        call = self._calls.get(message.id)
        if call is not None:
            sending = self._send_body(call, self._connection, message.bytes_per_second)
            task = asyncio.create_task(sending)
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send_body(self, call, connection, bytes_per_second):
        try:
            if bytes_per_second:
                await self._send_body_in_pieces(call, connection, bytes_per_second)
                return
            await connection.send_in_chunks(CallBody(call.id, len(call.body)), call.body)
        except (PeerError, ConnectionError):
            # The owner notices the lost connection itself and doesn't run the call.
            self._links.metrics.count("unsent_notices")

    async def _send_body_in_pieces(self, call, connection, bytes_per_second):
        """Send the body at the granted rate, as long as the owner's answer is awaited."""
        async for piece in self._links.pacer.pieces(call.body, bytes_per_second):
            if call.id not in self._calls:
                return
            connection.send(CallBody(call.id, len(piece)), piece)

    @_handle_message.register
    def _(self, message: Pong, body):
        self._links.events.clock.merge(message.clock)
        self._apply_load(message.load)

    @_handle_message.register
    def _(self, message: State, body):
        self._apply_load(message.load)

    def _reply(self, message, body):
        # A duplicate reply, or one that arrives after its call has ended, has no
        # pending future and is counted and dropped.  Ids are not reused, so it can't
        # be taken for the reply to another call.
        future = self._pending.pop(message.id, None)
        if future is None or future.done():
            self._links.metrics.count("late_replies")
            return
        future.set_result((message, body))

    def _apply_load(self, report):
        load = load_from_report(report)
        self._member.estimate.update_load(load)
        if load.leaving_run:
            self._links.members.mark_server_leaving(self._member.host, load.leaving_run)
        if load.state == ServerState.STOPPING:
            self._links.members.mark_leaving(self._member.host, self._member.incarnation)


def _revocation(call, waiting_only=False):
    """Return the message that revokes `call` and asks for its outcome."""
    moment = now()
    age = int((moment - call.sent_at) * 1e6)
    return Revoke(call.id, True, age, int(moment * 1e6), waiting_only)
