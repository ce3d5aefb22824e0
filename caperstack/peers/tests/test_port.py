"""What an owner tells the entries that are connected to it."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from caperstack.calls.model import Load, ServerState
from caperstack.clock import deadline_after
from caperstack.peers.port import PeerPort


class FakeConnection:
    """Notes the states that it is sent."""

    def __init__(self, calls):
        self.calls_until = deadline_after(60.0 if calls else -1.0)
        self.told = []

    def send(self, message):
        self.told.append(message.load.state)


class TestPushes(unittest.TestCase):
    """`PeerPort.tell_state` with one entry that calls here and one that does not."""

    def setUp(self):
        self.port = PeerPort(None, None)
        self.owner = self.port._owner = SimpleNamespace(load=Load(state=ServerState.LEAVING))
        self.caller, self.other = FakeConnection(True), FakeConnection(False)
        self.port._connections = {self.caller: True, self.other: True}
        self.port.tell_state()

    def tell(self, **changes):
        self.owner.load = replace(self.owner.load, **changes)
        self.port.tell_state()

    def test_state_that_changes_is_told_to_all(self):
        # A server's entry was gone and is back.  An entry that took it for
        # leaving has not called it for seconds, and must hear of it now.
        self.tell(state=ServerState.WARM)
        self.assertEqual(self.other.told, [ServerState.LEAVING, ServerState.WARM])

    def test_pace_is_told_to_those_who_call(self):
        self.tell(pace=400)
        self.assertEqual((len(self.caller.told), len(self.other.told)), (2, 1))


if __name__ == "__main__":
    unittest.main()
