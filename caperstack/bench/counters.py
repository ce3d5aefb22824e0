"""Read counters from the operator ports of a fleet."""

import re

from caperstack.bench.client import request

__all__ = ["counter_sum", "fleet_counters"]

_LINE = re.compile(r"^(caperstack_\w+)(?:\{.*\})? ([0-9.e+]+)$", re.MULTILINE)


async def fleet_counters(fleet):
    """Return a dict of metric name to value, summed over all labels and running nodes."""
    sums = {}
    for host, process in fleet.nodes.items():
        if not process.running:
            continue
        reply = await request(fleet.settings[host]["operator_address"], "GET", "/metrics")
        for name, value in _LINE.findall(reply.body.decode()):
            sums[name] = sums.get(name, 0.0) + float(value)
    return sums


def counter_sum(before, after, name):
    """Return the increase of counter ``caperstack_<name>_total`` between two readings.

    `before` and `after` are results of `fleet_counters`.
    """
    key = f"caperstack_{name}_total"
    return after.get(key, 0.0) - before.get(key, 0.0)
