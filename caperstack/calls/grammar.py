"""Validate responses against the grammar of HTTP/1.1, where tornado does not.

tornado checks the form of the status line and of each field as it parses a head, and the
framing only as it begins to read a body.

References
----------
.. [1] RFC 9110, sections 5, 7.8, 8.6 and 15.
.. [2] RFC 9112, sections 4 and 6.1 to 6.3.
"""

import math
import re

from caperstack.calls.dialect import MAX_DIGITS

__all__ = [
    "BODYLESS_STATUSES",
    "INTERIM_STATUSES",
    "answer_flaw",
    "declared_length",
    "head_flaw",
]

#: Statuses of HTTP; the grammar alone allows any three digits.
STATUSES = range(100, 600)

#: Statuses of interim responses, which precede the response proper.
INTERIM_STATUSES = range(100, 200)

#: Statuses of responses proper.
FINAL_STATUSES = range(200, 600)

#: Status of a response after which the connection carries another protocol.
SWITCHING_PROTOCOLS = 101

NO_CONTENT = 204

#: Statuses of responses that have no body.
BODYLESS_STATUSES = frozenset((NO_CONTENT, 304))

LENGTH = "Content-Length"
CODING = "Transfer-Encoding"

#: Names of fields, and values of fields and reason phrases.
NAME_PATTERN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TEXT_PATTERN = re.compile(r"[\t -~\x80-\xff]*")

#: A length, or a list of lengths, as intermediaries make it of a field that occurs twice.
LENGTHS_PATTERN = re.compile(r"([0-9]+)(?:[ \t]*,[ \t]*\1)*")


def head_flaw(start_line, headers, has_body):
    """Return why a parsed head is not valid; empty if it is.

    Parameters
    ----------
    start_line : tornado.httputil.ResponseStartLine
        The status line.
    headers : tornado.httputil.HTTPHeaders
        The fields.
    has_body : bool
        Whether a body follows a head with this status.
    """
    return next(_flaws(start_line, headers, has_body), "")


def _flaws(start_line, headers, has_body):
    code = start_line.code
    if code not in STATUSES:
        yield f"status {code:03} is not an HTTP status"
    if code == SWITCHING_PROTOCOLS:
        yield "protocol switch that was not requested"
    if LENGTH in headers:
        if not LENGTHS_PATTERN.fullmatch(headers[LENGTH]):
            yield "invalid Content-Length"
        elif code == NO_CONTENT and declared_length(headers):
            yield "Content-Length of a 204 response"
    if CODING in headers:
        yield from _coding_flaws(start_line, headers, has_body)


def _coding_flaws(start_line, headers, has_body):
    if start_line.version == "HTTP/1.0":
        yield "Transfer-Encoding in HTTP/1.0"
    if start_line.code == NO_CONTENT:
        yield "Transfer-Encoding of a 204 response"
    if LENGTH in headers:
        yield "both Content-Length and Transfer-Encoding"
    if has_body and headers[CODING].lower() != "chunked":
        yield "Transfer-Encoding that was not requested"


def declared_length(headers):
    """Return the length that a valid head declares, in bytes; ``None`` if it declares none.

    Returns
    -------
    int, float or None
        Infinity for a number of too many digits.
    """
    match = LENGTHS_PATTERN.fullmatch(headers.get(LENGTH, ""))
    if match is None:
        return None
    digits = match[1].lstrip("0")
    return int(digits or "0") if len(digits) <= MAX_DIGITS else math.inf


def answer_flaw(status, reason, headers):
    """Return why a response that another node has read is not valid; empty if it is.

    Parameters
    ----------
    status : int
        The status.
    reason : str
        The reason.
    headers : list of (str, str)
        The fields.
    """
    if status not in FINAL_STATUSES:
        return f"status {status:03} is not that of a final response"
    if not TEXT_PATTERN.fullmatch(reason):
        return "invalid reason phrase"
    for name, value in headers:
        if not NAME_PATTERN.fullmatch(name) or not TEXT_PATTERN.fullmatch(value):
            return "invalid header field"
    return ""
