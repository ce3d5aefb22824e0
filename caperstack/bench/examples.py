"""The example deployments: their files, and fleets that run them on loopback."""

import json
from pathlib import Path

from caperstack.bench.fleet import Fleet

__all__ = ["EXAMPLES", "example_fleet", "example_mix"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def example_fleet(name, **options):
    """Return a `Fleet` of the example deployment `name`; `options` are passed to `Fleet`."""
    directory = EXAMPLES / name
    nodes = [json.loads(path.read_text()) for path in sorted((directory / "nodes").glob("*.json"))]
    subtrees = json.loads((directory / "subtrees.json").read_text())
    return Fleet(nodes, subtrees, **options)


def example_mix(name):
    """Return the JSON text of the example's mix of calls."""
    return (EXAMPLES / name / "mix.json").read_text()
