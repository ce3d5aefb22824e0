"""Frames: a length, a header in MessagePack and raw body bytes."""

import struct

import msgspec

from caperstack.exception import FrameError
from caperstack.peers.messages import Message

__all__ = ["FrameDecoder", "MAX_FRAME_BYTES", "encode_frame"]

#: The largest frame that is read, in bytes.  Longer bodies come in chunks, so
#: that a large body cannot hold up the small messages behind it for long.
MAX_FRAME_BYTES = 256 * 1024

_LENGTHS = struct.Struct(">II")
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_frame(message, body=b""):
    """Return the bytes of a frame with `message` and `body`."""
    header = _encoder.encode(message)
    return b"".join((_LENGTHS.pack(len(header) + len(body), len(header)), header, body))


class FrameDecoder:
    """Cut a stream of bytes into messages.

    Examples
    --------
    >>> from caperstack.peers.messages import Chunk
    >>> decoder = FrameDecoder()
    >>> list(decoder.feed(encode_frame(Chunk(7), b"abc")))
    [(Chunk(id=7), b'abc')]
    """

    def __init__(self):
        self._buffer = bytearray()

    @property
    def partial(self):
        """Whether part of a frame is waiting for the rest."""
        return bool(self._buffer)

    def feed(self, data):
        """Yield ``(message, body)`` for each frame that `data` completes.

        Raises
        ------
        FrameError
            If the bytes are no frame, or one beyond `MAX_FRAME_BYTES`.
        """
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= _LENGTHS.size:
                total, header = _LENGTHS.unpack_from(buffer, start)
                if total > MAX_FRAME_BYTES or header > total:
                    raise FrameError(f"length {total} with header {header}", step="frame")
                first = start + _LENGTHS.size
                end = first + total
                if len(buffer) < end:
                    break
                start = end
                yield _decode(buffer, first, first + header, end)
        finally:
            del buffer[:start]


def _decode(buffer, first, middle, end):
    try:
        message = _decoder.decode(buffer[first:middle])
    except msgspec.MsgspecError as error:
        raise FrameError(str(error), step="message") from None
    return message, bytes(buffer[middle:end])
