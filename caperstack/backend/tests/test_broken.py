"""Tests of bytes that are no answer of HTTP/1.1, or an unusual one, on real sockets."""

import asyncio
import unittest

from caperstack.backend.client import BackendClient
from caperstack.backend.tests.servers import RawServer
from caperstack.backend.tests.test_unframed import make_call
from caperstack.calls.chunks import CHUNKS_PER_TURN
from caperstack.calls.dialect import Dialect
from caperstack.clock import deadline_after
from caperstack.exception import BackendError

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 2\r\n\r\nok"


def with_status(code):
    """Return an answer with a status of these three digits."""
    return b"HTTP/1.1 %s OK\r\nSlots: 1,2,3\r\nNot-Run: 1\r\n%s" % (code, BODY)


class AnswerCase(unittest.IsolatedAsyncioTestCase):
    """A client of a server that sends the bytes of `answer` and closes."""

    async def asyncSetUp(self):
        self.server = RawServer(self.reply)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.reports = []
        dialect = Dialect(
            request_id="Id", not_executed="Not-Run", load="Slots", ends_with_connection=True
        )
        self.client = BackendClient(self.server.address, 10, 1024, dialect, self.reports.append)
        self.addAsyncCleanup(self.client.stop)

    async def reply(self, _server, _head, writer):
        writer.write(self.answer)
        writer.close()

    async def reply_and_stay(self, _server, _head, writer):
        writer.write(self.answer)

    def requests(self):
        """Return what reads an answer: a request and a health check."""
        return (
            self.client.fetch(make_call()),
            self.client.probe("/health", deadline_after(5.0)),
        )

    async def assert_no_answers(self, answers):
        """Assert that none of the `answers`, by name, counts as one, or changes a belief."""
        for name, self.answer in answers.items():
            for request in self.requests():
                with self.subTest(name, request=request.__name__):
                    self.reports.clear()
                    with self.assertRaises(BackendError) as caught:
                        await request
                    error = caught.exception
                    self.assertTrue(error.sent and not error.unheard and not error.closed_here)
                    self.assertEqual(self.reports, [])

    async def assert_answers(self, answers, body=b"ok"):
        """Assert that each of the `answers`, by name, is one."""
        for name, self.answer in answers.items():
            with self.subTest(name):
                outcome = await self.client.fetch(make_call())
                self.assertEqual(outcome.body, body)
                self.assertTrue((await self.client.probe("/h", deadline_after(5.0))).healthy)


class TestStatus(AnswerCase):
    """Statuses of three digits."""

    async def test_status_that_http_does_not_have_is_no_answer(self):
        """Guards against a status such as 000 that is passed on, or taken for a refusal."""
        codes = (b"000", b"001", b"099", b"600", b"999")
        await self.assert_no_answers({code: with_status(code) for code in codes})

    async def test_status_of_other_digits_is_no_answer(self):
        """Guards against a status line whose status is no number of three digits."""
        codes = (b"", b"20", b"2000", b"-20", b"2.0", b"2xx", b"\xb2\xb2\xb2")
        await self.assert_no_answers({code: with_status(code) for code in codes})

    async def test_unknown_statuses_of_http_are_answers(self):
        for code in (200, 299, 399, 499, 599):
            self.answer = b"HTTP/1.1 %d OK\r\n%s" % (code, BODY)
            answer = await self.client.fetch(make_call())
            self.assertEqual((answer.status, answer.body), (code, b"ok"))


class TestVersion(AnswerCase):
    """The version of HTTP at the beginning of the head."""

    async def test_another_protocol_is_no_answer(self):
        """Guards against a message of another version, or of none, that is read as HTTP/1."""
        versions = (b"HTTP/0.9", b"HTTP/2.0", b"HTTP/1", b"HTTP/1.", b"HTTP/1.10", b"HTTP/01.1")
        versions += (b"http/1.1", b"HTTP 1.1", b"ICY", b"", b"xHTTP/1.1", b" HTTP/1.1", b"HTTP/1.x")
        await self.assert_no_answers({v: v + b" 200 OK\r\n" + BODY for v in versions})

    async def test_later_minor_version_is_an_answer(self):
        await self.assert_answers(
            {v: v + b" 200 OK\r\n" + BODY for v in (b"HTTP/1.0", b"HTTP/1.9")}
        )

    async def test_coding_that_the_version_does_not_have_is_no_answer(self):
        """Guards against a body whose end two readers would find in different places."""
        coded = b" 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        await self.assert_no_answers({"of 1.0": b"HTTP/1.0" + coded})
        await self.assert_answers({"of 1.1": b"HTTP/1.1" + coded})


class TestPersistence(AnswerCase):
    """Whether the connection carries another request, by version and ``Connection`` field."""

    async def count_connections(self, head):
        """Return how many connections two requests need that the server answers with `head`."""
        await self.client.stop()
        self.server._reply = self.reply_and_stay
        self.answer = head + BODY
        before = self.client.opened
        for _ in range(2):
            self.assertEqual((await self.client.fetch(make_call())).body, b"ok")
        return self.client.opened - before

    async def test_connection_that_the_server_will_close_is_not_used_again(self):
        """Guards against requests that are lost, run or not, on a connection about to close."""
        heads = [OK + b"Connection: " + v for v in (b"close", b"Close", b"close, x", b"x ,close")]
        heads += [OK + b"Connection: x\r\nConnection: close", b"HTTP/1.0 200 OK\r\nX: y"]
        heads += [b"HTTP/1.0 200 OK\r\nConnection: " + v for v in (b"close, keep-alive", b"x")]
        for head in heads:
            with self.subTest(head):
                self.assertEqual(await self.count_connections(head + b"\r\n"), 2)

    async def test_connection_that_stays_open_is_used_again(self):
        heads = (OK, OK + b"Connection: keep-alive\r\n", OK + b"Connection: closed, x\r\n")
        heads += (b"HTTP/1.0 200 OK\r\nConnection: x, Keep-Alive\r\n", b"HTTP/1.9 200 OK\r\n")
        for head in heads:
            with self.subTest(head):
                self.assertEqual(await self.count_connections(head), 1)


class TestReason(AnswerCase):
    """The reason at the end of the status line."""

    async def test_byte_that_a_reason_cannot_hold_is_no_answer(self):
        """Guards against control bytes in the status line that callers get."""
        lines = {b"HTTP/1.1 200 O%cK" % byte for byte in TestFields.NO_VALUE}
        lines |= {b"HTTP/1.1 200", b"HTTP/1.1 200\tOK", b"HTTP/1.1  200 OK", b"HTTP/1.1 200OK"}
        await self.assert_no_answers({line: line + b"\r\n" + BODY for line in lines})

    async def test_reason_that_is_empty_stays_empty(self):
        """Guards against a status line that says "None"."""
        self.answer = b"HTTP/1.1 200 \r\n" + BODY
        self.assertEqual((await self.client.fetch(make_call())).reason, "")

    async def test_unusual_reasons_are_answers(self):
        reasons = (b"", b" ", b"a\tb", b"\x80\xff", b"200 OK: yes", b"x" * 1000)
        await self.assert_answers({r: b"HTTP/1.1 200 " + r + b"\r\n" + BODY for r in reasons})


class TestFields(AnswerCase):
    """Lines of the head after the first."""

    #: Bytes that the name of a field can't hold: control bytes, blanks, separators, others.
    NO_TOKEN = b'\0\x01\x08\t\x0b\x0c\r\x1b\x1f \x7f"(),/;<=>?@[\\]{}\x80\x85\xa0\xff'

    #: Bytes that the value of a field can't hold: the control bytes but for the tab.
    NO_VALUE = b"\0\x01\x08\x0b\x0c\r\x1b\x1f\x7f"

    async def test_byte_that_a_name_cannot_hold_is_no_answer(self):
        """Guards against a name with a blank or a control byte that is passed on or passed over."""
        for byte in self.NO_TOKEN:
            names = [name % byte for name in (b"X%cY", b"%cX", b"X%c")]
            answers = {name: OK + name + b": 1\r\n" + BODY for name in names}
            await self.assert_no_answers(answers)

    async def test_blank_in_the_name_of_the_length_is_no_answer(self):
        """Guards against a body that ends elsewhere, as its length is passed over."""
        names = (b"Content-Length ", b" Content-Length", b"Content Length", b"Content-Length\t")
        answers = {name: OK + name + b": 1\r\n\r\nok" for name in names}
        coding = b"Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        await self.assert_no_answers(answers | {b"coding": OK + coding})

    async def test_line_without_a_name_is_no_answer(self):
        """Guards against lines of a head that are passed over."""
        lines = (b": 1", b"no colon", b"Folded: a\r\n b", b"\t")
        await self.assert_no_answers({line: OK + line + b"\r\n" + BODY for line in lines})

    async def test_byte_that_a_value_cannot_hold_is_no_answer(self):
        """Guards against control bytes in the values that callers get."""
        values = [b"a%cb" % byte for byte in self.NO_VALUE] + [b"a\r"]
        await self.assert_no_answers({v: OK + b"X: " + v + b"\r\n" + BODY for v in values})

    async def test_unusual_names_and_values_are_answers(self):
        lines = (
            b"!#$%&'*+-.^_`|~09aZ: 1",
            b"X:",
            b"X:1",
            b"X: \t a \t b ",
            b"X: \x80\xff",
            b"X: :",
        )
        await self.assert_answers({line: OK + line + b"\r\n" + BODY for line in lines})


class TestFraming(AnswerCase):
    """What tells where the body ends."""

    CHUNKED = b"Transfer-Encoding: chunked\r\n"

    #: Fields of which nobody can tell what they say.
    UNCLEAR = (
        b"Content-Length: 2\r\nContent-Length: 3\r\n",
        b"Content-Length: 2, 3\r\n",
        b"Content-Length: 2,\r\n",
        b"Content-Length: +2\r\n",
        b"Content-Length: -2\r\n",
        b"Content-Length: 0x2\r\n",
        b"Content-Length: 0_2\r\n",
        b"Content-Length: 2 2\r\n",
        b"Content-Length: 2.0\r\n",
        b"Content-Length: \xb2\r\n",
        b"Content-Length:\r\n",
        b"Content-Length: 2\r\n" + CHUNKED,
    )

    #: Codings that no node asks for.
    UNKNOWN_CODINGS = (
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding:\r\n",
        CHUNKED + CHUNKED,
    )

    async def test_head_with_unclear_framing_is_no_answer(self):
        """Guards against a body with another end, and a belief from a head that was no answer."""
        body = b"\r\n2\r\nok\r\n0\r\n\r\n"
        heads = self.UNCLEAR + self.UNKNOWN_CODINGS
        await self.assert_no_answers({head: OK + head + body for head in heads})

    async def test_length_of_too_many_digits_is_too_large(self):
        """Guards against a length that no library reads as a number."""
        self.answer = OK + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\nok"
        for request in self.requests():
            with self.assertRaisesRegex(BackendError, "answer is too large"):
                await request

    async def test_unclear_framing_of_an_answer_without_a_body_is_no_answer(self):
        """Guards against a head that is passed on unread since no body follows it."""
        no_change = b"HTTP/1.1 304 Not Modified\r\n"
        answers = {head: no_change + head + b"\r\n" for head in self.UNCLEAR}
        no_content = b"HTTP/1.1 204 No Content\r\n"
        answers["length"] = no_content + BODY
        answers["coding"] = no_content + self.CHUNKED + b"\r\n2\r\nok\r\n0\r\n\r\n"
        await self.assert_no_answers(answers)

    async def test_clear_framing_is_an_answer(self):
        heads = (b"Content-Length: 2\r\n", b"Content-Length: 2, 2\r\n", b"content-length:002\r\n")
        heads += (b"", b"Content-Length: 2\r\n" * 2)
        await self.assert_answers({head: OK + head + b"\r\nok" for head in heads})
        coding = b"transfer-encoding: Chunked \r\n\r\n"
        sizes = (b"2", b"0002", b"0000000000000002")
        chunks = {size: size + b"\r\nok\r\n0\r\n\r\n" for size in sizes}
        chunks["two"] = b"1\r\no\r\n1\r\nk\r\n000\r\n\r\n"
        await self.assert_answers({name: OK + coding + c for name, c in chunks.items()})

    async def test_answer_without_a_body_is_an_answer(self):
        for status, length in ((204, 0), (304, 0), (304, 7)):
            self.answer = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, length)
            answer = await self.client.fetch(make_call())
            self.assertEqual((answer.status, answer.body), (status, b""))
        for coding in (*self.UNKNOWN_CODINGS, self.CHUNKED):
            # It tells what a body would have had.
            self.answer = b"HTTP/1.1 304 Not Modified\r\n" + coding + b"\r\n"
            self.assertEqual((await self.client.fetch(make_call())).status, 304)


class TestChunks(AnswerCase):
    """Bodies in chunks, with their extensions and trailers."""

    HEAD = OK + TestFraming.CHUNKED + b"\r\n"
    LAST = b"0\r\n\r\n"

    async def test_broken_chunk_is_no_answer(self):
        """Guards against a body that is passed on though its chunks do not fit."""
        lines = (b"", b"+2", b"-2", b"0x2", b" 2", b"2 ", b"g", b"\xb2", b"2,", b"2\t", b"2 2")
        chunks = {line: line + b"\r\nok\r\n" + self.LAST for line in lines}
        chunks["longer"] = b"2\r\nokXX" + self.LAST
        chunks["shorter"] = b"3\r\nok\r\n" + self.LAST
        chunks["bare line ends"] = b"2\nok\n0\n\n"
        chunks["no last one"] = b"2\r\nok\r\n"
        chunks["cut after the last one"] = b"2\r\nok\r\n0\r\n"
        await self.assert_no_answer_bodies(chunks)

    async def test_broken_extension_is_no_answer(self):
        """Guards against bytes beside a size that are passed over as they come."""
        lines = (b"2;", b"2; ", b"2;=b", b"2;a=", b"2;a b", b"2;a\x01", b'2;a="b', b'2;a="\x01"')
        lines += (b"2 a", b"2;a=b=c", b"2;a\rb", b"2;a=" + b"b" * 5000)
        await self.assert_no_answer_bodies(
            {line: line + b"\r\nok\r\n" + self.LAST for line in lines}
        )

    async def test_broken_trailer_is_no_answer(self):
        """Guards against a body that looks whole though what ends it is no HTTP."""
        lines = (b"X Y: 1", b"X : 1", b" X: 1", b"X\x01: 1", b"X: \0", b"X: a\rb", b"no colon")
        lines += (b": 1", b"HTTP/1.1 200 OK", b"X: a\nY: b", b"X: " + b"a" * 5000)
        trailers = {line: line + b"\r\n\r\n" for line in lines}
        trailers["cut"] = b"X: y\r\n"
        trailers["without end"] = b"X: y\r\n" * 20_000
        await self.assert_no_answer_bodies(
            {name: b"2\r\nok\r\n0\r\n" + trailer for name, trailer in trailers.items()}
        )

    async def assert_no_answer_bodies(self, bodies):
        for name, body in bodies.items():
            self.answer = self.HEAD + body
            for request in self.requests():
                with self.subTest(name, request=request.__name__):
                    with self.assertRaises(BackendError) as caught:
                        await request
                    self.assertTrue(caught.exception.sent)
                    self.assertFalse(caught.exception.closed_here)

    async def test_extensions_and_trailers_belong_to_an_answer(self):
        """Guards against whole answers that callers do not get for what is beside the body."""
        bodies = {
            "extension": b"2;a\r\nok\r\n" + self.LAST,
            "extensions": b'1 ; a = b;c="d;\\" \xe9"\r\no\r\n1;e\r\nk\r\n0;f=g\r\n\r\n',
            "trailer": b"2\r\nok\r\n0\r\nX: y\r\n\r\n",
            "trailers": b"2\r\nok\r\n0\r\nX:\r\nX: \xe9\r\nContent-Length: 9\r\n\r\n",
        }
        await self.assert_answers({name: self.HEAD + body for name, body in bodies.items()})
        self.answer = self.HEAD + bodies["trailers"]
        self.assertEqual((await self.client.fetch(make_call())).headers, [])

    async def test_connection_is_used_again_after_trailers(self):
        self.server._reply = self.reply_and_stay
        self.answer = self.HEAD + b"2;a\r\nok\r\n0\r\nX: y\r\n\r\n"
        for _ in range(3):
            self.assertEqual((await self.client.fetch(make_call())).body, b"ok")
        self.assertEqual(self.client.opened, 1)

    async def test_many_small_chunks_let_other_tasks_run(self):
        """Guards against an event loop that one answer occupies."""
        self.answer = self.HEAD + b"1\r\no\r\n" * 1000 + self.LAST
        fetching = asyncio.create_task(self.client.fetch(make_call()))
        turns = 0
        while not fetching.done():
            turns += 1
            await asyncio.sleep(0)
        self.assertEqual((await fetching).body, b"o" * 1000)
        self.assertGreater(turns, 1000 // CHUNKS_PER_TURN)


class TestInterimAnswers(AnswerCase):
    """Heads before the one of the answer."""

    async def test_switch_of_protocols_is_no_answer(self):
        """Guards against bytes of another protocol that are read as the answer."""
        switch = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        await self.assert_no_answers({"alone": switch, "followed": switch + OK + BODY})

    async def test_broken_interim_answer_makes_none_of_what_follows(self):
        """Guards against an answer whose beginning was no HTTP."""
        heads = (
            b"HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 10\r\n\r\n",
            b"HTTP/1.1 000 Continue\r\n\r\n",
            b"HTTP/2.0 100 Continue\r\n\r\n",
        )
        await self.assert_no_answers({head: head + OK + BODY for head in heads})

    async def test_interim_answers_alone_are_no_answer(self):
        """Guards against an interim answer that is passed on as the final one."""
        await self.assert_no_answers({100: b"HTTP/1.1 100 Continue\r\n\r\n"})

    async def test_answer_after_interim_ones_is_an_answer(self):
        heads = b"HTTP/1.1 100 \r\n\r\n", b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
        heads += b"HTTP/1.1 199 Unknown\r\n\r\n", b"HTTP/1.1 102 Processing\r\n\r\n" * 3
        await self.assert_answers({head: head + OK + BODY for head in heads})


if __name__ == "__main__":
    unittest.main()
