"""Leave the fleet without cutting a request."""

import asyncio
from dataclasses import dataclass

from caperstack.clock import deadline_after, now

__all__ = ["DrainPlan", "drain"]

#: How long peers have to learn that this node leaves, in seconds: a message
#: between zones, many times over.
NOTICE_SECONDS = 0.2

#: A caller's connection that was quiet for so long is closed, in seconds.  A
#: request that crosses the close was not read, which its caller sees.
QUIET_SECONDS = 0.5

POLL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """When each step of a drain is due, as points on the local monotonic clock.

    Attributes
    ----------
    refuse_at : float
        The owner refuses new calls from here on.
    close_at : float
        The callers' port takes no new connections from here on.
    end_at : float
        What is still open is given up.
    """

    refuse_at: float
    close_at: float
    end_at: float


async def drain(kernel, plan):
    """Refuse new work, finish what runs, and return by ``plan.end_at``.

    Notes
    -----
    Failure: a node that closes at once cuts the calls it runs, as entry for
    its callers and as owner for its peers; they would end as "unknown".  So
    peers are told first, refusals prove to late calls that they did not run,
    and connections close only when both sides are idle.

    Callers who learn of the drain from a health check go on sending for as
    long as that takes.  The port stays open until then, and so does the owner:
    its backend server stays, and every second without it is capacity lost.
    """
    owner = kernel.find("owner")
    callers = kernel.find("callers")
    peers = kernel.find("peer port")
    events = kernel.find("events")
    events.state("node", "serving", "draining")
    callers.begin_drain()
    await _until(plan.refuse_at)
    owner.leave()
    peers.tell_state()
    noticed_at = deadline_after(NOTICE_SECONDS)
    await _until(plan.close_at)
    callers.stop_listening()
    while now() < plan.end_at:
        connections = callers.close_idle(QUIET_SECONDS)
        busy = connections or peers.calls or not owner.idle
        if not busy and now() >= noticed_at:
            break
        await asyncio.sleep(POLL_SECONDS)
    events.state("node", "draining", "idle" if not callers.open_exchanges else "out of time")
    callers.give_up()


async def _until(moment):
    await asyncio.sleep(max(0.0, moment - now()))
