"""A call on its way through the nodes, and the outcomes in which it can end."""

import itertools
from dataclasses import dataclass, field

from caperstack.calls.fingerprint import Fingerprint
from caperstack.clock import now, wall_microseconds

__all__ = [
    "SLOWED_PACE",
    "SLOW_PHASE_LEFT_SECONDS",
    "Answered",
    "Call",
    "Load",
    "NotRun",
    "Outcome",
    "ServerState",
    "Unknown",
    "call_ids",
    "initial_estimate_seconds",
]

#: Calls that one node can number before two starts within a microsecond could
#: meet; the identifier must stay within 63 bits for the codec.
IDS_PER_MICROSECOND = 512


#: A host on which work takes this many times the usual, or more, takes no call
#: that could run elsewhere: a neighbour has it for some hundred milliseconds.
#: A listing that starts there needs four times as long and misses its
#: objective; the refusal costs one exchange between nodes.
SLOWED_PACE = 1.8


#: How much longer a neighbour keeps the host that it has, on average, in
#: seconds: half of a visit of 300 ms, and one in four follows another.
SLOW_PHASE_LEFT_SECONDS = 0.2


#: Until calls of a route were answered, their work is taken to last this share
#: of the objective.  Operators set objectives at 2.7 times the usual work (220 ms
#: of 600, 290 of 800, 550 of 1,500, 55 of 150 on the sheets of two sites).
WORK_SHARE = 0.37


class ServerState:
    """What a node says of its backend server, or of itself.

    Attributes
    ----------
    DRAINING : int
        The backend server drains; it may come back.
    DOWN : int
        The backend server cannot be reached.
    EVACUATED : int
        Operators have evacuated its zone; it may come back.
    STOPPING : int
        The node itself ends; only another incarnation comes back.
    """

    WARM = 0
    COLD = 1
    DRAINING = 2
    DOWN = 3
    STOPPING = 4
    EVACUATED = 5


@dataclass(slots=True)
class Load:
    """The load of a backend server as its owner knows it.

    Attributes
    ----------
    in_flight, queued, limit : int
        Calls running, calls waiting, and calls allowed to run at once.
    service_us : int
        The recent service time in microseconds, calls still running included;
        0 before the first answer.
    state : int
        A `ServerState`.
    failing : int
        The share of recent calls that failed, in percent.
    published : int
        The calls in flight that the backend server's load endpoint last gave.
    pace : int
        How long work takes on the host at this moment, in percent of what it
        takes there lately.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 1
    service_us: int = 0
    state: int = ServerState.WARM
    failing: int = 0
    published: int = 0
    pace: int = 100


@dataclass(slots=True)
class Call:
    """One request of a caller, or one attempt at it.

    Attributes
    ----------
    id : int
        Names the attempt among all of its ``origin``, the host that made it.
    request_id : str
        Names the request in headers, logs and events, over all hosts.
    deadline, queue_until : float
        Points on the local monotonic clock: when the caller stops waiting, and
        until when the call may wait for a slot.
    criticality : int
        A `caperstack.config.tree.Criticality`.
    key : str
        The caller's idempotency key, or empty.
    depth : int
        How many calls lie above this one in its tree of calls.
    sent_at : float
        When an attempt was handed to its owner; 0 before.
    last : bool
        There is no other backend server left to try.
    route : str
        Names the route, under which service times are learnt.
    objective_at : float
        The point on the local monotonic clock until which an answer is worth
        most; 0 if it is the deadline.
    attempts : int
        The most backend servers that it may be sent to.
    running_at_start : int
        How many calls its backend server had at work when it began, itself
        included, if others waited on; else 0.
    start_expected_at : float
        When it was expected to start, if it had to wait for a slot; else 0.
    fingerprint : caperstack.calls.fingerprint.Fingerprint
        What it asks for, the same for each attempt at it.
    withheld : object
        With ``await fetch(limit)``, which brings the body if the entry has kept it
        until the call starts; else ``None``.
    notes : list of (float, str)
        What happened to the call here, for the time line.
    """

    id: int
    origin: str
    request_id: str
    service: str
    method: str
    target: str
    headers: list
    body: bytes
    deadline: float
    idempotent: bool
    criticality: int = 1
    key: str = ""
    depth: int = 0
    queue_until: float = 0.0
    last: bool = False
    sent_at: float = 0.0
    route: str = ""
    objective_at: float = 0.0
    attempts: int = 3
    running_at_start: int = 0
    start_expected_at: float = 0.0
    fingerprint: Fingerprint = Fingerprint()
    withheld: object = None
    notes: list = field(default_factory=list)


@dataclass(slots=True)
class Answered:
    """The backend server answered; the answer is whole."""

    status: int
    reason: str
    headers: list
    body: bytes


@dataclass(slots=True)
class NotRun:
    """The call did not run and will not.

    Attributes
    ----------
    retry_after : float
        Seconds after which another try makes sense.
    offered : bool
        Whether a backend server got the call and refused it.
    """

    reason: str
    retry_after: float = 1.0
    status: int = 503
    offered: bool = False


@dataclass(slots=True)
class Unknown:
    """The call may or may not have run.

    Attributes
    ----------
    end : int
        Names the end of the backend server that took the call; 0 if it lives, or
        if the call was not to blame.
    """

    reason: str
    status: int = 502
    end: int = 0


Outcome = Answered | NotRun | Unknown


def initial_estimate_seconds(call):
    """Return how long the work of `call` may take, in seconds; 0 if nothing tells.

    Notes
    -----
    Failure: all nodes are killed at once and start with no memory.  With a
    fixed first guess of 20 ms for work of 220 every owner promised a slot in
    37 ms and refused after a second, and entries moved on after 5 ms.  The
    objective that the call carries tells the order of magnitude; the deadline
    alone, which is often ten times the work, does not.
    """
    if not call.objective_at or call.objective_at >= call.deadline:
        return 0.0
    return max(0.0, WORK_SHARE * (call.objective_at - now()))


def call_ids():
    """Return an iterator of call identifiers, apart from those of earlier starts.

    Notes
    -----
    The start's wall clock fills the upper bits, so that the identifiers of a
    node's earlier incarnation, which an owner may still remember, stay apart.
    """
    return itertools.count(wall_microseconds() * IDS_PER_MICROSECOND)
