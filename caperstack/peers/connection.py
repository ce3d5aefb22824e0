"""A connection between two nodes that sends and receives complete messages."""

import asyncio
from dataclasses import dataclass

from caperstack.clock import TransitClock, now
from caperstack.exception import FrameError, PeerError
from caperstack.peers.frames import FrameDecoder, encode_frame
from caperstack.peers.interest import LoadInterest
from caperstack.peers.messages import VERSION, Chunk, Hello

__all__ = ["BUFFER_BYTES", "HANDSHAKE_TIMEOUT_SECONDS", "PeerConnection"]

READ_BYTES = 256 * 1024

#: Limit of the stream reader, which pauses reading above twice this many bytes.
BUFFER_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024

#: Unsent bytes above which the peer counts as stuck and sending fails.
MAX_WRITE_BACKLOG_BYTES = 64 * 1024 * 1024

#: Limit on the declared sizes of all bodies of one connection that are incomplete.
MAX_INCOMPLETE_BODY_BYTES = 64 * 1024 * 1024

HANDSHAKE_TIMEOUT_SECONDS = 5.0
FRAME_TIMEOUT_SECONDS = 15.0


@dataclass(slots=True)
class _IncompleteMessage:
    message: object
    body: bytearray


class PeerConnection:
    """One connection to a peer, dialled or accepted.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        The two directions.
    address : str
        The peer's address, for error messages.
    metrics : caperstack.operators.metrics.Metrics
        Counts the bytes received and the messages sent.

    Attributes
    ----------
    hello : caperstack.peers.messages.Hello
        The peer's hello; ``None`` before the handshake.
    interest : caperstack.peers.interest.LoadInterest
        Whether the peer, as an entry, needs load updates.
    transit : caperstack.clock.TransitClock
        Estimates the delay of received messages.
    arrival : float
        When data was last read, in seconds on the local monotonic clock.
    """

    def __init__(self, reader, writer, address, metrics):
        self._reader = reader
        self._writer = writer
        self._decoder = FrameDecoder()
        self._incomplete = {}
        self._incomplete_bytes = 0
        self._messages_after_hello = []
        self._closed = False
        self.address = address
        self.hello = None
        self.interest = LoadInterest()
        self.transit = TransitClock()
        self.arrival = 0.0
        self._metrics = metrics

    @property
    def closed(self):
        """Whether the connection can no longer be used."""
        return self._closed or self._writer.is_closing()

    async def handshake(self, hello):
        """Exchange `Hello` messages and return the peer's.

        Raises
        ------
        PeerError
            If the peer closes, sends nothing in time or uses another protocol version.
        FrameError
            If its first message is not a `Hello`.
        """
        self.send(hello)
        messages = self._read_batches()
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                batch = await anext(messages, None)
        except TimeoutError:
            raise PeerError("no hello in time", step="handshake", peer=self.address) from None
        if not batch:
            raise PeerError("closed before hello", step="handshake", peer=self.address)
        first = batch[0][0]
        if not isinstance(first, Hello):
            raise FrameError("first message is no hello", step="handshake", peer=self.address)
        if first.version != VERSION:
            reason = f"version {first.version}, not {VERSION}"
            raise PeerError(reason, step="handshake", peer=self.address)
        self.transit.lateness(first.sent_us / 1e6, self.arrival)
        self.hello = first
        self._messages_after_hello = batch[1:]
        return first

    async def messages(self):
        """Yield ``(message, body)`` with complete bodies until the peer closes."""
        for message, body in self._messages_after_hello:
            for whole in self._assemble(message, body):
                yield whole
        async for batch in self._read_batches():
            for message, body in batch:
                for whole in self._assemble(message, body):
                    yield whole

    async def _read_batches(self):
        while True:
            data = await self._read()
            if not data:
                return
            self.arrival = now()
            self._metrics.peer_bytes_in += len(data)
            batch = list(self._decoder.feed(data))
            if batch:
                yield batch

    async def _read(self):
        # While a frame or a body is incomplete, more data must arrive within the
        # timeout; otherwise a peer that stalls in a frame would hold its buffer
        # forever.  A connection that is idle between frames has no timeout.
        if not self._decoder.partial and not self._incomplete:
            return await self._reader.read(READ_BYTES)
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_SECONDS):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            raise FrameError("rest of frame missing", step="read", peer=self.address) from None

    def _assemble(self, message, body):
        if isinstance(message, Chunk):
            return self._add_chunk(message.id, body)
        size = getattr(message, "size", None)
        if size is None or size == len(body):
            return ((message, body),)
        if size < len(body) or message.id in self._incomplete:
            raise FrameError("body longer than declared", step="body", peer=self.address)
        self._incomplete_bytes += size
        if self._incomplete_bytes > MAX_INCOMPLETE_BODY_BYTES:
            raise FrameError("too many incomplete bodies", step="body", peer=self.address)
        self._incomplete[message.id] = _IncompleteMessage(message, bytearray(body))
        return ()

    def _add_chunk(self, number, body):
        partial = self._incomplete.get(number)
        if partial is None:
            raise FrameError("chunk without message", step="body", peer=self.address)
        partial.body += body
        size = partial.message.size
        if len(partial.body) < size:
            return ()
        del self._incomplete[number]
        self._incomplete_bytes -= size
        if len(partial.body) > size:
            raise FrameError("body longer than declared", step="body", peer=self.address)
        return ((partial.message, bytes(partial.body)),)

    def send(self, message, body=b""):
        """Send a message whose body fits in one frame.

        Raises
        ------
        PeerError
            With its ``sent`` attribute false, if the connection is closed or stuck.
        """
        if self.closed:
            raise PeerError("connection is closed", step="send", peer=self.address, sent=False)
        if self._writer.transport.get_write_buffer_size() > MAX_WRITE_BACKLOG_BYTES:
            raise PeerError("peer does not read", step="send", peer=self.address, sent=False)
        data = encode_frame(message, body)
        self._metrics.sent_to_peer(type(message).__name__, len(data))
        self._writer.write(data)

    async def send_in_chunks(self, message, body):
        """Send a message with a body of any length, split into chunks.

        Raises
        ------
        PeerError
            If the connection closes, also by this node; its ``sent`` attribute is false only if
            nothing was sent.
        """
        self.send(message, body[:CHUNK_BYTES])
        for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            try:
                await self._writer.drain()
            except OSError as error:
                raise PeerError(str(error), step="send", peer=self.address) from None
            self._send_chunk(message.id, body[start : start + CHUNK_BYTES])

    def _send_chunk(self, number, part):
        try:
            self.send(Chunk(number), part)
        except PeerError as error:
            # The message itself was sent before, so the call may reach the owner.
            error.sent = True
            raise

    def close(self):
        """Close the connection after the data already written has been sent."""
        self._closed = True
        self._writer.close()

    def abort(self):
        """Close the connection at once and discard unsent data."""
        self._closed = True
        self._writer.transport.abort()
