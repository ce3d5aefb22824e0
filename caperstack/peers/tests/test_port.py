"""What an owner tells the entries that are connected to it."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from caperstack.calls.model import Load, ServerState
from caperstack.clock import now, use_source
from caperstack.peers.interest import CALLS_SECONDS, Interest
from caperstack.peers.port import PeerPort


class FakeConnection:
    """Notes the states that it is sent."""

    def __init__(self, moment):
        with use_source(lambda: moment):
            self.interest = Interest()
        self.told = []

    def send(self, message):
        self.told.append(message.load.state)


class TestPushes(unittest.TestCase):
    """`PeerPort.tell_state` with one entry that calls here and one that does not."""

    def setUp(self):
        self.port = PeerPort(None, None)
        self.owner = self.port._owner = SimpleNamespace(load=Load(state=ServerState.DRAINING))
        self.caller = FakeConnection(now())
        self.other = FakeConnection(now() - 2 * CALLS_SECONDS)
        self.port._connections = {self.caller: True, self.other: True}
        self.port.tell_state()

    def tell(self, **changes):
        self.owner.load = replace(self.owner.load, **changes)
        self.port.tell_state()

    def test_state_that_changes_is_told_to_all(self):
        # A server's entry was gone and is back.  An entry that took it for
        # leaving has not called it for seconds, and must hear of it now.
        self.tell(state=ServerState.WARM)
        self.assertEqual(self.other.told, [ServerState.DRAINING, ServerState.WARM])

    def test_pace_is_told_to_those_who_call(self):
        self.tell(pace=400)
        self.assertEqual((len(self.caller.told), len(self.other.told)), (2, 1))

    def test_whoever_was_told_of_a_visit_hears_of_its_end(self):
        # An entry's call was refused since the host is slowed.  It calls
        # elsewhere and would leave this host alone for two seconds more.
        self.other.interest.told(replace(self.owner.load, pace=400))
        self.tell(pace=300)
        self.tell(pace=100)
        self.tell(pace=110)
        self.assertEqual(len(self.other.told), 2)


if __name__ == "__main__":
    unittest.main()
