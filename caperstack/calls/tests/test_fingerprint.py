"""Which attempts count as one request."""

import unittest

from tornado.httputil import HTTPHeaders

from caperstack.calls.fingerprint import fingerprint_of


def fingerprint(method="GET", target="/list/a?page=2", body=b"", service="s", **headers):
    return fingerprint_of(method, target, HTTPHeaders({"Host": "x"} | headers), body, service)


class TestFingerprint(unittest.TestCase):
    """`fingerprint_of` over attempts that are one request, and over others."""

    def test_retry_has_the_fingerprint_of_the_first_attempt(self):
        # A caller comes again: a new id, less time, a new connection, a counter
        # of its own.
        again = fingerprint(**{"X-Request-Id": "2", "X-Deadline-Ms": "900", "X-Attempt": "2"})
        self.assertEqual(again, fingerprint(**{"X-Request-Id": "1"}))

    def test_different_requests_have_different_fingerprints(self):
        base = fingerprint(method="POST", body=b"1")
        others = [
            fingerprint(method="POST", body=b"2"),
            fingerprint(method="PUT", body=b"1"),
            fingerprint(method="POST", body=b"1", target="/list/a?page=3"),
            fingerprint(method="POST", body=b"1", Host="y"),
        ]
        self.assertNotIn(base.request, [other.request for other in others])

    def test_callers_of_the_same_request_are_distinguished(self):
        base = fingerprint()
        for other in (fingerprint(service="t"), fingerprint(Authorization="Bearer b")):
            self.assertEqual(other.request, base.request)
            self.assertNotEqual(other.caller, base.caller)
