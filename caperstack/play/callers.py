"""Modelled callers: they send requests, retry as the answers ask, and give up in the end."""

import asyncio
import random
from dataclasses import dataclass

from caperstack.calls.model import Answered, NotRun
from caperstack.clock import deadline_after, now, time_left

__all__ = ["Callers", "RequestResult"]

#: Callers honour a Retry-After up to this share of their remaining time.
MAX_RETRY_DELAY_SHARE = 1 / 3
#: Delay of a retry when the answer gives none.
DEFAULT_RETRY_DELAY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of one request of a caller, over all its attempts.

    Attributes
    ----------
    kind : caperstack.play.scenario.Kind
        The kind of call.
    started_at : float
        Time of the first attempt.
    seconds : float
        Time from the first attempt until the request was answered or given up.
    code : int
        HTTP status of the last outcome, 502 if it has none; 0 if nothing was sent.
    tries : int
        Number of attempts.
    """

    kind: object
    started_at: float
    seconds: float
    code: int
    tries: int

    @property
    def served(self):
        """Whether the request succeeded."""
        return self.code == 200

    @property
    def in_time(self):
        """Whether the request succeeded within its latency objective."""
        return self.served and self.seconds <= self.kind.objective_ms / 1000

    @property
    def credit(self):
        """The worth of the answer to the caller: full, reduced if late, or 0."""
        if not self.served:
            return 0.0
        return self.kind.worth if self.in_time else self.kind.late_worth


class Callers:
    """Send the requests of a scenario and record their results.

    Parameters
    ----------
    scenario : caperstack.play.scenario.Scenario
        The scenario.
    fleet : caperstack.play.fleet.PlayFleet
        The hosts to which requests go.

    Attributes
    ----------
    factor : float
        Factor by which arrival rates are multiplied.
    results : list of RequestResult
        The results of the requests that have ended.
    """

    def __init__(self, scenario, fleet):
        self._scenario = scenario
        self._fleet = fleet
        self._number = 0
        self.factor = 1.0
        self.results = []

    async def run(self):
        """Send requests until the end of the scenario and wait for the last answers."""
        kinds = [kind for kind in self._scenario.kinds if kind.per_second > 0]
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                group.create_task(self._arrivals(kind, group))

    async def _arrivals(self, kind, group):
        # A generator of its own keeps the arrivals the same under every policy.
        rng = random.Random(f"{self._scenario.seed} {kind.name}")
        end = deadline_after(self._scenario.seconds)
        while now() < end:
            await asyncio.sleep(rng.expovariate(kind.per_second * self.factor))
            group.create_task(self._send_with_retries(kind))

    async def _send_with_retries(self, kind):
        started = now()
        deadline = deadline_after(kind.patience_ms / 1000)
        code, tries = 0, 0
        while tries <= kind.retries and time_left(deadline) > 0:
            tries += 1
            outcome = await self._send_attempt(kind, deadline, started + kind.objective_ms / 1000)
            code = _status_of(outcome)
            if code == 200 or not (kind.idempotent or isinstance(outcome, NotRun)):
                break
            delay = (
                outcome.retry_after if isinstance(outcome, NotRun) else DEFAULT_RETRY_DELAY_SECONDS
            )
            await asyncio.sleep(min(delay, MAX_RETRY_DELAY_SHARE * max(0.0, time_left(deadline))))
        self.results.append(RequestResult(kind, started, now() - started, code, tries))

    async def _send_attempt(self, kind, deadline, objective_at):
        self._number += 1
        host = self._fleet.random_host()
        return await host.dispatch(kind, f"{self._number:08x}", deadline, objective_at)


def _status_of(outcome):
    return outcome.status if isinstance(outcome, Answered) else getattr(outcome, "status", 502)
