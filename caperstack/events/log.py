"""Log lines: JSON on a descriptor, bounded in rate, never waiting for the reader."""

import os
from collections import defaultdict, deque
from functools import partial

import msgspec

from caperstack.clock import wall_microseconds
from caperstack.events.line_limits import DroppedLines, LineRateLimiter

__all__ = ["LINES_PER_SECOND", "LogWriter"]

#: The default bound on lines a second about single requests.
LINES_PER_SECOND = 300

#: Lines a second about what this process believes: a start in a fleet of 195
#: hosts writes 400 of them.
STATE_LINES_PER_SECOND = 400

#: Lines a second that tell a request's failure to its caller's node.
FAILURE_LINES_PER_SECOND = 200

#: Lines a second for each kind and reason of refusal.
REFUSAL_LINES_PER_SECOND = 10

#: Reasons of refusals that are told apart, and how much of a reason is told in a
#: count of omitted lines, in characters.
MAX_REASONS = 100
MAX_REASON_LENGTH = 60

DROPPED_LINES_KIND = "lines left out"

#: Lines that wait for a reader that is slow; at 300 bytes each, 150 kB.
MAX_BUFFERED_LINES = 500

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
        Further lines of a second about requests are left out and counted; the next
        line that is written tells how many.

    Notes
    -----
    Lines are of four classes, each with a bound of its own, so that a storm of one
    class leaves the others whole: changes of what this process believes, failures
    told to callers, refusals by reason, and all other steps of requests.  Once a
    second a line tells by kind and reason what was left out.

    What cannot be written waits in a bounded queue, and beyond it is left out and
    counted: a reader that stops never blocks the process.
    """

    def __init__(self, descriptor, host="", lines_per_second=LINES_PER_SECOND):
        self._descriptor = descriptor
        self._host = host
        self._requests = LineRateLimiter(lines_per_second)
        self._states = LineRateLimiter(STATE_LINES_PER_SECOND)
        self._failures = LineRateLimiter(FAILURE_LINES_PER_SECOND)
        self._refusals = defaultdict(partial(LineRateLimiter, REFUSAL_LINES_PER_SECOND))
        self._dropped = DroppedLines()
        self._unreported_drops = 0
        self._buffer = deque()
        self._partial_line = b""
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    @property
    def dropped_count(self):
        """How many lines were left out since the start."""
        return self._dropped.total

    def line(self, kind, **fields):
        """Write a line about a step of a request, if the bound allows."""
        self._write_limited(self._requests, kind, kind, fields)

    def state(self, kind, **fields):
        """Write a line about what this process believes, or about its start and stop."""
        self._write_limited(self._states, kind, kind, fields)

    def failure(self, kind, **fields):
        """Write the line that tells how a request failed."""
        self._write_limited(self._failures, kind, kind, fields)

    def refusal(self, kind, reason, **fields):
        """Write a line about a refusal, if the bounds of its reason and of requests allow."""
        label = f"{kind}: {reason[:MAX_REASON_LENGTH]}"
        if label not in self._refusals and len(self._refusals) >= MAX_REASONS:
            label = kind
        if self._refusals[label].allow_line():
            self._write_limited(self._requests, label, kind, {"reason": reason} | fields)
        else:
            self._drop(label)

    def log_dropped_counts(self):
        """Write a line that counts what was left out, if one is due."""
        counts = self._dropped.pop_due_counts()
        if counts:
            self._write(DROPPED_LINES_KIND, {"counts": counts})

    def _write_limited(self, limiter, label, kind, fields):
        if self._descriptor is None:
            return
        self.log_dropped_counts()
        if limiter.allow_line() and len(self._buffer) < MAX_BUFFERED_LINES:
            self._write(kind, fields)
        else:
            self._drop(label)

    def _drop(self, label):
        self._unreported_drops += 1
        self._dropped.add(label)

    def _write(self, kind, fields):
        head = {"at_us": wall_microseconds(), "host": self._host, "kind": kind}
        if self._unreported_drops:
            head["lines_left_out"] = self._unreported_drops
            self._unreported_drops = 0
        self._buffer.append(_encoder.encode(head | fields) + b"\n")
        self._flush()

    def _flush(self):
        while self._partial_line or self._buffer:
            data = self._partial_line or self._buffer.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more: there is nowhere left to say so.
                self._descriptor = None
                return
            self._partial_line = data[written:]
            if self._partial_line:
                return
