"""What a request asks for and who asks, as two numbers that its next attempt has too."""

from dataclasses import dataclass

import xxhash

__all__ = ["Fingerprint", "fingerprint_of"]

#: The headers that name who asks, by widespread custom; lower case.
CREDENTIALS = ("authorization", "cookie", "x-api-key")

#: Callers are told apart among those who ask for one thing: a few bits do.
CALLER_MASK = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """Names a request over all its attempts, whatever their ids and entries.

    Attributes
    ----------
    request : int
        Hash of host, method, target and body; 0 if it was not taken.
    caller : int
        Hash of who asks.
    """

    request: int = 0
    caller: int = 0

    @property
    def text(self):
        """The hash of the request in hexadecimal, for logs."""
        return f"{self.request:016x}"


def fingerprint_of(method, target, headers, body, service):
    """Return the `Fingerprint` of a request.

    Parameters
    ----------
    method, target : str
        Of the request line; the target with its query.
    headers : tornado.httputil.HTTPHeaders
        As the caller sent them.
    body : bytes
        The whole body.
    service : str
        The service beside which the request began.

    Notes
    -----
    The id, the deadline and the connection's headers differ from attempt to
    attempt and are left out; so is all else that a client may set anew.
    Failure: with all headers in it, a retry counter or a date would make each
    attempt another request, and none would ever be recognised.
    """
    digest = xxhash.xxh3_64()
    for part in (method, headers.get("Host", ""), target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    who = "\0".join((service, *(headers.get(name, "") for name in CREDENTIALS)))
    caller = xxhash.xxh3_64_intdigest(who.encode("utf-8", "surrogateescape"))
    return Fingerprint(digest.intdigest() or 1, caller & CALLER_MASK)
