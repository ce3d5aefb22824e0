"""Exceptions raised by caperstack."""

__all__ = [
    "BackendError",
    "CaperstackError",
    "ConfigurationError",
    "FrameError",
    "HistoryError",
    "KernelError",
    "PeerError",
    "PlatformError",
]


class CaperstackError(Exception):
    """Base class of all exceptions raised by caperstack.

    Parameters
    ----------
    message : str
        Human-readable description of the error.
    step : str
        The operation that failed.
    peer : str
        What the operation dealt with: a host, an address or a field.
    """

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        place = " ".join(part for part in (self.step, self.peer) if part)
        return f"{place}: {self.message}" if place else self.message


class ConfigurationError(CaperstackError):
    """Settings are invalid; ``peer`` names the field."""


class FrameError(CaperstackError):
    """A peer sent bytes that are not a valid frame."""


class PeerError(CaperstackError):
    """A connection to a peer could not be used; ``sent`` is false if nothing was sent.

    Notes
    -----
    ``sent`` decides whether a call may be reported as "not run", so it is false
    only if no part of the message left this process.
    """

    def __init__(self, message, *, step="", peer="", sent=True):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class BackendError(CaperstackError):
    """The backend server gave no complete answer.

    ``sent`` is false if no request was sent; ``unheard`` is true if the connection
    closed before the first byte of the answer; ``refused`` is true if the server
    refused the connection because no process listens at its address; ``closed_here`` is
    true if this node closed the connection, so that the failure is no sign of a fault of
    the server.  ``status`` is that of an answer which cannot be passed on, 0 if there was
    none; ``received`` is the number of bytes of its body that came.
    """

    def __init__(
        self,
        message,
        *,
        step="",
        peer="",
        sent=True,
        unheard=False,
        refused=False,
        closed_here=False,
        status=0,
        received=0,
    ):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.unheard = unheard
        self.refused = refused
        self.closed_here = closed_here
        self.status = status
        self.received = received


class PlatformError(CaperstackError):
    """The platform's configuration service or host list could not be read."""


class HistoryError(PlatformError):
    """The configuration service no longer has the history from which a watch would continue."""


class KernelError(CaperstackError):
    """A service could not be found, started or stopped."""
