"""One request of a soak's caller, and what it got."""

from dataclasses import dataclass

from tornado.httpclient import HTTPClientError

from caperstack.clock import now

__all__ = ["CONNECTION_CLOSED", "CONNECTION_REFUSED", "RequestRecord", "ask"]

#: What stands for the status of a request whose connection was closed without an
#: answer, and of one that found nobody listening.
CONNECTION_CLOSED = 0
CONNECTION_REFUSED = -1

BODY = b"whole answer"


@dataclass(frozen=True)
class RequestRecord:
    """One request of a caller and what it got: a status, `CONNECTION_CLOSED` or `CONNECTION_REFUSED`."""

    name: str
    path: str
    host: str
    begun: float
    ended: float
    code: int
    complete: bool
    at_most_once: bool


async def ask(state, path, at_most_once):
    """Ask for `path` at a host at random; return the `RequestRecord`."""
    host = state.random_host()
    begun = now()
    method = "POST" if at_most_once else "GET"
    name = state.fleet.new_name()
    try:
        _, reply = await state.fleet.ask(host, path, method, name=name)
        code, complete = reply.code, reply.body == BODY
    except ConnectionRefusedError:
        code, complete = CONNECTION_REFUSED, True
    except (OSError, HTTPClientError):
        code, complete = CONNECTION_CLOSED, True
    return RequestRecord(name, path, host.ip, begun, now(), code, complete, at_most_once)
