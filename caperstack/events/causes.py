"""Find out from the log lines of all nodes why requests were refused, late or failed."""

import json
import re
from collections import Counter
from dataclasses import dataclass, field

__all__ = ["RequestTrace", "Window", "read_traces", "split_into_windows"]

#: How each log line of a node begins; any prefix of a log collector is skipped.
LINE_START = '{"at_us"'

#: Slowdown (how many times its nominal duration work takes on a host) from which a
#: host counts as slowed.
SLOWED_PACE = 1.8

#: Worth of a late answer, as a share of the worth of one in time.
LATE_WORTH = 0.1

_OUTCOME = re.compile(r"(answered|not run|unknown)(?: (\d+))?(?: \((.*)\))? after ([\d.]+) ms")


@dataclass(slots=True)
class RequestTrace:
    """The log lines of one request, from all nodes.

    Attributes
    ----------
    lines : list of dict
        Log lines in order of time.
    """

    lines: list = field(default_factory=list)

    def lines_of(self, kind):
        """Return the lines of `kind`."""
        return [line for line in self.lines if line["kind"] == kind]

    @property
    def reported_at_us(self):
        """When the caller got the outcome, in microseconds since 1970; ``None`` if not logged."""
        outcomes = self.lines_of("entry outcome")
        return outcomes[-1]["at_us"] if outcomes else None

    @property
    def route(self):
        """The route, or ``"?"`` if the lines that name it were dropped."""
        return next((line["route"] for line in self.lines if "route" in line), "?")

    @property
    def cause(self):
        """Why the request was not answered in time, in a few words; empty if it was.

        The outcome must have been logged, see `reported_at_us`.
        """
        outcome = self.lines_of("entry outcome")[-1]
        match = _OUTCOME.match(outcome["outcome"])
        result, status, reason = match[1], match[2], match[3]
        if result == "not run":
            return f"refused {self._refusal_stage()}: {reason}"
        if result == "unknown":
            return f"failed: {reason}"
        if int(status) >= 500:
            return f"failed: the backend server answered {status}"
        return self._lateness_cause() if outcome.get("objective_ms", 0) < 0 else ""

    @property
    def late(self):
        """Whether the request was answered, but not in time."""
        return self.cause.startswith("late")

    def _refusal_stage(self):
        if self.lines_of("owner queues"):
            return "after waiting"
        return "at arrival" if self.lines_of("owner refuses") else "at the entry"

    def _lateness_cause(self):
        sends = self.lines_of("owner sends")
        waited_ms = self._waited_ms()
        if len(sends) > 1:
            return "late: sent more than once"
        if waited_ms > -self.lines_of("entry outcome")[-1]["objective_ms"]:
            return "late: by waiting for a slot"
        if sends and sends[0]["pace"] >= SLOWED_PACE:
            return "late: by work on a slowed host"
        return "late: by work, or by calls that it made" if sends else "late: lines left out"

    def _waited_ms(self):
        queued = self.lines_of("owner queues")
        sent = self.lines_of("owner sends")
        return (sent[-1]["at_us"] - queued[-1]["at_us"]) / 1000 if queued and sent else 0.0


@dataclass(slots=True)
class Window:
    """Totals of the requests that ended in one window of time.

    Attributes
    ----------
    start_seconds : float
        Start of the window, in seconds after the first outcome.
    request_count : int
        Number of requests that ended in the window.
    worth_offered : float
        What these requests are worth if all are answered in time.
    worth_lost : Counter
        Worth lost, by route and cause.
    counts : Counter
        Number of requests not answered in time, by route and cause.
    slot_refusals : Counter
        Refusals because no slot was free in time: how many with all slots taken,
        and how many while free slots were withheld because the host was slowed.
    """

    start_seconds: float
    request_count: int = 0
    worth_offered: float = 0.0
    worth_lost: Counter = field(default_factory=Counter)
    counts: Counter = field(default_factory=Counter)
    slot_refusals: Counter = field(default_factory=Counter)

    @property
    def credit(self):
        """The share of the offered worth that was earned."""
        return (
            1.0 - sum(self.worth_lost.values()) / self.worth_offered if self.worth_offered else 1.0
        )

    def add(self, trace, worth):
        """Add one request that ended in this window."""
        self.request_count += 1
        self.worth_offered += worth
        cause = trace.cause
        if not cause:
            return
        key = (trace.route, cause)
        self.counts[key] += 1
        self.worth_lost[key] += worth * (1 - LATE_WORTH) if trace.late else worth
        for line in trace.lines_of("owner refuses"):
            if line["reason"] == "no slot in time":
                free = line["running"] < line["limit"]
                self.slot_refusals["slots free, host slowed" if free else "all slots taken"] += 1


def read_traces(lines):
    """Group log lines by request.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of nodes; lines without a JSON object of a node are
        skipped.

    Returns
    -------
    traces : dict of str to RequestTrace
        By request id.
    left_out : int
        Number of lines that the nodes reported as dropped.
    """
    traces = {}
    left_out = 0
    for record in _parse_lines(lines):
        left_out += record.get("lines_left_out", 0)
        if "id" in record:
            traces.setdefault(record["id"], RequestTrace()).lines.append(record)
    for trace in traces.values():
        trace.lines.sort(key=lambda line: line["at_us"])
    return traces, left_out


def _parse_lines(lines):
    for line in lines:
        begin = line.find(LINE_START)
        if begin < 0:
            continue
        try:
            yield json.loads(line[begin:])
        except ValueError:
            # A log can end in the middle of a line.
            continue


def split_into_windows(traces, seconds, worths):
    """Return the totals of `traces` in windows of equal length, in order of time.

    Parameters
    ----------
    traces : dict of str to RequestTrace
        By request id.
    seconds : float
        Length of a window.
    worths : dict of str to float
        Worth of an answer in time by route; 1 for routes not listed.
    """
    ended = [trace for trace in traces.values() if trace.reported_at_us is not None]
    first = min((trace.reported_at_us for trace in ended), default=0)
    windows = {}
    for trace in ended:
        index = int((trace.reported_at_us - first) / 1e6 / seconds)
        window = windows.setdefault(index, Window(index * seconds))
        window.add(trace, worths.get(trace.route, 1.0))
    return [windows[index] for index in sorted(windows)]
