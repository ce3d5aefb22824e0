"""One time line out of the events of many nodes."""

import asyncio
import json
from dataclasses import dataclass

from caperstack.bench.client import request

__all__ = ["HostEvents", "fetch_events", "format_events", "merge_events"]

FETCH_SECONDS = 5.0


@dataclass(slots=True)
class HostEvents:
    """The events that one operator port gave, or why it gave none."""

    address: str
    events: list
    error: str = ""


async def _fetch_host_events(address, query):
    try:
        reply = await request(address, "GET", f"/events{query}", seconds=FETCH_SECONDS)
        return HostEvents(address, json.loads(reply.body)["events"])
    except Exception as error:
        # A host that is gone is a gap in the time line, not the end of it.
        return HostEvents(address, [], f"{type(error).__name__}: {error}")


async def fetch_events(addresses, query=""):
    """Return the `HostEvents` of each operator port."""
    return await asyncio.gather(*(_fetch_host_events(address, query) for address in addresses))


def merge_events(host_events):
    """Return all events in causal order.

    Notes
    -----
    The order is that of the hybrid clocks, which messages carry from node to
    node: an effect never stands before its cause, however far apart the
    hosts' wall clocks are.
    """
    events = [event for part in host_events for event in part.events]
    return sorted(events, key=lambda event: (event["clock"], event["host"]))


def format_events(events):
    """Yield a line of text for each event.

    Notes
    -----
    The last column is how far the host's wall clock was behind the hybrid
    clock, which bounds its error against the fastest clock of the fleet.
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
