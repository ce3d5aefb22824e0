"""The long-poll watch on the operators' keys, against the stand-in of the store."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.bench.fleet import free_addresses
from caperstack.clock import deadline_after, now
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform import watch
from caperstack.platform.items import StoreCodec
from caperstack.platform.reader import StoreReader
from caperstack.platform.standin.fleet import PlatformFleet, configuration
from caperstack.platform.standin.store import StandinStore
from caperstack.platform.store import StoreClient
from caperstack.platform.watch import OperatorWatch
from caperstack.settings.store import SettingsStore

KEY = "op/config"


class TestOperatorWatch(unittest.IsolatedAsyncioTestCase):
    """`OperatorWatch` with a store that changes, becomes unreachable and drops its history."""

    async def asyncSetUp(self):
        address = free_addresses(1)[0]
        self.store = StandinStore([address])
        self.faults = self.store.faults[address]
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.store.put(KEY, configuration(1, [], ["s"]))
        self.client = StoreClient(address, mock.Mock())
        self.settings = SettingsStore(StoreCodec())
        here = PlatformFleet(["s"], []).hosts[0].boot
        self.reader = reader = StoreReader(here, None)
        self.watch = OperatorWatch(here, self.client, reader)
        services = {
            "events": mock.Mock(),
            "metrics": mock.Mock(),
            "fleet": SimpleNamespace(registered=True),
            "members": SimpleNamespace(listen=lambda _listener: None),
        }
        self.kernel = kernel = SimpleNamespace(find=services.__getitem__)
        await self.settings.start(kernel)
        reader._settings = self.settings
        reader._events = services["events"]
        self.enterContext(mock.patch.object(watch, "Topology", lambda *_: self))
        self.reads = True
        await self.watch.start(kernel)
        self.addAsyncCleanup(self.watch.stop)
        self.addCleanup(self.client.close)
        await self.until(lambda: self.version == 1)

    @property
    def version(self):
        held = self.settings.get(KEY)
        return held.parsed.version if held else 0

    async def until(self, condition, seconds=5.0):
        limit = deadline_after(seconds)
        while not condition():
            self.assertLess(now(), limit)
            await asyncio.sleep(0.01)

    async def test_change_is_known_at_once(self):
        self.store.put(KEY, configuration(2, [], ["s"]))
        await self.until(lambda: self.version == 2, 0.5)

    async def test_evacuation_and_its_end_are_known_at_once(self):
        self.store.put("op/evacuate/a", {})
        await self.until(lambda: self.settings.evacuated_zones == frozenset("a"), 0.5)
        self.store.remove("op/evacuate/a")
        await self.until(lambda: not self.settings.evacuated_zones, 0.5)

    async def test_watch_continues_after_its_history_is_dropped(self):
        """A change that the history lost during an outage must still reach the node."""
        self.faults.cut = True
        self.store.put(KEY, configuration(2, [], ["s"]))
        self.store.drop_history()
        self.faults.cut = False
        await self.until(lambda: self.version == 2)
        self.store.put(KEY, configuration(3, [], ["s"]))
        await self.until(lambda: self.version == 3)

    async def test_watch_continues_after_an_answer_that_is_none(self):
        """Guards against a node that follows no changes any more for one broken answer."""
        nested = b'{"new": ' + b"[" * 200_000
        nested = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(nested), nested)
        for version, broken in enumerate((nested, b"\0\r\n\r\n"), 2):
            self.faults.raw = broken
            calls = self.store.calls
            self.store.put("op/x", {})
            await self.until(lambda calls=calls: self.store.calls > calls)
            self.faults.raw = b""
            self.store.put(KEY, configuration(version, [], ["s"]))
            await self.until(lambda version=version: self.version == version)

    async def test_watch_backs_off_from_a_refusing_store(self):
        """With a store that answers 503 at once, the watch must not loop without a delay.

        It would make thousands of calls per second.
        """
        self.faults.status = 503
        self.store.drop_history()
        await asyncio.sleep(0.1)
        before = self.store.calls
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.store.calls - before, 5)

    async def test_watch_starts_at_the_last_read_revision(self):
        """Starting a watch must not cost a read in addition to the periodic ones."""
        await self.watch.stop()
        self.reader._operator_revision = (await self.client.read("op/")).revision
        calls = mock.AsyncMock(side_effect=PlatformError("no", step="read", peer="store"))
        self.watch._revision = None
        with mock.patch.object(self.client, "read", calls):
            await self.watch.start(self.kernel)
            self.store.put(KEY, configuration(2, [], ["s"]))
            await self.until(lambda: self.version == 2, 0.5)
        calls.assert_not_awaited()

    async def test_lost_history_is_not_resumed_at_the_last_read(self):
        """The last read may be older than the history that the store keeps.

        A watch from there would fail a second time and back off.
        """
        self.store.put("other", {})
        self.reader._operator_revision = (await self.client.read("op/")).revision
        self.store.put("other", {})
        calls = mock.AsyncMock(side_effect=self.client.read)
        with mock.patch.object(self.client, "read", calls):
            self.store.drop_history()
            await self.until(lambda: calls.await_count, 0.25)

    async def test_history_lost_in_an_outage_is_replaced_by_a_read_at_once(self):
        """After an outage that lost the history, the watch must not back off for seconds."""
        moments = []

        async def watch_and_note(*arguments):
            try:
                return await type(self.client).watch(self.client, *arguments)
            except HistoryError:
                moments.append(now())
                raise

        async def read_and_note(*arguments):
            moments.append(now())
            return await type(self.client).read(self.client, *arguments)

        self.client.watch = watch_and_note
        self.client.read = read_and_note
        copy = self.store.copy()
        self.store.put(KEY, configuration(2, [], ["s"]))
        await self.until(lambda: self.version == 2)
        self.faults.cut = True
        self.store.restore_from(copy)
        await self.until(lambda: self.watch._failures > 2)
        self.faults.cut = False
        await self.until(lambda: len(moments) > 1)
        self.assertLess(moments[1] - moments[0], 0.25)

    async def test_repeated_history_loss_does_not_cause_a_read_loop(self):
        """A store that keeps no history must not be read thousands of times per second."""
        self.client.watch = mock.AsyncMock(side_effect=HistoryError("gone"))
        self.store.put(KEY, configuration(2, [], ["s"]))
        await self.until(lambda: self.version == 2)
        before = self.store.calls
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.store.calls - before, 4)

    async def test_early_empty_answer_is_a_failure(self):
        calls = []

        async def answer(_prefix, after, _wait_until):
            calls.append(after)
            return SimpleNamespace(items=[], revision=after)

        with mock.patch.object(self.client, "watch", answer):
            self.store.put(KEY, configuration(2, [], ["s"]))
            await asyncio.sleep(2.0)
        self.assertLessEqual(len(calls), 5)

    async def test_lost_history_raises_its_own_error(self):
        self.store.put(KEY, configuration(2, [], ["s"]))
        self.store.drop_history()
        with self.assertRaises(HistoryError):
            await self.client.watch("op/", 0, deadline_after(1.0))
        self.faults.status = 500
        with self.assertRaises(PlatformError) as caught:
            await self.client.watch("op/", 0, deadline_after(1.0))
        self.assertNotIsInstance(caught.exception, HistoryError)


if __name__ == "__main__":
    unittest.main()
