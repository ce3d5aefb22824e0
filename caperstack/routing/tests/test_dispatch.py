"""Tests of the dispatcher with fake owners whose outcomes are given."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import Answered, Call, Load, NotRun, ServerState, Unknown
from caperstack.clock import deadline_after
from caperstack.exception import PeerError
from caperstack.membership.members import HostEntry, Members
from caperstack.quarantine.suspects import Suspects
from caperstack.routing.budgets import CallBudget, share_at_depth
from caperstack.routing.dispatch import Dispatcher
from caperstack.routing.table import EffectiveService
from caperstack.transfers.link import LinkBudget

OK_ANSWER = Answered(200, "OK", [], b"whole")
ERROR_ANSWER = Answered(500, "Error", [], b"")


class FakeOwner:
    """An owner that returns the n-th outcome for the n-th call, and then the last one."""

    def __init__(self, *outcomes, resolved=None):
        self._outcomes = list(outcomes)
        self._resolved = resolved
        self.calls = []
        self.cancelled = 0
        self.end_by_times = 0
        self.usable = True

    async def run(self, call):
        self.calls.append(call)
        outcome = self._outcomes.pop(0) if len(self._outcomes) > 1 else self._outcomes[0]
        if isinstance(outcome, Exception):
            raise outcome
        if callable(outcome):
            try:
                return await outcome()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return outcome

    async def resolve(self, call):
        return self._resolved

    def freshen(self, estimate):
        pass

    def end_by(self, _end_at):
        self.end_by_times += 1


class DispatcherFixture:
    """A dispatcher and members with fake owners."""

    def __init__(self, *owners, zones="aaaaaaaa", link=None, **settings):
        here = SimpleNamespace(
            host="me",
            zone="a",
            region="r",
            peer_address="",
            peers=(),
            backend=SimpleNamespace(service="other"),
        )
        self.known = Members(here)
        self.counts = {}
        services = {
            "members": self.known,
            "settings": SimpleNamespace(service=lambda name: EffectiveService(**settings)),
            "metrics": self,
            "events": mock.Mock(),
            "suspects": Suspects(),
        }
        self.dispatcher = Dispatcher(here, random.Random(1), link=link)
        kernel = SimpleNamespace(find=services.__getitem__)
        asyncio.run(self.known.start(kernel))
        for number, owner in enumerate(owners):
            self.known.put(HostEntry(f"h{number}", zones[number], "r", "s", ""))
            member = self.known.find(f"h{number}")
            member.incarnation = 1
            member.owner = owner
            # Deterministic order: the first member is the fastest, the last the slowest.
            member.estimate.update_load(Load(limit=20, service_us=20_000 * 10**number))
        self.members = self.known.of_service("s")
        asyncio.run(self.dispatcher.start(kernel))

    def count(self, name, **_):
        self.counts[name] = self.counts.get(name, 0) + 1

    def dispatch(self, idempotent=False, seconds=5.0, body=b""):
        call = Call(0, "me", "r", "s", "POST", "/", [], body, deadline_after(seconds), idempotent)
        return asyncio.run(self.dispatcher.dispatch(call))


def lost(sent=True):
    """Return the error of a broken connection to the owner."""
    return PeerError("connection lost", sent=sent)


async def hangs():
    """Never answer the call."""
    await asyncio.sleep(3600)


class TestNonIdempotentCall(unittest.TestCase):
    """Non-idempotent calls are sent again only if they provably did not run."""

    def test_refused_call_is_sent_to_another_owner(self):
        first, second = FakeOwner(NotRun("full")), FakeOwner(OK_ANSWER)
        self.assertEqual(DispatcherFixture(first, second).dispatch(), OK_ANSWER)
        self.assertEqual((len(first.calls), len(second.calls)), (1, 1))

    def test_call_with_unknown_outcome_is_not_retried(self):
        first, second = FakeOwner(Unknown("backend server died")), FakeOwner(OK_ANSWER)
        self.assertIsInstance(DispatcherFixture(first, second).dispatch(), Unknown)
        self.assertEqual(second.calls, [])

    def test_server_error_is_returned_without_a_retry(self):
        first, second = FakeOwner(ERROR_ANSWER), FakeOwner(OK_ANSWER)
        self.assertEqual(DispatcherFixture(first, second).dispatch(), ERROR_ANSWER)
        self.assertEqual(second.calls, [])

    def test_unsent_call_is_sent_to_another_owner(self):
        first, second = FakeOwner(lost(sent=False)), FakeOwner(OK_ANSWER)
        self.assertEqual(DispatcherFixture(first, second).dispatch(), OK_ANSWER)

    def test_lost_connection_is_resolved_before_a_retry(self):
        # The connection to the owner breaks during the call.  If the call was revoked
        # before it ran, it is sent elsewhere; if it ran, its answer is returned; if
        # that is unknown, it is not retried.
        for resolved, outcome, moved in (
            (NotRun("revoked"), OK_ANSWER, 1),
            (Answered(201, "", [], b""), Answered(201, "", [], b""), 0),
            (Unknown("owner is gone"), Unknown("owner is gone"), 0),
        ):
            first, second = FakeOwner(lost(), resolved=resolved), FakeOwner(OK_ANSWER)
            self.assertEqual(DispatcherFixture(first, second).dispatch(), outcome)
            self.assertEqual(len(second.calls), moved)

    def test_call_refused_by_all_queues_at_the_best_member(self):
        owners = [FakeOwner(NotRun("full"), OK_ANSWER), FakeOwner(NotRun("full"))]
        self.assertEqual(DispatcherFixture(*owners).dispatch(), OK_ANSWER)
        self.assertTrue(owners[0].calls[-1].last)
        self.assertFalse(owners[0].calls[0].last)

    def test_refusals_are_bounded(self):
        owners = [FakeOwner(NotRun("full")) for _ in range(8)]
        self.assertIsInstance(DispatcherFixture(*owners, refusals_per_call=2).dispatch(), NotRun)
        self.assertEqual(sum(len(owner.calls) for owner in owners), 3)


class TestIdempotentCall(unittest.TestCase):
    """Idempotent calls are retried within a budget."""

    def test_unknown_then_refusal_is_not_reported_as_not_run(self):
        # One attempt is lost and may have run, the next is refused.  "Not run" would
        # be wrong.
        owners = [FakeOwner(Unknown("lost")), FakeOwner(NotRun("full"))]
        self.assertIsInstance(DispatcherFixture(*owners, hedge_share=0.0).dispatch(True), Unknown)

    def test_budget_limits_retries(self):
        fixture = DispatcherFixture(
            FakeOwner(Unknown("lost")), FakeOwner(Unknown("lost")), hedge_share=0.0
        )
        for _ in range(100):
            fixture.dispatch(True)
        self.assertLessEqual(fixture.counts["retries"], 2 + 100 * 0.1)

    def test_first_attempt_is_cancelled_when_the_hedge_answers(self):
        slow, quick = FakeOwner(hangs), FakeOwner(OK_ANSWER)
        self.assertEqual(DispatcherFixture(slow, quick, hedge_share=0.5).dispatch(True), OK_ANSWER)
        self.assertEqual(slow.cancelled, 1)

    def test_refused_hedge_does_not_end_the_first_attempt(self):
        async def late():
            await asyncio.sleep(0.3)
            return OK_ANSWER

        fixture = DispatcherFixture(FakeOwner(late), FakeOwner(NotRun("full")), hedge_share=0.5)
        self.assertEqual(fixture.dispatch(True), OK_ANSWER)


class TestMemberChoice(unittest.TestCase):
    """The members that are considered for a call."""

    def test_leaving_member_gets_no_calls(self):
        first, second = FakeOwner(OK_ANSWER), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(first, second)
        fixture.members[0].leaving_incarnation = 1
        fixture.dispatch()
        self.assertEqual(first.calls, [])

    def test_members_are_tried_when_all_seem_down(self):
        # A node that was disconnected for a moment sees all members as down.  It must
        # still try them, or its own fault becomes an outage.
        owners = [FakeOwner(OK_ANSWER) for _ in range(3)]
        fixture = DispatcherFixture(*owners)
        for member in fixture.members:
            member.estimate.mark_down()
            member.owner.usable = False
        self.assertEqual(fixture.dispatch(), OK_ANSWER)

    def test_down_member_is_avoided(self):
        first, second = FakeOwner(OK_ANSWER), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(first, second)
        fixture.members[0].estimate.update_load(Load(state=ServerState.DOWN))
        fixture.dispatch()
        self.assertEqual(first.calls, [])


class TestLargeBodies(unittest.TestCase):
    """The choice between a fast server whose link is busy and a slow one."""

    def calls(self, rate, size, link_wait_ms=400, own=0.0):
        """Return the calls that each server gets of one with a body of `size` bytes."""
        owners = [FakeOwner(OK_ANSWER), FakeOwner(OK_ANSWER)]
        fixture = DispatcherFixture(*owners, link=LinkBudget(own))
        for member, service_us in zip(fixture.members, (20_000, 40_000), strict=True):
            wait_ms, link_wait_ms = link_wait_ms, 0
            member.estimate.body_bytes_per_second = rate
            load = Load(limit=20, service_us=service_us, link_wait_ms=wait_ms)
            member.estimate.update_load(load)
        fixture.dispatch(body=bytes(size))
        return [len(owner.calls) for owner in owners]

    def test_large_body_avoids_a_busy_link(self):
        self.assertEqual(self.calls(680_000, 60_000), [0, 1])
        self.assertEqual(self.calls(0, 60_000, own=800_000.0), [0, 1])

    def test_small_body_goes_to_the_best_server(self):
        self.assertEqual(self.calls(680_000, 1_000), [1, 0])

    def test_large_body_goes_to_the_best_server_if_no_link_is_busy(self):
        self.assertEqual(self.calls(680_000, 60_000, link_wait_ms=0), [1, 0])

    def test_without_a_known_link_bodies_make_no_difference(self):
        """Guards against deployments without a rate that are served otherwise than before."""
        self.assertEqual(self.calls(0, 60_000), [1, 0])


class TestBudget(unittest.TestCase):
    """Budgets over the levels of a call tree."""

    def test_seven_levels_add_less_than_a_tenth(self):
        product = 1.0
        for depth in range(7):
            product *= 1 + share_at_depth(0.045, depth)
        self.assertLess(product, 1.1)

    def test_saved_up_tokens_are_bounded(self):
        budget = CallBudget()
        for _ in range(10_000):
            budget.deposit(1.0)
        taken = sum(budget.withdraw() for _ in range(100))
        self.assertEqual(taken, 10)


class TestSuspects(unittest.TestCase):
    """Requests that were running at server crashes, for each kind of attempt.

    A request that crashes every server could spread through a first attempt, a retry
    after the crash, a hedge while it runs, and a new call of the same request.
    """

    FATAL = Fingerprint(5, 1)

    def fixture(self, *owners, crashes=0, **settings):
        fixture = DispatcherFixture(*owners, **settings)
        self.suspects = fixture.dispatcher._suspects
        self.suspects._events = mock.Mock()
        self.suspects.record_crash(1, [Fingerprint(6, 1)])
        for number in range(crashes):
            self.suspects.record_crash(10 + number, [self.FATAL])
        return fixture

    def send(self, fixture, fingerprint=FATAL, attempts=3):
        call = Call(0, "me", "r", "s", "GET", "/", [], b"", deadline_after(5), True)
        call.fingerprint = fingerprint
        call.attempts = attempts
        return asyncio.run(fixture.dispatcher.dispatch(call))

    def test_quarantined_request_is_not_sent_and_reported_as_not_run(self):
        owner = FakeOwner(OK_ANSWER)
        outcome = self.send(self.fixture(owner, crashes=3))
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual((outcome.status, owner.calls), (503, []))
        self.assertGreater(outcome.retry_after, 100.0)

    def test_other_requests_are_sent_as_usual(self):
        self.assertEqual(
            self.send(self.fixture(FakeOwner(OK_ANSWER), crashes=3), Fingerprint(6, 1)), OK_ANSWER
        )

    def test_call_that_crashed_two_servers_is_not_sent_to_a_third(self):
        outcomes = [Unknown("connection closed", end=20 + n) for n in range(3)]
        owners = [FakeOwner(outcome) for outcome in outcomes]
        for hedge_share in (0.0, 0.5):
            fixture = self.fixture(*owners, hedge_share=hedge_share)
            outcome = self.send(fixture)
            self.assertIsInstance(outcome, Unknown)
        self.assertEqual([len(owner.calls) for owner in owners][2], 0)

    def test_call_lost_in_one_crash_is_retried(self):
        first, second = FakeOwner(Unknown("connection closed", end=20)), FakeOwner(OK_ANSWER)
        self.assertEqual(self.send(self.fixture(first, second)), OK_ANSWER)

    def test_suspect_is_not_hedged(self):
        async def hangs():
            await asyncio.sleep(0.3)
            return OK_ANSWER

        slow, quick = FakeOwner(hangs), FakeOwner(OK_ANSWER)
        self.send(self.fixture(slow, quick, crashes=1, hedge_share=0.5))
        self.assertEqual(len(quick.calls), 0)

    def test_all_entries_send_an_isolated_suspect_to_one_server(self):
        # The request arrives at all entries at once; each could choose another server.
        used = set()
        for seed in range(8):
            owners = [FakeOwner(OK_ANSWER) for _ in range(4)]
            fixture = self.fixture(*owners, crashes=2)
            fixture.dispatcher.candidates._rng.seed(seed)
            self.send(fixture)
            used.update(n for n, owner in enumerate(owners) if owner.calls)
        self.assertEqual(len(used), 1)

    def test_refused_isolated_suspect_is_not_sent_elsewhere(self):
        owners = [FakeOwner(NotRun("another suspect is at work")) for _ in range(4)]
        self.assertIsInstance(self.send(self.fixture(*owners, crashes=2)), NotRun)
        self.assertEqual(sum(len(owner.calls) for owner in owners), 1)

    def test_call_that_ran_and_is_quarantined_meanwhile_is_not_reported_as_not_run(self):
        def quarantine(_call):
            for number in range(3):
                self.suspects.record_crash(30 + number, [self.FATAL])

        owner = FakeOwner(Unknown("connection closed", end=20))
        run = owner.run

        async def run_and_quarantine(call):
            quarantine(call)
            return await run(call)

        owner.run = run_and_quarantine
        self.assertIsInstance(self.send(self.fixture(owner, FakeOwner(OK_ANSWER))), Unknown)


class TestFinalQueueing(unittest.TestCase):
    """Calls that queue at the best server because none has a free slot."""

    def test_idempotent_call_lost_at_the_queueing_member_is_retried(self):
        """No server is free, the queueing server loses the answer, and no other is tried."""
        first, second = FakeOwner(Unknown("connection closed")), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(first, second, refusals_per_call=0)
        self.assertEqual(fixture.dispatch(idempotent=True), OK_ANSWER)
        self.assertEqual((len(first.calls), len(second.calls)), (1, 1))

    def test_non_idempotent_call_lost_at_the_queueing_member_is_not_retried(self):
        first, second = FakeOwner(Unknown("connection closed")), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(first, second, refusals_per_call=0)
        self.assertIsInstance(fixture.dispatch(), Unknown)
        self.assertEqual(second.calls, [])

    def test_refusal_by_the_queueing_member_is_final(self):
        first, second = FakeOwner(NotRun("no slot in time")), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(first, second, refusals_per_call=0)
        self.assertIsInstance(fixture.dispatch(idempotent=True), NotRun)
        self.assertEqual(second.calls, [])

    def limiting_owner(self, rates):
        """Return an owner that queues a call until its server states the next of `rates`."""

        async def limited():
            rate = rates.pop(0)
            self.fixture.members[0].estimate.update_load(
                Load(service_us=20_000, rate_limit=rate, rate_wait_ms=1_000_000 // rate)
            )
            return NotRun("backend server limits its requests", 1000 / rate)

        return FakeOwner(limited)

    def test_call_queued_at_a_server_that_begins_to_limit_moves(self):
        """Guards against a caller that is refused for a new rate while another server is free."""
        owner, other = self.limiting_owner([400]), FakeOwner(OK_ANSWER)
        self.fixture = DispatcherFixture(owner, other, refusals_per_call=0)
        self.assertEqual(self.fixture.dispatch(), OK_ANSWER)
        self.assertEqual((len(owner.calls), len(other.calls)), (1, 1))

    def test_refusal_for_a_rate_that_was_known_is_final(self):
        """Guards against calls that are offered again and again to a limited server."""
        owner = self.limiting_owner([400, 400])
        self.fixture = DispatcherFixture(owner, refusals_per_call=0)
        self.assertIsInstance(self.fixture.dispatch(), NotRun)
        self.assertEqual(len(owner.calls), 2)


class TestEvacuation(unittest.TestCase):
    """Zones that operators have evacuated."""

    def test_no_call_goes_to_an_evacuated_zone(self):
        """Fast servers in an evacuated zone still get calls."""
        quick, slow = FakeOwner(OK_ANSWER), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(quick, slow, zones="ab")
        fixture.known.evacuated = frozenset("a")
        for _ in range(20):
            self.assertEqual(fixture.dispatch(), OK_ANSWER)
        self.assertEqual((len(quick.calls), len(slow.calls)), (0, 20))

    def test_zone_gets_calls_after_its_evacuation_ends(self):
        """Servers stay idle after the evacuation of their zone has ended."""
        quick, slow = FakeOwner(OK_ANSWER), FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(quick, slow, zones="ab")
        fixture.known.evacuated = frozenset("a")
        fixture.dispatch()
        fixture.known.evacuated = frozenset()
        fixture.dispatch()
        self.assertEqual(len(quick.calls), 1)

    def test_call_is_refused_with_retry_after_when_all_zones_are_evacuated(self):
        """The caller waits until its deadline, or is refused without a reason."""
        owner = FakeOwner(OK_ANSWER)
        fixture = DispatcherFixture(owner)
        fixture.known.evacuated = frozenset("a")
        outcome = fixture.dispatch()
        self.assertEqual(outcome.reason, "every zone of the service is evacuated")
        self.assertGreater(outcome.retry_after, 0.0)
        self.assertEqual(owner.calls, [])

    def test_call_queued_in_a_zone_moves_when_the_zone_is_evacuated(self):
        """The zone of a queued call is evacuated, and the caller is refused."""
        waits, other = FakeOwner(None), FakeOwner(OK_ANSWER)

        async def evacuated():
            fixture.members[0].estimate.update_load(Load(state=ServerState.EVACUATED))
            return NotRun("zone is evacuated", 0.0)

        waits._outcomes = [evacuated]
        fixture = DispatcherFixture(waits, other, zones="ab", refusals_per_call=0)
        self.assertEqual(fixture.dispatch(), OK_ANSWER)
        self.assertEqual((len(waits.calls), len(other.calls)), (1, 1))


class TestEnd(unittest.TestCase):
    """Calls of a node that ends at a known time."""

    #: Time until the node ends, in seconds; calls wait for 5 s by default.
    END_SECONDS = 1.0

    def fixture(self, *owners, **settings):
        fixture = DispatcherFixture(*owners, **settings)
        fixture.known.find("me").owner = FakeOwner(NotRun("other service"))
        fixture.end = lambda: fixture.dispatcher.end_by(deadline_after(self.END_SECONDS))
        return fixture

    def test_call_that_may_outlast_the_node_is_sent_to_no_owner(self):
        """Guards against a call that is passed on and cut when the node ends."""
        for idempotent in (False, True):
            owner = FakeOwner(OK_ANSWER)
            fixture = self.fixture(owner, hedge_share=0.1)
            fixture.end()
            outcome = fixture.dispatch(idempotent)
            self.assertEqual((type(outcome), outcome.reason), (NotRun, "node stops"))
            self.assertEqual((owner.calls, owner.end_by_times), ([], 1))

    def test_call_that_ends_before_the_node_is_sent(self):
        fixture = self.fixture(FakeOwner(OK_ANSWER))
        fixture.end()
        self.assertEqual(fixture.dispatch(seconds=self.END_SECONDS / 2), OK_ANSWER)

    def test_call_is_not_sent_again_once_it_may_outlast_the_node(self):
        """Guards against a repeat that begins late in a stop."""
        for first in (NotRun("full"), Unknown("lost")):
            self.assertIs(self.outcome_of_an_end_during(first), first)

    def outcome_of_an_end_during(self, first):
        """Return the outcome of a call whose first attempt ends so after the stop began."""

        async def ends_meanwhile():
            fixture.end()
            return first

        other = FakeOwner(OK_ANSWER)
        fixture = self.fixture(FakeOwner(ends_meanwhile), other, retry_share=1.0)
        outcome = fixture.dispatch(True)
        self.assertEqual(other.calls, [])
        return outcome

    def test_no_hedge_is_sent_once_it_may_outlast_the_node(self):
        """Guards against a second send that begins late in a stop."""

        async def ends_meanwhile():
            fixture.end()
            await asyncio.sleep(0.3)
            return OK_ANSWER

        other = FakeOwner(OK_ANSWER)
        fixture = self.fixture(FakeOwner(ends_meanwhile), other, hedge_share=0.5)
        self.assertEqual(fixture.dispatch(True), OK_ANSWER)
        self.assertEqual(other.calls, [])
