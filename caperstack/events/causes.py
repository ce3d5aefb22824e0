"""Why callers were refused, late or failed, joined from the log lines of all nodes."""

import json
import re
from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Story", "Window", "read_stories", "windows_of"]

#: Each line of a node's log begins so; whatever a collector puts before it is skipped.
LINE_BEGINS = '{"at_us"'

#: A host on which work takes this many times the usual counts as slowed in the table.
SLOWED_PACE = 1.8

#: What an answer that came late is worth, as a share of one in time.
LATE_WORTH = 0.1

_ENDING = re.compile(r"(answered|not run|unknown)(?: (\d+))?(?: \((.*)\))? after ([\d.]+) ms")


@dataclass(slots=True)
class Story:
    """What the nodes logged of one request.

    Attributes
    ----------
    lines : list of dict
        In the order of their time.
    """

    lines: list = field(default_factory=list)

    def of(self, kind):
        """Return the lines of that kind."""
        return [line for line in self.lines if line["kind"] == kind]

    @property
    def ended_at(self):
        """When the caller was told, in microseconds since 1970; ``None`` if no line says."""
        outcomes = self.of("entry outcome")
        return outcomes[-1]["at_us"] if outcomes else None

    @property
    def route(self):
        """The route, or ``"?"`` if the lines that name it were left out."""
        return next((line["route"] for line in self.lines if "route" in line), "?")

    @property
    def cause(self):
        """Why the caller was not answered in time, in a few words; empty if it was."""
        outcome = self.of("entry outcome")[-1]
        match = _ENDING.match(outcome["outcome"])
        ending, status, reason = match[1], match[2], match[3]
        if ending == "not run":
            return f"refused {self._refused_where()}: {reason}"
        if ending == "unknown":
            return f"failed: {reason}"
        if int(status) >= 500:
            return f"failed: the backend server answered {status}"
        return self._late() if outcome.get("objective_ms", 0) < 0 else ""

    @property
    def late(self):
        """Whether it was answered, but not in time."""
        return self.cause.startswith("late")

    def _refused_where(self):
        if self.of("owner queues"):
            return "after waiting"
        return "at arrival" if self.of("owner refuses") else "at the entry"

    def _late(self):
        sends = self.of("owner sends")
        waited = self._waited_ms()
        if len(sends) > 1:
            return "late: sent more than once"
        if waited > -self.of("entry outcome")[-1]["objective_ms"]:
            return "late: by waiting for a slot"
        if sends and sends[0]["pace"] >= SLOWED_PACE:
            return "late: by work on a slowed host"
        return "late: by work, or by calls that it made" if sends else "late: lines left out"

    def _waited_ms(self):
        queued = self.of("owner queues")
        sent = self.of("owner sends")
        return (sent[-1]["at_us"] - queued[-1]["at_us"]) / 1000 if queued and sent else 0.0


@dataclass(slots=True)
class Window:
    """What callers got in one span of time.

    Attributes
    ----------
    begins : float
        In seconds after the first line.
    lost : Counter
        Worth lost by route and cause.
    full : Counter
        Of refusals for want of a slot: how many with all slots taken, and how
        many with free slots that a slowed host held back.
    """

    begins: float
    asked: int = 0
    owed: float = 0.0
    lost: Counter = field(default_factory=Counter)
    counts: Counter = field(default_factory=Counter)
    full: Counter = field(default_factory=Counter)

    @property
    def credit(self):
        """The share of the worth asked for that was earned."""
        return 1.0 - sum(self.lost.values()) / self.owed if self.owed else 1.0

    def add(self, story, worth):
        """Count one request that ended in this window."""
        self.asked += 1
        self.owed += worth
        cause = story.cause
        if not cause:
            return
        key = (story.route, cause)
        self.counts[key] += 1
        self.lost[key] += worth * (1 - LATE_WORTH) if story.late else worth
        for line in story.of("owner refuses"):
            if line["reason"] == "no slot in time":
                free = line["running"] < line["limit"]
                self.full["slots free, host slowed" if free else "all slots taken"] += 1


def read_stories(lines):
    """Return ``(stories, left out)`` of log `lines`: a `Story` by request, and how many were cut.

    Lines that hold no JSON object of a node are passed over.
    """
    stories = {}
    left_out = 0
    for record in _records(lines):
        left_out += record.get("lines_left_out", 0)
        if "id" in record:
            stories.setdefault(record["id"], Story()).lines.append(record)
    for story in stories.values():
        story.lines.sort(key=lambda line: line["at_us"])
    return stories, left_out


def _records(lines):
    for line in lines:
        begin = line.find(LINE_BEGINS)
        if begin < 0:
            continue
        try:
            yield json.loads(line[begin:])
        except ValueError:
            # The end of a log that was cut off in the middle of a line.
            continue


def windows_of(stories, seconds, worths):
    """Return the `Window` objects of `stories`, in order of time.

    Parameters
    ----------
    stories : dict of str to Story
        By request.
    seconds : float
        The length of a window.
    worths : dict of str to float
        What an answer in time is worth, by route; 1 for others.
    """
    ended = [story for story in stories.values() if story.ended_at is not None]
    first = min((story.ended_at for story in ended), default=0)
    windows = {}
    for story in ended:
        place = int((story.ended_at - first) / 1e6 / seconds)
        window = windows.setdefault(place, Window(place * seconds))
        window.add(story, worths.get(story.route, 1.0))
    return [windows[place] for place in sorted(windows)]
