"""A fault-injecting TCP proxy between two nodes, in the process of the test."""

import asyncio
import random
from dataclasses import dataclass, field

from caperstack.addresses import split_address
from caperstack.bench.fleet import free_addresses
from caperstack.peers.frames import FrameDecoder, encode_frame
from caperstack.peers.messages import Hello

__all__ = ["FaultProxy", "FrameFaults"]

READ_BYTES = 64 * 1024

#: How long a frame that is overtaken is held back.
REORDER_SECONDS = 0.05


@dataclass
class FrameFaults:
    """What happens to the frames of one direction.

    Attributes
    ----------
    hold : bool
        Nothing gets through until it is released, as in a partition.
    delay_seconds : float
        Each frame is late by this.
    lose, duplicate, reorder : float
        Shares of frames; the hello is never touched.
    kinds : tuple of type
        The messages concerned by ``lose``, ``duplicate`` and ``reorder``; empty for all.
    """

    hold: bool = False
    delay_seconds: float = 0.0
    lose: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    kinds: tuple = ()
    injected: dict = field(default_factory=dict)

    def should_inject(self, name, message, rng):
        """Return whether fault `name` strikes `message`, and count it."""
        share = getattr(self, name)
        if not share or isinstance(message, Hello):
            return False
        if self.kinds and not isinstance(message, self.kinds):
            return False
        if rng.random() >= share:
            return False
        self.injected[name] = self.injected.get(name, 0) + 1
        return True


class FaultProxy:
    """Forward connections to `target` through two `FrameFaults`.

    Parameters
    ----------
    target : str
        The peer address of the node behind it.
    seed : int
        Of the chance in it.

    Attributes
    ----------
    address : str
        Where it listens.
    calls, answers : Faults
        Towards the target, and back from it.
    """

    def __init__(self, target, seed=0):
        self._target = target
        self._random = random.Random(seed)
        self._server = None
        self._writers = set()
        self.address = free_addresses(1)[0]
        self.calls = FrameFaults()
        self.answers = FrameFaults()

    async def start(self):
        """Listen."""
        ip, port = split_address(self.address)
        self._server = await asyncio.start_server(self._accept, ip, port)

    async def stop(self):
        """Stop and cut all connections."""
        self._server.close()
        self.cut()

    def cut(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def partition(self, held=True):
        """Hold both directions, or release them."""
        self.calls.hold = self.answers.hold = held

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*split_address(self._target))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, self.calls))
                group.create_task(self._pump(far_reader, writer, self.answers))
        except* OSError:
            pass
        finally:
            for one in (writer, far_writer):
                one.transport.abort()
                self._writers.discard(one)

    async def _pump(self, reader, writer, faults):
        decoder = FrameDecoder()
        kept = None
        while data := await reader.read(READ_BYTES):
            for message, body in decoder.feed(data):
                while faults.hold:
                    await asyncio.sleep(0.01)
                if faults.delay_seconds:
                    await asyncio.sleep(faults.delay_seconds)
                if faults.should_inject("lose", message, self._random):
                    continue
                frame = encode_frame(message, body)
                if kept is None and faults.should_inject("reorder", message, self._random):
                    kept = frame
                    asyncio.get_running_loop().call_later(REORDER_SECONDS, _write, writer, frame)
                    continue
                kept = None
                _write(writer, frame)
                if faults.should_inject("duplicate", message, self._random):
                    _write(writer, frame)
            await writer.drain()
        # One side closed: the other learns at once.
        raise ConnectionResetError


def _write(writer, frame):
    if not writer.is_closing():
        writer.write(frame)
