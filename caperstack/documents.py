"""An HTTP client for the documents of health endpoints and of the platform."""

import asyncio
import json
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection

from caperstack.calls.chunks import ResponseConnection
from caperstack.calls.grammar import BODYLESS_STATUSES, head_flaw
from caperstack.clock import time_left
from caperstack.exception import PlatformError

__all__ = ["SUCCESS", "Document", "DocumentClient", "decode_json"]

#: Statuses of success.
SUCCESS = range(200, 300)

#: Timeout of a request whose deadline has passed, in seconds; 0 would stand for none.
MIN_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class Document:
    """A response: its status, its fields and its body."""

    status: int
    headers: HTTPHeaders
    body: bytes


class DocumentClient:
    """Get documents; any invalid response raises the same kind of error.

    Parameters
    ----------
    max_bytes : int
        Maximum size of a document, in bytes.

    Notes
    -----
    Each client is an instance of its own, as a shared one of tornado has the limits of
    whoever used it first.
    """

    def __init__(self, max_bytes):
        self._client = _ChunkClient(force_instance=True, max_body_size=max_bytes)

    def close(self):
        """Close the client and abort its requests."""
        self._client.close()

    async def get(self, address, path, deadline, headers=None, connect_until=None):
        """Return the `Document` at a path, whatever its status.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        path : str
            Path and query.
        deadline : float
            The time until which the whole response must have arrived.
        headers : dict, optional
            Fields of the request.
        connect_until : float, optional
            The time until which the connection must be open; `deadline` if not given.

        Raises
        ------
        PlatformError
            If there is no valid response in time.
        """
        heads = _HeadChecks()
        seconds = max(MIN_SECONDS, time_left(deadline))
        connect_seconds = max(MIN_SECONDS, time_left(connect_until or deadline))
        try:
            request = self._client.fetch(
                f"http://{address}{path}",
                headers=headers,
                connect_timeout=connect_seconds,
                request_timeout=seconds,
                decompress_response=False,
                header_callback=heads.take,
                raise_error=False,
            )
            # Shielded: a cancelled request would write its failure to standard error, while
            # an abandoned one ends by itself.
            request.add_done_callback(_retrieve_exception)
            response = await asyncio.shield(request)
        except Exception as error:
            # An invalid response may raise almost any error in the library.
            reason = str(error) or type(error).__name__
            raise PlatformError(reason, step="read", peer=address) from None
        flaw = heads.flaw()
        if flaw:
            raise PlatformError(flaw, step="read", peer=address)
        return Document(response.code, response.headers, response.body)


class _ChunkClient(SimpleAsyncHTTPClient):
    """tornado's client, with chunks that are read by `ResponseConnection`."""

    def _connection_class(self):
        return _ChunkConnection


class _ChunkConnection(_HTTPConnection):
    def _create_connection(self, stream):
        connection = super()._create_connection(stream)
        return ResponseConnection(stream, True, connection.params, connection.context)


class _HeadChecks:
    """Validate the heads of one response, including interim ones, from their lines."""

    def __init__(self):
        self._heads = []

    def take(self, line):
        """Take a line; no field name can start like a status line."""
        line = line.rstrip("\r\n")
        if line.startswith("HTTP/"):
            version, code, reason = line.split(" ", 2)
            self._heads.append((ResponseStartLine(version, int(code), reason), HTTPHeaders()))
        else:
            self._heads[-1][1].parse_line(line)

    def flaw(self):
        """Return why the response is not valid; empty if it is."""
        flaws = (
            head_flaw(start_line, headers, start_line.code not in BODYLESS_STATUSES)
            for start_line, headers in self._heads
        )
        return next(filter(None, flaws), "")


def decode_json(body, step, peer):
    """Return the decoded JSON `body` of a document.

    Raises
    ------
    PlatformError
        If it is not JSON, is nested too deeply or has a number of too many digits.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise PlatformError(f"not JSON: {error}", step=step, peer=peer) from None


def _retrieve_exception(request):
    if not request.cancelled():
        request.exception()
