"""The caller of a soak test: sends requests and records their results."""

from dataclasses import dataclass

from tornado.httpclient import HTTPClientError

from caperstack.clock import now

__all__ = ["CONNECTION_CLOSED", "CONNECTION_REFUSED", "RequestRecord", "ask"]

#: Recorded instead of a status if the connection was closed without an answer, and
#: if it was refused because no process listened.
CONNECTION_CLOSED = 0
CONNECTION_REFUSED = -1

#: The expected body of answers, as `caperstack.platform.standin.instance.Behaviour` has it.
BODY = b"whole answer"


@dataclass(frozen=True)
class RequestRecord:
    """A request of a caller and its result.

    Attributes
    ----------
    name : str
        Unique name of the request, by which the ledgers of backend servers list it.
    host : str
        IP address of the host that the caller sent it to.
    begun, ended : float
        Times on the monotonic clock, in seconds.
    code : int
        The HTTP status, `CONNECTION_CLOSED` or `CONNECTION_REFUSED`.
    complete : bool
        False if an answer came whose body was not the expected one.
    at_most_once : bool
        The request is not idempotent, so it may run at most once.
    """

    name: str
    path: str
    host: str
    begun: float
    ended: float
    code: int
    complete: bool
    at_most_once: bool


async def ask(state, path, at_most_once):
    """Send a request for `path` to a random host and return its `RequestRecord`."""
    host = state.random_host()
    begun = now()
    method = "POST" if at_most_once else "GET"
    name = state.fleet.new_request_id()
    try:
        _, reply = await state.fleet.ask(host, path, method, name=name)
        code, complete = reply.code, reply.body == BODY
    except ConnectionRefusedError:
        code, complete = CONNECTION_REFUSED, True
    except (OSError, HTTPClientError):
        code, complete = CONNECTION_CLOSED, True
    return RequestRecord(name, path, host.ip, begun, now(), code, complete, at_most_once)
