"""Load updates from an owner to its connected entries."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

import msgspec

from caperstack.calls.model import Load, ServerState
from caperstack.clock import now, use_source
from caperstack.peers.interest import CALLS_SECONDS, LoadInterest
from caperstack.peers.messages import LoadReport
from caperstack.peers.port import PeerPort
from caperstack.peers.translate import load_from_report, load_report


class FakeConnection:
    """Record the states that are sent on it."""

    def __init__(self, moment):
        with use_source(lambda: moment):
            self.interest = LoadInterest()
        self.sent = []

    def send(self, message):
        self.sent.append(message.load.state)


class TestPushes(unittest.TestCase):
    """`PeerPort.push_state` to one entry that has called lately and one that has not."""

    def setUp(self):
        self.port = PeerPort(None, None)
        self.owner = self.port._owner = SimpleNamespace(load=Load(state=ServerState.DRAINING))
        self.caller = FakeConnection(now())
        self.other = FakeConnection(now() - 2 * CALLS_SECONDS)
        self.port._connections = {self.caller: True, self.other: True}
        self.port.push_state()

    def push(self, **changes):
        self.owner.load = replace(self.owner.load, **changes)
        self.port.push_state()

    def test_changed_state_is_sent_to_entries_that_do_not_call(self):
        # A server was removed from the host list and is listed again.  An entry that
        # took it for draining has not called it for seconds and would keep avoiding it.
        self.push(state=ServerState.WARM)
        self.assertEqual(self.other.sent, [ServerState.DRAINING, ServerState.WARM])

    def test_changed_slowdown_is_sent_only_to_entries_that_call(self):
        self.push(pace=400)
        self.assertEqual((len(self.caller.sent), len(self.other.sent)), (2, 1))

    def test_entry_told_of_a_slow_phase_is_told_of_its_end(self):
        # An entry whose call was refused because the host is slowed calls other hosts
        # and would avoid this one for 2 s more.
        self.other.interest.record_load(replace(self.owner.load, pace=400))
        self.push(pace=300)
        self.push(pace=100)
        self.push(pace=110)
        self.assertEqual(len(self.other.sent), 2)

    def test_stated_and_withdrawn_rate_limit_is_sent_to_entries_that_do_not_call(self):
        """Guards against entries that avoid a server after it has withdrawn a low rate."""
        self.push(rate_limit=200, rate_wait_ms=5000)
        self.push(rate_limit=0, rate_wait_ms=0)
        self.assertEqual(len(self.other.sent), 3)

    def test_much_changed_rate_limit_is_sent_to_entries_that_do_not_call(self):
        self.push(rate_limit=200)
        self.push(rate_limit=300)
        self.assertEqual(len(self.other.sent), 2)
        self.push(rate_limit=5000)
        self.push(rate_limit=1000)
        self.assertEqual(len(self.other.sent), 4)

    def test_stated_rate_limit_is_pushed_without_another_change(self):
        """Guards against a rate that only the next answer or heartbeat would tell entries."""
        self.assertFalse(self.port._is_significant_change(self.owner.load))
        limited = replace(self.owner.load, rate_limit=200)
        self.assertTrue(self.port._is_significant_change(limited))


class TestLoadReports(unittest.TestCase):
    """Loads on the wire."""

    def test_load_is_the_same_after_the_wire(self):
        load = Load(1, 2, 3, 4, ServerState.COLD, 5, 6, 130, 7700, 125)
        self.assertEqual(load_from_report(load_report(load)), load)

    def test_report_of_a_node_that_knows_no_rate_limits_is_read(self):
        """Guards against nodes that cannot talk while a release replaces them one by one."""
        older = msgspec.msgpack.encode([1, 2, 3, 4, 0, 5, 6, 130])
        load = load_from_report(msgspec.msgpack.decode(older, type=LoadReport))
        self.assertEqual((load.pace, load.rate_limit, load.rate_wait_ms), (130, 0, 0))


if __name__ == "__main__":
    unittest.main()
