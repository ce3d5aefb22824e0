"""Tests of header forwarding and of the responses to callers."""

import unittest

from caperstack.calls.headers import OUTCOME, end_to_end, forwarded, request_id, traceparent
from caperstack.calls.model import Answered, NotRun, Unknown
from caperstack.calls.responses import response_to

TRACE = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"


class TestHeaders(unittest.TestCase):
    """Headers that a node drops, adds and forwards."""

    def test_hop_by_hop_and_named_headers_are_dropped(self):
        headers = [
            ("Connection", "keep-alive, X-Private"),
            ("X-Private", "1"),
            ("Transfer-Encoding", "chunked"),
            ("X-Kept", "2"),
            ("TE", "trailers"),
        ]
        self.assertEqual(end_to_end(headers), [("X-Kept", "2")])

    def test_forwarded_elements_are_appended(self):
        given = [("Forwarded", "for=10.0.0.1"), ("X-Forwarded-For", "10.0.0.9")]
        headers = dict(forwarded(given, "10.0.0.2", 'club.example"'))
        self.assertEqual(
            headers["Forwarded"], 'for=10.0.0.1, for=10.0.0.2;proto=http;host="club.example"'
        )
        self.assertEqual(headers["X-Forwarded-For"], "10.0.0.9")

    def test_forwarded_ipv6_address_is_quoted(self):
        headers = dict(forwarded([], "::1", ""))
        self.assertEqual(headers["Forwarded"], 'for="[::1]";proto=http')

    def test_valid_trace_is_continued_with_a_new_span(self):
        mine = traceparent(TRACE)
        self.assertEqual(mine[:36], TRACE[:36])
        self.assertNotEqual(mine, TRACE)

    def test_invalid_trace_is_replaced(self):
        for bad in ("", "00-zz", "00-" + "0" * 32 + "-00f067aa0ba902b7-01"):
            self.assertRegex(traceparent(bad), "^00-[0-9a-f]{32}-[0-9a-f]{16}-01$")

    def test_valid_request_id_is_kept(self):
        self.assertEqual(request_id("abc-1"), "abc-1")
        for bad in ("", "a b", "x" * 200, "line\nbreak"):
            self.assertRegex(request_id(bad), "^[0-9a-f]{16}$")


class TestResponses(unittest.TestCase):
    """Tests of `response_to`."""

    def test_outcome_header_names_the_outcome(self):
        outcomes = {
            "answered": Answered(204, "No Content", [("Connection", "close")], b""),
            "not-run": NotRun("queue is full", 0.2),
            "unknown": Unknown("lost", 502),
        }
        for name, outcome in outcomes.items():
            headers = dict(response_to(outcome).headers)
            self.assertEqual(headers[OUTCOME], name)
            self.assertNotIn("Connection", headers)

    def test_refusal_has_a_retry_after_header(self):
        self.assertIn(("Retry-After", "3"), response_to(NotRun("full", 2.1)).headers)
        self.assertNotIn("Retry-After", dict(response_to(NotRun("large", status=413)).headers))

    def test_line_breaks_in_a_reason_cannot_inject_headers(self):
        headers = dict(response_to(Unknown("a\r\nSet-Cookie: b")).headers)
        self.assertNotIn("\n", headers["Caperstack-Reason"])
