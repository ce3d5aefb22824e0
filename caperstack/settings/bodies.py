"""The bodies of subtrees as they travel between nodes: JSON text, packed."""

import json
import zlib

__all__ = ["MAX_BODY_BYTES", "pack", "unpack"]

#: A body larger than this is refused; the platform holds values up to a megabyte.
MAX_BODY_BYTES = 2 * 1024 * 1024

#: The level of zlib: names of routes repeat, a third of the text is left.
COMPRESSION_LEVEL = 6


def pack(document):
    """Return the packed bytes of a document; none for a deletion."""
    if document is None:
        return b""
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode(), COMPRESSION_LEVEL)


def unpack(body):
    """Return the document in packed bytes.

    Raises
    ------
    ValueError
        If they hold no JSON, or unpack to more than any subtree.
    zlib.error
        If they are not packed so.
    """
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(body, MAX_BODY_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError("longer than any subtree")
    return json.loads(text)
