"""Convert between the data classes of a node and the messages on the wire."""

from functools import singledispatch

from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.grammar import answer_flaw
from caperstack.calls.model import Answered, Call, Load, NotRun, Unknown
from caperstack.clock import now, time_left
from caperstack.peers.messages import (
    VERSION,
    Answer,
    CallMessage,
    Hello,
    LoadReport,
    Refused,
    SuspectedEnd,
    SuspicionReport,
    Unsure,
)
from caperstack.quarantine.suspects import Crash, Suspicion

__all__ = [
    "hello_message",
    "call_from_message",
    "call_message",
    "load_from_report",
    "load_report",
    "outcome_from_reply",
    "reply_for_outcome",
    "suspicion_from",
    "suspicion_message",
]

#: Statuses that tell a caller that the outcome of its call is unknown; 503 promises that it
#: did not run.
UNKNOWN_STATUSES = frozenset((500, 502, 504))


def load_report(load):
    """Return the `LoadReport` of a `Load`."""
    return LoadReport(
        load.in_flight,
        load.queued,
        load.limit,
        load.service_us,
        load.state,
        load.failing,
        load.published,
        load.pace,
        load.rate_limit,
        load.rate_wait_ms,
        load.leaving_run,
        load.link_wait_ms,
    )


def load_from_report(report):
    """Return the `Load` of a `LoadReport`."""
    return Load(
        report.in_flight,
        report.queued,
        report.limit,
        report.service_us,
        report.state,
        report.failing,
        report.published,
        report.pace,
        report.rate_limit,
        report.rate_wait_ms,
        report.leaving_run,
        report.link_wait_ms,
    )


def call_message(call, clock, withheld=False, body_bytes_per_second=0.0):
    """Return the `CallMessage` of `call`, with its deadlines as time left.

    Parameters
    ----------
    call : caperstack.calls.model.Call
        The call to send.
    clock : int
        The sender's event clock, in microseconds.
    withheld : bool
        Whether the body is sent only when the owner requests it.
    body_bytes_per_second : float
        The rate at which a withheld body can be sent; 0 if unknown.
    """
    return CallMessage(
        call.id,
        0 if withheld else len(call.body),
        int(now() * 1e6),
        int(time_left(call.deadline) * 1e6),
        int(time_left(call.queue_until) * 1e6),
        call.request_id,
        call.service,
        call.method,
        call.target,
        call.headers,
        call.idempotent,
        call.criticality,
        call.depth,
        call.last,
        clock,
        call.route,
        int(time_left(call.objective_at or call.deadline) * 1e6),
        call.fingerprint.request,
        call.fingerprint.caller,
        withheld,
        len(call.body) if withheld else 0,
        int(body_bytes_per_second) if withheld else 0,
    )


def call_from_message(message, body, origin, arrival, lateness):
    """Return the `Call` of a `CallMessage`, with deadlines on the local clock.

    Parameters
    ----------
    origin : str
        The host that sent the call.
    arrival : float
        When it was read, in seconds on the local monotonic clock.
    lateness : float
        How much longer than an undelayed message it took to arrive, in seconds; see
        `caperstack.clock.TransitClock`.
    """
    sent = arrival - lateness
    return Call(
        id=message.id,
        origin=origin,
        request_id=message.request_id,
        service=message.service,
        method=message.method,
        target=message.target,
        headers=message.headers,
        body=body,
        deadline=sent + message.left_us / 1e6,
        idempotent=message.idempotent,
        criticality=message.criticality,
        depth=message.depth,
        queue_until=sent + message.queue_us / 1e6,
        last=message.last,
        route=message.route,
        objective_at=sent + message.objective_us / 1e6,
        fingerprint=Fingerprint(message.request_hash, message.caller_hash),
    )


def hello_message(here, incarnation, load, known=None, body_bytes_per_second=0.0):
    """Return the `Hello` message of this node.

    Parameters
    ----------
    here : caperstack.config.node.NodeSettings
        This node.
    incarnation : int
        When it started, in microseconds of the wall clock.
    load : caperstack.calls.model.Load
        The load of its backend server.
    known : caperstack.admission.rate.KnownRate, optional
        The rate limit that this node knows of the receiver's backend server.
    body_bytes_per_second : float, optional
        What large bodies may use of this host's link; 0 if unknown.
    """
    return Hello(
        VERSION,
        here.host,
        here.zone,
        here.backend.service,
        incarnation,
        int(now() * 1e6),
        load_report(load),
        known.run if known else "",
        known.per_thousand_seconds if known else 0,
        int(body_bytes_per_second),
    )


@singledispatch
def reply_for_outcome(outcome, number, report, clock):
    """Return the ``(message, body)`` that reports `outcome` of call `number`."""
    raise TypeError(f"unsupported outcome: {outcome!r}")


@reply_for_outcome.register
def _(outcome: Answered, number, report, clock):
    message = Answer(
        number, len(outcome.body), outcome.status, outcome.reason, outcome.headers, report, clock
    )
    return message, outcome.body


@reply_for_outcome.register
def _(outcome: NotRun, number, report, clock):
    wait = int(outcome.retry_after * 1000)
    return Refused(number, outcome.reason, wait, report, clock, outcome.offered), b""


@reply_for_outcome.register
def _(outcome: Unknown, number, report, clock):
    return Unsure(number, outcome.reason, outcome.status, report, clock, outcome.end), b""


@singledispatch
def outcome_from_reply(message, body):
    """Return the outcome that a reply reports.

    Notes
    -----
    While the nodes of a fleet are replaced, the owner may be of a version that passes on
    what this one does not.  Its link stays open, as the other calls on it are not affected.
    """
    raise TypeError(f"message does not report an outcome: {message!r}")


@outcome_from_reply.register
def _(message: Answer, body):
    flaw = answer_flaw(message.status, message.reason, message.headers)
    return (
        Unknown(flaw) if flaw else Answered(message.status, message.reason, message.headers, body)
    )


@outcome_from_reply.register
def _(message: Refused, body):
    return NotRun(message.reason, message.retry_after_ms / 1000, offered=message.offered)


@outcome_from_reply.register
def _(message: Unsure, body):
    if message.status not in UNKNOWN_STATUSES:
        return Unknown(message.reason, end=message.end)
    return Unknown(message.reason, message.status, message.end)


def suspicion_message(suspicion):
    """Return the `SuspicionReport` of a `Suspicion`."""
    ends = [
        SuspectedEnd(end.number, end.caller, int(end.clearing), end.isolated)
        for end in suspicion.ends
    ]
    return SuspicionReport(suspicion.request, ends)


def suspicion_from(report):
    """Return the `Suspicion` of a `SuspicionReport`."""
    ends = tuple(Crash(end.number, end.caller, end.clearing, end.isolated) for end in report.ends)
    return Suspicion(report.request, ends)
