"""Build the response to a caller from the outcome of its call."""

import json
import math
from dataclasses import dataclass
from functools import singledispatch
from http.client import responses

from caperstack.calls.headers import OUTCOME, REASON, end_to_end
from caperstack.calls.model import Answered, NotRun, Unknown

__all__ = ["Response", "outcome_name", "response_to"]


@dataclass(slots=True)
class Response:
    """An HTTP response to a caller."""

    status: int
    reason: str
    headers: list
    body: bytes


@singledispatch
def outcome_name(outcome):
    """Return the name of `outcome` in the `OUTCOME` header."""
    raise TypeError(f"unsupported outcome type: {outcome!r}")


@outcome_name.register
def _(outcome: Answered):
    return "answered"


@outcome_name.register
def _(outcome: NotRun):
    return "not-run"


@outcome_name.register
def _(outcome: Unknown):
    return "unknown"


@singledispatch
def response_to(outcome, fractional_seconds=False):
    """Return the `Response` that reports `outcome` to a caller.

    Parameters
    ----------
    outcome : caperstack.calls.model.Outcome
        Outcome of the call.
    fractional_seconds : bool
        Whether callers accept fractions of a second in ``Retry-After``.

    Raises
    ------
    TypeError
        If `outcome` is of no known type.
    """
    raise TypeError(f"unsupported outcome type: {outcome!r}")


@response_to.register
def _(outcome: Answered, fractional_seconds=False):
    headers = end_to_end(outcome.headers)
    headers.append((OUTCOME, "answered"))
    return Response(outcome.status, outcome.reason, headers, outcome.body)


@response_to.register
def _(outcome: NotRun, fractional_seconds=False):
    headers = []
    if outcome.status in (429, 503):
        headers.append(("Retry-After", _retry_after(outcome.retry_after, fractional_seconds)))
    return _json_response(outcome, headers)


@response_to.register
def _(outcome: Unknown, fractional_seconds=False):
    return _json_response(outcome, [])


def _retry_after(seconds, fractional_seconds):
    """Return the value of ``Retry-After``.

    Notes
    -----
    The standard permits whole seconds only: the value is rounded up and at least 1.
    With fractional seconds it has two decimals and is at least 0.05.

    References
    ----------
    .. [1] RFC 9110, section 10.2.3.
    """
    return f"{max(0.05, seconds):.2f}" if fractional_seconds else str(max(1, math.ceil(seconds)))


def _json_response(outcome, headers):
    name = outcome_name(outcome)
    body = json.dumps({"outcome": name, "reason": outcome.reason}).encode() + b"\n"
    headers += [
        ("Content-Type", "application/json"),
        (OUTCOME, name),
        (REASON, _one_line(outcome.reason)),
    ]
    return Response(outcome.status, responses.get(outcome.status, "Error"), headers, body)


def _one_line(text):
    """Return `text` cut to 200 characters, with spaces for all but printable ASCII.

    The result is a valid header value.
    """
    return "".join(char if 32 <= ord(char) < 127 else " " for char in text)[:200]
