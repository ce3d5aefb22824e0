"""Simulate a scenario under a policy and summarise the results of callers."""

import asyncio
import random
from dataclasses import dataclass

from caperstack.play.callers import Callers
from caperstack.play.fleet import PlayFleet
from caperstack.play.policies import policy_in_force
from caperstack.play.virtual import run_virtual

__all__ = ["Figures", "play", "figures_of"]

#: Length of the windows of which the worst is reported, in seconds.
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Figures:
    """Summary of the requests of one kind, or of all; shares are from 0 to 1.

    Attributes
    ----------
    asked : int
        Number of requests.
    in_time, late, refused, failed : float
        Share of requests that succeeded within the objective, succeeded later, were
        refused, or failed.
    credit : float
        Worth earned by successful requests, as a share of the worth of all requests.
    worst : float
        The credit of the worst window of two seconds.
    p50_ms, p99_ms : float
        Percentiles of the latency of successful requests, in milliseconds.
    tries : float
        Mean number of attempts of a request.
    """

    asked: int
    in_time: float
    late: float
    refused: float
    failed: float
    credit: float
    worst: float
    p50_ms: float
    p99_ms: float
    tries: float


def play(scenario, policy="shipped", log=None, counts=None):
    """Simulate a scenario under a policy.

    Parameters
    ----------
    scenario : caperstack.play.scenario.Scenario
        The scenario.
    policy : str
        A key of `caperstack.play.policies.POLICIES`.
    log : caperstack.events.log.LogWriter, optional
        The log to which hosts write their decisions.
    counts : collections.Counter, optional
        Counts the messages between hosts by kind.

    Returns
    -------
    list of caperstack.play.callers.RequestResult
        The result of each request.
    """
    random.seed(scenario.seed)
    rng = random.Random(scenario.seed)
    with policy_in_force(policy) as routing_policy:
        return run_virtual(lambda: _run_scenario(scenario, routing_policy, rng, log, counts))


async def _run_scenario(scenario, routing_policy, rng, log, counts):
    fleet = PlayFleet(scenario, routing_policy, rng, log, counts)
    await fleet.start()
    callers = Callers(scenario, fleet)
    events = [asyncio.create_task(_apply_event(event, fleet, callers)) for event in scenario.events]
    try:
        await callers.run()
    finally:
        for event in events:
            event.cancel()
        await fleet.stop()
    return callers.results


async def _apply_event(event, fleet, callers):
    await asyncio.sleep(event.at)
    if event.what == "burst":
        callers.factor = event.factor
        await asyncio.sleep(event.seconds)
        callers.factor = 1.0
    elif event.what == "lose":
        await fleet.remove_servers(event.service, event.count)
    elif event.what == "chill":
        fleet.make_cold(event.service, event.count)
    elif event.what == "evacuate":
        await fleet.evacuate(event.zone, event.seconds)
    elif event.affects_servers:
        await fleet.inject_fault(event)
    else:
        await fleet.restart()


def figures_of(results, kind=None):
    """Return the `Figures` of `results`, of all or only of the kind with the name `kind`."""
    own = [one for one in results if kind in (None, one.kind.name)]
    count = max(1, len(own))
    times = sorted(one.seconds * 1000 for one in own if one.served) or [0.0]
    return Figures(
        asked=len(own),
        in_time=sum(one.in_time for one in own) / count,
        late=sum(one.served and not one.in_time for one in own) / count,
        refused=sum(one.code in (429, 503) for one in own) / count,
        failed=sum(not one.served and one.code not in (429, 503) for one in own) / count,
        credit=_credit(own),
        worst=min(_window_credits(own), default=0.0),
        p50_ms=times[len(times) // 2],
        p99_ms=times[int(len(times) * 0.99)],
        tries=sum(one.tries for one in own) / count,
    )


def _credit(results):
    available = sum(one.kind.worth for one in results)
    return sum(one.credit for one in results) / available if available else 0.0


def _window_credits(results):
    windows = {}
    for one in results:
        windows.setdefault(int(one.started_at / WINDOW_SECONDS), []).append(one)
    # The last window is incomplete since the simulation ends within it.
    return [_credit(windows[index]) for index in sorted(windows)[:-1]]
