"""The header names and habits of the callers and backend servers of one deployment."""

from dataclasses import dataclass

from caperstack.calls.headers import REQUEST_ID, TIME_LEFT

__all__ = ["Dialect", "ServerReport", "cold_seconds"]

#: A server counts as cold for at most so long after each word of it, in seconds, and
#: digits of the header beyond that are not read.
MAX_COLD_SECONDS = 3600.0
MAX_COLD_DIGITS = 9


@dataclass(frozen=True, slots=True)
class Dialect:
    """What requests and answers carry; the defaults are the product's own.

    An empty name means that the header does not exist.

    Attributes
    ----------
    request_id : str
        Names the request; a backend server that echoes it shows which request
        an answer belongs to.
    time_left : str
        Milliseconds that the sender will still wait.
    caller_service : str
        The service beside which the request began; set by the entry.
    target_instance : str
        The instance that a request is meant for; another one refuses it.
    instance : str
        The instance that answers.
    not_executed : str
        Marks an answer as a refusal: the backend server did not run the request.
    load : str
        Running, waiting, slots and pace, separated by commas.
    cold : str
        Milliseconds for which the server stays cold, in answers of its health path.
    traces : bool
        Whether the node adds ``Traceparent``, ``Forwarded`` and the depth.
    ends_with_connection : bool
        Whether an answer without a length is whole when its connection closes
        without an error.  Elsewhere a server that dies looks the same.
    fractional_seconds : bool
        Whether callers read fractions of a second in ``Retry-After``.
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
    """Return for how long the server that sent `headers` stays cold, in seconds.

    Parameters
    ----------
    headers : list of (str, str)
        Of an answer of the health path.
    dialect : Dialect
        The name of the header; without it, every server is warm.

    Raises
    ------
    ValueError
        With the header's text, if it is no whole number of milliseconds.
    """
    name = dialect.cold.lower()
    text = next((value for header, value in headers if header.lower() == name), "0")
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    return min(int(text[:MAX_COLD_DIGITS]) / 1000, MAX_COLD_SECONDS)


@dataclass(slots=True)
class ServerReport:
    """What an answer told of its backend server beside the answer itself.

    Attributes
    ----------
    instance : str
        The instance that answered; empty if it did not say.
    running, waiting, slots : int
        Its load; zero slots if it did not say.
    pace : float
        How many times longer than usual work takes at this moment.
    """

    instance: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    pace: float = 1.0

    @classmethod
    def read(cls, headers, dialect):
        """Return the report in response `headers`, or ``None`` if there is none."""
        instance = headers.get(dialect.instance, "") if dialect.instance else ""
        text = headers.get(dialect.load, "") if dialect.load else ""
        figures = [figure.strip() for figure in text.split(",")]
        if len(figures) < 3 or not all(figure.isdigit() for figure in figures):
            return cls(instance) if instance else None
        running, waiting, slots = (int(figure) for figure in figures[:3])
        percent = int(figures[3]) if len(figures) > 3 else 100
        return cls(instance, running, waiting, slots, max(percent, 1) / 100)
