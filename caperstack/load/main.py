"""Command line of caperstack-load: open-loop load on the callers' ports of nodes on loopback."""

import argparse
import asyncio
import ipaddress
import json
import sys

from caperstack import __version__
from caperstack.addresses import split_address
from caperstack.exception import ConfigurationError
from caperstack.load.generator import run_calls
from caperstack.load.plan import parse_mix, plan_calls
from caperstack.load.report import figures_of, table_of

__all__ = ["main"]

EXIT_BAD_ARGUMENTS = 2
EXIT_BROKEN_ANSWERS = 1


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-load",
        description=(
            "Send calls at a fixed rate independent of the answers (open loop), check that each "
            "answer is complete and belongs to its call, and print outcomes and latencies. "
            "Latency counts from the planned time of sending."
        ),
    )
    parser.add_argument(
        "targets", nargs="+", help="addresses of the callers' ports of nodes, ip:port"
    )
    parser.add_argument("--mix", required=True, help="JSON file with the classes of calls")
    parser.add_argument("--rate", type=float, default=100.0, help="calls per second")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of sending, in seconds"
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of arrival times and random choices"
    )
    parser.add_argument("--json", help="write the figures to this file")
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


def _validate_options(options):
    """Check the options; return the list of `CallClass` in the mix file."""
    for target in options.targets:
        try:
            ip, _ = split_address(target)
        except ValueError as error:
            raise ConfigurationError(str(error), step="arguments", peer=target) from None
        if not ipaddress.ip_address(ip).is_loopback:
            raise ConfigurationError("load goes to loopback only", step="arguments", peer=target)
    if options.rate <= 0 or options.seconds <= 0:
        raise ConfigurationError("must be above 0", step="arguments", peer="--rate, --seconds")
    with open(options.mix, encoding="utf-8") as file:
        return parse_mix(file.read())


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        classes = _validate_options(options)
    except (OSError, ConfigurationError) as error:
        print(f"caperstack-load: {error}", file=sys.stderr)
        return EXIT_BAD_ARGUMENTS
    plan = plan_calls(classes, options.targets, options.rate, options.seconds, options.seed)
    figures = figures_of(asyncio.run(run_calls(plan, progress=options.seconds > 15)))
    print(table_of(figures))
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({name: one.as_dict() for name, one in figures.items()}, file, indent=2)
    return EXIT_BROKEN_ANSWERS if any(one.broken for one in figures.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
