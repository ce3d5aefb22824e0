"""The demo: an example deployment with stand-ins, one slow server and one drained node."""

import argparse
import asyncio
import json
import sys

from caperstack.bench.examples import example_fleet, example_mix
from caperstack.clock import wall_microseconds
from caperstack.events.timeline import fetch_events, format_events, merge_events
from caperstack.load.generator import run_calls
from caperstack.load.ledger import check_against_ledger, merged_ledger
from caperstack.load.plan import parse_mix, plan_calls
from caperstack.load.report import figures_of, table_of

__all__ = ["main"]

BACKEND = {"mean_ms": 20.0, "sigma": 1.0}
TIMELINE_LINES = 25
KEEPER_START_SECONDS = 3.0


def _parser():
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--example", default="tee-times", choices=("tee-times", "tatra"))
    parser.add_argument("--rate", type=float, default=150.0, help="calls per second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--serve", action="store_true", help="keep the deployment running and send no calls"
    )
    return parser


async def _inject_faults(fleet, seconds):
    """Slow one backend server down for a while, then drain another node; return its exit status."""
    hosts = sorted(fleet.settings)
    slow, leaving = hosts[-1], hosts[0]
    await asyncio.sleep(seconds * 0.2)
    print(f"-- {slow}: ten times slower")
    await fleet.control(slow, slow_factor=10.0)
    await asyncio.sleep(seconds * 0.3)
    await fleet.control(slow, slow_factor=1.0)
    print(f"-- {slow}: back to normal speed; {leaving}: drains")
    fleet.nodes[leaving].signal(15)
    return await fleet.nodes[leaving].ended()


async def _show_timeline(fleet, since):
    """Print the first events of all nodes since the time `since`, in microseconds."""
    addresses = [node["operator_address"] for node in fleet.settings.values()]
    events = merge_events(await fetch_events(addresses, f"?after={since}"))
    shown = min(TIMELINE_LINES, len(events))
    print(f"\nTime line, the first {shown} of {len(events)} events since the calls began:")
    for line in format_events(events[:TIMELINE_LINES]):
        print(line)


async def _run_calls(fleet, options):
    """Send calls while faults are injected; return whether the guarantees held."""
    hosts = sorted(fleet.settings)
    targets = [fleet.caller_address(host) for host in hosts[1:]]
    classes = parse_mix(example_mix(options.example))
    plan = plan_calls(classes, targets, options.rate, options.seconds, seed=1)
    since = wall_microseconds()
    fault_task = asyncio.create_task(_inject_faults(fleet, options.seconds))
    results = await run_calls(plan)
    status = await fault_task
    figures = figures_of(results)
    judgement = check_against_ledger(results, merged_ledger(await fleet.ledgers()))
    print(table_of(figures))
    print(f"\nPromises: {judgement}; the drained node exited with status {status}")
    await _show_timeline(fleet, since)
    answered = figures["all"].outcomes["answered"]
    truthful = judgement.clean and not figures["all"].outcomes["no answer"]
    return truthful and status == 0 and answered > 0


async def _serve(fleet, example):
    """Print requests to try, and run until interrupted."""
    first = min(fleet.settings)
    node = fleet.settings[first]
    paths = [kind["path"] for kind in json.loads(example_mix(example))["classes"]]
    print("Running until interrupted. Try:")
    for path in paths:
        print(f"  curl -i http://{node['caller_address']}{path}")
    print(f"  curl -s http://{node['operator_address']}/members")
    print(f"  curl -s http://{node['operator_address']}/metrics")
    print(f"  curl -s http://{fleet.platform['configuration'][0]}/v1/subtrees", flush=True)
    await asyncio.Event().wait()


async def _run(options):
    async with example_fleet(options.example, backend=BACKEND) as fleet:
        await fleet.settled()
        # A keeper vouches only for keys created after it started.  The margin covers clocks of
        # callers and hosts that differ.
        await asyncio.sleep(KEEPER_START_SECONDS)
        if options.serve:
            await _serve(fleet, options.example)
        good = await _run_calls(fleet, options)
    return 0 if good else 1


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        return asyncio.run(_run(options))
    except KeyboardInterrupt:
        return 0


if __name__ == "__main__":
    sys.exit(main())
