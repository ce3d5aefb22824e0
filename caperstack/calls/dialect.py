"""Header names and HTTP conventions of the callers and backend servers of a deployment."""

from dataclasses import dataclass

from caperstack.calls.headers import REQUEST_ID, TIME_LEFT

__all__ = ["Dialect", "ServerReport", "cold_seconds"]

#: Longest time for which one response can declare its server cold, in seconds.
MAX_COLD_SECONDS = 3600.0

#: Number of leading digits of the cold header that are parsed.  A longer number without
#: leading zeros exceeds `MAX_COLD_SECONDS` in any case.
MAX_COLD_DIGITS = 9


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names and conventions used in requests and responses.

    The defaults are caperstack's own.  A header with an empty name is not used.

    Attributes
    ----------
    request_id : str
        Identifies the request.  A backend server that echoes it shows which
        request a response belongs to.
    time_left : str
        Milliseconds for which the sender still waits.
    caller_service : str
        Service of the entry node's own backend server; set by the entry.
    target_instance : str
        Instance that the request is meant for; any other instance refuses it.
    instance : str
        Instance that sent the response.
    not_executed : str
        Marks a response as a refusal: the backend server did not run the request.
    load : str
        Running requests, queued requests, slots and slowdown in percent,
        separated by commas.
    cold : str
        Milliseconds for which the server stays cold, in responses of its health path.
    traces : bool
        Whether the node adds ``Traceparent``, ``Forwarded`` and the call depth.
    ends_with_connection : bool
        Whether a response without a length is complete when its connection
        closes without an error.  If false, such a response is an error, since
        a server that crashes midway closes its connection in the same way.
    fractional_seconds : bool
        Whether callers accept fractions of a second in ``Retry-After``.
    """

    request_id: str = REQUEST_ID
    time_left: str = TIME_LEFT
    caller_service: str = ""
    target_instance: str = ""
    instance: str = ""
    not_executed: str = ""
    load: str = ""
    cold: str = ""
    traces: bool = True
    ends_with_connection: bool = False
    fractional_seconds: bool = False


def cold_seconds(headers, dialect):
    """Return for how many seconds the server that sent `headers` stays cold.

    Parameters
    ----------
    headers : list of (str, str)
        Headers of a response of the health path.
    dialect : Dialect
        Gives the name of the header; if the name is empty, the result is 0.

    Returns
    -------
    float
        At most `MAX_COLD_SECONDS`; 0 if the header is absent.

    Raises
    ------
    ValueError
        If the header is not a whole number of milliseconds.  The message is
        the header's text.
    """
    name = dialect.cold.lower()
    text = next((value for header, value in headers if header.lower() == name), "0")
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    return min(int(text[:MAX_COLD_DIGITS]) / 1000, MAX_COLD_SECONDS)


@dataclass(slots=True)
class ServerReport:
    """Instance and load that a backend server reports in the headers of a response.

    Attributes
    ----------
    instance : str
        Instance that sent the response; empty if not reported.
    running, waiting, slots : int
        Running requests, queued requests and slots; `slots` is 0 if the load
        is not reported.
    pace : float
        Slowdown: current service time relative to the nominal one.
    """

    instance: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    pace: float = 1.0

    @classmethod
    def read(cls, headers, dialect):
        """Return the report in response `headers`; ``None`` if they contain none."""
        instance = headers.get(dialect.instance, "") if dialect.instance else ""
        text = headers.get(dialect.load, "") if dialect.load else ""
        figures = [figure.strip() for figure in text.split(",")]
        if len(figures) < 3 or not all(figure.isdigit() for figure in figures):
            return cls(instance) if instance else None
        running, waiting, slots = (int(figure) for figure in figures[:3])
        percent = int(figures[3]) if len(figures) > 3 else 100
        return cls(instance, running, waiting, slots, max(percent, 1) / 100)
