"""Drain a node so that it leaves the fleet without cutting off requests."""

import asyncio
from dataclasses import dataclass

from caperstack.clock import deadline_after, now

__all__ = ["DrainPlan", "drain"]

#: Time that peers have to learn that this node is leaving, many times the delay of a
#: message between zones.
PEER_NOTICE_SECONDS = 0.2

#: During a drain a caller's connection is closed once it has been idle for this long.  A
#: request sent while the connection closes is not read, and its caller can tell.
CONNECTION_IDLE_SECONDS = 0.5

POLL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """The times of the steps of a drain, on the local monotonic clock in seconds.

    Attributes
    ----------
    refuse_at : float
        From this time the owner refuses new calls.
    close_at : float
        From this time the callers' port accepts no new connections, and no call begins
        whose deadline is after `end_at`.
    end_at : float
        At this time the wait ends; open requests get an unknown outcome.
    """

    refuse_at: float
    close_at: float
    end_at: float


async def drain(kernel, plan):
    """Refuse new calls, let running calls complete, and return by ``plan.end_at``.

    Notes
    -----
    Closing at once would cut off running calls, those of callers (as entry) and
    those of peers (as owner), which would end as "unknown".  Therefore the node
    first notifies its peers, refuses late calls and reports that they did not run,
    and closes connections only when both sides are idle.

    Callers that learn of the drain from a health check keep sending until their
    next check.  Until ``plan.close_at`` the port accepts their connections, and until
    ``plan.refuse_at`` the owner accepts calls, since its backend server keeps
    running and each second without it loses capacity.  Callers on open connections may
    send requests until the end: those that could outlast it are refused from
    ``plan.close_at`` on.
    """
    owner = kernel.find("owner")
    callers = kernel.find("callers")
    peers = kernel.find("peer port")
    events = kernel.find("events")
    events.state("node", "serving", "draining")
    callers.begin_drain()
    await _sleep_until(plan.refuse_at)
    owner.leave()
    peers.push_state()
    notice_end = deadline_after(PEER_NOTICE_SECONDS)
    await _sleep_until(plan.close_at)
    callers.stop_listening()
    kernel.find("dispatcher").end_by(plan.end_at)
    while now() < plan.end_at:
        connections = callers.close_idle(CONNECTION_IDLE_SECONDS)
        busy = connections or peers.calls or not owner.idle
        if not busy and now() >= notice_end:
            break
        await asyncio.sleep(POLL_SECONDS)
    events.state("node", "draining", "idle" if not callers.open_exchanges else "out of time")
    callers.give_up()


async def _sleep_until(wake_at):
    await asyncio.sleep(max(0.0, wake_at - now()))
