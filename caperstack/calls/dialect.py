"""Header names and HTTP conventions of the callers and backend servers of a deployment."""

import re
from dataclasses import dataclass, field

from caperstack.calls.headers import REQUEST_ID, TIME_LEFT

__all__ = ["Dialect", "ServerReport", "UnreadableHeader", "cold_seconds", "is_whole_number"]

#: Longest time for which one response can declare its server cold, in seconds.
MAX_COLD_SECONDS = 3600.0

#: Number of leading digits of the cold header that are parsed.  A longer number without
#: leading zeros exceeds `MAX_COLD_SECONDS` in any case.
MAX_COLD_DIGITS = 9

#: Maximum number of digits of a whole number in a header.
MAX_DIGITS = 18

#: The permitted rates in the rate limit header: a plain decimal number without a sign.
RATE_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}")

#: The value of the leaving header of a server that is leaving.
LEAVING = "1"

#: Length to which an unreadable header is cut before it is reported, in characters.
MAX_UNREADABLE_CHARACTERS = 60


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
    rate_limit : str
        Requests per second that the server accepts from all hosts together.
    leaving : str
        Marks each response of a server that is leaving.
    traces : bool
        Whether the node adds ``Traceparent``, ``Forwarded`` and the call depth.
    ends_with_connection : bool
        Whether a response without a length is complete when its server
        closes the connection without an error.  If false, such a response is
        an error, since a server that crashes midway closes it in the same way.
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
    rate_limit: str = ""
    leaving: str = ""
    traces: bool = True
    ends_with_connection: bool = False
    fractional_seconds: bool = False


def is_whole_number(text):
    """Return whether `text` has only ASCII digits, and few enough for a number to make sense.

    Notes
    -----
    `str.isdigit` also accepts characters such as superscripts, for which `int` raises.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


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


@dataclass(frozen=True, slots=True)
class UnreadableHeader:
    """A header of a response that the dialect defines but whose value has no meaning there."""

    name: str
    value: str


@dataclass(slots=True)
class ServerReport:
    """What a backend server reports about itself in the headers of a response.

    Attributes
    ----------
    instance : str
        Instance that sent the response; empty if not reported.
    running, waiting, slots : int
        Running requests, queued requests and slots; `slots` is 0 if the load
        is not reported.
    pace : float
        Slowdown: current service time relative to the nominal one.
    states_rate_limit : bool
        Whether the response states a rate limit, readable or not.
    rate_limit : float or None
        Requests per second that the server accepts from all hosts together; ``None`` if
        it is not stated or not readable.
    leaving : bool
        Whether the server states that it is leaving.
    probed : bool
        Whether the response is one of the health path.
    successful : bool
        Whether the status of the response is one of success.
    unreadable : list of UnreadableHeader
        Rate limit and leaving headers whose values could not be parsed.
    """

    instance: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    pace: float = 1.0
    states_rate_limit: bool = False
    rate_limit: float | None = None
    leaving: bool = False
    probed: bool = False
    successful: bool = True
    unreadable: list = field(default_factory=list)

    @classmethod
    def read(cls, headers, dialect, probed=False, successful=True):
        """Return the report in response `headers`.

        Parameters
        ----------
        headers : tornado.httputil.HTTPHeaders
            Headers of the response.
        dialect : Dialect
            Gives the names of the headers.
        probed : bool
            Whether the response is one of the health path.
        successful : bool
            Whether the status of the response is one of success.
        """
        report = cls(_value(headers, dialect.instance), probed=probed, successful=successful)
        report._read_load(_value(headers, dialect.load))
        report._read_rate_limit(_value(headers, dialect.rate_limit), dialect)
        report._read_leaving(_value(headers, dialect.leaving), dialect)
        return report

    def _read_load(self, text):
        figures = [figure.strip() for figure in text.split(",")]
        if len(figures) < 3 or not all(map(is_whole_number, figures)):
            return
        self.running, self.waiting, self.slots = (int(figure) for figure in figures[:3])
        percent = int(figures[3]) if len(figures) > 3 else 100
        self.pace = max(percent, 1) / 100

    def _read_rate_limit(self, text, dialect):
        if not text:
            return
        self.states_rate_limit = True
        if RATE_PATTERN.fullmatch(text):
            self.rate_limit = float(text)
        else:
            self._add_unreadable(dialect.rate_limit, text)

    def _read_leaving(self, text, dialect):
        self.leaving = text == LEAVING
        if text and not self.leaving:
            self._add_unreadable(dialect.leaving, text)

    def _add_unreadable(self, name, text):
        self.unreadable.append(UnreadableHeader(name, text[:MAX_UNREADABLE_CHARACTERS]))


def _value(headers, name):
    """Return the value of the header `name`; empty if it is absent or has no name."""
    return headers.get(name, "").strip() if name else ""
