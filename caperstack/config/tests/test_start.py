"""Tests of which start settings are accepted, and that errors name the invalid field."""

import json
import unittest

from caperstack.bench.fleet import node_settings
from caperstack.config.start import parse_start_settings
from caperstack.exception import ConfigurationError


class TestParseStartSettings(unittest.TestCase):
    """`parse_start_settings`."""

    def refusal(self, **changes):
        text = json.dumps(node_settings("h1", "a", "listings") | changes)
        with self.assertRaises(ConfigurationError) as caught:
            parse_start_settings(text)
        return caught.exception

    def test_good_settings(self):
        here = parse_start_settings(json.dumps(node_settings("h1", "a", "listings")))
        self.assertEqual((here.host, here.zone, here.backend.slots), ("h1", "a", 20))

    def test_address_must_be_ip(self):
        error = self.refusal(peer_address="localhost:8000")
        self.assertEqual(error.peer, "peer_address")

    def test_port_must_be_in_range(self):
        error = self.refusal(caller_address="127.0.0.1:70000")
        self.assertEqual(error.peer, "caller_address")
        self.assertIn("65535", error.message)

    def test_unknown_field_is_refused(self):
        self.assertEqual(self.refusal(zoen="a").peer, "zoen")

    def test_security_mode_has_no_default(self):
        self.assertEqual(self.refusal(security={}).peer, "security.mode")

    def test_not_json(self):
        with self.assertRaises(ConfigurationError) as caught:
            parse_start_settings("{")
        self.assertIn("not JSON", str(caught.exception))
