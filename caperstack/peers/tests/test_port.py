"""Load updates from an owner to its connected entries."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from caperstack.calls.model import Load, ServerState
from caperstack.clock import now, use_source
from caperstack.peers.interest import CALLS_SECONDS, LoadInterest
from caperstack.peers.port import PeerPort


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


if __name__ == "__main__":
    unittest.main()
