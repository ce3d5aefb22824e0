"""The entry: send a call to an owner, and elsewhere again when that is safe."""

import asyncio
import copy
import random

from caperstack.calls.model import Answered, NotRun, Unknown, call_ids
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import PeerError
from caperstack.quarantine.suspects import Verdict
from caperstack.routing.budgets import CallBudget, share_at_depth
from caperstack.routing.candidates import PATIENCE, Candidates
from caperstack.routing.service import FIRST_USUAL_SECONDS, Attempts, ServiceState

__all__ = ["Dispatcher"]

#: Answers that an idempotent call may try to better at another server.
REPEATABLE_STATUSES = frozenset((500, 502, 503, 504))


#: How soon a call may come back for which there is no server, in seconds.
NOBODY_SECONDS = 1.0


class Dispatcher:
    """Choose owners for calls, and retry or hedge where nothing can run twice.

    Notes
    -----
    A non-idempotent call has one attempt out at any moment, and moves to
    another owner only with the proof that the last attempt did not run.
    """

    def __init__(self, here, rng=None, allowance=None):
        self._allowance = allowance
        self._numbers = call_ids()
        self._services = {}
        self.candidates = Candidates(here, rng or random.Random())

    async def start(self, kernel):
        """Find the services that this one needs."""
        self._members = kernel.find("members")
        self._settings = kernel.find("settings")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects = kernel.find("suspects")
        self.candidates.start(self._members, self._metrics)

    def usual_seconds(self, service):
        """Return the usual time of a call of `service`, in seconds."""
        state = self._services.get(service)
        return FIRST_USUAL_SECONDS if state is None else state.usual_seconds

    async def stop(self):
        """Nothing to stop."""

    async def dispatch(self, call):
        """Return the `Outcome` of `call`."""
        settings = self._settings.service(call.service)
        state = self._state(call.service, settings.policy)
        state.expect(call)
        state.retries.deposit(self._retry_share(settings, call))
        state.hedges.deposit(share_at_depth(settings.hedge_share, call.depth))
        if call.idempotent and settings.hedge_share > 0:
            return await self._dispatch_hedged(call, state, settings)
        return await self._try_in_turn(call, state, settings, [], Attempts(call.attempts))

    def _retry_share(self, settings, call):
        if self._allowance is not None:
            return self._allowance.deposit_share()
        return share_at_depth(settings.retry_share, call.depth)

    def _state(self, service, policy):
        state = self._services.get(service)
        if state is None or state.policy_name != policy:
            state = self._services[service] = self._new_state(policy)
        if self._allowance is not None and state.shared_among != self._members.version:
            state.shared_among = self._members.version
            self._allowance.share_out(state.retries, len(self._members))
        return state

    def _new_state(self, policy):
        if self._allowance is None:
            return ServiceState(policy, CallBudget())
        budget = self._allowance.budget(len(self._members))
        return ServiceState(policy, budget, budget)

    # -- one attempt after the other --------------------------------------

    async def _try_in_turn(self, call, state, settings, tried, attempts, queues=True):
        """Try members until one answers; with `queues` wait at the best as a last resort.

        Notes
        -----
        First each member is asked whether it can run the call about now.  When
        as many as the settings allow have refused, the call goes to the best
        of all, refused or not, and waits there until its deadline.  What is lost
        or fails there is repeated like any other, elsewhere.
        """
        refusals = 0
        failed = []
        best = None
        while time_left(call.deadline) > 0:
            verdict = self._suspects.verdict(call.fingerprint)
            if verdict == Verdict.QUARANTINED:
                return self._kept_away(call, best)
            if verdict == Verdict.ALONE:
                return await self._try_alone(call, state, attempts, best)
            asks = refusals < settings.refusals_per_call
            member = self.candidates.free_one(call, state, tried) if asks else None
            last = member is None
            if last and queues:
                member = self.candidates.any_one(call, state, failed)
            if member is None or not attempts.take():
                break
            tried.append(member)
            outcome = await self._attempt(call, member, state, last)
            best = _better(outcome, best)
            if _final(outcome):
                return best
            if isinstance(outcome, NotRun) and not outcome.offered:
                # A server that began to leave while the call waited is no last resort.
                if last and not member.leaving:
                    return best
                attempts.give_back()
                refusals += 1
                self._metrics.count("moves", service=call.service)
                continue
            if not attempts.left or not self._may_repeat(call, state, outcome):
                return best
            failed.append(member)
        return best or NotRun(self._members.unavailable_reason(call.service), NOBODY_SECONDS)

    def _kept_away(self, call, best):
        """Return the outcome of a call whose request must not be sent."""
        refusal = self._suspects.refusal(call)
        self._metrics.count("quarantined_calls", service=call.service)
        self._events.refusal(
            "entry refuses",
            call,
            refusal.reason,
            asks=call.fingerprint.text,
            ends=self._suspects.count(call.fingerprint),
            for_s=round(refusal.retry_after),
        )
        return refusal if best is None or isinstance(best, NotRun) else best

    async def _try_alone(self, call, state, attempts, best):
        """Send a suspect to the one server that all entries send it to, once.

        Notes
        -----
        Failure: a request that has ended two servers comes again at several
        entries, each sends it to another server, and all of these end.  All send
        it to the server that stands first for this request in an order that
        every entry computes alike, whose owner runs one suspect at a time.
        """
        member = self.candidates.first_for(call)
        if member is None or not attempts.take():
            return best or NotRun(self._members.unavailable_reason(call.service), NOBODY_SECONDS)
        return _better(await self._attempt(call, member, state, True), best)

    def _may_repeat(self, call, state, outcome):
        if not call.idempotent and not isinstance(outcome, NotRun):
            return False
        if isinstance(outcome, Unknown) and self._suspects.verdict(call.fingerprint):
            # Failure: a call that has ended two servers is taken to a third.
            self._events.decision("entry may not repeat", call, outcome="suspect")
            return False
        if time_left(call.deadline) < state.usual_seconds:
            return False
        if not state.retries.withdraw():
            self._metrics.count("retries_denied", service=call.service)
            self._events.decision("entry may not repeat", call, outcome=_short(outcome))
            return False
        self._metrics.count("retries", service=call.service)
        self._events.decision("entry repeats", call, outcome=_short(outcome))
        return True

    async def _attempt(self, call, member, state, last):
        attempt = copy.copy(call)
        attempt.id = next(self._numbers)
        attempt.last = last or len(self._members.of_service(call.service)) < 2
        attempt.queue_until = call.deadline
        if not attempt.last:
            patience = deadline_after(PATIENCE * state.usual_seconds)
            attempt.queue_until = min(call.deadline, patience)
        begun = attempt.sent_at = now()
        call.notes.append((begun, f"to {member.host}"))
        estimate = member.estimate
        self._events.decision(
            "entry sends",
            call,
            to=member.host,
            last=attempt.last,
            own_in_flight=estimate.in_flight,
            expected_ms=round(estimate.expected_seconds(state.usual_seconds) * 1000),
            load_age_ms=estimate.age_ms,
        )
        estimate.begin()
        outcome = None
        try:
            outcome = await self._run(attempt, member)
        finally:
            estimate.end()
        self._learn(call, outcome, member, state, begun)
        call.notes.append((now(), f"{member.host}: {_short(outcome)}"))
        return outcome

    async def _run(self, attempt, member):
        try:
            return await member.owner.run(attempt)
        except PeerError as error:
            if not error.sent:
                member.estimate.mark_down()
                return NotRun(f"owner not reached: {error}", 0.2)
        if attempt.idempotent:
            return Unknown("connection to the owner was lost")
        return await member.owner.resolve(attempt)

    def _learn(self, call, outcome, member, state, begun):
        if isinstance(outcome, Answered):
            state.take_time(now() - begun, call.route)
        refused = isinstance(outcome, NotRun)
        member.estimate.take_admission(refused and not outcome.offered)
        if refused:
            return
        if isinstance(outcome, Unknown) and outcome.end:
            # Before the next send of this call: others tell of the end later.
            self._suspects.note_end(outcome.end, (call.fingerprint,))
        failed = isinstance(outcome, Unknown) or outcome.status >= 500
        if member.estimate.take_result(failed):
            self._events.state("ejection", "in use", "ejected", member.host)
            self._metrics.count("ejections", peer=member.host)

    # -- hedging ----------------------------------------------------------

    async def _dispatch_hedged(self, call, state, settings):
        tried = []
        attempts = Attempts(call.attempts)
        first = asyncio.ensure_future(self._try_in_turn(call, state, settings, tried, attempts))
        try:
            delay = min(state.hedge_delay(call), max(0.0, time_left(call.deadline)))
            await asyncio.wait((first,), timeout=delay)
            if first.done() or not self._may_hedge(call, state, tried, attempts):
                return await first
            return await self._race(call, state, settings, (tried, attempts), first)
        finally:
            if not first.done():
                first.cancel()

    def _may_hedge(self, call, state, tried, attempts):
        """Return whether a second server can take `call` now and the budget allows it.

        Notes
        -----
        A hedge never queues: where no slot is free it would only add load.  A
        request that has met the end of a server is not sent to two at once.
        """
        if self._suspects.count(call.fingerprint):
            return False
        if time_left(call.deadline) <= state.route_seconds(call.route) or not attempts.left:
            return False
        return bool(self.candidates.free(call, state, tried)) and state.hedges.withdraw()

    async def _race(self, call, state, settings, bounds, first):
        self._metrics.count("hedges", service=call.service)
        call.notes.append((now(), "hedged"))
        self._events.decision("entry hedges", call, usual_ms=round(state.usual_seconds * 1000))
        second = asyncio.ensure_future(
            self._try_in_turn(call, state, settings, *bounds, queues=False)
        )
        racers = {first, second}
        outcomes = []
        try:
            while racers:
                done, racers = await asyncio.wait(racers, return_when=asyncio.FIRST_COMPLETED)
                outcomes += [task.result() for task in done]
                if any(_final(outcome) for outcome in outcomes):
                    break
            return min(outcomes, key=_preference)
        finally:
            for task in racers:
                task.cancel()


def _final(outcome):
    """Return whether `outcome` is an answer that no other server would better."""
    return isinstance(outcome, Answered) and outcome.status not in REPEATABLE_STATUSES


def _preference(outcome):
    """Rank outcomes: a final answer, an answer, unknown, not run.

    Notes
    -----
    Failure: one attempt at a call is lost on the way and the next is refused;
    told the last outcome, the caller believes that nothing ran.  "Not run" is
    told only if it is true of every attempt.
    """
    if isinstance(outcome, Answered):
        return 0 if _final(outcome) else 1
    return 2 if isinstance(outcome, Unknown) else 3


def _better(outcome, best):
    """Return the outcome to tell of two; `best` is ``None`` before the first."""
    return outcome if best is None else min(outcome, best, key=_preference)


def _short(outcome):
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    return f"{type(outcome).__name__}: {outcome.reason}"
