"""Demo fleet on the platform's stand-ins: send calls while servers slow down and stop, or serve."""

import argparse
import asyncio
import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass

from caperstack.clock import deadline_after, now
from caperstack.platform.standin.fleet import PlatformFleet, route_row

__all__ = ["main"]

SERVICES = ("listings", "listings", "bookings", "bookings", "rates", "rates")
ROUTES = (
    route_row("/listings/", "listings"),
    route_row("/bookings/", "bookings", "non_idempotent", priority=0, targetLatency="800ms"),
    route_row("/rates/", "rates", targetLatency="300ms"),
)
WORK_SECONDS = {"listings": 0.12, "bookings": 0.15, "rates": 0.03}

#: Each interval of ``SLOW_PHASE_SECONDS`` is a slow phase of a host with the probability
#: ``SLOW_PHASE_SHARE``; work takes ``SLOW_PHASE_FACTOR`` times as long in it.
SLOW_PHASE_SECONDS = 0.3
SLOW_PHASE_SHARE = 0.25
SLOW_PHASE_FACTOR = 4.0


@dataclass(slots=True)
class _Result:
    path: str
    request_id: str
    code: int
    seconds: float


def _parser():
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--rate", type=float, default=40.0, help="calls per second")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--serve", action="store_true", help="keep the fleet running without sending calls"
    )
    return parser


async def _toggle_slow_phases(fleet, rng):
    """Start and end slow phases of hosts until cancelled, as noisy neighbours cause them."""
    while True:
        for host in fleet.hosts:
            host.instance.behaviour.pace = (
                SLOW_PHASE_FACTOR if rng.random() < SLOW_PHASE_SHARE else 1.0
            )
        await asyncio.sleep(SLOW_PHASE_SECONDS)


async def _disturb_fleet(fleet, seconds):
    """Stop one node with SIGTERM, then let the backend server of another host drain."""
    await asyncio.sleep(seconds * 0.25)
    stopped, draining = fleet.hosts[0], fleet.hosts[3]
    print(f"-- {stopped.ip}: SIGTERM")
    stopped.node.signal(signal.SIGTERM)
    await asyncio.sleep(seconds * 0.25)
    print(f"-- {draining.ip}: its backend server drains")
    fleet.register(draining, "draining")
    return await stopped.node.ended()


async def _call(fleet, host, path):
    method = "POST" if path.startswith("/bookings") else "GET"
    began = now()
    request_id, reply = await fleet.ask(host, path, method)
    return _Result(path, request_id, reply.code, now() - began)


async def _send_calls(fleet, options, rng):
    tasks = []
    end = deadline_after(options.seconds)
    while now() < end:
        # No calls enter at the first host, because its node is stopped during the run.
        host = rng.choice(fleet.hosts[1:])
        path = rng.choice(("/listings/a", "/listings/b", "/bookings/", "/rates/"))
        tasks.append(asyncio.create_task(_call(fleet, host, path)))
        await asyncio.sleep(rng.expovariate(options.rate))
    return await asyncio.gather(*tasks)


def _print_summary(results):
    print(f"\n{'path':14}{'calls':>6}{'p50 ms':>8}{'p99 ms':>8}  outcomes")
    for path in sorted({result.path for result in results}):
        own = [result for result in results if result.path == path]
        times = sorted(result.seconds * 1000 for result in own)
        codes = dict(Counter(result.code for result in own))
        p99 = times[int(len(times) * 0.99)]
        print(f"{path:14}{len(own):6}{times[len(times) // 2]:8.0f}{p99:8.0f}  {codes}")


def _print_request_log(fleet, result):
    print(f"\nSlowest request {result.request_id} in the nodes' logs:")
    lines = [line for host in fleet.hosts for line in host.node.all_lines()]
    for line in sorted(lines, key=lambda line: line["at_us"]):
        if line.get("id") == result.request_id:
            shown = {k: v for k, v in line.items() if k not in ("at_us", "id")}
            print(f"  {shown.pop('host')} {shown.pop('kind')}: {shown}")


async def _demo(fleet, options, rng):
    disturbance = asyncio.create_task(_disturb_fleet(fleet, options.seconds))
    results = await _send_calls(fleet, options, rng)
    status = await disturbance
    _print_summary(results)
    _print_request_log(fleet, max(results, key=lambda result: result.seconds))
    twice = [r for r in results if r.path == "/bookings/" and fleet.runs(r.request_id) > 1]
    false = [r for r in results if r.code in (429, 503) and fleet.runs(r.request_id)]
    print(f'\nBookings run twice: {len(twice)}; false "not run": {len(false)}')
    print(f"Exit status of the stopped node: {status}; store calls: {fleet.store.calls}")
    answered = sum(result.code == 200 for result in results)
    return not twice and not false and status == 0 and answered > 0


async def _serve(fleet):
    first = fleet.hosts[0]
    print("Running until interrupted. Try:")
    for path in ("/listings/a", "/rates/", "/nowhere/"):
        print(f"  curl -i -H 'Host: x.example' http://{first.outbound}{path}")
    print(f"  curl -i http://{first.boot['listen']['ready']}/v1/ready")
    print(f"  curl -s http://{fleet.metrics_address(first)}/metrics", flush=True)
    await asyncio.Event().wait()


async def _run(options):
    rng = random.Random(options.seed)
    async with PlatformFleet(list(SERVICES), list(ROUTES)) as fleet:
        for host in fleet.hosts:
            host.instance.behaviour.seconds = WORK_SECONDS[host.instance.service]
        slow_phases = asyncio.create_task(_toggle_slow_phases(fleet, rng))
        try:
            if options.serve:
                await _serve(fleet)
            return 0 if await _demo(fleet, options, rng) else 1
        finally:
            slow_phases.cancel()


def main(arguments=None):
    """Run the demo from the command line and return its exit status."""
    options = _parser().parse_args(arguments)
    try:
        return asyncio.run(_run(options))
    except KeyboardInterrupt:
        return 0


if __name__ == "__main__":
    sys.exit(main())
