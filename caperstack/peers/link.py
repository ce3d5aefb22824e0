"""A link: the way to a remote owner, a connection that is dialled again when lost."""

import asyncio
import contextlib
import itertools
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
from caperstack.peers.translate import call_message, load_from, outcome_from

__all__ = ["Link", "PING_SECONDS"]

CONNECT_SECONDS = 1.0
REDIAL_SECONDS = 0.1
REDIAL_SECONDS_MOST = 2.0

#: Heartbeats: what is heard on a link is one.  Without, a ping goes out after
#: 0.4 s where calls wait and after two seconds on an idle link; after 1.2 s the
#: silence counts.  A listing whose owner is cut off or paused can then still be
#: answered elsewhere within its two seconds; TCP repeats a lost packet after
#: 0.2 to 0.6 s, so two losses in a row do not count as silence.
PING_SECONDS = 0.4
IDLE_PING_SECONDS = 2.0
SILENT_SECONDS = 1.2

#: How long a link that nobody used stays open.
UNUSED_SECONDS = 60.0

#: How long the entry waits beyond the deadline for the owner's own word.
GRACE_SECONDS = 0.05


class Link:
    """The way to a remote owner: a connection that is dialled again when lost.

    Parameters
    ----------
    member : caperstack.membership.members.Member
        The peer.
    links : Links
        The service that holds this link.
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
        self._up = asyncio.Event()
        self._hurried = asyncio.Event()
        self._used_until = 0.0
        self._heard_at = 0.0
        self._awaits_pong = False
        self._failures = 0
        self._retired = False

    @property
    def retired(self):
        """Whether the link is to close, and has."""
        return self._retired and (self._task is None or self._task.done())

    @property
    def usable(self):
        """Whether calls can be sent now; a link not yet tried counts as usable."""
        if self._connection is None:
            return self._failures == 0
        return not self._awaits_pong or now() - self._heard_at < SILENT_SECONDS

    @property
    def connection(self):
        """The open `PeerConnection`, or ``None``."""
        return self._connection

    def touch(self):
        """Open the link if it is closed, and keep it open for a while."""
        if self._retired:
            return
        self._used_until = deadline_after(UNUSED_SECONDS)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._keep_open())

    def freshen(self, estimate):
        """Nothing: a remote load is known as it was last told."""

    def hurry(self):
        """The peer was heard of: dial it now rather than after the next wait."""
        self._hurried.set()

    def retire(self):
        """The member is no longer listed: finish what is out, then close for good.

        Notes
        -----
        Failure: a backend server leaves in peace, its entry is removed while
        calls still run there, and the link is closed under them; their callers
        hear that nobody knows whether they ran, though the answers come.
        """
        self._retired = True
        self._used_until = 0.0
        if not self._pending:
            self.close()

    def close(self):
        """Close the link for good."""
        if self._task is not None:
            self._task.cancel()

    # -- calls ------------------------------------------------------------

    async def run(self, call):
        """Send `call` to the owner and return the outcome it tells.

        Raises
        ------
        PeerError
            If the link fails; ``sent`` tells whether the call may have
            reached the owner.
        """
        connection = await self._open(call.deadline)
        future = self._expect(call.id)
        withheld = self._member.estimate.should_withhold_body(len(call.body))
        self._calls[call.id] = call
        try:
            message = call_message(call, self._links.events.clock.tick(), withheld)
            async with asyncio.timeout_at(call.deadline + GRACE_SECONDS):
                await connection.send_whole(message, b"" if withheld else call.body)
                message, body = await future
        except TimeoutError:
            self._send_quietly(Revoke(call.id, False))
            return Unknown("deadline passed", 504)
        except asyncio.CancelledError:
            self._send_quietly(Revoke(call.id, False))
            raise
        finally:
            self._pending.pop(call.id, None)
            del self._calls[call.id]
        return outcome_from(message, body)

    async def resolve(self, call):
        """Ask the owner how a call ended whose connection was lost.

        Returns
        -------
        Outcome
            `NotRun` if the owner revoked it or never got it, which it will
            remember; `Unknown` if the owner cannot be asked in time.
        """
        try:
            connection = await self._open(call.deadline)
            future = self._expect(call.id)
            age = int((now() - call.sent_at) * 1e6)
            connection.send(Revoke(call.id, True, age, int(now() * 1e6)))
            async with asyncio.timeout_at(call.deadline):
                message, body = await future
        except (PeerError, TimeoutError):
            return Unknown("connection to the owner was lost")
        finally:
            self._pending.pop(call.id, None)
        return outcome_from(message, body)

    async def ask(self, message, deadline):
        """Send a message that has a reply with the same ``id``; return the reply.

        Raises
        ------
        PeerError
            If there is none by `deadline`.
        """
        connection = await self._open(deadline)
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
        """Send a message that needs no reply, if the link is open."""
        self._send_quietly(message)

    def _expect(self, number):
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        return future

    def _send_quietly(self, message):
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
                async with asyncio.timeout_at(min(deadline, deadline_after(CONNECT_SECONDS))):
                    await self._up.wait()
            except TimeoutError:
                raise PeerError(
                    "no connection", step="connect", peer=self._member.host, sent=False
                ) from None
        if self._connection is None:
            raise PeerError("connection lost", step="connect", peer=self._member.host, sent=False)
        return self._connection

    # -- the link's task --------------------------------------------------

    async def _keep_open(self):
        while now() < self._used_until:
            try:
                await self._serve_one_connection()
            except Exception as error:
                # Whatever is wrong with one connection, the link is dialled
                # again; a fault of ours shows in the count by its kind.
                self._failures += 1
                self._links.metrics.count("link_failures", kind=type(error).__name__)
                if self._failures == 1:
                    self._links.events.state("link", "up", f"down: {error}", self._member.host)
            wait = min(REDIAL_SECONDS_MOST, REDIAL_SECONDS * 2 ** min(self._failures, 8))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * random.uniform(0.5, 1.0)):
                    await self._hurried.wait()
            self._hurried.clear()

    async def _serve_one_connection(self):
        connection = await self._dial()
        try:
            await self._greet(connection)
            async for message, body in connection.messages():
                self._heard_at = connection.arrival
                self._awaits_pong = False
                self._take(message, body)
        finally:
            connection.abort()
            self._lost()

    async def _dial(self):
        ip, port = split_address(self._member.peer_address)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    ip, port, limit=BUFFER_BYTES, ssl=self._links.client_tls()
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or "no connection in time"
            raise PeerError(reason, step="connect", peer=self._member.host, sent=False) from None
        return PeerConnection(reader, writer, self._member.peer_address, self._links.metrics)

    async def _greet(self, connection):
        hello = await connection.handshake(self._links.hello())
        if hello.host != self._member.host:
            reason = f"it is {hello.host}, not {self._member.host}"
            raise FrameError(reason, step="handshake", peer=self._member.peer_address)
        self._member.incarnation = max(self._member.incarnation, hello.incarnation)
        self._take_load(hello.load)
        if self._failures:
            self._links.events.state("link", "down", "up", self._member.host)
        self._failures = 0
        self._heard_at = now()
        self._connection = connection
        self._up.set()
        self._links.opened(self._member, connection)

    def beat(self):
        """Look after the connection: heartbeat, silence, disuse."""
        connection = self._connection
        if connection is None:
            return
        quiet = now() - self._heard_at
        if quiet > SILENT_SECONDS + (0 if self._awaits_pong else IDLE_PING_SECONDS):
            # Failure: in a partition nothing breaks the connection, and a
            # listing that waits for its answer hangs until its deadline.
            # Broken from here, it is tried elsewhere, and a booking is asked
            # after over a new connection.
            self._member.estimate.mark_down()
            connection.abort()
        elif now() > self._used_until and not self._pending:
            connection.close()
            if self._retired:
                self.close()
        elif quiet >= (PING_SECONDS if self._pending else IDLE_PING_SECONDS):
            self._awaits_pong = True
            self._send_quietly(Ping(0, self._links.events.clock.tick()))

    def _lost(self):
        was_up, self._connection = self._connection is not None, None
        self._up.clear()
        error = PeerError("connection lost", step="call", peer=self._member.host)
        for future in self._pending.values():
            if not future.done():
                future.set_exception(error)
                future.exception()
        if was_up:
            self._failures += 1
            self._links.closed(self._member)

    # -- messages ---------------------------------------------------------

    @singledispatchmethod
    def _take(self, message, body):
        self._links.take(self._member, message, body)

    @_take.register
    def _(self, message: Answer | Refused | Unsure, body):
        self._links.events.clock.merge(message.clock)
        self._take_load(message.load)
        self._reply(message, body)

    @_take.register
    def _(self, message: Claimed, body):
        self._links.events.clock.merge(message.clock)
        self._reply(message, body)

    @_take.register
    def _(self, message: SendBody, body):
        call = self._calls.get(message.id)
        if call is not None:
            task = asyncio.create_task(self._send_body(call, self._connection))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send_body(self, call, connection):
        try:
            await connection.send_whole(CallBody(call.id, len(call.body)), call.body)
        except (PeerError, ConnectionError):
            # The owner hears of the lost connection, and that the call did not run.
            self._links.metrics.count("unsent_notices")

    @_take.register
    def _(self, message: Pong, body):
        self._links.events.clock.merge(message.clock)
        self._take_load(message.load)

    @_take.register
    def _(self, message: State, body):
        self._take_load(message.load)

    def _reply(self, message, body):
        # A reply that comes twice, or after its caller was told something
        # else, finds nobody waiting under its number: it is counted and
        # dropped, and no other call can get it.
        future = self._pending.pop(message.id, None)
        if future is None or future.done():
            self._links.metrics.count("late_replies")
            return
        future.set_result((message, body))

    def _take_load(self, report):
        load = load_from(report)
        self._member.estimate.update_load(load)
        if load.state == ServerState.STOPPING:
            self._links.members.mark_leaving(self._member.host, self._member.incarnation)
