"""Read counters from the operator ports of a fleet."""

import re

from caperstack.bench.client import request

__all__ = ["counter_sum", "fleet_counters"]

_LINE = re.compile(r"^(caperstack_\w+)(?:\{.*\})? ([0-9.e+]+)$", re.MULTILINE)


async def fleet_counters(fleet):
    """Return a dict of metric name to its value, summed over labels and nodes."""
    sums = {}
    for host, process in fleet.nodes.items():
        if not process.running:
            continue
        reply = await request(fleet.settings[host]["operator_address"], "GET", "/metrics")
        for name, value in _LINE.findall(reply.body.decode()):
            sums[name] = sums.get(name, 0.0) + float(value)
    return sums


def counter_sum(before, after, name):
    """Return by how much counter ``caperstack_<name>_total`` rose."""
    key = f"caperstack_{name}_total"
    return after.get(key, 0.0) - before.get(key, 0.0)
