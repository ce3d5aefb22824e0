"""The owner's short queue: in time first, then by criticality and urgency."""

import asyncio
import itertools
from dataclasses import dataclass

from caperstack.clock import now

__all__ = ["AdmissionQueue", "Waiter"]


@dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for a slot; ``admitted`` ends with a reason for refusal or ``""``."""

    call: object
    sequence: int
    service_seconds: float
    admitted: asyncio.Future

    @property
    def due_at(self):
        """The point until which an answer is worth most."""
        return self.call.objective_at or self.call.deadline

    def rank(self, moment, short_seconds):
        """Return what orders waiting calls at `moment`; the lowest goes first.

        Parameters
        ----------
        moment : float
            Now.
        short_seconds : float
            Calls that take at most so many seconds are never put behind others
            for being late.

        Notes
        -----
        Which load it answers: more calls than slots for some seconds.  First
        come, first served makes every call late once the queue is as long as
        the objective, for as long as the overload lasts.  A call that can no
        longer be in time waits behind all that still can.

        Short calls are most often part of a longer one that runs elsewhere and
        waits for them.  Failure: one of 55 ms was late after a tenth of a
        second, waited behind work of 550 ms and was refused, and the booking
        that had run for a second failed with it (5 of 27 in a recovery).
        """
        late = moment + self.service_seconds > self.due_at and self.service_seconds > short_seconds
        return (late, -self.call.criticality, self.due_at, self.sequence)


class AdmissionQueue:
    """Waiting calls; those that can be answered in time go first.

    Attributes
    ----------
    short_seconds : float
        Calls that take at most so many seconds count as short.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._waiters = set()
        self._sequence = itertools.count()
        self.short_seconds = 0.0

    def __len__(self):
        return len(self._waiters)

    @property
    def full(self):
        """Whether a further call would have to push another out."""
        return len(self._waiters) >= self._capacity

    def resize(self, capacity):
        """Hold at most `capacity` calls from now on."""
        self._capacity = capacity

    def add(self, call, service_seconds=0.0):
        """Enqueue `call`, expected to run for `service_seconds`, and return its `Waiter`."""
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, next(self._sequence), service_seconds, future)
        future.add_done_callback(lambda _: self._waiters.discard(waiter))
        self._waiters.add(waiter)
        return waiter

    def ahead_of(self, call, service_seconds=0.0):
        """Return how many waiting calls would go before `call`, were it to wait."""
        moment = now()
        mine = Waiter(call, next(self._sequence), service_seconds, None).rank(
            moment, self.short_seconds
        )
        return sum(
            1 for waiter in self._pending() if waiter.rank(moment, self.short_seconds) < mine
        )

    def _pending(self):
        return [waiter for waiter in self._waiters if not waiter.admitted.done()]

    def admit_next(self, holds=None):
        """Admit the first waiting call and return it, or ``None``.

        Parameters
        ----------
        holds : callable, optional
            ``holds(call)`` tells which calls are to wait on.
        """
        moment = now()
        ready = [w for w in self._pending() if holds is None or not holds(w.call)]
        first = min(ready, key=lambda waiter: waiter.rank(moment, self.short_seconds), default=None)
        if first is None:
            return None
        self._resolve(first, "")
        return first.call

    def evict_for(self, call, service_seconds=0.0):
        """Refuse the last waiting call if it would go after `call`.

        Returns
        -------
        bool
            Whether there is room now.
        """
        moment = now()
        last = max(
            self._pending(),
            key=lambda waiter: waiter.rank(moment, self.short_seconds),
            default=None,
        )
        mine = Waiter(call, next(self._sequence), service_seconds, None).rank(
            moment, self.short_seconds
        )
        if last is None or last.rank(moment, self.short_seconds)[:2] <= mine[:2]:
            return False
        self._resolve(last, "displaced by a more urgent call")
        return True

    def refuse_all(self, reason):
        """Refuse every waiting call."""
        for waiter in self._pending():
            self._resolve(waiter, reason)

    def _resolve(self, waiter, reason):
        waiter.admitted.set_result(reason)
        self._waiters.discard(waiter)
