"""Test the command line of caperstack-play."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from caperstack.play.main import main

SMALL = {
    "seconds": 2,
    "services": [{"name": "s", "servers": 2}],
    "kinds": [
        {
            "name": "k",
            "service": "s",
            "per_second": 10,
            "work_ms": 20,
            "objective_ms": 100,
            "timeout_ms": 500,
            "patience_ms": 500,
        }
    ],
}


class TestMain(unittest.TestCase):
    """`main`."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.scenario = Path(directory) / "scenario.json"
        self.figures = Path(directory) / "figures.json"

    def run_main(self, document, *arguments):
        self.scenario.write_text(json.dumps(document), encoding="utf-8")
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = main([str(self.scenario), *arguments])
        return status, out.getvalue(), err.getvalue()

    def test_figures_of_each_policy_are_printed_and_written(self):
        policies = ["--policy", "shipped", "--policy", "two choices"]
        status, out, _ = self.run_main(SMALL, *policies, "--kinds", "--json", str(self.figures))
        self.assertEqual(status, 0)
        self.assertIn("two choices", out)
        figures = json.loads(self.figures.read_text(encoding="utf-8"))
        self.assertEqual(set(figures), {"shipped", "two choices"})
        self.assertGreater(figures["shipped"]["in_time"], 0.8)

    def test_error_names_the_bad_field(self):
        status, _, err = self.run_main(SMALL | {"seconds": 0})
        self.assertEqual(status, 2)
        self.assertIn("seconds", err)


if __name__ == "__main__":
    unittest.main()
