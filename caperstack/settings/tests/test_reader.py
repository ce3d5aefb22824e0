"""Tests of the reader of the configuration service against odd subtrees, on real sockets."""

import asyncio
import json
import unittest
from types import SimpleNamespace
from unittest import mock
from urllib.parse import unquote

from caperstack.backend.tests.servers import RawServer
from caperstack.settings import reader
from caperstack.settings.compile import TreeCodec
from caperstack.settings.reader import SettingsReader
from caperstack.settings.store import SettingsStore

ROUTES = {"routes": [{"path": "/a", "service": "s"}]}
NESTED = b"[" * 100_000 + b"]" * 100_000
UNFINISHED = b"Content-Length: 9\r\n\r\n"


def subtree(path, revision, value=ROUTES):
    """Return the document of a subtree."""
    return {"path": path, "revision": revision, "value": value}


class TestSettingsReader(unittest.IsolatedAsyncioTestCase):
    """`SettingsReader` with a service whose documents, by path, a test sets."""

    async def asyncSetUp(self):
        self.enterContext(mock.patch.object(reader, "RETRY_SECONDS", 0.01))
        self.enterContext(mock.patch.object(reader, "Topology", lambda *_: self))
        self.reads = True
        self.server = RawServer(self.reply)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.events = mock.Mock()
        self.store = SettingsStore(TreeCodec())
        services = dict.fromkeys(("members", "settings sync"), mock.Mock())
        services |= {"settings": self.store, "events": self.events, "metrics": mock.Mock()}
        self.kernel = SimpleNamespace(find=services.__getitem__)
        await self.store.start(self.kernel)
        self.documents = {}

    async def reply(self, _server, head, writer):
        path = unquote(head.split()[1]).partition("?")[0].removeprefix("/v1/")
        if path == "watch":
            await asyncio.sleep(0.01)
            path = "subtrees"
        body = self.documents.get(path.rstrip("/"), b"{}")
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        if not body.startswith(b"HTTP/"):
            body = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        writer.write(body)
        if not body.endswith(UNFINISHED):
            writer.close()

    def write(self, revision, revisions, **documents):
        """Set the index, with `revisions` by path, and further documents."""
        index = {"revision": revision, "subtrees": revisions}
        self.documents = {"subtrees": index} | documents

    async def start(self):
        settings_reader = SettingsReader(SimpleNamespace(configuration=self.server.address))
        await settings_reader.start(self.kernel)
        self.addAsyncCleanup(settings_reader.stop)

    async def applied(self, path, revision):
        async with asyncio.timeout(5.0):
            while self.store.revisions.get(path) != revision:
                await asyncio.sleep(0.01)

    async def test_odd_subtree_does_not_hide_the_others(self):
        """Guards against a node that follows no settings any more for one odd subtree."""
        odd = {
            "nested": b'{"path": "b", "revision": 9, "value": ' + NESTED + b"}",
            "digits": b'{"path": "b", "revision": ' + b"9" * 5000 + b', "value": {}}',
            "large": subtree("b", 10**30),
            "text for a revision": subtree("b", "9"),
            "list for a path": subtree(["b"], 9),
            "surrogate": subtree("\ud800", 9),
            "nothing": {},
            "list": [],
            "no JSON": b"\xff",
        }
        await self.start()
        for number, (name, document) in enumerate(odd.items(), 1):
            with self.subTest(name):
                revisions = {"a": number, "b": number, "c": number}
                others = {f"subtrees/{path}": subtree(path, number) for path in "ac"}
                self.write(number, revisions, **others, **{"subtrees/b": document})
                await self.applied("a", number)
                await self.applied("c", number)
                self.assertNotIn("b", self.store.revisions)
        lines = [call.kwargs for call in self.events.log_state.call_args_list]
        self.assertEqual({line["key"] for line in lines}, {"'b'"})
        self.assertGreater(len({line["reason"] for line in lines}), 4)

    async def test_subtree_whose_request_fails_does_not_hide_the_others(self):
        """Guards against a node that follows no settings any more for one failed request."""
        self.enterContext(mock.patch.object(reader, "READ_SECONDS", 0.5))
        failures = {
            "not found": b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            "error": b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
            "no status": b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
            "too long": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
            "cut off": b"HTTP/1.1 200 OK\r\nContent-Le",
            "unfinished": b"HTTP/1.1 200 OK\r\n" + UNFINISHED,
        }
        await self.start()
        for number, (name, response) in enumerate(failures.items(), 1):
            with self.subTest(name):
                revisions = dict.fromkeys("abcd", number)
                others = {f"subtrees/{path}": subtree(path, number) for path in "ac"}
                failing = {f"subtrees/{path}": response for path in "bd"}
                self.write(number, revisions, **others, **failing)
                await self.applied("a", number)
                await self.applied("c", number)
                self.assertNotEqual(self.store.revisions.get("b"), number)
                self.documents["subtrees/b"] = subtree("b", number)
                await self.applied("b", number)

    async def test_log_names_the_subtree_whose_request_fails(self):
        """Guards against a fault of one subtree that looks like one of the whole service."""
        not_found = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        documents = {"subtrees/a": subtree("a", 1), "subtrees/b": not_found}
        self.write(1, {"a": 1, "b": 1}, **documents)
        await self.start()
        reasons = []
        async with asyncio.timeout(5.0):
            while not reasons:
                await asyncio.sleep(0.01)
                lines = [call.args for call in self.events.state.call_args_list]
                reasons = [line[2] for line in lines if line[0] == "configuration service"]
        self.assertRegex(reasons[0], "'b'.* status 404")

    async def test_odd_entry_of_the_index_does_not_hide_the_others(self):
        """Guards against a node whose reading ends for one odd revision."""
        await self.start()
        odd = ("5", None, [], {}, True, -1, 1.5, 10**30, float("inf"))
        for number, revision in enumerate(odd, 1):
            with self.subTest(revision):
                documents = {"subtrees/c": subtree("c", number)}
                self.write(number, {"b": revision, "\ud800": 5, "c": number}, **documents)
                await self.applied("c", number)

    async def test_reading_goes_on_after_an_index_that_is_none(self):
        """Guards against a node whose reading ends for one broken index."""
        await self.start()
        odd = (b'{"subtrees": ' + NESTED + b"}", b"[]", b'{"subtrees": {}, "revision": "x"}', b"1")
        for number, index in enumerate(odd, 1):
            read = len(self.server.requests)
            self.documents = {"subtrees": index}
            async with asyncio.timeout(5.0):
                while len(self.server.requests) < read + 3:
                    await asyncio.sleep(0.01)
            self.write(number, {"c": number}, **{"subtrees/c": subtree("c", number)})
            await self.applied("c", number)


if __name__ == "__main__":
    unittest.main()
