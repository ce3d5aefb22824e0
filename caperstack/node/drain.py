"""Leave the fleet without cutting a request."""

import asyncio

from caperstack.clock import deadline_after, now

__all__ = ["drain"]

#: How long peers have to learn that this node leaves, in seconds.
NOTICE_SECONDS = 1.0

#: A caller's connection that was quiet for so long is closed, in seconds.
QUIET_SECONDS = 2.0

POLL_SECONDS = 0.02


async def drain(kernel, seconds):
    """Refuse new work, finish what runs, and return; after `seconds` at the latest.

    Notes
    -----
    Failure: a node that closes at once cuts the calls it runs, as entry for
    its callers and as owner for its peers; they would end as "unknown".  So
    peers are told first, refusals prove to late calls that they did not run,
    and connections close only when both sides are idle.
    """
    owner = kernel.find("owner")
    callers = kernel.find("callers")
    peers = kernel.find("peer port")
    events = kernel.find("events")
    limit = deadline_after(seconds)
    notice_until = deadline_after(NOTICE_SECONDS)
    events.state("node", "serving", "draining")
    owner.leave()
    peers.tell_state()
    callers.stop_listening()
    while now() < limit:
        connections = callers.close_quiet(QUIET_SECONDS)
        busy = connections or peers.calls or not owner.idle
        if not busy and now() >= notice_until:
            break
        await asyncio.sleep(POLL_SECONDS)
    events.state("node", "draining", "idle" if not callers.open_exchanges else "out of time")
