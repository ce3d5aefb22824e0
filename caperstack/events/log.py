"""Log lines: JSON on a descriptor, bounded in rate, never waiting for the reader."""

import os
from collections import deque

import msgspec

from caperstack.clock import deadline_after, now, wall_microseconds

__all__ = ["LINES_PER_SECOND", "LogWriter"]

#: The default bound on lines a second.  A node at half a core handles some 60
#: calls a second with four lines each; a line costs 20 microseconds (measured),
#: so the bound keeps logs below one percent of a core.
LINES_PER_SECOND = 300

#: Lines that wait for a reader that is slow; at 300 bytes each, 150 kB.
WAITING_MOST = 500

_encoder = msgspec.json.Encoder(enc_hook=str)


class LogWriter:
    """Write structured lines to a descriptor without ever blocking.

    Parameters
    ----------
    descriptor : int or None
        Where lines go; ``None`` writes nothing.
    host : str
        Stands in each line.
    lines_per_second : int
        Further lines of a second are left out and counted; the next line that
        is written tells how many.

    Notes
    -----
    Failure: whoever reads the log stops reading, the pipe fills, and a process
    that waits for it stops serving.  Here what cannot be written waits in a
    bounded queue, and beyond it is left out and counted.
    """

    def __init__(self, descriptor, host="", lines_per_second=LINES_PER_SECOND):
        self._descriptor = descriptor
        self._host = host
        self._most = lines_per_second
        self._written = 0
        self._second_ends = 0.0
        self._omitted = 0
        self._waiting = deque()
        self._rest = b""
        self.omitted = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def line(self, kind, **fields):
        """Write a line of that kind with `fields`, if the bound allows."""
        if self._descriptor is None:
            return
        if now() >= self._second_ends:
            self._second_ends = deadline_after(1.0)
            self._written = 0
        if self._written >= self._most or len(self._waiting) >= WAITING_MOST:
            self._omitted += 1
            self.omitted += 1
            return
        self._written += 1
        head = {"at_us": wall_microseconds(), "host": self._host, "kind": kind}
        if self._omitted:
            head["lines_left_out"] = self._omitted
            self._omitted = 0
        self._waiting.append(_encoder.encode(head | fields) + b"\n")
        self._flush()

    def _flush(self):
        while self._rest or self._waiting:
            data = self._rest or self._waiting.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more: there is nowhere left to say so.
                self._descriptor = None
                return
            self._rest = data[written:]
            if self._rest:
                return
