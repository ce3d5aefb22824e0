"""The owner's short queue: by criticality, then by deadline."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

__all__ = ["AdmissionQueue", "Waiter"]


@dataclass(order=True, slots=True)
class Waiter:
    """A call that waits for a slot; ``admitted`` ends with a reason for refusal or ``""``."""

    rank: tuple
    call: object = field(compare=False)
    admitted: asyncio.Future = field(compare=False)


class AdmissionQueue:
    """Waiting calls, the most critical and then the most urgent first."""

    def __init__(self, capacity):
        self._capacity = capacity
        self._heap = []
        self._sequence = itertools.count()
        self._waiting = 0

    def __len__(self):
        return self._waiting

    @property
    def full(self):
        """Whether a further call would have to push another out."""
        return self._waiting >= self._capacity

    def add(self, call):
        """Return the `Waiter` of `call`, which now waits."""
        rank = (-call.criticality, call.deadline, next(self._sequence))
        waiter = Waiter(rank, call, asyncio.get_running_loop().create_future())
        waiter.admitted.add_done_callback(self._left)
        heapq.heappush(self._heap, waiter)
        self._waiting += 1
        return waiter

    def ahead_of(self, call):
        """Return how many waiting calls would go before `call`."""
        mine = (-call.criticality, call.deadline)
        return sum(1 for w in self._heap if not w.admitted.done() and w.rank[:2] <= mine)

    def admit_next(self):
        """Admit the first waiting call and return it, or ``None``."""
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if not waiter.admitted.done():
                waiter.admitted.set_result("")
                return waiter.call
        return None

    def evict_for(self, call):
        """Refuse the least critical waiting call if it is less critical than `call`.

        Returns
        -------
        bool
            Whether there is room now.
        """
        waiting = [w for w in self._heap if not w.admitted.done()]
        last = max(waiting, default=None)
        if last is None or last.call.criticality >= call.criticality:
            return False
        last.admitted.set_result("displaced by a more critical call")
        return True

    def refuse_all(self, reason):
        """Refuse every waiting call."""
        for waiter in self._heap:
            if not waiter.admitted.done():
                waiter.admitted.set_result(reason)
        self._heap.clear()

    def _left(self, _future):
        self._waiting -= 1
