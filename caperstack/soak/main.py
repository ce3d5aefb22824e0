"""caperstack-soak: run real processes under load and mixed faults, and check all guarantees."""

import argparse
import asyncio
import sys

from caperstack import __version__
from caperstack.bench.torture import run_torture
from caperstack.bench.weakened import WEAKENINGS
from caperstack.soak.platform import run_soak

__all__ = ["main"]

EXIT_BROKEN = 1

FLEETS = ("platform", "subtrees")


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-soak",
        description=(
            "Start real nodes on loopback, send requests, and inject overlapping series of faults. "
            "The check uses only what callers and backend servers saw. The same seed gives the "
            "same faults; the timing of the machine remains random."
        ),
    )
    parser.add_argument(
        "--fleet",
        choices=FLEETS,
        default="platform",
        help="the kind of configuration that the nodes use",
    )
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="duration of the run for each seed"
    )
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--rate", type=float, default=60.0, help="requests per second")
    parser.add_argument(
        "--without", choices=sorted(WEAKENINGS), help="disable a safeguard (subtrees only)"
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


def _run(options, seed):
    if options.fleet == "subtrees":
        return asyncio.run(run_torture(options.seconds, seed, options.rate, options.without))
    return asyncio.run(run_soak(options.seconds, seed, options.rate))


def _show(seed, verdict):
    print(f"seed {seed}: {verdict.request_count} requests, {dict(verdict.outcomes)}")
    print(f"  faults: {dict(verdict.faults)}")
    for guarantee, found in verdict.broken.items():
        if found:
            print(f"  BROKEN {guarantee}: {len(found)}, first {found[:5]}")
    if verdict.unexercised:
        print(f"  never injected: {verdict.unexercised}")
    print(f"  {'every guarantee held' if verdict.passed else 'guarantees were broken'}")


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    good = True
    for seed in options.seeds:
        verdict = _run(options, seed)
        _show(seed, verdict)
        good &= verdict.passed
    return 0 if good else EXIT_BROKEN


if __name__ == "__main__":
    sys.exit(main())
