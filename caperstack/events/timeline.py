"""Merge the events of many nodes into one time line."""

import asyncio
import json
from dataclasses import dataclass

from caperstack.bench.client import request

__all__ = ["HostEvents", "fetch_events", "format_events", "merge_events"]

FETCH_SECONDS = 5.0


@dataclass(slots=True)
class HostEvents:
    """The events of one node, read from its operator port, or the error on reading them."""

    address: str
    events: list
    error: str = ""


async def _fetch_host_events(address, query):
    try:
        reply = await request(address, "GET", f"/events{query}", seconds=FETCH_SECONDS)
        return HostEvents(address, json.loads(reply.body)["events"])
    except Exception as error:
        # An unreachable host must not prevent the time line of the others.
        return HostEvents(address, [], f"{type(error).__name__}: {error}")


async def fetch_events(addresses, query=""):
    """Return the `HostEvents` of each operator address, read concurrently."""
    return await asyncio.gather(*(_fetch_host_events(address, query) for address in addresses))


def merge_events(host_events):
    """Return the events of all hosts in causal order.

    Notes
    -----
    Events are sorted by hybrid clock.  Messages between nodes carry its
    timestamps, so an effect does not sort before its cause, however far apart
    the wall clocks of the hosts are.  The steps of a call are an exception: they are
    recorded when it ends, with timestamps set back by the time elapsed since.
    """
    events = [event for host in host_events for event in host.events]
    return sorted(events, key=lambda event: (event["clock"], event["host"]))


def format_events(events):
    """Yield a line of text for each event.

    Notes
    -----
    The last column shows how far the wall clock of the host was behind the
    hybrid clock, if by 1 ms or more.  It was at least this far behind the fastest
    wall clock of the fleet.
    """
    if not events:
        return
    start = events[0]["clock"]
    width = max(len(event["host"]) for event in events)
    for event in events:
        seconds = (event["clock"] - start) / 1e6
        behind = max(0, event["clock"] - event["wall_us"]) / 1000
        error = f"  (clock {behind:.1f} ms behind)" if behind >= 1 else ""
        name = f" [{event['request_id']}]" if event["request_id"] else ""
        host = event["host"].ljust(width)
        yield f"{seconds:10.4f} s  {host}  {event['kind']:7}{name} {event['text']}{error}"
