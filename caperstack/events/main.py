"""caperstack-timeline: print the events of many nodes as one time line."""

import argparse
import asyncio
import sys
from urllib.parse import urlencode

from caperstack import __version__
from caperstack.events.html_page import html_page
from caperstack.events.timeline import fetch_events, format_events, merge_events

__all__ = ["main"]

EXIT_NO_EVENTS = 1


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-timeline",
        description="Merge the events held by several nodes into one time line in causal order.",
    )
    parser.add_argument("operators", nargs="+", help="operator addresses of nodes, ip:port")
    parser.add_argument("--request-id", default="", help="only the events of this request")
    parser.add_argument("--service", default="", help="only calls of this service")
    parser.add_argument("--host", default="", help="only this host")
    parser.add_argument("--kind", default="", help="only this kind: state, entry, owner, peer")
    parser.add_argument("--html", help="write an HTML page to this file instead of text")
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


def _matches(event, options):
    return options.host in ("", event["host"]) and options.kind in ("", event["kind"])


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    query = urlencode({"request_id": options.request_id, "service": options.service})
    host_events = asyncio.run(fetch_events(options.operators, f"?{query}"))
    for host in host_events:
        if host.error:
            print(f"caperstack-timeline: {host.address}: {host.error}", file=sys.stderr)
    events = [event for event in merge_events(host_events) if _matches(event, options)]
    if options.html:
        with open(options.html, "w", encoding="utf-8") as file:
            file.write(html_page(events))
    else:
        for line in format_events(events):
            print(line)
    return 0 if events else EXIT_NO_EVENTS


if __name__ == "__main__":
    sys.exit(main())
