"""make bench-idle: one node with 1000 idle callers and 500 calls per second."""

import argparse
import asyncio
import sys

from caperstack.addresses import split_address
from caperstack.bench.fleet import Fleet, node_settings
from caperstack.load.generator import run_calls
from caperstack.load.plan import CallClass, plan_calls
from caperstack.load.report import figures_of, table_of

__all__ = ["main"]

IDLE_CALLERS = 1000
MAX_MEMORY_BYTES = 256e6
REQUEST = b"GET /s HTTP/1.1\r\nHost: x\r\n\r\n"
SUBTREES = {"": {"services": {"s": {}}, "routes": [{"path": "/s", "service": "s"}]}}


async def _idle_caller(address):
    """Open a connection, send one call on it, and keep it open."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(REQUEST)
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def _run(options):
    """Run the load; return whether all calls were answered within the memory bound."""
    async with Fleet([node_settings("n0", "a", "s")], SUBTREES) as fleet:
        await fleet.settled()
        address = fleet.caller_address("n0")
        callers = [await _idle_caller(address) for _ in range(IDLE_CALLERS)]
        kinds = [CallClass(name="call", path="/s", deadline_seconds=2)]
        plan = plan_calls(kinds, [address], options.rate, options.seconds, seed=1)
        results = await run_calls(plan, progress=True)
        memory = fleet.nodes["n0"].resident_bytes()
        open_still = sum(not reader.at_eof() for reader, _ in callers)
        for _, writer in callers:
            writer.close()
    figures = figures_of(results)
    print(table_of(figures))
    print(
        f"memory {memory / 1e6:.1f} MB (bound {MAX_MEMORY_BYTES / 1e6:.0f}), idle open {open_still}"
    )
    answered = figures["all"].outcomes["answered"] == len(results)
    return answered and memory <= MAX_MEMORY_BYTES and open_still == IDLE_CALLERS


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-idle", description=__doc__)
    parser.add_argument("--rate", type=float, default=500.0, help="calls per second")
    parser.add_argument("--seconds", type=float, default=30.0)
    return 0 if asyncio.run(_run(parser.parse_args(arguments))) else 1


if __name__ == "__main__":
    sys.exit(main())
