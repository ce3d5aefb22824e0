"""A base class for tests that feed reads to a store reader without a network."""

import unittest
from unittest import mock

from caperstack.platform.items import StoreCodec
from caperstack.platform.reader import StoreReader
from caperstack.platform.standin.fleet import PlatformFleet
from caperstack.platform.store import StoreItem, StoreRead
from caperstack.settings.restores import Restores
from caperstack.settings.store import SettingsStore

__all__ = ["BORN_MS", "FLEET", "ReaderCase", "server_document"]

#: The hosts whose entries are read; no process runs on them.
FLEET = PlatformFleet(["slots", "slots", "rates"], [])

BORN_MS = 1_790_000_000_000


def server_document(number=0, **changes):
    """Return the document that the server of a host writes, with `changes` at its top level."""
    host = FLEET.hosts[number]
    return host.instance.entry(host.zone) | {"born": BORN_MS + number} | changes


class ReaderCase(unittest.TestCase):
    """A test case with a `StoreReader` without a client and the settings that it fills."""

    def setUp(self):
        self.reset()

    def reset(self):
        self.events = mock.Mock()
        restores = Restores()
        self.settings = SettingsStore(StoreCodec(restores))
        self.settings._events = self.events
        self.settings._metrics = mock.Mock()
        self.reader = StoreReader(FLEET.hosts[0].boot, mock.Mock(address="store"), restores)
        self.reader._settings = self.settings
        self.reader._events = self.events
        self.reader._metrics = mock.Mock()
        self.revision = 10

    def read(self, values):
        """Apply a read of `values`, bytes by key, all written since the previous read."""
        self.revision += 10
        items = [StoreItem(key, value, self.revision, 1) for key, value in values.items()]
        self.reader._apply_servers(StoreRead(items, self.revision))

    def entry(self, key):
        """Return the `ServerEntry` in the settings under `key`, or ``None``."""
        held = self.settings.get(key)
        return None if held is None else held.parsed

    def foreign_lines(self):
        lines = [c for c in self.events.log_state.call_args_list if c.args[0] == "foreign entry"]
        return [(line.kwargs["key"], line.kwargs["reason"]) for line in lines]
