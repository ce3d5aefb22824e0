"""Test the command lines of the programs, and the time line of events."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from caperstack.bench.examples import EXAMPLES
from caperstack.events.html_page import html_page
from caperstack.events.timeline import HostEvents, format_events, merge_events
from caperstack.load import main as load
from caperstack.node import main as node
from caperstack.settings import main as settings


class TestCommands(unittest.TestCase):
    """Exit statuses and messages."""

    def run_main(self, module, *arguments):
        """Return ``(status, standard output, standard error)``."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                status = module.main(list(arguments))
            except SystemExit as end:
                status = end.code
        return status, out.getvalue(), err.getvalue()

    def write(self, document):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "document.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    def test_every_command_has_a_version_and_help(self):
        for module in (load, node, settings):
            for option in ("--version", "--help"):
                status, out, _ = self.run_main(module, option)
                self.assertEqual(status, 0)
                self.assertIn("caperstack-", out)

    def test_node_check_accepts_the_examples(self):
        for path in sorted(EXAMPLES.glob("*/nodes/*.json")):
            status, out, _ = self.run_main(node, "--check", str(path))
            self.assertEqual((status, path.stem in out), (0, True))

    def test_node_names_the_bad_field(self):
        path = self.write({"host": "h"})
        status, _, err = self.run_main(node, path)
        self.assertEqual(status, 2)
        self.assertIn("zone", err)

    def test_settings_check_accepts_the_examples(self):
        for name in ("tee-times", "tatra"):
            status, out, _ = self.run_main(
                settings, "check", str(EXAMPLES / name / "subtrees.json")
            )
            self.assertEqual((status, "REFUSED" in out), (0, False))

    def test_settings_check_refuses_a_route_outside_the_grant(self):
        claim = {"routes": [{"path": "/x", "service": "s"}]}
        status, out, _ = self.run_main(settings, "check", self.write({"": {}, "team": claim}))
        self.assertEqual(status, 1)
        self.assertIn("REFUSED team: the parent subtree grants this team nothing", out)

    def test_settings_diff_shows_what_changes_in_effect(self):
        old = self.write({"": {"services": {"s": {}}}})
        new = self.write({"": {"services": {"s": {"policy": "random"}}, "defaults": {}}})
        _, out, _ = self.run_main(settings, "diff", old, new)
        self.assertIn("+service s: EffectiveService(policy='random'", out)

    def test_load_refuses_addresses_other_than_loopback(self):
        mix = self.write({"classes": [{"name": "a", "path": "/a"}]})
        status, _, err = self.run_main(load, "192.0.2.1:80", "--mix", mix)
        self.assertEqual(status, 2)
        self.assertIn("loopback", err)

    def test_load_names_the_bad_field_of_a_mix(self):
        mix = self.write({"classes": [{"name": "a", "path": "a"}]})
        status, _, err = self.run_main(load, "127.0.0.1:80", "--mix", mix)
        self.assertEqual(status, 2)
        self.assertIn("classes.0.path", err)


class TestTimeline(unittest.TestCase):
    """`merge_events`, `format_events` and `html_page`."""

    def event(self, host, clock, wall, text):
        return {
            "clock": clock,
            "wall_us": wall,
            "host": host,
            "kind": "entry",
            "request_id": "r<1>",
            "service": "s",
            "text": text,
        }

    def test_cause_sorts_before_effect_though_wall_clocks_differ(self):
        # The wall clock of the owner is one second behind: sorted by wall clock, the
        # owner would have run the call before the entry sent it.
        entry = HostEvents("a", [self.event("entry", 10_000_000, 10_000_000, "sent")])
        owner = HostEvents("b", [self.event("owner", 10_000_001, 9_000_000, "ran")])
        lines = list(format_events(merge_events([owner, entry])))
        self.assertIn("sent", lines[0])
        self.assertIn("clock 1000.0 ms behind", lines[1])

    def test_html_page_escapes_texts(self):
        events = [self.event("a", 1, 1, "<script>"), self.event("b", 5, 5, "ran")]
        page = html_page(events)
        self.assertNotIn("<script>", page)
        self.assertEqual(page.count("<circle"), 2)
        self.assertIn("r&lt;1&gt;", page)
