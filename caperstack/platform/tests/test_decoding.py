"""Start settings and configuration: valid ones are decoded, errors name the bad field."""

import contextlib
import io
import json
import os
import tempfile
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from caperstack.exception import ConfigurationError
from caperstack.platform.__main__ import main
from caperstack.platform.boot import parse_boot
from caperstack.platform.durations import parse_duration
from caperstack.platform.items import StoreCodec
from caperstack.platform.names import BOOT_VARIABLE, CONFIGURATION_KEY
from caperstack.platform.standin.fleet import PlatformFleet, route_row

FLEET = PlatformFleet(["slots"], [])
BOOT = FLEET.hosts[0].boot


def configuration(*rows, **changes):
    """Return the document of a configuration with the routes `rows`."""
    columns = "name authority prefix kind timeout targetLatency priority service"
    return {
        "version": 3,
        "routes": {"columns": [*columns.split(), "maxAttempts", "trafficSplit"], "rows": rows},
        "services": {
            "columns": ["name", "healthPath", "maxConnections"],
            "rows": [["slots", "/h", 260]],
        },
        "limits": {"maxBodyBytes": 1000, "idleTimeout": "15s"},
    } | changes


def service_rows(cold, rate):
    """Return the services of a configuration: one, with the time and rate of its cold servers."""
    columns = ["name", "healthPath", "maxConnections", "cold", "coldPerS"]
    return {"columns": columns, "rows": [["slots", "/h", 260, cold, rate]]}


class TestDurations(unittest.TestCase):
    """`parse_duration`."""

    def test_milliseconds_and_seconds(self):
        self.assertEqual((parse_duration("1500ms"), parse_duration("2.5s")), (1.5, 2.5))

    @given(st.one_of(st.none(), st.integers(), st.text(max_size=8)))
    def test_invalid_durations_name_the_field(self, value):
        try:
            self.assertGreaterEqual(parse_duration(value, "here"), 0.0)
        except ConfigurationError as error:
            self.assertIn("here", str(error))


class TestBoot(unittest.TestCase):
    """`parse_boot`."""

    def test_fields_are_decoded(self):
        boot = parse_boot(json.dumps(BOOT))
        self.assertEqual(boot.here.host, BOOT["ip"])
        self.assertEqual(boot.here.backend.service, "slots")
        self.assertEqual((boot.allowance.share, boot.allowance.floor), (0.2, 64.0))
        self.assertLess(boot.drain_timeout_seconds, 6.0)

    def test_command_line_checks_settings_and_names_the_bad_field(self):
        for document, status, said in ((BOOT, 0, "good"), (BOOT | {"zone": 5}, 2, "zone")):
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                file.write(json.dumps(document))
                file.flush()
                out = io.StringIO()
                with (
                    mock.patch.dict(os.environ, {BOOT_VARIABLE: file.name}),
                    contextlib.redirect_stdout(out),
                    contextlib.redirect_stderr(out),
                ):
                    self.assertEqual(main(["--check"]), status)
            self.assertIn(said, out.getvalue())

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(parse_boot(json.dumps(BOOT | {"new": 1})).name, BOOT["nodeName"])

    def test_bad_fields_are_named(self):
        cases = {
            "zone": BOOT | {"zone": 5},
            "outbound": BOOT | {"listen": {"ready": "127.0.0.1:1"}},
            "portRange": BOOT | {"portRange": [7]},
            "budgetMinRetries": BOOT | {"bounds": BOOT["bounds"] | {"budgetMinRetries": "x"}},
            "bounds.grace": BOOT | {"bounds": BOOT["bounds"] | {"grace": "soon"}},
        }
        for field, document in cases.items():
            with self.assertRaises(ConfigurationError) as caught:
                parse_boot(json.dumps(document))
            self.assertIn(field, str(caught.exception))


class TestItems(unittest.TestCase):
    """`StoreCodec`."""

    def parse(self, document):
        return StoreCodec().parse(CONFIGURATION_KEY, document)

    def test_route_fields_are_decoded(self):
        row = route_row("/a/b/", "slots", "non_idempotent", priority=2)
        route = self.parse(configuration(row)).routes[0]
        self.assertEqual((route.host, route.path, route.service), ("x.example", "/a/b/", "slots"))
        self.assertEqual((route.idempotent, route.criticality, route.attempts), (False, -2, 2))
        self.assertEqual((route.deadline_seconds, route.objective_seconds), (3.0, 0.6))

    def test_uploads_run_at_most_once(self):
        route = self.parse(configuration(route_row("/up/", "slots", "upload"))).routes[0]
        self.assertIs(route.idempotent, False)

    @given(st.text(max_size=40))
    def test_unknown_kind_of_one_route_leaves_the_others_in_force(self, kind):
        rows = [
            route_row("/a/", "slots"),
            route_row("/new/", "slots", kind),
            route_row("/c/", "slots", "non_idempotent"),
        ]
        parsed = self.parse(configuration(*rows))
        known = kind in ("idempotent", "non_idempotent", "upload")
        self.assertEqual([r.path for r in parsed.routes], ["/a/", "/new/", "/c/"])
        self.assertEqual([r.idempotent for r in parsed.routes], [True, kind == "idempotent", False])
        self.assertEqual([u.kind for u in parsed.unknown_kinds], [] if known else [kind])

    def test_longest_prefix_wins_in_the_table(self):
        rows = [route_row("/a/", "slots"), route_row("/a/b/", "rates")]
        table = StoreCodec().compile({CONFIGURATION_KEY: self.parse(configuration(*rows))})
        self.assertEqual(table.route("GET", "/a/b/c", "x.example").service, "rates")
        self.assertEqual(table.route("GET", "/a/bc", "x.example:80").service, "slots")
        self.assertIsNone(table.route("GET", "/a", "x.example"))

    def test_bad_configurations_name_the_field(self):
        cases = {
            "timeout": configuration(route_row("/a/", "slots", timeout="soon")),
            "service": configuration(route_row("/a/", None)),
            "version": configuration(version="new"),
            "limits": configuration(limits=None),
            "coldPerS": configuration(services=service_rows("3s", -1)),
            "services.slots.cold": configuration(services=service_rows("-3s", 6)),
        }
        for field, document in cases.items():
            with self.assertRaises(ConfigurationError) as caught:
                self.parse(document)
            self.assertIn(field, str(caught.exception))
