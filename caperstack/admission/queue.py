"""Bounded priority queue of the owner: calls in time first, then by criticality and due time."""

import asyncio
import itertools
import math
from dataclasses import dataclass

from caperstack.clock import now

__all__ = ["AdmissionQueue", "Waiter"]


@dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for a slot.

    Attributes
    ----------
    call : caperstack.calls.model.Call
        The call.
    sequence : int
        Order of arrival.
    service_seconds : float
        Expected service time in seconds.
    last_start : float
        Time until which the call waits.
    admitted : asyncio.Future
        Resolves to ``""`` once the call holds a slot, or to the reason of its refusal.
    """

    call: object
    sequence: int
    service_seconds: float
    last_start: float
    admitted: asyncio.Future

    @property
    def due_at(self):
        """Time of the call's objective, or of its deadline if it has none."""
        return self.call.objective_at or self.call.deadline

    def rank(self, moment, short_seconds):
        """Return the sort key of the call at `moment`; the lowest key starts first.

        Parameters
        ----------
        moment : float
            The current time.
        short_seconds : float
            Calls with at most this service time are never ranked behind others for
            being late.

        Notes
        -----
        In an overload of some seconds, a first-come-first-served queue with waits as long as
        the objective makes every call late for as long as the overload lasts.  Calls that can
        no longer meet their objective therefore rank behind all that still can.

        Short calls are exempt, since they are mostly nested in a longer call that runs
        elsewhere and waits for them.  Otherwise a call of 55 ms, which is late after a tenth
        of a second, would be ranked behind calls of 550 ms and refused, and the booking
        that waits for it and has run for a second would fail (5 of 27 bookings in a recovery).

        A nested call goes before calls of its criticality that have not begun: the run that
        waits for it holds a slot, and its work is lost if the call is.
        """
        late = moment + self.service_seconds > self.due_at and self.service_seconds > short_seconds
        return (late, -self.call.criticality, not self.call.depth, self.due_at, self.sequence)


class AdmissionQueue:
    """Queue of waiting calls, ordered by `Waiter.rank`.

    Parameters
    ----------
    capacity : int
        Greatest number of waiting calls.

    Attributes
    ----------
    short_seconds : float
        Greatest service time of a short call, in seconds.
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
        """Whether a further call would have to displace another."""
        return len(self._waiters) >= self._capacity

    def resize(self, capacity):
        """Set the capacity; calls that already wait stay."""
        self._capacity = capacity

    def add(self, call, service_seconds=0.0, last_start=math.inf):
        """Enqueue `call` and return its `Waiter`.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        service_seconds : float, optional
            Expected service time in seconds.
        last_start : float, optional
            Time until which the call waits.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, next(self._sequence), service_seconds, last_start, future)
        future.add_done_callback(lambda _: self._waiters.discard(waiter))
        self._waiters.add(waiter)
        return waiter

    def ahead_of(self, call, service_seconds=0.0):
        """Return the number of waiting calls that would start before `call`."""
        moment = now()
        mine = self._rank_on_arrival(call, service_seconds, moment)
        return sum(
            1 for waiter in self._pending() if waiter.rank(moment, self.short_seconds) < mine
        )

    def _rank_on_arrival(self, call, service_seconds, moment):
        arriving = Waiter(call, next(self._sequence), service_seconds, math.inf, None)
        return arriving.rank(moment, self.short_seconds)

    def ranked(self):
        """Return the waiting calls as a list of `Waiter`, in the order of their starts."""
        moment = now()
        return sorted(self._pending(), key=lambda waiter: waiter.rank(moment, self.short_seconds))

    def _pending(self):
        return [waiter for waiter in self._waiters if not waiter.admitted.done()]

    def admit_next(self, defers=None):
        """Admit the first waiting call that is not deferred; return it, or ``None``.

        Parameters
        ----------
        defers : callable, optional
            ``defers(call)`` returns whether to skip a call, which then continues to wait.
        """
        moment = now()
        ready = [w for w in self._pending() if defers is None or not defers(w.call)]
        first = min(ready, key=lambda waiter: waiter.rank(moment, self.short_seconds), default=None)
        if first is None:
            return None
        self._resolve(first, "")
        return first.call

    def evict_for(self, call, service_seconds=0.0):
        """Refuse the last waiting call if `call` is more urgent.

        Returns
        -------
        bool
            Whether a call was refused, so that there is room for `call`.

        Notes
        -----
        A call in time is more urgent than a late one.  If both are in time or both late, the
        more critical one is, then the nested one; the due time and the order of arrival make
        no difference.
        """
        moment = now()
        last = max(
            self._pending(),
            key=lambda waiter: waiter.rank(moment, self.short_seconds),
            default=None,
        )
        mine = self._rank_on_arrival(call, service_seconds, moment)
        if last is None or last.rank(moment, self.short_seconds)[:3] <= mine[:3]:
            return False
        self._resolve(last, "displaced by a more urgent call")
        return True

    def refuse(self, waiter, reason):
        """Refuse one waiting call with `reason`."""
        self._resolve(waiter, reason)

    def refuse_all(self, reason):
        """Refuse every waiting call with `reason`."""
        for waiter in self._pending():
            self._resolve(waiter, reason)

    def _resolve(self, waiter, reason):
        waiter.admitted.set_result(reason)
        self._waiters.discard(waiter)
