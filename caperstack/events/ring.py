"""A ring buffer of recent events, ordered causally by a hybrid logical clock."""

import asyncio
from collections import deque
from dataclasses import asdict, dataclass

from caperstack.calls.model import Answered, NotRun
from caperstack.clock import now, wall_microseconds
from caperstack.events.log import LogWriter

__all__ = ["Event", "EventRing", "HybridClock"]

#: Events kept; at about 300 bytes each, at most 1 MB.
MAX_EVENTS = 3000

#: A successful call that took longer than this, in seconds, is recorded as well.
SLOW_CALL_SECONDS = 0.25

#: One call in this many is recorded in any case.
SAMPLE_INTERVAL_CALLS = 1000

#: Interval between reports of dropped log lines, in seconds.
DROPPED_LINES_SECONDS = 1.0


class HybridClock:
    """A hybrid logical clock: wall time in microseconds, never behind a peer's timestamp.

    Attributes
    ----------
    max_ahead_us : int
        The furthest that a peer's timestamp was ahead of the local wall clock.

    References
    ----------
    .. [1] Kulkarni, Demirbas, Madappa, Avva, Leone: "Logical Physical Clocks",
       OPODIS 2014.
    """

    def __init__(self):
        self._last = 0
        self.max_ahead_us = 0

    def tick(self):
        """Return the next timestamp, later than all earlier ones."""
        self._last = max(self._last + 1, wall_microseconds())
        return self._last

    def merge(self, remote):
        """Advance to a peer's timestamp, so that the next local one is later."""
        if remote > self._last:
            self._last = remote
            self.max_ahead_us = max(self.max_ahead_us, remote - wall_microseconds())


@dataclass(slots=True)
class Event:
    """One event.

    Attributes
    ----------
    clock : int
        Timestamp of the hybrid clock, by which events are ordered, in microseconds.
    wall_us : int
        Time of the local wall clock, in microseconds since the epoch.
    """

    clock: int
    wall_us: int
    host: str
    kind: str
    request_id: str
    service: str
    text: str


class EventRing:
    """The latest events of this node, kept in memory only.

    Notes
    -----
    State changes go to the ring and to the log.  Decisions on calls and refusals go to
    the log only.  The outcome of each call goes to the log; the steps and the outcome
    go to the ring only if the call was slow, failed or sampled.
    """

    def __init__(self, host, log=None, events=MAX_EVENTS):
        self._host = host
        self._log = log or LogWriter(None)
        self._ring = deque(maxlen=events)
        self._calls = 0
        self._task = None
        self.clock = HybridClock()

    async def start(self, kernel):
        """Start the periodic report of dropped log lines."""
        self._task = asyncio.create_task(self._log_dropped_counts())

    async def stop(self):
        """Stop the periodic report."""
        if self._task is not None:
            self._task.cancel()

    async def _log_dropped_counts(self):
        while True:
            await asyncio.sleep(DROPPED_LINES_SECONDS)
            self._log.log_dropped_counts()

    def add(self, kind, text, request_id="", service="", ago=0.0):
        """Add an event that happened `ago` seconds before now, with its timestamps set back."""
        clock = self.clock.tick()
        back = int(ago * 1e6)
        event = Event(
            clock - back, wall_microseconds() - back, self._host, kind, request_id, service, text
        )
        self._ring.append(event)

    def state(self, subject, old, new, peer="", **inputs):
        """Record a state change of `subject`, in the ring and in the log with its `inputs`."""
        where = f" of {peer}" if peer else ""
        self.add("state", f"{subject}{where}: {old} -> {new}")
        self._log.state("state", subject=subject, peer=peer, old=str(old), new=str(new), **inputs)

    def decision(self, step, call, **inputs):
        """Log a decision on `call`, with the inputs that led to it."""
        self._log.line(step, id=call.request_id, service=call.service, route=call.route, **inputs)

    def refusal(self, step, call, reason, **inputs):
        """Log that `call` was refused, with the inputs that led to it."""
        self._log.refusal(
            step, reason, id=call.request_id, service=call.service, route=call.route, **inputs
        )

    def log_state(self, kind, **fields):
        """Log a state change without recording an event."""
        self._log.state(kind, **fields)

    def failure(self, kind, **fields):
        """Log the failure of a request for which no call object exists."""
        self._log.failure(kind, **fields)

    def call(self, role, call, outcome, begun):
        """Log the outcome of a call, and record its steps if it was slow, failed or sampled.

        Parameters
        ----------
        role : str
            The role of this node in the call: ``"entry"`` or ``"owner"``.
        call : caperstack.calls.model.Call
            The call, with the notes of its steps.
        outcome : Answered, NotRun or Unknown
            How it ended.
        begun : float
            When it began here, on the local monotonic clock in seconds.
        """
        self._calls += 1
        elapsed = now() - begun
        successful = isinstance(outcome, Answered) and outcome.status < 500
        # The entry logs failures under a separate limit, because the search from a
        # request id to the cause of its failure starts with this line.
        write = self._log.line if successful or role != "entry" else self._log.failure
        write(
            f"{role} outcome",
            id=call.request_id,
            outcome=_describe_outcome(outcome, elapsed),
            left_ms=round((call.deadline - now()) * 1000),
            objective_ms=round(((call.objective_at or call.deadline) - now()) * 1000),
        )
        if successful and elapsed < SLOW_CALL_SECONDS and self._calls % SAMPLE_INTERVAL_CALLS:
            return
        moment = now()
        for point, text in call.notes:
            self.add(role, text, call.request_id, call.service, moment - point)
        self.add(role, _describe_outcome(outcome, elapsed), call.request_id, call.service)

    def since(self, clock=0, request_id="", service=""):
        """Return the events after `clock` as dicts, filtered by request or service."""
        return [
            asdict(event)
            for event in self._ring
            if event.clock > clock
            and request_id in ("", event.request_id)
            and service in ("", event.service)
        ]


def _describe_outcome(outcome, elapsed):
    took = f"after {elapsed * 1000:.1f} ms"
    if isinstance(outcome, Answered):
        return f"answered {outcome.status} {took}"
    if isinstance(outcome, NotRun):
        return f"not run ({outcome.reason}) {took}"
    return f"unknown ({outcome.reason}) {took}"
