"""The callers of a soak test: send requests and record their results."""

import asyncio
import socket
from dataclasses import dataclass

from tornado.httpclient import HTTPClientError

from caperstack.addresses import split_address
from caperstack.clock import now
from caperstack.platform.names import DIALECT

__all__ = [
    "BROKEN_OFF",
    "CONNECTION_CLOSED",
    "CONNECTION_REFUSED",
    "LARGE_BODY",
    "LARGE_PATH",
    "RequestRecord",
    "ask",
    "ask_and_pause",
]

#: Recorded instead of a status if the connection was closed without an answer, and
#: if it was refused because no process listened.
CONNECTION_CLOSED = 0
CONNECTION_REFUSED = -1

#: Recorded if the connection was closed or reset before the declared end of an answer.
BROKEN_OFF = -2

#: The expected body of answers, as `caperstack.platform.standin.instance.Behaviour` has it.
BODY = b"whole answer"

#: A path, and the expected body of answers to requests for it.
LARGE_PATH = "/listings/large"
LARGE_BODY = bytes(range(250)) * 1440

#: Receive buffer of callers that pause, and the size of the part that they read first, in
#: bytes.
RECEIVE_BYTES = 4096

#: Time in which such a caller must get its answer, or the end of it, apart from its pause, in
#: seconds.
READ_SECONDS = 20.0


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
    may_break_off : bool
        The caller paused for so long that the node may have closed the connection.
    """

    name: str
    path: str
    host: str
    begun: float
    ended: float
    code: int
    complete: bool
    at_most_once: bool
    may_break_off: bool = False


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


async def ask_and_pause(state, host, seconds, may_break_off):
    """Request `LARGE_PATH`, read a part of the answer, and the rest after a pause.

    Parameters
    ----------
    seconds : float
        Duration of the pause.
    may_break_off : bool
        Whether the pause is so long that the node may close the connection.

    Returns
    -------
    RequestRecord
        ``complete`` is false also if the answer neither ends nor breaks off in time.
    """
    begun = now()
    name = state.fleet.new_request_id()
    with socket.socket() as sock:
        try:
            code, complete = await _read_with_pause(sock, host, name, seconds)
        except ConnectionRefusedError:
            code, complete = CONNECTION_REFUSED, True
        except OSError:
            code, complete = CONNECTION_CLOSED, True
    return RequestRecord(
        name, LARGE_PATH, host.ip, begun, now(), code, complete, False, may_break_off
    )


async def _read_with_pause(sock, host, name, seconds):
    """Return the status of the answer, or `BROKEN_OFF`, and whether its body is as expected."""
    loop = asyncio.get_running_loop()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    await loop.sock_connect(sock, split_address(host.outbound))
    fields = {"Host": "x.example", DIALECT.request_id: name, DIALECT.time_left: "3000"}
    head = "".join(f"{field}: {value}\r\n" for field, value in fields.items())
    await loop.sock_sendall(sock, f"GET {LARGE_PATH} HTTP/1.1\r\n{head}\r\n".encode())
    received = b""
    while b"\r\n\r\n" not in received:
        part = await asyncio.wait_for(loop.sock_recv(sock, RECEIVE_BYTES), READ_SECONDS)
        if not part:
            raise ConnectionResetError
        received += part
    await asyncio.sleep(seconds)
    lines, _, body = received.partition(b"\r\n\r\n")
    status, *fields = lines.decode("latin-1").split("\r\n")
    declared = dict(field.lower().split(": ", 1) for field in fields).get("content-length", "")
    code = int(status.split()[1])
    if not declared.isdigit():
        return code, False
    try:
        async with asyncio.timeout(READ_SECONDS):
            while len(body) < int(declared):
                part = await loop.sock_recv(sock, 1 << 20)
                if not part:
                    return BROKEN_OFF, True
                body += part
    except TimeoutError:
        return code, False
    except OSError:
        return BROKEN_OFF, True
    return code, code != 200 or body == LARGE_BODY
