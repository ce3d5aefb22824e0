"""Tests of broken answers of the platform's store, on real sockets."""

import json
import unittest
from unittest import mock

from caperstack.backend.tests.servers import RawServer
from caperstack.clock import deadline_after
from caperstack.exception import HistoryError, PlatformError
from caperstack.platform.names import STORE_ERA_HEADER
from caperstack.platform.store import StoreClient

OK = b"HTTP/1.1 200 OK\r\n"
PAGE = {"items": [], "hasMore": False, "events": [], "storeRevision": 5}
ERA = STORE_ERA_HEADER.encode() + b": "
DEPTH = 100_000


def with_body(body):
    """Return the end of a head, from the length on, and `body`."""
    return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


BODY = with_body(json.dumps(PAGE).encode())


def in_chunks(extension=b"", trailers=b""):
    """Return a response whose body comes in two chunks, with what may stand beside them."""
    page = json.dumps(PAGE).encode()
    chunks = b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in (page[:9], page[9:]))
    return OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n" + trailers + b"\r\n"


class TestBrokenAnswers(unittest.IsolatedAsyncioTestCase):
    """A store that sends the bytes of `answer` and closes; reads and watches must go on."""

    async def asyncSetUp(self):
        self.server = RawServer(self.reply)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = StoreClient(self.server.address, mock.Mock())
        self.addCleanup(self.client.close)

    async def reply(self, _server, _head, writer):
        writer.write(self.answer)
        writer.close()

    def requests(self):
        return self.client.read(""), self.client.watch("", 3, deadline_after(0.5))

    async def assert_no_answers(self, answers):
        """Assert that each of the `answers`, by name, is the error that a reader expects."""
        for name, self.answer in answers.items():
            for request in self.requests():
                with self.subTest(name, request=request.__name__):
                    with self.assertRaises(PlatformError) as caught:
                        await request
                    self.assertNotIsInstance(caught.exception, HistoryError)
                    self.assertTrue(str(caught.exception))

    async def test_bytes_that_are_no_answer_are_an_error(self):
        """Guards against a broken answer that is taken for the state of the platform."""
        await self.assert_no_answers(
            {
                "status": b"HTTP/1.1 000 OK\r\n" + BODY,
                "high status": b"HTTP/1.1 600 OK\r\n" + BODY,
                "field": OK + b"X Y: 1\r\n" + BODY,
                "switch": b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + OK + BODY,
                "lengths": OK + b"Content-Length: 3\r\n" + BODY,
                "length and coding": OK + b"Transfer-Encoding: chunked\r\n" + BODY,
                "coding of 1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"%x\r\n%s\r\n0\r\n\r\n" % (len(json.dumps(PAGE)), json.dumps(PAGE).encode()),
                "extension": in_chunks(extension=b";a b"),
                "trailer": in_chunks(trailers=b"X Y: 1\r\n"),
                "short": OK + BODY[:-1],
                "nothing": b"",
                "no HTTP": b"\0\r\n\r\n",
            }
        )

    async def test_redirect_to_no_place_is_an_error(self):
        """Guards against a reader that ends for a redirect that cannot be followed."""
        places = (b"ftp://x/", b"http://[x", b"http://127.0.0.1:99999/", b"/v1", b"//", b"")
        redirect = b"HTTP/1.1 302 Found\r\nLocation: %s\r\n%s"
        await self.assert_no_answers({place: redirect % (place, BODY) for place in places})

    async def test_number_of_too_many_digits_is_an_error(self):
        """Guards against a reader that ends for a number that Python does not convert."""
        digits = b"9" * 5000
        page = json.dumps(PAGE | {"storeRevision": 0}).encode()
        revision = page.replace(b": 0", b": " + digits)
        await self.assert_no_answers(
            {"era": OK + ERA + digits + b"\r\n" + BODY, "revision": OK + with_body(revision)}
        )

    async def test_deeply_nested_document_is_an_error(self):
        """Guards against a reader that ends for a document nested beyond Python's stack."""
        nested = b"[" * DEPTH + b"]" * DEPTH
        page = json.dumps(PAGE | {"new": 0}).encode().replace(b"0", nested)
        items = json.dumps(PAGE | {"items": 0, "events": 0}).encode().replace(b"0", nested)
        await self.assert_no_answers(
            {"unknown field": OK + with_body(page), "items": OK + with_body(items)}
        )

    async def test_unusual_answers_are_read(self):
        heads = (b"HTTP/1.1 200 \r\n", b"HTTP/1.0 200 OK\r\n", OK + b"X: \xe9\r\n")
        heads += (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, OK + ERA + b"0\r\n")
        for head in heads:
            self.answer = head + BODY
            for request in self.requests():
                self.assertEqual((await request).revision, 5)

    async def test_chunks_with_extensions_and_trailers_are_read(self):
        """Guards against a store that no node can read for what is beside the body."""
        parts = ((b"", b""), (b"; a=b", b""), (b"", b"X: y\r\n"), (b';a="b"', b"X:\r\nY: z\r\n"))
        for extension, trailers in parts:
            self.answer = in_chunks(extension, trailers)
            for request in self.requests():
                with self.subTest((extension, trailers), request=request.__name__):
                    self.assertEqual((await request).revision, 5)


if __name__ == "__main__":
    unittest.main()
