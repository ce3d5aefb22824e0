"""One request of a soak's caller, and what it got."""

from dataclasses import dataclass

from tornado.httpclient import HTTPClientError

from caperstack.clock import now

__all__ = ["CUT", "NOBODY_LISTENS", "Asked", "ask"]

#: What stands for the status of a request whose connection was closed without an
#: answer, and of one that found nobody listening.
CUT = 0
NOBODY_LISTENS = -1

BODY = b"whole answer"


@dataclass(frozen=True)
class Asked:
    """One request of a caller and what it got: a status, `CUT` or `NOBODY_LISTENS`."""

    name: str
    path: str
    host: str
    begun: float
    ended: float
    code: int
    whole: bool
    once: bool


async def ask(ground, path, once):
    """Ask for `path` at a host at random; return the `Asked`."""
    host = ground.some_host()
    begun = now()
    method = "POST" if once else "GET"
    name = ground.fleet.new_request_id()
    try:
        _, reply = await ground.fleet.ask(host, path, method, name=name)
        code, whole = reply.code, reply.body == BODY
    except ConnectionRefusedError:
        code, whole = NOBODY_LISTENS, True
    except (OSError, HTTPClientError):
        code, whole = CUT, True
    return Asked(name, path, host.ip, begun, now(), code, whole, once)
