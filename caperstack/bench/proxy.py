"""A TCP proxy between two nodes that injects faults, run in the process of the test."""

import asyncio
import random
from dataclasses import dataclass, field

from caperstack.addresses import split_address
from caperstack.bench.fleet import free_addresses
from caperstack.peers.frames import FrameDecoder, encode_frame
from caperstack.peers.messages import Hello

__all__ = ["FaultProxy", "FrameFaults"]

READ_BYTES = 64 * 1024

#: Delay of a reordered frame, in seconds, so that later frames overtake it.
REORDER_SECONDS = 0.05


@dataclass
class FrameFaults:
    """Faults injected into the frames of one direction.

    Attributes
    ----------
    hold : bool
        Whether all frames wait until this is cleared, as in a partition.
    delay_seconds : float
        The delay of each frame, in seconds.
    lose, duplicate, reorder : float
        The share of frames that are lost, sent twice or reordered.  A `Hello` is never affected.
    kinds : tuple of type
        The message classes that ``lose``, ``duplicate`` and ``reorder`` apply to; all if empty.
    injected : dict of str to int
        How often each fault was injected.
    """

    hold: bool = False
    delay_seconds: float = 0.0
    lose: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    kinds: tuple = ()
    injected: dict = field(default_factory=dict)

    def should_inject(self, name, message, rng):
        """Decide at random whether fault `name` is injected into `message`, and count it if so."""
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
    """Forward connections to a node and inject faults in both directions.

    Parameters
    ----------
    target : str
        The peer address of the node behind the proxy.
    seed : int
        The seed of its random choices.

    Attributes
    ----------
    address : str
        The address on which the proxy listens.
    calls, answers : FrameFaults
        The faults of frames to the target and back from it.
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
        """Start to listen."""
        ip, port = split_address(self.address)
        self._server = await asyncio.start_server(self._accept, ip, port)

    async def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.cut()

    def cut(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def partition(self, held=True):
        """Hold the frames of both directions, or release them if `held` is false."""
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
        # One side has closed its connection: raise, so that the task group closes the other.
        raise ConnectionResetError


def _write(writer, frame):
    if not writer.is_closing():
        writer.write(frame)
