"""Encode subtrees for transfer between nodes, as JSON compressed with zlib."""

import json
import zlib

__all__ = ["MAX_BODY_BYTES", "pack", "unpack"]

#: Maximum size of a body, compressed and decompressed, in bytes.  The platform stores
#: values of up to 1 MB.
MAX_BODY_BYTES = 2 * 1024 * 1024

#: zlib level.  Route names repeat, so the text shrinks to a third of its size.
COMPRESSION_LEVEL = 6


def pack(document):
    """Return `document` as compressed JSON; empty for ``None``, a deletion."""
    if document is None:
        return b""
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode(), COMPRESSION_LEVEL)


def unpack(body):
    """Return the document encoded in `body`.

    Raises
    ------
    ValueError
        If `body` is not JSON or exceeds `MAX_BODY_BYTES` when decompressed.
    zlib.error
        If `body` is not valid zlib data.
    """
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(body, MAX_BODY_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError("longer than any subtree")
    return json.loads(text)
