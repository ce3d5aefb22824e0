"""Tests of the reader of the host list against broken lists, on real sockets."""

import asyncio
import json
import tracemalloc
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.backend.tests.servers import RawServer
from caperstack.membership import hostlist
from caperstack.membership.hostlist import HostListReader

MEBIBYTE = 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\n"


def listed(name, **changes):
    """Return the entry of a host in the list."""
    entry = {"host": name, "zone": "a", "service": "s", "peer_address": "127.0.0.1:7000"}
    return entry | changes


def answer(document):
    """Return an answer with a document, a string or what is JSON."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    return OK + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class TestHostListReader(unittest.IsolatedAsyncioTestCase):
    """`HostListReader` with a service that sends the bytes of `answer`, then `repeated`."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.enterContext(mock.patch.object(hostlist, "READ_INTERVAL_SECONDS", 0.01))
        self.server = RawServer(self.reply)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.answer, self.repeated = answer({"hosts": []}), b""
        self.members = mock.MagicMock()
        self.events = mock.Mock()
        services = {"members": self.members, "events": self.events, "metrics": mock.Mock()}
        self.kernel = SimpleNamespace(find=services.__getitem__)
        self.reader = HostListReader(self.server.address)

    async def reply(self, _server, _head, writer):
        writer.write(self.answer)
        while self.repeated:
            writer.write(self.repeated)
            await writer.drain()
        writer.close()

    async def start(self):
        await self.reader.start(self.kernel)
        self.addAsyncCleanup(self.reader.stop)

    async def hosts_read(self):
        """Return the hosts of the next list that is applied."""
        self.members.apply_host_list.reset_mock()
        async with asyncio.timeout(5.0):
            while not self.members.apply_host_list.called:
                await asyncio.sleep(0.01)
        return [entry.host for entry in self.members.apply_host_list.call_args.args[0]]

    async def test_reading_goes_on_after_an_answer_that_is_none(self):
        """Guards against a node that ends, or follows the list no more, for one answer."""
        nested = b"[" * 100_000
        broken = {
            "nested": answer(b'{"hosts": ' + nested),
            "whole and nested": answer(b'{"hosts": ' + nested + b"]" * 100_000 + b"}"),
            "digits": answer(b'{"hosts": ' + b"9" * 5000 + b"}"),
            "text": answer(b"\xff"),
            "status": answer({"hosts": []}).replace(b"200", b"000"),
            "field": answer({"hosts": []}).replace(b"OK\r\n", b"OK\r\nX Y: 1\r\n"),
            "redirect": b"HTTP/1.1 302 Found\r\nLocation: ftp://x/\r\n\r\n",
        }
        self.answer = broken["nested"]
        await self.start()
        for name, self.answer in broken.items():
            with self.subTest(name):
                read = len(self.server.requests)
                async with asyncio.timeout(5.0):
                    while len(self.server.requests) < read + 3:
                        await asyncio.sleep(0.01)
                self.answer = answer({"hosts": [listed("h")]})
                self.assertEqual(await self.hosts_read(), ["h"])

    async def test_odd_entry_does_not_hide_the_others(self):
        """Guards against a node that follows no host any more for one odd entry."""
        nested = {}
        for _ in range(500):
            nested = {"x": nested}
        odd = {
            "nested": listed("odd", zone=nested),
            "nested beside": listed("odd", new=nested) | {"host": ""},
            "number": listed("odd", zone=10**400),
            "float": json.loads('{"host": 1e400}'),
            "port": listed("odd", peer_address="127.0.0.1:99999"),
            "digits": listed("odd", peer_address="127.0.0.1:" + "9" * 5000),
            "surrogate": listed("\ud800"),
            "list": [],
            "text": "odd",
            "null": None,
        }
        await self.start()
        for name, entry in odd.items():
            with self.subTest(name):
                self.answer = answer({"hosts": [listed("a")]})
                await self.hosts_read()
                self.events.log_state.reset_mock()
                self.answer = answer({"hosts": [listed("a"), entry, listed("b")]})
                await self.hosts_read()
                self.assertEqual(await self.hosts_read(), ["a", "b"])
                kind, reason = self.events.log_state.call_args.args[0], "hosts.1."
                self.assertEqual(kind, "foreign entry")
                self.assertIn(reason, self.events.log_state.call_args.kwargs["reason"])
                self.assertEqual(self.events.log_state.call_count, 1)

    async def test_list_without_end_takes_bounded_memory(self):
        """Guards against a host without memory for a list that does not end."""
        block = bytes(64 * 1024)
        chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"10000\r\n" + block + b"\r\n"
        answers = ((OK + b"\r\n", block), (OK + b"X: ", block), (chunked, chunk))
        answers += ((chunked + b"f" * 16 + b"\r\n", block),)
        for self.answer, self.repeated in answers:
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            await self.reader._try_to_read(await self.client())
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertLess(peak, 2 * hostlist.MAX_LIST_BYTES + 2 * MEBIBYTE)
            self.members.apply_host_list.assert_not_called()

    async def client(self):
        """Return the client with which a started reader reads."""
        reading = mock.AsyncMock()
        with mock.patch.object(self.reader, "_try_to_read", reading):
            await self.start()
        await self.reader.stop()
        return reading.call_args.args[0]


if __name__ == "__main__":
    unittest.main()
