"""Send planned calls in an open loop and note how each one ended."""

import asyncio
import sys
from dataclasses import dataclass

from caperstack.backend.client import BackendClient
from caperstack.calls.dialect import Dialect
from caperstack.calls.headers import IDEMPOTENCY_KEY, OUTCOME, TIME_LEFT
from caperstack.calls.model import Call
from caperstack.clock import deadline_after, now
from caperstack.exception import BackendError
from caperstack.standin.backend import LEDGER_ID, expected_body

__all__ = ["CallResult", "NodeClients", "run_calls"]

#: Connections to one node; beyond, calls wait in the client as callers' would.
CONNECTIONS_PER_NODE = 500

MAX_ANSWER_BYTES = 128 * 1024 * 1024

#: The sender waits longer than it tells, so it writes the time left itself.
DIALECT_WITHOUT_TIME_LEFT = Dialect(time_left="")

#: How much longer than its deadline a call is waited for, in seconds.
EXTRA_WAIT_SECONDS = 5.0

PROGRESS_SECONDS = 10.0


@dataclass(slots=True)
class CallResult:
    """How one call ended.

    Attributes
    ----------
    outcome : str
        "answered", "not-run", "unknown", or "no answer" if the connection
        broke or stayed silent.
    seconds : float
        From the moment at which the call was due, so that a sender that falls
        behind shows in the figures.
    whole : bool
        For an answer of status 200: whether it is the whole of its own answer.
    sent : bool
        Whether the node may have got the request.
    """

    name: str
    kind: str
    idempotent: bool
    target: str
    due: float
    status: int
    outcome: str
    reason: str
    seconds: float
    late: bool
    whole: bool
    sent: bool = True


class NodeClients:
    """A client for each node that calls go to."""

    def __init__(self):
        self._clients = {}

    async def send(self, planned, start):
        """Send one planned call now and return its `CallResult`.

        Parameters
        ----------
        planned : caperstack.load.plan.PlannedCall
            The call.
        start : float
            The point on the monotonic clock from which ``due`` counts.
        """
        client = self._clients.get(planned.target)
        if client is None:
            client = BackendClient(
                planned.target, CONNECTIONS_PER_NODE, MAX_ANSWER_BYTES, DIALECT_WITHOUT_TIME_LEFT
            )
            self._clients[planned.target] = client
        return await _send(planned, client, start)

    async def close(self):
        """Close all connections."""
        for client in self._clients.values():
            await client.stop()


async def run_calls(plan, progress=False, on_result=None):
    """Send the calls of `plan` when they are due; return the list of `CallResult`.

    Parameters
    ----------
    plan : iterable of caperstack.load.plan.PlannedCall
        The calls, in order of ``due``.
    progress : bool
        Whether to print a line every ten seconds.
    on_result : callable, optional
        Called with each result as it comes.
    """
    senders = NodeClients()
    results = []
    tasks = set()
    start = now()
    reporter = asyncio.create_task(_print_progress(results, tasks, start)) if progress else None

    def note(task):
        tasks.discard(task)
        results.append(task.result())
        if on_result is not None:
            on_result(results[-1])

    for planned in plan:
        wait = start + planned.due - now()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.create_task(senders.send(planned, start))
        tasks.add(task)
        task.add_done_callback(note)
    while tasks:
        await asyncio.wait(tasks)
    if reporter is not None:
        reporter.cancel()
    await senders.close()
    return results


async def _send(planned, client, start):
    call = _build_call(planned)
    try:
        answer = await client.fetch(call)
    except BackendError as error:
        return _build_result(planned, start, 0, "no answer", error.message, True, error.sent)
    headers = {name.lower(): value for name, value in answer.headers}
    outcome = headers.get(OUTCOME.lower(), "answered")
    reason = headers.get("caperstack-reason", "")
    whole = answer.status != 200 or answer.body == _expected_answer(planned)
    return _build_result(planned, start, answer.status, outcome, reason, whole)


def _expected_answer(planned):
    if planned.kind.method == "HEAD":
        return b""
    return expected_body(planned.name, 64, planned.body)


def _build_call(planned):
    milliseconds = int(planned.kind.deadline_seconds * 1000)
    headers = [
        ("Host", planned.target),
        (LEDGER_ID, planned.name),
        (TIME_LEFT, str(milliseconds)),
    ]
    if planned.key:
        headers.append((IDEMPOTENCY_KEY, planned.key))
    return Call(
        id=0,
        origin="",
        request_id=planned.name,
        service="",
        method=planned.kind.method,
        target=planned.kind.path,
        headers=headers,
        body=planned.body,
        deadline=deadline_after(planned.kind.deadline_seconds + EXTRA_WAIT_SECONDS),
        idempotent=False,
    )


def _build_result(planned, start, status, outcome, reason, whole, sent=True):
    seconds = now() - start - planned.due
    return CallResult(
        planned.name,
        planned.kind.name,
        planned.kind.idempotent,
        planned.target,
        planned.due,
        status,
        outcome,
        reason,
        seconds,
        seconds > planned.kind.deadline_seconds,
        whole,
        sent,
    )


async def _print_progress(results, tasks, start):
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        line = f"{now() - start:6.0f} s: {len(results)} ended, {len(tasks)} in flight"
        print(line, file=sys.stderr, flush=True)
