"""Tests of the verdicts on suspect requests, without a network."""

import itertools
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from caperstack import clock
from caperstack.calls.fingerprint import Fingerprint
from caperstack.calls.model import Call
from caperstack.peers.frames import FrameDecoder, encode_frame
from caperstack.peers.messages import Suspicions
from caperstack.peers.translate import suspicion_from, suspicion_message
from caperstack.quarantine.suspects import (
    COMPLETION_VALID_SECONDS,
    MAX_COMPLETIONS,
    MAX_CRASHES_PER_SUSPECT,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SUSPECT_TTL_SECONDS,
    Clearing,
    Crash,
    Suspects,
    Suspicion,
    Verdict,
)

FATAL = Fingerprint(1, 1)
OTHER_CALLER = Fingerprint(1, 2)
UNRELATED = Fingerprint(2, 1)

CRASHES = st.builds(
    Crash, st.integers(1, 30), st.integers(1, 3), st.sampled_from(Clearing), st.booleans()
)


class _VirtualClockTestCase(unittest.TestCase):
    """Test case with a clock that the test advances."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self.suspects = self.new_suspects()

    def new_suspects(self):
        suspects = Suspects()
        suspects._events = mock.Mock()
        return suspects

    def record_crash(self, number, *fingerprints):
        self.suspects.record_crash(number, fingerprints)


class TestVerdict(_VirtualClockTestCase):
    """The verdict on a request by its number of crashes."""

    def test_third_crash_quarantines_only_the_request_present_at_all_three(self):
        # Three servers crash in turn.  The fatal request was running at each of them, an
        # unrelated one that was retried next to it at two: it is isolated, but not
        # quarantined.
        self.record_crash(11, FATAL, UNRELATED)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.FREE)
        self.record_crash(12, FATAL, UNRELATED)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.ALONE)
        self.record_crash(13, FATAL)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)
        self.assertEqual(self.suspects.verdict(UNRELATED), Verdict.ALONE)

    def test_crash_reported_twice_counts_once(self):
        for _ in range(5):
            self.record_crash(11, FATAL)
        self.assertEqual(self.suspects.count(FATAL), 1)

    def test_frequent_request_that_completes_between_unrelated_crashes_stays_free(self):
        # A frequent request is running at every server.  The servers crash in turn for
        # another reason, and the request completes elsewhere in between.
        for number in range(20):
            self.record_crash(number, UNRELATED)
            self.suspects.record_completion(UNRELATED)
            self.assertEqual(self.suspects.verdict(UNRELATED), Verdict.FREE)

    def test_frequent_request_that_completed_just_before_is_not_blamed(self):
        # Three servers lose power at the same time.  A frequent request was running at
        # all three and had no chance to complete in between.
        self.suspects.record_completion(UNRELATED)
        for number in range(3):
            self.record_crash(number, UNRELATED, FATAL)
        self.assertEqual(self.suspects.count(UNRELATED), 0)
        self.time += COMPLETION_VALID_SECONDS + 1.0
        self.record_crash(4, UNRELATED)
        self.assertEqual(self.suspects.count(UNRELATED), 1)

    def test_quarantined_frequent_request_is_cleared_by_a_run_in_progress(self):
        # Three servers fail at once, and the nodes have just started and remember no
        # completed runs.  A run at a fourth server that began before completes.
        for number in range(3):
            self.record_crash(number, UNRELATED)
        self.assertEqual(self.suspects.verdict(UNRELATED), Verdict.QUARANTINED)
        self.suspects.record_completion(UNRELATED)
        self.assertEqual(self.suspects.verdict(UNRELATED), Verdict.FREE)

    def test_request_that_is_fatal_for_one_caller_is_quarantined_for_that_caller_only(self):
        for number in range(3):
            self.record_crash(number, FATAL)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)
        self.assertEqual(self.suspects.verdict(OTHER_CALLER), Verdict.FREE)
        self.suspects.record_completion(OTHER_CALLER)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)

    def test_request_that_was_fatal_for_two_callers_is_quarantined_for_all(self):
        # Callers on the hosts of every service send it: if crashes counted per caller,
        # each caller would cause a few more.
        for number in range(3):
            self.record_crash(number, FATAL)
        self.record_crash(4, OTHER_CALLER)
        for caller in (1, 2, 3):
            self.assertEqual(self.suspects.verdict(Fingerprint(1, caller)), Verdict.QUARANTINED)

    def test_quarantine_ends_with_a_trial_and_is_longer_after_a_failed_one(self):
        for number in range(3):
            self.record_crash(number, FATAL)
        self.time += QUARANTINE_SECONDS + 1.0
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.ALONE)
        self.record_crash(4, FATAL)
        self.time += QUARANTINE_SECONDS + 1.0
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)
        self.time += QUARANTINE_SECONDS
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.ALONE)
        self.suspects.record_completion(FATAL)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.FREE)

    def test_retry_after_is_the_time_until_the_next_trial(self):
        for number in range(3):
            self.record_crash(number, FATAL)
        call = Call(1, "n", "r", "s", "GET", "/", [], b"", self.time + 5, True, fingerprint=FATAL)
        self.time += 100.0
        self.assertAlmostEqual(self.suspects.refusal(call).retry_after, QUARANTINE_SECONDS - 100.0)

    def test_old_suspect_is_dropped(self):
        for number in range(2):
            self.record_crash(number, FATAL)
        self.time += SUSPECT_TTL_SECONDS + 1.0
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.FREE)
        self.assertEqual(self.suspects.count(FATAL), 0)

    def test_call_without_a_fingerprint_is_never_a_suspect(self):
        for number in range(5):
            self.record_crash(number, Fingerprint())
        self.assertEqual(self.suspects.verdict(Fingerprint()), Verdict.FREE)


class TestIsolation(_VirtualClockTestCase):
    """Crashes at which a request was running before its isolation began."""

    BYSTANDER = Fingerprint(3, 1)

    def test_request_that_ran_beside_the_fatal_one_at_three_crashes_is_not_quarantined(self):
        """Guards against a quarantine of frequent requests, none of which could complete yet.

        Three servers crash within the time of one run, all after the same two requests began.
        """
        for number in range(4):
            self.suspects.record_crash(number, (FATAL, self.BYSTANDER), isolated=())
        self.assertEqual(self.suspects.verdict(self.BYSTANDER), Verdict.ALONE)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.ALONE)
        self.suspects.record_crash(4, (FATAL, UNRELATED), isolated=(FATAL.request,))
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)
        self.assertEqual(self.suspects.verdict(self.BYSTANDER), Verdict.ALONE)

    def test_isolated_request_beside_an_earlier_run_of_another_suspect_is_not_quarantined(self):
        """Guards against a quarantine of the one of two suspects that happens to be isolated."""
        for number in range(2):
            self.suspects.record_crash(number, (FATAL, self.BYSTANDER), isolated=())
        isolated = (self.BYSTANDER.request,)
        self.suspects.record_crash(2, (OTHER_CALLER, self.BYSTANDER), isolated=isolated)
        self.assertEqual(self.suspects.verdict(self.BYSTANDER), Verdict.ALONE)

    def test_crash_that_the_entry_reports_first_quarantines_once_the_owner_reports_it(self):
        """Guards against a quarantine without an end time, so that the request is sent on."""
        owner, entry = self.suspects, self.new_suspects()
        for number in range(2):
            owner.record_crash(number, (FATAL,), isolated=())
            entry.record_crash(number, (FATAL,), isolated=())
        owner.record_crash(2, (FATAL,), isolated=(FATAL.request,))
        entry.record_crash(2, (FATAL,), isolated=())
        self.assertEqual(entry.verdict(FATAL), Verdict.ALONE)
        self.assertTrue(entry.take(owner.suspicion(FATAL.request), "owner"))
        self.assertEqual(entry.verdict(FATAL), Verdict.QUARANTINED)
        self.assertFalse(owner.take(entry.suspicion(FATAL.request), "entry"))

    def test_completed_run_clears_a_crash_in_isolation(self):
        """Guards against a quarantine that no completed run ends."""
        for number in range(3):
            self.suspects.record_crash(number, (FATAL,), isolated=(FATAL.request,))
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)
        self.suspects.record_completion(FATAL)
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.FREE)


class TestExchangeOfSuspicions(_VirtualClockTestCase):
    """Suspicions exchanged by nodes converge to the same state in any order."""

    @given(
        st.lists(st.lists(CRASHES, min_size=1, max_size=4), min_size=1, max_size=4), st.randoms()
    )
    def test_order_and_repetition_of_reports_do_not_matter(self, reports, rng):
        views = []
        for _ in range(3):
            suspects = self.new_suspects()
            order = [*reports, *reports]
            rng.shuffle(order)
            for report in order:
                suspects.take(Suspicion(1, tuple(report)))
            views.append([(c.number, c.clearing, c.isolated) for c in suspects.suspicion(1).ends])
        self.assertEqual(views, views[:1] * 3)

    @given(st.lists(CRASHES, min_size=1, max_size=4))
    def test_message_carries_all_evidence(self, crashes):
        suspicion = Suspicion(1, tuple(crashes))
        stream = encode_frame(Suspicions([suspicion_message(suspicion)]))
        ((message, _),) = FrameDecoder().feed(stream)
        self.assertEqual(suspicion_from(message.items[0]), suspicion)

    def test_two_nodes_that_dropped_different_crashes_stop_exchanging_them(self):
        one, two = self.new_suspects(), self.new_suspects()
        for number in range(2 * MAX_CRASHES_PER_SUSPECT):
            (one if number % 2 else two).take(Suspicion(1, (Crash(number, 1),)))
        for count in itertools.count():
            changed = two.take(one.suspicion(1)), one.take(two.suspicion(1))
            if not any(changed):
                break
            self.assertLess(count, 5)
        self.assertEqual(one.suspicion(1), two.suspicion(1))

    def test_clearing_that_overtakes_its_crash_still_clears(self):
        self.suspects.take(Suspicion(1, (Crash(5, 1, Clearing.ALL),)))
        self.suspects.take(Suspicion(1, (Crash(5, 1),)))
        self.assertEqual(self.suspects.count(FATAL), 0)

    def test_listener_is_called_for_new_information_only(self):
        notified = []
        self.suspects.listen(lambda request, source: notified.append((request, source)))
        for source in ("a", "b"):
            self.suspects.take(Suspicion(1, (Crash(5, 1),)), source)
        self.suspects.take(Suspicion(1, ()), "c")
        self.assertEqual(notified, [(1, "a")])

    def test_only_suspects_of_several_crashes_are_restricted(self):
        for number in range(2):
            self.record_crash(number, FATAL)
        self.record_crash(3, UNRELATED)
        self.assertEqual([one.request for one in self.suspects.restricted()], [FATAL.request])


class TestBounds(_VirtualClockTestCase):
    """Memory is bounded, and the restricted suspects are kept."""

    def test_unrestricted_suspects_are_evicted_first(self):
        # Hundreds of servers crash, each with a dozen running calls.
        for number in range(3):
            self.record_crash(number, FATAL)
        rng = random.Random(1)
        for number in range(10 * MAX_SUSPECTS):
            self.record_crash(10 + number, Fingerprint(rng.getrandbits(64), 1))
            self.suspects.record_completion(Fingerprint(rng.getrandbits(64), 1))
        self.assertEqual(self.suspects.verdict(FATAL), Verdict.QUARANTINED)
        self.assertLessEqual(len(self.suspects._records), MAX_SUSPECTS)
        self.assertLessEqual(len(self.suspects._completions), 2 * MAX_COMPLETIONS)
