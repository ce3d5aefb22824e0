"""Structured logging: JSON lines on a descriptor, rate-limited and never blocking."""

import os
from collections import defaultdict, deque
from functools import partial

import msgspec

from caperstack.clock import wall_microseconds
from caperstack.events.line_limits import DroppedLines, LineRateLimiter

__all__ = ["LINES_PER_SECOND", "LogWriter"]

#: Default limit on lines per second about single requests.
LINES_PER_SECOND = 300

#: Limit on lines per second about state changes.  Starting a node in a fleet of
#: 195 hosts writes 400 of them.
STATE_LINES_PER_SECOND = 400

#: Limit on lines per second about failed requests, written by the entry node.
FAILURE_LINES_PER_SECOND = 200

#: Limit on lines per second for each kind and reason of refusal.
REFUSAL_LINES_PER_SECOND = 10

#: Number of refusal labels (kind and reason) with a limit of their own, and the
#: characters of the reason that a label keeps.
MAX_REASONS = 100
MAX_REASON_LENGTH = 60

DROPPED_LINES_KIND = "lines left out"

#: Lines buffered for a slow reader; about 150 kB at 300 bytes a line.
MAX_BUFFERED_LINES = 500

_encoder = msgspec.json.Encoder(enc_hook=str)


class LogWriter:
    """Write JSON lines to a descriptor without ever blocking.

    Parameters
    ----------
    descriptor : int or None
        The descriptor to write to; ``None`` disables the log.
    host : str
        Name of this host, written in each line.
    lines_per_second : int
        Limit on lines per second about requests.  Lines beyond it are dropped and
        counted; the next line written carries the count.

    Notes
    -----
    State changes, failures reported to callers and all other lines about requests
    have separate limits, so that a burst of one kind does not use up the limit of the
    others.  Refusals count towards the limit of requests, and are also limited per
    reason.  At most once a second a line reports the dropped lines by kind and reason.

    Lines that the descriptor does not take yet wait in a bounded buffer; once it is
    full, further lines are dropped and counted.  A reader that stops reading
    therefore never blocks the process.
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
        """Number of lines dropped since the start."""
        return self._dropped.total

    def line(self, kind, **fields):
        """Write a line about a step of a request, if the limit allows."""
        self._write_limited(self._requests, kind, kind, fields)

    def state(self, kind, **fields):
        """Write a line about a state change, or about the start or stop of this process."""
        self._write_limited(self._states, kind, kind, fields)

    def failure(self, kind, **fields):
        """Write a line about how a request failed."""
        self._write_limited(self._failures, kind, kind, fields)

    def refusal(self, kind, reason, **fields):
        """Write a line about a refusal, if the limits for its reason and for requests allow."""
        label = f"{kind}: {reason[:MAX_REASON_LENGTH]}"
        if label not in self._refusals and len(self._refusals) >= MAX_REASONS:
            label = kind
        if self._refusals[label].allow_line():
            self._write_limited(self._requests, label, kind, {"reason": reason} | fields)
        else:
            self._drop(label)

    def log_dropped_counts(self):
        """Write a line with the counts of dropped lines, if one is due."""
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
                # The reader has closed its end, so this error cannot be logged either.
                self._descriptor = None
                return
            self._partial_line = data[written:]
            if self._partial_line:
                return
