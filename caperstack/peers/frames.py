"""Encode and decode frames: two lengths, a MessagePack header and raw body bytes."""

import struct

import msgspec

from caperstack.exception import FrameError
from caperstack.peers.messages import Message

__all__ = ["FrameDecoder", "MAX_FRAME_BYTES", "encode_frame"]

#: The largest frame that is accepted.  Longer bodies are split into chunks, so that a
#: large body can't delay the small messages behind it for long.
MAX_FRAME_BYTES = 256 * 1024

_LENGTHS = struct.Struct(">II")
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_frame(message, body=b""):
    """Encode `message` and `body` as one frame.

    The frame starts with the length of header and body together and the length of the
    header, each as an unsigned 32-bit big-endian integer.
    """
    header = _encoder.encode(message)
    return b"".join((_LENGTHS.pack(len(header) + len(body), len(header)), header, body))


class FrameDecoder:
    """Decode a stream of bytes into messages.

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
        """Whether the buffer holds an incomplete frame."""
        return bool(self._buffer)

    def feed(self, data):
        """Yield ``(message, body)`` for each frame that `data` completes.

        Raises
        ------
        FrameError
            If the data is malformed or a frame is larger than `MAX_FRAME_BYTES`.
        """
        buffer = self._buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= _LENGTHS.size:
                total, header_size = _LENGTHS.unpack_from(buffer, start)
                if total > MAX_FRAME_BYTES or header_size > total:
                    raise FrameError(f"length {total} with header {header_size}", step="frame")
                header_start = start + _LENGTHS.size
                end = header_start + total
                if len(buffer) < end:
                    break
                start = end
                yield _decode(buffer, header_start, header_start + header_size, end)
        finally:
            del buffer[:start]


def _decode(buffer, header_start, body_start, end):
    try:
        message = _decoder.decode(buffer[header_start:body_start])
    except msgspec.MsgspecError as error:
        raise FrameError(str(error), step="message") from None
    return message, bytes(buffer[body_start:end])
