"""Late binding: a call waits at several owners, and the first with a free slot gets it."""

import asyncio
import copy

from caperstack.calls.model import NotRun
from caperstack.exception import PeerError

__all__ = ["Binding", "BoundBody", "attempt_at_several"]


class Binding:
    """The right to run one call that waits at several owners; the first that claims it has it."""

    def __init__(self):
        self._tasks = {}
        self._holder = None

    def enter(self, number):
        """Register attempt `number`, which the current task makes, as a possible holder."""
        self._tasks[number] = asyncio.current_task()

    def is_held_by(self, number):
        """Return whether attempt `number` has claimed the call."""
        return self._holder == number

    def claim(self, number):
        """Claim the call for attempt `number`; return whether it holds the call now.

        The first claim ends all other attempts, whose owners are told to forget the call.
        """
        if self._holder is None:
            self._holder = number
            for other, task in self._tasks.items():
                if other != number:
                    task.cancel()
        return self.is_held_by(number)


class BoundBody:
    """Stands in for a call's body at the owner in the entry's own process.

    Parameters
    ----------
    call : caperstack.calls.model.Call
        An attempt with a binding.
    """

    #: The body crosses no link.
    size = 0
    sender_bytes_per_second = 0.0

    def __init__(self, call):
        self._call = call

    async def fetch(self, _limit, _bytes_per_second=0.0):
        """Claim the call and return its body.

        Raises
        ------
        PeerError
            If another owner has claimed the call.
        """
        if not self._call.binding.claim(self._call.id):
            raise PeerError("another owner runs the call", step="body", peer=self._call.origin)
        return self._call.body


async def attempt_at_several(call, members, attempt):
    """Let `call` wait at the owners of all `members`; return the member and the outcome.

    Parameters
    ----------
    call : caperstack.calls.model.Call
        The call.
    members : list
        The members whose owners may run it; at least one.
    attempt : callable
        ``await attempt(call, member)`` makes one attempt and returns its outcome.

    Returns
    -------
    member : caperstack.membership.members.Member
        The member that ran the call, or one that refused it if all have.
    outcome : caperstack.calls.model.Outcome
        The outcome there.  Of several refusals it is the one with the earliest return.

    Notes
    -----
    The load that it answers: servers of few slots, nearly all taken.  An entry chooses by load
    reports that are as old as a call lasts, so calls would wait at one server while slots of
    others become free.  Owners queue the call without its body and ask for it when a slot is
    free, which is when the entry decides.  Only the owner that gets the body can run the call.

    References
    ----------
    .. [1] K. Ousterhout, P. Wendell, M. Zaharia, I. Stoica, "Sparrow: distributed, low latency
       scheduling", SOSP 2013.
    """
    shared = copy.copy(call)
    shared.binding = Binding()
    shared.places = len(members)
    tasks = {asyncio.ensure_future(attempt(shared, member)): member for member in members}
    pending = set(tasks)
    refusals = []
    try:
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.cancelled():
                    continue
                outcome = task.result()
                if not isinstance(outcome, NotRun) or outcome.offered:
                    return tasks[task], outcome
                refusals.append((tasks[task], outcome))
    finally:
        for task in pending:
            task.cancel()
    return min(refusals, key=lambda refusal: refusal[1].retry_after)
