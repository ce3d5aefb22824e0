"""Read chunked bodies, with the chunk extensions and trailers that tornado rejects.

References
----------
.. [1] RFC 9112, section 7.1.
"""

import asyncio
import re

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPInputError

__all__ = ["ResponseConnection"]

CRLF = b"\r\n"

#: Limit on the line before a chunk, with its extensions, and on a line of the trailers.
MAX_LINE_BYTES = 4096

#: Limit on all trailers of a body.
MAX_TRAILER_BYTES = 64 * 1024

#: Bytes of a chunk that are read at once.
PIECE_BYTES = 64 * 1024

#: Number of chunks after which other tasks run, as reads of what has arrived do not wait.
CHUNKS_PER_TURN = 64

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
_EXTENSION = rb"[ \t]*;[ \t]*%s(?:[ \t]*=[ \t]*(?:%s|%s))?" % (_TOKEN, _TOKEN, _QUOTED)
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:%s)*\r\n" % _EXTENSION)


class ResponseConnection(HTTP1Connection):
    """A tornado connection that accepts chunk extensions and trailers."""

    async def _read_chunked_body(self, delegate):
        """Pass the body to `delegate`; trailers are validated and dropped.

        Raises
        ------
        tornado.httputil.HTTPInputError
            If a chunk or a trailer is invalid, or the body is larger than the connection's
            parameters allow.
        tornado.iostream.StreamClosedError
            If the connection closes before the end, or a line is too long.

        Notes
        -----
        Overrides a method of tornado that rejects everything after the size of a chunk and
        after the last chunk.
        """
        count = total = 0
        while size := _size(await self.stream.read_until(CRLF, MAX_LINE_BYTES)):
            total += size
            if total > self.params.max_body_size:
                raise HTTPInputError("body is too large")
            await _read_chunk(self.stream, size, delegate)
            count += 1
            if count % CHUNKS_PER_TURN == 0:
                await asyncio.sleep(0)
        await _read_trailers(self.stream)


def _size(line):
    match = _SIZE_LINE.fullmatch(line)
    if match is None:
        raise HTTPInputError("invalid chunk size")
    return int(match[1], 16)


async def _read_chunk(stream, size, receiver):
    while size:
        piece = await stream.read_bytes(min(size, PIECE_BYTES), partial=True)
        size -= len(piece)
        receiver.data_received(piece)
    if await stream.read_bytes(len(CRLF)) != CRLF:
        raise HTTPInputError("chunk is longer than its size")


async def _read_trailers(stream):
    size = 0
    while (line := await stream.read_until(CRLF, MAX_LINE_BYTES)) != CRLF:
        size += len(line)
        if size > MAX_TRAILER_BYTES:
            raise HTTPInputError("too many trailers")
        HTTPHeaders().parse_line(line.decode("latin-1"))
