"""Tests of request fingerprints."""

import unittest

from tornado.httputil import HTTPHeaders

from caperstack.calls.fingerprint import fingerprint_of


def fingerprint(method="GET", target="/list/a?page=2", body=b"", service="s", **headers):
    return fingerprint_of(method, target, HTTPHeaders({"Host": "x"} | headers), body, service)


class TestFingerprint(unittest.TestCase):
    """Which attempts `fingerprint_of` treats as the same request."""

    def test_retry_has_the_fingerprint_of_the_first_attempt(self):
        # A retry has a new id, less time left, a new connection and a retry counter.
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
