"""Between the data classes of the nodes and the messages of the wire."""

from functools import singledispatch

from caperstack.calls.fingerprint import Fingerprint
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
    "hello_of",
    "call_from",
    "call_message",
    "load_from",
    "load_report",
    "outcome_from",
    "reply_to",
    "suspicion_from",
    "suspicion_message",
]


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
    )


def load_from(report):
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
    )


def call_message(call, clock, withheld=False):
    """Return the `CallMessage` of `call`; its deadlines become times left.

    With `withheld` its body is sent when the owner asks for it.
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
    )


def call_from(message, body, origin, arrival, lateness):
    """Return the `Call` of a `CallMessage`, with deadlines on the local clock.

    Parameters
    ----------
    origin : str
        The host that sent it.
    arrival : float
        The point at which it was read.
    lateness : float
        How long it was held up on the way, in seconds.
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


def hello_of(here, incarnation, load):
    """Return the `Hello` of this node."""
    return Hello(
        VERSION,
        here.host,
        here.zone,
        here.backend.service,
        incarnation,
        int(now() * 1e6),
        load_report(load),
    )


@singledispatch
def reply_to(outcome, number, report, clock):
    """Return ``(message, body)`` that tells `outcome` of call `number`."""
    raise TypeError(f"no such outcome: {outcome!r}")


@reply_to.register
def _(outcome: Answered, number, report, clock):
    message = Answer(
        number, len(outcome.body), outcome.status, outcome.reason, outcome.headers, report, clock
    )
    return message, outcome.body


@reply_to.register
def _(outcome: NotRun, number, report, clock):
    wait = int(outcome.retry_after * 1000)
    return Refused(number, outcome.reason, wait, report, clock, outcome.offered), b""


@reply_to.register
def _(outcome: Unknown, number, report, clock):
    return Unsure(number, outcome.reason, outcome.status, report, clock, outcome.end), b""


@singledispatch
def outcome_from(message, body):
    """Return the outcome that a reply tells."""
    raise TypeError(f"no outcome: {message!r}")


@outcome_from.register
def _(message: Answer, body):
    return Answered(message.status, message.reason, message.headers, body)


@outcome_from.register
def _(message: Refused, body):
    return NotRun(message.reason, message.retry_after_ms / 1000, offered=message.offered)


@outcome_from.register
def _(message: Unsure, body):
    return Unknown(message.reason, message.status, message.end)


def suspicion_message(suspicion):
    """Return the `SuspicionReport` of a `Suspicion`."""
    ends = [SuspectedEnd(end.number, end.caller, int(end.clearing)) for end in suspicion.ends]
    return SuspicionReport(suspicion.request, ends)


def suspicion_from(report):
    """Return the `Suspicion` of a `SuspicionReport`."""
    ends = tuple(Crash(end.number, end.caller, end.clearing) for end in report.ends)
    return Suspicion(report.request, ends)
