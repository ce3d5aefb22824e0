"""Dispatch of calls by the entry: server choice, retries and hedging."""

import asyncio
import copy
import math
import random

from caperstack.calls.model import Answered, NotRun, Unknown, call_ids
from caperstack.clock import deadline_after, now, time_left
from caperstack.exception import PeerError
from caperstack.quarantine.suspects import Verdict
from caperstack.routing.budgets import CallBudget, share_at_depth
from caperstack.routing.candidates import Candidates, patience_seconds
from caperstack.routing.service import INITIAL_BASELINE_SECONDS, Attempts, ServiceState

__all__ = ["Dispatcher"]

#: HTTP statuses after which an idempotent call may be retried at another server.
REPEATABLE_STATUSES = frozenset((500, 502, 503, 504))

#: Reason for the refusal of calls that could still run when this node ends.
STOPPING_REASON = "node stops"

#: Retry-after time of a call for which there is no backend server, in seconds.
NO_SERVER_RETRY_SECONDS = 1.0


class Dispatcher:
    """Send calls to owners, and retry or hedge them where that is safe.

    Notes
    -----
    A non-idempotent call has at most one attempt in flight, and is sent to
    another owner only if the previous attempt provably did not run.
    """

    def __init__(self, here, rng=None, allowance=None, link=None):
        self._allowance = allowance
        self._call_ids = call_ids()
        self._services = {}
        self._end_at = math.inf
        self.candidates = Candidates(here, rng or random.Random(), link)

    async def start(self, kernel):
        """Look up the services that the dispatcher depends on."""
        self._members = kernel.find("members")
        self._settings = kernel.find("settings")
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._suspects = kernel.find("suspects")
        self.candidates.start(self._members, self._metrics)

    def baseline_seconds(self, service):
        """Return the baseline duration of a call of `service`, in seconds."""
        state = self._services.get(service)
        return INITIAL_BASELINE_SECONDS if state is None else state.baseline_seconds

    async def stop(self):
        """Do nothing; the dispatcher holds no resources."""

    def end_by(self, end_at):
        """Begin no more calls that may still run at `end_at`, when this node ends.

        Notes
        -----
        A call that a backend server has not begun is refused: at its end the node would cut
        it off, and its caller could not tell whether it ran.  Calls that run go on.
        """
        self._end_at = end_at
        for member in self._members.all():
            member.owner.end_by(end_at)

    async def dispatch(self, call):
        """Return the `Outcome` of `call`."""
        if call.deadline > self._end_at:
            return self._refuse_outlasting(call)
        settings = self._settings.service(call.service)
        state = self._state(call.service, settings.policy)
        state.assume_duration(call)
        state.retries.deposit(self._retry_share(settings, call))
        state.hedges.deposit(share_at_depth(settings.hedge_share, call.depth))
        if call.idempotent and settings.hedge_share > 0:
            return await self._dispatch_hedged(call, state, settings)
        return await self._try_sequentially(call, state, settings, [], Attempts(call.attempts))

    def _retry_share(self, settings, call):
        if self._allowance is not None:
            return self._allowance.deposit_share()
        return share_at_depth(settings.retry_share, call.depth)

    def _state(self, service, policy):
        state = self._services.get(service)
        if state is None or state.policy_name != policy:
            state = self._services[service] = self._new_state(policy)
        if self._allowance is not None and state.allowance_version != self._members.version:
            state.allowance_version = self._members.version
            self._allowance.rebalance(state.retries, len(self._members))
        return state

    def _new_state(self, policy):
        if self._allowance is None:
            return ServiceState(policy, CallBudget())
        budget = self._allowance.budget(len(self._members))
        return ServiceState(policy, budget, budget)

    # -- sequential attempts ----------------------------------------------

    async def _try_sequentially(self, call, state, settings, tried, attempts, queues=True):
        """Try members until one answers; if `queues`, finally queue at the best one.

        Notes
        -----
        The call is first offered to members that are expected to have a free
        slot.  After ``refusals_per_call`` refusals, or when no such member is
        left, it is sent to the best member, even one that has refused, and queues
        there until its deadline.  If that attempt is lost or fails, the call is
        retried at another member like any other.
        """
        refusals = 0
        failed = []
        best = None
        while time_left(call.deadline) > 0:
            if call.deadline > self._end_at:
                return best or self._refuse_outlasting(call)
            verdict = self._suspects.verdict(call.fingerprint)
            if verdict == Verdict.QUARANTINED:
                return self._refuse_quarantined(call, best)
            if verdict == Verdict.ALONE:
                return await self._try_isolated(call, state, attempts, best)
            may_offer = refusals < settings.refusals_per_call
            member = self.candidates.pick_available(call, state, tried) if may_offer else None
            last = member is None
            if last and queues:
                member = self.candidates.pick_any(call, state, failed)
            if member is None or not attempts.take():
                break
            tried.append(member)
            rate_limit = member.estimate.rate_limit
            outcome = await self._attempt(call, member, state, last)
            best = _better(outcome, best)
            if _is_final(outcome):
                return best
            if isinstance(outcome, NotRun) and not outcome.offered:
                # No server received the call.  If it was to queue at the best member, this
                # is final, unless that member has begun to leave, drain or limit its
                # requests meanwhile, which says nothing about the others.
                if last and not (member.leaving or self._has_lowered_rate(member, rate_limit)):
                    return best
                attempts.give_back()
                refusals += 1
                self._metrics.count("moves", service=call.service)
                continue
            if not attempts.left or not self._may_repeat(call, state, outcome):
                return best
            failed.append(member)
        return best or NotRun(
            self._members.unavailable_reason(call.service), NO_SERVER_RETRY_SECONDS
        )

    def _has_lowered_rate(self, member, rate_limit):
        """Return whether the server of `member` has stated a rate, or a lower one, by now.

        `rate_limit` is the rate known when the call was sent, in requests per 1000 seconds; 0
        if none was stated.
        """
        member.owner.freshen(member.estimate)
        current = member.estimate.rate_limit
        return current > 0 and (rate_limit == 0 or current < rate_limit)

    def _refuse_outlasting(self, call):
        """Return the outcome of a call that could still run when this node ends."""
        self._metrics.count("stop_refusals", service=call.service)
        self._events.refusal(
            "entry refuses",
            call,
            STOPPING_REASON,
            outlasts_ms=round((call.deadline - self._end_at) * 1000),
        )
        return NotRun(STOPPING_REASON, 0.0)

    def _refuse_quarantined(self, call, best):
        """Return the outcome of a call whose request is quarantined."""
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

    async def _try_isolated(self, call, state, attempts, best):
        """Send a suspect request once, to the server that every entry picks for it.

        Notes
        -----
        A request that has crashed two servers may arrive at several entries.  If
        each sent it to a different server, all of these could crash.  Every entry
        therefore computes the same order of servers for the request and uses the
        first, whose owner runs one suspect at a time.
        """
        member = self.candidates.pick_deterministic(call)
        if member is None or not attempts.take():
            return best or NotRun(
                self._members.unavailable_reason(call.service), NO_SERVER_RETRY_SECONDS
            )
        return _better(await self._attempt(call, member, state, True), best)

    def _may_repeat(self, call, state, outcome):
        if not call.idempotent and not isinstance(outcome, NotRun):
            return False
        if isinstance(outcome, Unknown) and self._suspects.verdict(call.fingerprint):
            # The request was running when servers crashed; a retry could crash one more.
            self._events.decision("entry may not repeat", call, outcome="suspect")
            return False
        if time_left(call.deadline) < state.baseline_seconds:
            return False
        if not state.retries.withdraw():
            self._metrics.count("retries_denied", service=call.service)
            self._events.decision("entry may not repeat", call, outcome=_summary(outcome))
            return False
        self._metrics.count("retries", service=call.service)
        self._events.decision("entry repeats", call, outcome=_summary(outcome))
        return True

    async def _attempt(self, call, member, state, last):
        attempt = copy.copy(call)
        attempt.id = next(self._call_ids)
        attempt.last = last or len(self._members.of_service(call.service)) < 2
        attempt.queue_until = call.deadline
        if not attempt.last:
            queue_limit = deadline_after(patience_seconds(member, state.baseline_seconds))
            attempt.queue_until = min(call.deadline, queue_limit)
        begun = attempt.sent_at = now()
        call.notes.append((begun, f"to {member.host}"))
        estimate = member.estimate
        self._events.decision(
            "entry sends",
            call,
            to=member.host,
            last=attempt.last,
            own_in_flight=estimate.in_flight,
            expected_ms=round(estimate.expected_seconds(state.baseline_seconds) * 1000),
            load_age_ms=estimate.age_ms,
        )
        estimate.begin()
        outcome = None
        try:
            outcome = await self._run(attempt, member)
        finally:
            estimate.end()
        self._record_outcome(call, outcome, member, state, begun)
        call.notes.append((now(), f"{member.host}: {_summary(outcome)}"))
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

    def _record_outcome(self, call, outcome, member, state, begun):
        if isinstance(outcome, Answered):
            state.record_duration(now() - begun, call.route)
        refused = isinstance(outcome, NotRun)
        member.estimate.record_admission(refused and not outcome.offered)
        if refused:
            return
        if isinstance(outcome, Unknown) and outcome.end:
            # The crash is recorded before this call is retried, since the suspicion that
            # peers send arrives later.  Only the owner knows what else was running.
            self._suspects.record_crash(outcome.end, (call.fingerprint,), isolated=())
        failed = isinstance(outcome, Unknown) or outcome.status >= 500
        if member.estimate.record_result(failed):
            self._events.state("ejection", "in use", "ejected", member.host)
            self._metrics.count("ejections", peer=member.host)

    # -- hedging ----------------------------------------------------------

    async def _dispatch_hedged(self, call, state, settings):
        tried = []
        attempts = Attempts(call.attempts)
        first = asyncio.ensure_future(
            self._try_sequentially(call, state, settings, tried, attempts)
        )
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
        """Return whether another server has a free slot and the budgets allow a hedge.

        Notes
        -----
        A hedge never queues, since without a free slot it would only add load.  A
        request that was running when a server crashed is never sent to two
        servers at once.
        """
        if self._suspects.count(call.fingerprint) or call.deadline > self._end_at:
            return False
        if time_left(call.deadline) <= state.route_seconds(call.route) or not attempts.left:
            return False
        return bool(self.candidates.free(call, state, tried)) and state.hedges.withdraw()

    async def _race(self, call, state, settings, shared, first):
        """Send a hedge beside the task `first`, and return the better of the two outcomes.

        The first final answer cancels the other attempt.  `shared` holds the members
        tried and the `Attempts` left, which both tasks use.
        """
        self._metrics.count("hedges", service=call.service)
        call.notes.append((now(), "hedged"))
        self._events.decision("entry hedges", call, usual_ms=round(state.baseline_seconds * 1000))
        second = asyncio.ensure_future(
            self._try_sequentially(call, state, settings, *shared, queues=False)
        )
        racers = {first, second}
        outcomes = []
        try:
            while racers:
                done, racers = await asyncio.wait(racers, return_when=asyncio.FIRST_COMPLETED)
                outcomes += [task.result() for task in done]
                if any(_is_final(outcome) for outcome in outcomes):
                    break
            return min(outcomes, key=_outcome_rank)
        finally:
            for task in racers:
                task.cancel()


def _is_final(outcome):
    """Return whether `outcome` is an answer whose status does not call for a retry."""
    return isinstance(outcome, Answered) and outcome.status not in REPEATABLE_STATUSES


def _outcome_rank(outcome):
    """Rank outcomes, best first: final answer, other answer, unknown, not run.

    Notes
    -----
    "Not run" ranks last so that it is returned only if it holds for every
    attempt.  If one attempt is lost and the next is refused, the first may have
    run, and the caller must not be told that nothing ran.
    """
    if isinstance(outcome, Answered):
        return 0 if _is_final(outcome) else 1
    return 2 if isinstance(outcome, Unknown) else 3


def _better(outcome, best):
    """Return the better of two outcomes; `best` is ``None`` before the first."""
    return outcome if best is None else min(outcome, best, key=_outcome_rank)


def _summary(outcome):
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    return f"{type(outcome).__name__}: {outcome.reason}"
