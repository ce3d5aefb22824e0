"""Send planned calls in an open loop and record the result of each."""

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

#: Maximum number of connections to one node. Further calls wait in the client, as they
#: do with real callers.
CONNECTIONS_PER_NODE = 500

MAX_ANSWER_BYTES = 128 * 1024 * 1024

#: Keeps the client from writing the time-left header. The generator writes it itself,
#: since it waits for longer than the time that it tells the node.
DIALECT_WITHOUT_TIME_LEFT = Dialect(time_left="")

#: Time after its deadline for which the answer to a call is awaited, in seconds.
EXTRA_WAIT_SECONDS = 5.0

#: Interval of the progress lines, in seconds.
PROGRESS_SECONDS = 10.0


@dataclass(slots=True)
class CallResult:
    """The result of one call.

    Attributes
    ----------
    name : str
        Name of the call in the ledgers.
    kind : str
        Name of its `caperstack.load.plan.CallClass`.
    idempotent : bool
        Whether the call may run more than once.
    target : str
        Address of the node.
    due : float
        Planned time of sending, in seconds from the start.
    status : int
        HTTP status; 0 without an answer.
    outcome : str
        "answered", "not-run", "unknown", or "no answer" if the connection broke or no
        answer came in time.
    reason : str
        The reason that the node gave, or the message of the connection error.
    seconds : float
        Latency, counted from the planned time of sending so that a delay in the
        generator shows in the figures.
    late : bool
        Whether the latency exceeded the deadline.
    whole : bool
        False if an answer of status 200 is incomplete or belongs to another call.
    sent : bool
        Whether the node may have received the request.
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
    """HTTP clients, one for each node that gets calls."""

    def __init__(self):
        self._clients = {}

    async def send(self, planned, start):
        """Send one planned call now and return its `CallResult`.

        Parameters
        ----------
        planned : caperstack.load.plan.PlannedCall
            The call.
        start : float
            Time on the monotonic clock to which ``due`` is relative.
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
    """Send the calls of `plan` when they are due, whether earlier ones have ended or not.

    Parameters
    ----------
    plan : iterable of caperstack.load.plan.PlannedCall
        The calls, in order of ``due``.
    progress : bool
        Whether to print a line to stderr every ten seconds.
    on_result : callable, optional
        Called as ``on_result(result)`` with each `CallResult`.

    Returns
    -------
    list of CallResult
        The results, in the order in which the calls ended.
    """
    clients = NodeClients()
    results = []
    tasks = set()
    start = now()
    reporter = asyncio.create_task(_print_progress(results, tasks, start)) if progress else None

    def record(task):
        tasks.discard(task)
        results.append(task.result())
        if on_result is not None:
            on_result(results[-1])

    for planned in plan:
        wait = start + planned.due - now()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.create_task(clients.send(planned, start))
        tasks.add(task)
        task.add_done_callback(record)
    while tasks:
        await asyncio.wait(tasks)
    if reporter is not None:
        reporter.cancel()
    await clients.close()
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
