"""Staging of large request bodies at the owner, before their calls compete for a slot."""

from caperstack.calls.model import NotRun
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import PeerError
from caperstack.transfers.turns import Transfer

__all__ = ["LINK_BUSY", "TOO_LATE", "BodyStaging"]

#: Reason for the refusal of calls whose body would come too late over the host's link.
LINK_BUSY = "link is busy with other bodies"

#: Reason for the refusal of calls whose body would come too late over an idle link.
TOO_LATE = "too little time left for the body"

#: A transfer is given up after this multiple of its expected time plus a margin in seconds, so
#: that a stalled sender does not keep the link from others.
STALL_FACTOR = 2.0
STALL_MARGIN_SECONDS = 0.25


class BodyStaging:
    """Fetch large bodies in turn, and only of calls that can still start in time.

    Parameters
    ----------
    budget : caperstack.transfers.link.LinkBudget
        What bodies may use of the host's link.
    turns : caperstack.transfers.turns.TransferTurns
        The turns of the transfers to this host.
    gate : caperstack.admission.gate.SlotGate
        Tells when a call would start.

    Notes
    -----
    The load that it answers: bodies that take a tenth of a second on the link, sent to servers
    of a few slots.  If they came with each offer, owners that refuse would receive them in
    vain; if they came once their call holds a slot, the slot would be idle meanwhile.  Here
    the link and the slots are used at the same time.  A call whose body has come stays: the
    transfer would be wasted if it moved on to another owner.
    """

    def __init__(self, budget, turns, gate):
        self._budget = budget
        self._turns = turns
        self._gate = gate
        self._metrics = None
        self._events = None

    async def start(self, kernel):
        """Look up the services that the staging depends on."""
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")

    def applies(self, call):
        """Return whether the body of `call` is fetched before it competes for a slot."""
        body = call.withheld
        return body is not None and self._budget.is_large(body.size, body.sender_bytes_per_second)

    async def fetch(self, call, queued=None):
        """Fetch the body of `call`; return the `NotRun` if it can't be in time or doesn't come.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call; with its body it no longer moves to another owner.
        queued : callable, optional
            ``queued()`` is called if the body has to wait for its turn.
        """
        patience_until, call.queue_until = call.queue_until, call.deadline
        outlook = self._gate.outlook(call)
        if outlook.too_late:
            return self._slot_refusal(call, outlook)
        body = call.withheld
        seconds = self._budget.seconds(body.size, body.sender_bytes_per_second)
        late = now() + seconds > outlook.last_start
        rank = (late, -call.criticality, not call.depth, call.objective_at or call.deadline)
        transfer = Transfer(rank, body.size, body.sender_bytes_per_second)
        link_wait = self._turns.expected_wait(rank)
        begin_until = outlook.last_start - seconds
        if link_wait and not call.last:
            begin_until = min(begin_until, patience_until)
        elif late and not link_wait and not outlook.wait_seconds:
            # Like a free slot, an idle link also serves calls that are late.
            begin_until = outlook.last_free_start - seconds
        if now() + link_wait > begin_until:
            return self._refusal(call, transfer, link_wait, seconds)
        if link_wait and queued is not None:
            queued()
        asked_at = now()
        if not await self._turns.take(transfer, begin_until):
            if transfer.refusal:
                return NotRun(transfer.refusal, 0.0)
            return self._refusal(call, transfer, self._turns.expected_wait(rank), seconds)
        try:
            # Others may have taken the slots while the call waited for the link.
            outlook = self._gate.outlook(call)
            if outlook.too_late:
                return self._slot_refusal(call, outlook)
            return await self._receive(call, transfer, asked_at)
        finally:
            self._turns.release(transfer)

    def _slot_refusal(self, call, outlook):
        return NotRun("no slot in time", self._gate.retry_after(call, outlook.wait_seconds))

    async def _receive(self, call, transfer, asked_at):
        begun = now()
        self._metrics.time("body_wait_seconds", begun - asked_at, call.service)
        expected = time_left(transfer.due_at)
        limit = min(call.deadline, deadline_after(STALL_FACTOR * expected + STALL_MARGIN_SECONDS))
        self._events.decision(
            "owner fetches body",
            call,
            origin=call.origin,
            body_bytes=transfer.size,
            waited_ms=round((begun - asked_at) * 1000),
            expected_ms=round(expected * 1000),
            waiting=self._turns.waiting,
        )
        try:
            call.body = await call.withheld.fetch(limit, transfer.bytes_per_second)
        except PeerError as error:
            self._metrics.count("body_transfers", outcome="failed")
            return NotRun(f"body did not come: {error.message}", 0.0)
        self._metrics.count("body_transfers", outcome="received")
        self._metrics.time("body_transfer_seconds", now() - begun, call.service)
        call.withheld = None
        call.last = True
        return None

    def _refusal(self, call, transfer, link_wait, seconds):
        reason = LINK_BUSY if link_wait else TOO_LATE
        self._metrics.count("body_transfers", outcome="refused")
        self._events.refusal(
            "owner refuses body",
            call,
            reason,
            origin=call.origin,
            body_bytes=transfer.size,
            wait_ms=round((link_wait + seconds) * 1000),
            waiting=self._turns.waiting,
        )
        return NotRun(reason, self._gate.retry_after(call, link_wait + seconds))
