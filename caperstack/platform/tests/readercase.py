"""A reader of the store that is handed readings, for tests without a network."""

import unittest
from unittest import mock

from caperstack.platform.items import StoreCodec
from caperstack.platform.reader import StoreReader
from caperstack.platform.standin.fleet import PlatformFleet
from caperstack.platform.store import StoreItem, StoreRead
from caperstack.settings.restores import Restores
from caperstack.settings.store import SettingsStore

__all__ = ["BORN", "FLEET", "ReaderCase", "registered"]

#: The hosts whose entries are read; no process runs there.
FLEET = PlatformFleet(["slots", "slots", "rates"], [])

BORN = 1_790_000_000_000


def registered(number=0, **changes):
    """Return what the server of that host writes; `changes` are of its top level."""
    host = FLEET.hosts[number]
    return host.instance.entry(host.zone) | {"born": BORN + number} | changes


class ReaderCase(unittest.TestCase):
    """A `StoreReader` that is handed readings, and the settings that it fills."""

    def setUp(self):
        self.begin()

    def begin(self):
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
        """Take a reading of `values`, bytes by key, each written since the last one."""
        self.revision += 10
        items = [StoreItem(key, value, self.revision, 1) for key, value in values.items()]
        self.reader._take_servers(StoreRead(items, self.revision))

    def entry(self, key):
        """Return the `ServerEntry` held under that key, or ``None``."""
        held = self.settings.get(key)
        return None if held is None else held.parsed

    def foreign_lines(self):
        lines = [c for c in self.events.log_state.call_args_list if c.args[0] == "foreign entry"]
        return [(line.kwargs["key"], line.kwargs["reason"]) for line in lines]
