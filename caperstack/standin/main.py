"""Command line of caperstack-standin, which runs a stand-in for a system around caperstack."""

import argparse
import asyncio
import json
import signal
import sys

from caperstack import __version__
from caperstack.standin.backend import StandinBackend
from caperstack.standin.configuration import StandinConfiguration
from caperstack.standin.hosts import StandinHostList

__all__ = ["main"]


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-standin",
        description="Run one stand-in on loopback, for tests, benchmarks and the demo.",
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    kinds = parser.add_subparsers(dest="kind", required=True)
    backend = kinds.add_parser("backend", help="a backend server")
    backend.add_argument("--port", type=int, required=True)
    backend.add_argument("--slots", type=int, default=20, help="maximum number of concurrent calls")
    backend.add_argument(
        "--mean-ms", type=float, default=0.0, help="mean service time in milliseconds"
    )
    backend.add_argument(
        "--sigma", type=float, default=1.0, help="shape parameter of the lognormal service time"
    )
    backend.add_argument(
        "--node", default="", help="address of the node beside it, for nested calls"
    )
    backend.add_argument("--seed", type=int, default=0)
    configuration = kinds.add_parser("configuration", help="the configuration service")
    configuration.add_argument("--port", type=int, required=True)
    configuration.add_argument("--subtrees", help="JSON file with the initial subtrees")
    hosts = kinds.add_parser("hosts", help="the host list")
    hosts.add_argument("--port", type=int, required=True)
    hosts.add_argument("--hosts", help="JSON file with the initial list")
    return parser


def _read_json(path):
    if path is None:
        return None
    with open(path, encoding="utf-8") as file:
        return json.load(file)


async def _create_service(options):
    if options.kind == "backend":
        return StandinBackend(
            options.port,
            options.slots,
            options.mean_ms / 1000,
            options.sigma,
            options.node,
            options.seed,
        )
    if options.kind == "hosts":
        listed = _read_json(options.hosts) or {"hosts": []}
        return StandinHostList(options.port, listed["hosts"])
    service = StandinConfiguration(options.port)
    for path, value in (_read_json(options.subtrees) or {}).items():
        service.change(path, value)
    return service


async def _serve(options):
    service = await _create_service(options)
    await service.start()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await stopping.wait()


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    asyncio.run(_serve(options))
    return 0


if __name__ == "__main__":
    sys.exit(main())
