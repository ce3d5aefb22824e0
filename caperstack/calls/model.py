"""Calls, the load and state of backend servers, and the outcomes of calls."""

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
    "run_id",
]

#: Number of ids reserved for each microsecond of the start time.  Ids of successive
#: starts collide only if a node makes more calls than this per microsecond.  Ids
#: must fit into the 63 bits that the codec allows.
IDS_PER_MICROSECOND = 512

#: Slowdown from which on a host takes no call that could run elsewhere.  Another tenant
#: uses its processor for a few hundred milliseconds; a long call that starts there
#: takes four times as long and misses its objective, while a refusal costs only one
#: exchange of messages between nodes.
SLOWED_PACE = 1.8

#: Mean time until a slow phase of a host ends, in seconds.  Half of a phase of 300 ms is
#: 0.15 s; the mean is higher because one phase in four is directly followed by another.
SLOW_PHASE_LEFT_SECONDS = 0.2

#: Assumed service time of a route without answered calls, as a share of the objective.
#: Operators set objectives of 2.7 times the baseline service time: in the settings of
#: two sites, 600 ms for 220 ms, 800 for 290, 1,500 for 550 and 150 for 55.
WORK_SHARE = 0.37


class ServerState:
    """State of a backend server, or of its node, that the node reports to its peers.

    Attributes
    ----------
    WARM : int
        The backend server takes calls without restriction.
    COLD : int
        The backend server has started recently and takes fewer calls.
    DRAINING : int
        The backend server is draining; it may return to service.
    DOWN : int
        The backend server is unreachable.
    STOPPING : int
        The node is shutting down; only a new incarnation of it returns.
    EVACUATED : int
        Operators have evacuated the availability zone; the server may return
        to service.
    """

    WARM = 0
    COLD = 1
    DRAINING = 2
    DOWN = 3
    STOPPING = 4
    EVACUATED = 5


def run_id(instance, born_ms):
    """Return the identifier of one run of a backend server.

    Parameters
    ----------
    instance : str
        Name of its instance, which a restarted server may keep.
    born_ms : int
        Its start time in milliseconds since 1970; 0 if unknown.
    """
    return f"{instance}@{born_ms}"


@dataclass(slots=True)
class Load:
    """Load of a backend server as known to its owner.

    Attributes
    ----------
    in_flight, queued, limit : int
        Running calls, queued calls, and the concurrency limit.
    service_us : int
        Recent service time in microseconds, including calls that are still
        running; 0 before the first response.
    state : int
        A `ServerState`.
    failing : int
        Share of recent calls that failed, in percent.
    published : int
        Calls in flight that the backend server's load endpoint last reported.
    pace : int
        Slowdown of the host: current service time in percent of its recent
        baseline.
    rate_limit : int
        Requests per 1000 seconds that the backend server accepts from all hosts
        together; 0 if it states no limit, and at least 1 otherwise.
    rate_wait_ms : int
        Milliseconds until this limit lets a call start that arrives now.
    leaving_run : str
        The `run_id` of the backend server if it states in its answers that it is
        leaving; empty otherwise.
    link_wait_ms : int
        Milliseconds until the host's link has room for a further large body.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 1
    service_us: int = 0
    state: int = ServerState.WARM
    failing: int = 0
    published: int = 0
    pace: int = 100
    rate_limit: int = 0
    rate_wait_ms: int = 0
    leaving_run: str = ""
    link_wait_ms: int = 0


@dataclass(slots=True)
class Call:
    """A caller's request, or one attempt at it.

    Attributes
    ----------
    id : int
        Identifies the attempt among those of its `origin`.
    origin : str
        Host of the entry node that made the attempt.
    request_id : str
        Identifies the request in headers, logs and events of all hosts.
    service : str
        Service whose backend servers may get the call.
    idempotent : bool
        Whether the call may run more than once.
    deadline, queue_until : float
        Times on the local monotonic clock: when the caller stops waiting, and
        until when the call may wait for a slot.
    criticality : int
        A `caperstack.config.tree.Criticality`.
    key : str
        The caller's idempotency key; empty if it gave none.
    depth : int
        Depth of the call in its call tree; 0 for the root.
    sent_at : float
        Time at which the attempt was handed to its owner; 0 before.
    last : bool
        Whether no other backend server is left to try.
    route : str
        Name of the route; service times are learnt for each route.
    objective_at : float
        Time on the local monotonic clock until which a response has its full
        value; 0 if that is the deadline.
    attempts : int
        Maximum number of backend servers that the call may be sent to.
    running_at_start : int
        Number of calls running on the backend server when this one started,
        including itself, if further calls were queued; else 0.
    start_expected_at : float
        Estimated start time, if the call had to wait for a slot; else 0.
    fingerprint : caperstack.calls.fingerprint.Fingerprint
        Identifies the request; the same for each attempt.
    withheld : object
        ``await withheld.fetch(limit)`` transfers the body if the entry has kept
        it until the call starts; ``None`` if `body` is present.
    notes : list of (float, str)
        Times and descriptions of what this node did with the call, for the
        recorded events.
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
    """The backend server sent a complete response."""

    status: int
    reason: str
    headers: list
    body: bytes


@dataclass(slots=True)
class NotRun:
    """The call did not run and will not run.

    Attributes
    ----------
    reason : str
        Reason that the caller gets.
    retry_after : float
        Seconds after which a retry is useful.
    status : int
        HTTP status for the caller.
    offered : bool
        Whether a backend server received the call and refused it.
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
    reason : str
        Reason that the caller gets.
    status : int
        HTTP status for the caller.
    end : int
        Identifies the crash of the backend server to which the call was sent; 0 if
        the server did not crash, or not because of the call.
    """

    reason: str
    status: int = 502
    end: int = 0


Outcome = Answered | NotRun | Unknown


def initial_estimate_seconds(call):
    """Return an initial estimate of the service time of `call`, in seconds.

    Returns
    -------
    float
        `WORK_SHARE` of the time until the objective; 0 if the call has none.

    Notes
    -----
    Used until responses of the route have been measured, for example after all
    nodes were killed at once and restarted.  With a fixed estimate of 20 ms for a
    service time of 220 ms, every owner expected a free slot within 37 ms but refused
    after a second, and entries tried another owner after 5 ms.  The objective gives
    the order of magnitude of the service time; the deadline does not, as it is often
    ten times as long.
    """
    if not call.objective_at or call.objective_at >= call.deadline:
        return 0.0
    return max(0.0, WORK_SHARE * (call.objective_at - now()))


def call_ids():
    """Return an iterator over call ids that differ from those of earlier starts.

    Notes
    -----
    The upper bits hold the wall-clock time of the start.  Owners may still remember
    ids of the node's previous incarnation, which must not be used again.
    """
    return itertools.count(wall_microseconds() * IDS_PER_MICROSECOND)
