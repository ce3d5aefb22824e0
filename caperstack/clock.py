"""Times on the local monotonic clock, and the transit delay of messages."""

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

#: Length of a window over which the minimum transit offset is taken, in seconds; the
#: minimum is used in its own window and the next.  Host clocks drift by up to 100 ppm,
#: which is 6 ms in one minute.
OFFSET_WINDOW_SECONDS = 60.0

_source = time.monotonic


def now():
    """Return the current time on the local monotonic clock, in seconds."""
    return _source()


@contextlib.contextmanager
def use_source(source):
    """Use ``source()`` as the clock within the context, for simulations in virtual time."""
    global _source
    before, _source = _source, source
    try:
        yield
    finally:
        _source = before


def process_start():
    """Return the start time of this process; in a simulation, the current time."""
    return STARTED_AT if _source is time.monotonic else now()


def deadline_after(seconds):
    """Return the time on the monotonic clock `seconds` from now."""
    return now() + seconds


def time_left(deadline):
    """Return the seconds until `deadline`; negative once it has passed."""
    return deadline - now()


def suspended_seconds():
    """Return the total time that the host was suspended since it booted, in seconds.

    The boot clock includes this time, the monotonic clock does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - now()


def wall_microseconds():
    """Return the wall clock time in microseconds since the epoch."""
    return time.time_ns() // 1000


class TransitClock:
    """Estimate how much each message of one connection was delayed in transit.

    The sender stamps each message with its own monotonic clock.  The smallest
    recent difference between arrival and stamp is taken for an undelayed
    message, and the delay of a message is the excess over it.  The clocks of
    the two hosts need not be synchronised.

    Notes
    -----
    If the process of a node is stopped while a request waits in its socket
    buffer, the request still carries its full time left when the process
    resumes, and would run although its caller got an outcome long ago.
    Subtracting the delay from the time left makes such a request expire on
    arrival.  The first message of a connection counts as undelayed; this is the
    handshake, which is sent while both processes run.
    """

    def __init__(self):
        self._offset = None
        self._previous_offset = None
        self._window_end = 0.0

    def lateness(self, stamp, arrival):
        """Return by how much a message was delayed beyond an undelayed one.

        Parameters
        ----------
        stamp : float
            Time of sending on the sender's monotonic clock, in seconds.
        arrival : float
            Time of arrival on the local monotonic clock, in seconds.

        Returns
        -------
        float
            Delay in seconds, zero or more.
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
