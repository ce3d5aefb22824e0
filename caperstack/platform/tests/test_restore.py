"""A store that comes back from an older copy: what nodes take, and what they tell of it."""

import asyncio
import json
from unittest import mock

from caperstack.platform.names import CONFIGURATION_KEY
from caperstack.platform.standin.fleet import configuration
from caperstack.platform.store import StoreItem, StoreRead
from caperstack.platform.tests.readercase import ReaderCase


def configured(version, revision):
    """Return the item of a configuration."""
    value = json.dumps(configuration(version, [], ["s"])).encode()
    return StoreItem(CONFIGURATION_KEY, value, revision, 1)


class TestLines(ReaderCase):
    """What a node logs when the store goes back."""

    def states(self, subject):
        calls = self.events.state.call_args_list
        return [call.args[1:3] for call in calls if call.args[0] == subject]

    def read_at(self, revision, era, items=()):
        read = StoreRead(list(items), revision, era)
        self.reader._client.read = mock.AsyncMock(return_value=read)
        asyncio.run(self.reader._read(0.0, stale=False))

    def test_reading_at_a_lower_revision_is_told_once(self):
        for revision in (19, 19, 17, 17, 20):
            self.read_at(revision, era=0)
        first = ("unknown", "era 0, revision 19")
        told = [first, ("era 0, revision 19", "era 0, revision 17")]
        self.assertEqual(self.states("store position"), told)

    def test_another_era_is_told_once(self):
        for revision, era in ((19, 1), (25, 2), (26, 2)):
            self.read_at(revision, era)
        first = ("unknown", "era 1, revision 19")
        told = [first, ("era 1, revision 19", "era 2, revision 25")]
        self.assertEqual(self.states("store position"), told)

    def test_configuration_that_is_passed_over_is_told_once(self):
        self.read_at(19, 0, [configured(19, 19)])
        for revision in (16, 16, 17, 19):
            self.read_at(revision, 0, [configured(23, revision)])
        calls = self.events.belief.call_args_list
        told = [c.kwargs["revision"] for c in calls if c.args[0] == "passed over"]
        self.assertEqual(told, [16, 17])
