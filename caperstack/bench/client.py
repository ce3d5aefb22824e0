"""An HTTP client for benchmarks and tests that accepts any status as an answer."""

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

__all__ = ["request"]

MAX_BODY = 256 * 1024 * 1024


async def request(address, method, path, headers=None, body=b"", seconds=30.0):
    """Send one HTTP request.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    seconds : float
        The timeout of the connection and of the whole request, in seconds.

    Returns
    -------
    response : tornado.httpclient.HTTPResponse
        The response, whatever its status.  The call raises only if none arrives.
    """
    client = AsyncHTTPClient(max_body_size=MAX_BODY, max_buffer_size=MAX_BODY, max_clients=10_000)
    return await client.fetch(
        HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=headers,
            body=body or (b"" if method in ("POST", "PUT", "PATCH") else None),
            allow_nonstandard_methods=True,
            request_timeout=seconds,
            connect_timeout=seconds,
        ),
        raise_error=False,
    )
