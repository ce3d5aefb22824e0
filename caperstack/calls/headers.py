"""Header names, and the headers that a node drops, adds and forwards."""

import random
import re

__all__ = [
    "CRITICALITY",
    "DEPTH",
    "IDEMPOTENCY_KEY",
    "OUTCOME",
    "REASON",
    "REQUEST_ID",
    "TIME_LEFT",
    "TRACEPARENT",
    "end_to_end",
    "forwarded",
    "request_id",
    "traceparent",
]

REQUEST_ID = "X-Request-Id"
TRACEPARENT = "Traceparent"
IDEMPOTENCY_KEY = "Idempotency-Key"

#: Milliseconds for which the caller still waits.  The backend server gets a lower value,
#: reduced by the time spent in the nodes.
TIME_LEFT = "Caperstack-Time-Left-Ms"

#: Depth of the call in its call tree; services pass it on in the calls that they make.
DEPTH = "Caperstack-Depth"

#: Outcome of the call ("answered", "not-run" or "unknown") and its reason.
OUTCOME = "Caperstack-Outcome"
REASON = "Caperstack-Reason"
CRITICALITY = "Caperstack-Criticality"

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

#: Ids need to be unique but not secret, so a generator without system calls suffices.
_random = random.Random()

_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


def end_to_end(headers):
    """Return the end-to-end headers among `headers`.

    Parameters
    ----------
    headers : iterable of (str, str)
        All headers of a message.

    Returns
    -------
    list of (str, str)
        The headers to forward.

    Notes
    -----
    Drops hop-by-hop headers, headers listed in ``Connection``, and
    ``Content-Length``, which is set again for each connection.

    References
    ----------
    .. [1] RFC 9110, section 7.6.1.
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | named
    return [(name, value) for name, value in pairs if name.lower() not in dropped]


def request_id(given):
    """Return the caller's request id if it is valid, else a new one."""
    if given and _REQUEST_ID.fullmatch(given):
        return given
    return _hex(8)


def traceparent(given):
    """Return a W3C ``traceparent`` with a new span, in the caller's trace if that is valid.

    References
    ----------
    .. [1] W3C Trace Context, section 3.2.
    """
    match = _TRACEPARENT.fullmatch(given or "")
    if match and match[1] != "0" * 32 and match[2] != "0" * 16:
        return f"00-{match[1]}-{_hex(8)}-{match[3]}"
    return f"00-{_hex(16)}-{_hex(8)}-01"


def _hex(count):
    """Return `count` random bytes in hexadecimal."""
    return f"{_random.getrandbits(8 * count):0{2 * count}x}"


def forwarded(headers, remote_ip, host):
    """Return `headers` with one ``Forwarded`` header, to which this hop is appended.

    Parameters
    ----------
    headers : list of (str, str)
        End-to-end headers.
    remote_ip : str
        Address that the request came from.
    host : str
        ``Host`` header of the caller.

    Notes
    -----
    ``Forwarded`` is used instead of three ``X-Forwarded-*`` headers, which cost the
    backend server as much to parse as all other headers together.  ``X-Forwarded-*``
    headers of an earlier proxy are forwarded unchanged.

    References
    ----------
    .. [1] RFC 7239.
    """
    chain = [value for name, value in headers if name.lower() == "forwarded"]
    kept = [pair for pair in headers if pair[0].lower() != "forwarded"]
    node = f'"[{remote_ip}]"' if ":" in remote_ip else remote_ip
    element = f"for={node};proto=http"
    if host:
        element += f';host="{_quotable(host)}"'
    kept.append(("Forwarded", ", ".join((*chain, element))))
    return kept


def _quotable(text):
    """Return `text` without the characters that a quoted string would have to escape."""
    return "".join(char for char in text if char not in '"\\')
