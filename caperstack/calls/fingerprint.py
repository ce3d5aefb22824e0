"""Hashes of a request and of its caller that are the same for every attempt."""

from dataclasses import dataclass

import xxhash

__all__ = ["Fingerprint", "fingerprint_of"]

#: Headers that commonly identify the caller; lower case.
CREDENTIALS = ("authorization", "cookie", "x-api-key")

#: 32 bits are enough, since only callers of the same request need to be distinguished.
CALLER_MASK = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """Identifies a request across its attempts, whatever their ids and entry nodes.

    Attributes
    ----------
    request : int
        Hash of host, method, target and body; 0 if it was not computed.
    caller : int
        Hash of the caller's service and credentials.
    """

    request: int = 0
    caller: int = 0

    @property
    def text(self):
        """Hash of the request in hexadecimal, for logs."""
        return f"{self.request:016x}"


def fingerprint_of(method, target, headers, body, service):
    """Return the `Fingerprint` of a request.

    Parameters
    ----------
    method, target : str
        Method and target of the request line; the target includes the query.
    headers : tornado.httputil.HTTPHeaders
        Headers as the caller sent them.
    body : bytes
        Complete body.
    service : str
        Service of the entry node's own backend server.

    Notes
    -----
    ``Host`` is the only header in the hash of the request.  The id, the deadline and
    the connection headers differ between attempts, and so may other headers that
    clients set, such as a retry counter or a date.  If the hash included them, no
    attempt would be recognised as the same request.
    """
    digest = xxhash.xxh3_64()
    for part in (method, headers.get("Host", ""), target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    identity = "\0".join((service, *(headers.get(name, "") for name in CREDENTIALS)))
    caller = xxhash.xxh3_64_intdigest(identity.encode("utf-8", "surrogateescape"))
    return Fingerprint(digest.intdigest() or 1, caller & CALLER_MASK)
