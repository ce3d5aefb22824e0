"""caperstack-causes: report from logs why requests were refused, late or failed."""

import argparse
import fileinput
import sys

from caperstack import __version__
from caperstack.events.causes import read_traces, split_into_windows

__all__ = ["main"]

EXIT_BAD_ARGUMENTS = 2

#: Causes shown per window.
CAUSES_SHOWN = 8


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-causes",
        description=(
            "Join the log lines of all nodes by request and print, for the whole time and for the "
            "worst windows, how many requests were refused, late or failed, and why. Calls made "
            "by backend servers count under their own route; give these routes a worth of 0."
        ),
    )
    parser.add_argument("logs", nargs="*", help="log files; standard input if none")
    parser.add_argument("--seconds", type=float, default=2.0, help="length of a window")
    parser.add_argument("--worst", type=int, default=2, help="how many windows to show")
    parser.add_argument(
        "--worth",
        action="append",
        default=[],
        metavar="ROUTE=WORTH",
        help="worth of an answer in time on a route; 1 by default",
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


def _worths(texts):
    """Return the worth of an answer in time by route, from ``ROUTE=WORTH`` texts.

    Raises
    ------
    ValueError
        If a text is not ``ROUTE=WORTH``.
    """
    pairs = [text.rpartition("=") for text in texts]
    return {route: float(worth) for route, _, worth in pairs}


def _table(title, windows):
    """Yield the report lines on the totals of `windows`."""
    request_count = sum(window.request_count for window in windows)
    worth_offered = sum(window.worth_offered for window in windows)
    worth_lost = sum((window.worth_lost for window in windows), start=type(windows[0].worth_lost)())
    counts = sum((window.counts for window in windows), start=type(worth_lost)())
    slot_refusals = sum((window.slot_refusals for window in windows), start=type(worth_lost)())
    credit = 1 - sum(worth_lost.values()) / worth_offered if worth_offered else 1.0
    yield f"{title}: {request_count} requests, credit {credit:.3f}"
    for (route, cause), worth in worth_lost.most_common(CAUSES_SHOWN):
        share = worth / worth_offered if worth_offered else 0.0
        yield f"  {share:6.3f} of the worth, {counts[route, cause]:6} requests  {route}  {cause}"
    for what, count in slot_refusals.most_common():
        yield f"  {count:6} refusals for want of a slot: {what}"


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        worths = _worths(options.worth)
        with fileinput.input(options.logs or ("-",), encoding="utf-8", errors="replace") as lines:
            traces, left_out = read_traces(lines)
    except (OSError, ValueError) as error:
        print(f"caperstack-causes: {error}", file=sys.stderr)
        return EXIT_BAD_ARGUMENTS
    windows = split_into_windows(traces, options.seconds, worths)
    if not windows:
        print("caperstack-causes: no outcome of a request in these lines", file=sys.stderr)
        return EXIT_BAD_ARGUMENTS
    print("\n".join(_table("all", windows)))
    for window in sorted(windows, key=lambda window: window.credit)[: options.worst]:
        print("\n".join(_table(f"from {window.start_seconds:g} s", [window])))
    print(f"{left_out} lines were dropped by the nodes to limit the log")
    return 0


if __name__ == "__main__":
    sys.exit(main())
