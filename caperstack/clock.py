"""Points in time on the local monotonic clock, and how late a message came."""

import contextlib
import time

from caperstack import STARTED_AT

__all__ = [
    "TransitClock",
    "deadline_after",
    "now",
    "process_start",
    "suspended_seconds",
    "time_left",
    "use_source",
    "wall_microseconds",
]

#: How long one minimum of the transit offset is trusted, in seconds.  Host
#: clocks drift by up to 100 ppm, so a minute adds 6 ms of error at the most.
OFFSET_WINDOW_SECONDS = 60.0

_source = time.monotonic


def now():
    """Return the point in time, in seconds on the local monotonic clock."""
    return _source()


@contextlib.contextmanager
def use_source(source):
    """Let ``source()`` tell the time meanwhile, for plays in virtual time."""
    global _source
    before, _source = _source, source
    try:
        yield
    finally:
        _source = before


def process_start():
    """Return the point at which this process began; in a play, now."""
    return STARTED_AT if _source is time.monotonic else now()


def deadline_after(seconds):
    """Return the point on the monotonic clock that lies `seconds` ahead."""
    return now() + seconds


def time_left(deadline):
    """Return the seconds until `deadline`; negative once it has passed."""
    return deadline - now()


def suspended_seconds():
    """Return for how long the host was suspended since its start, in seconds.

    The monotonic clock does not count that time, the boot clock does.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - now()


def wall_microseconds():
    """Return the wall clock in microseconds since the epoch."""
    return time.time_ns() // 1000


class TransitClock:
    """Estimate how late each message of one connection arrived.

    The sender stamps each message with its own monotonic clock.  The smallest
    difference of arrival and stamp seen lately stands for an undelayed
    message; whatever a message needs beyond that is its lateness, with no
    synchronised clocks.

    Notes
    -----
    Failure: a node is stopped while a request waits in its socket buffer.  On
    waking, the time left that the request carries looks untouched, and a
    request whose caller was told the outcome long ago would run.  The lateness
    taken off the time left makes such a request expire on arrival.  The first
    message of a connection counts as undelayed; the handshake, which is sent
    when both sides are awake, is that message.
    """

    def __init__(self):
        self._offset = None
        self._previous_offset = None
        self._window_end = 0.0

    def lateness(self, stamp, arrival):
        """Return the seconds that a message was delayed beyond the usual.

        Parameters
        ----------
        stamp : float
            The sender's monotonic clock at sending, in seconds.
        arrival : float
            The local monotonic clock at arrival, in seconds.

        Returns
        -------
        float
            Seconds, zero or more.
        """
        offset = arrival - stamp
        if arrival >= self._window_end:
            self._previous_offset = self._offset
            self._offset = offset
            self._window_end = arrival + OFFSET_WINDOW_SECONDS
        elif offset < self._offset:
            self._offset = offset
        floor = self._offset
        if self._previous_offset is not None and self._previous_offset < floor:
            floor = self._previous_offset
        return offset - floor if offset > floor else 0.0
