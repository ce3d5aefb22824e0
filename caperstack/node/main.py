"""The program caperstack-node, the process that runs beside each backend server."""

import argparse
import asyncio
import signal
import sys

from caperstack import __version__
from caperstack.clock import deadline_after, now
from caperstack.config.start import parse_start_settings
from caperstack.events.log import LogWriter
from caperstack.exception import CaperstackError
from caperstack.node.assemble import assemble
from caperstack.node.collector import configure_garbage_collector
from caperstack.node.drain import DrainPlan, drain

__all__ = ["main", "serve"]

EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 1


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-node",
        description=(
            "Run the load balancer's process beside one backend server. It takes callers' "
            "HTTP requests for any service, and runs, queues or refuses the calls that reach "
            "its own backend server. SIGTERM or SIGINT drains it: "
            "requests in flight may complete within limits.drain_seconds."
        ),
    )
    parser.add_argument("settings", help="start settings, a JSON file; - for standard input")
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


def _read(path):
    if path == "-":
        return sys.stdin.read()
    with open(path, encoding="utf-8") as file:
        return file.read()


def _create_log_writer(here):
    descriptor = {"stdout": 1, "stderr": 2}.get(here.log.to)
    return LogWriter(descriptor, here.host, here.log.lines_per_second)


async def serve(here, stopping=None):
    """Run a node until SIGTERM or SIGINT, then drain and stop it.

    Parameters
    ----------
    here : caperstack.config.start.StartSettings
        The start settings.
    stopping : asyncio.Event, optional
        Starts the drain when set; the signals set it, and tests may do so.
    """
    stopping = stopping or asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    log = _create_log_writer(here)
    kernel = assemble(here, log)
    await kernel.start()
    log.state("started", version=__version__)
    configure_garbage_collector()
    await stopping.wait()
    await drain(kernel, DrainPlan(now(), now(), deadline_after(here.limits.drain_seconds)))
    await kernel.stop()
    log.state("stopped")


def main(arguments=None):
    """Run the program with `arguments` and return its exit status."""
    options = _parser().parse_args(arguments)
    try:
        here = parse_start_settings(_read(options.settings))
    except (OSError, CaperstackError) as error:
        print(f"caperstack-node: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print(f"{here.host}: settings are good")
        return 0
    try:
        asyncio.run(serve(here))
    except CaperstackError as error:
        print(f"caperstack-node: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
