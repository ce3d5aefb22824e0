"""Callers of a play: they arrive, wait, come back as they are told, and give up."""

import asyncio
import random
from dataclasses import dataclass

from caperstack.calls.model import Answered, NotRun
from caperstack.clock import deadline_after, now, time_left

__all__ = ["Callers", "RequestResult"]

#: Callers honour a Retry-After up to this share of the time that they have left,
#: and come back after so many seconds where they are told nothing.
MAX_RETRY_DELAY_SHARE = 1 / 3
DEFAULT_RETRY_DELAY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class RequestResult:
    """How one caller's request ended, all tries together.

    Attributes
    ----------
    started_at : float
        When the first try went out.
    seconds : float
        From the first try to the end.
    code : int
        The status of the last answer.
    tries : int
        How many requests it took.
    """

    kind: object
    started_at: float
    seconds: float
    code: int
    tries: int

    @property
    def served(self):
        """Whether there was an answer with success."""
        return self.code == 200

    @property
    def in_time(self):
        """Whether it came within the objective."""
        return self.served and self.seconds <= self.kind.objective_ms / 1000

    @property
    def credit(self):
        """What the caller had of it."""
        if not self.served:
            return 0.0
        return self.kind.worth if self.in_time else self.kind.late_worth


class Callers:
    """Send the requests of a scenario and note how they end."""

    def __init__(self, scenario, fleet):
        self._scenario = scenario
        self._fleet = fleet
        self._number = 0
        self.factor = 1.0
        self.results = []

    async def run(self):
        """Send until the scenario's end and wait for the last answers."""
        kinds = [kind for kind in self._scenario.kinds if kind.per_second > 0]
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                group.create_task(self._arrivals(kind, group))

    async def _arrivals(self, kind, group):
        # The same arrivals under every policy, whatever else is drawn.
        rng = random.Random(f"{self._scenario.seed} {kind.name}")
        end = deadline_after(self._scenario.seconds)
        while now() < end:
            await asyncio.sleep(rng.expovariate(kind.per_second * self.factor))
            group.create_task(self._send_with_retries(kind))

    async def _send_with_retries(self, kind):
        begun = now()
        deadline = deadline_after(kind.patience_ms / 1000)
        code, tries = 0, 0
        while tries <= kind.retries and time_left(deadline) > 0:
            tries += 1
            outcome = await self._send_attempt(kind, deadline, begun + kind.objective_ms / 1000)
            code = _status_of(outcome)
            if code == 200 or not (kind.idempotent or isinstance(outcome, NotRun)):
                break
            told = (
                outcome.retry_after if isinstance(outcome, NotRun) else DEFAULT_RETRY_DELAY_SECONDS
            )
            await asyncio.sleep(min(told, MAX_RETRY_DELAY_SHARE * max(0.0, time_left(deadline))))
        self.results.append(RequestResult(kind, begun, now() - begun, code, tries))

    async def _send_attempt(self, kind, deadline, objective_at):
        self._number += 1
        host = self._fleet.random_host()
        return await host.dispatch(kind, f"{self._number:08x}", deadline, objective_at)


def _status_of(outcome):
    return outcome.status if isinstance(outcome, Answered) else getattr(outcome, "status", 502)
