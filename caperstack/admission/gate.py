"""The slots of one backend server: who gets one now, who waits, who is refused."""

import asyncio
import random

from caperstack.admission.knee import Knee
from caperstack.admission.limit import SlotLimit
from caperstack.admission.queue import AdmissionQueue
from caperstack.calls.model import SLOW_PHASE_LEFT_SECONDS, NotRun
from caperstack.clock import now, time_left

__all__ = ["SlotGate"]

#: Callers who are told to come back do so spread over this share of the wait,
#: or they would all return at the same moment.
RETURN_SPREAD = 0.5

#: Callers that are refused for want of a slot are told to come back after at least this
#: share of the time in which their call can still be run.
RETURN_SHARE = 0.4

#: Products of slots and shares such as 0.8 fall short of whole numbers by so much.
ROUNDING = 1e-9

#: Calls that take at most this share of the work that holds a slot at a random
#: moment count as short.
SHORT_SHARE = 0.5

#: A time counts as at most so many usual ones; what takes longer was met by a
#: neighbour that came between two readings.
RATIO_MOST = 3.0

#: Waiting calls per slot that bound the queue's memory; what limits its length
#: in practice is whether a call can still finish in time.
QUEUE_PER_SLOT = 16


class SlotGate:
    """Give out the slots of one backend server, at once, in order, or not at all.

    Parameters
    ----------
    slots : int
        The backend server's slots.
    share : float
        Calls at once, as a share of the slots.
    times : caperstack.admission.limit.ServiceTimes
        How long calls take.
    pace : caperstack.admission.pace.HostPace
        How long work takes on the host now.
    cold : caperstack.admission.cold.ColdLimit
        How many calls may start in a second while the server is cold.
    """

    def __init__(self, slots, share, times, pace, cold):
        self._share = share
        self._times = times
        self._pace = pace
        self._cold = cold
        self._waking = None
        self._slots = slots
        self._knee = Knee(slots, self._used(slots))
        self._limit = SlotLimit(self._knee.limit, times)
        self._queue = AdmissionQueue(slots * QUEUE_PER_SLOT)
        self._running = 0

    @property
    def running(self):
        """Calls that hold a slot."""
        return self._running

    @property
    def waiting(self):
        """Calls that wait for one."""
        return len(self._queue)

    @property
    def limit(self):
        """Calls that may hold a slot at once now."""
        if self._cold.wait() > 0:
            return max(1, min(self._running, self._limit.limit))
        return self._limit.limit

    def _used(self, slots):
        # Rounded down: one call more than the share allows slows all of them.
        return max(1, int(slots * self._share + ROUNDING))

    def resize(self, slots):
        """The backend server has so many slots from now on."""
        if slots != self._slots:
            self._slots = slots
            self.restart()
            self._queue.resize(slots * QUEUE_PER_SLOT)

    def restart(self):
        """Another backend server, or another start of it: nothing is learnt of it yet."""
        self._knee = Knee(self._slots, self._used(self._slots))
        self._limit.resize(self._knee.limit)

    def start_cold(self):
        """The backend server has just started: begin with few slots."""
        self._limit.start_cold()

    def refuse_all(self, reason):
        """Refuse every waiting call."""
        self._queue.refuse_all(reason)

    async def admit(self, call, on_wait):
        """Take a slot for `call` and return ``None``, or return the `NotRun` that refuses.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        on_wait : callable
            Called with the expected wait in seconds, if the call has to wait.
        """
        self._limit.adjust()
        if self._may_start(call):
            self._take_slot()
            return None
        return await self._wait_for_slot(call, on_wait)

    def _may_start(self, call):
        if self._running >= self._limit.limit or len(self._queue):
            return False
        return not self._holds(call) and not self._cold.wait()

    def _take_slot(self):
        self._running += 1
        self._cold.take()

    def _holds(self, call):
        """Return whether `call` is better started once the host is quick again.

        Notes
        -----
        Which load it answers: a neighbour takes the host for some hundred
        milliseconds, again and again.  Work that starts then needs several
        times as long to its end, also after the neighbour has gone, and its
        slot is lost for others.
        Waiting costs what is left of the neighbour's visit.  Work so short
        that the wait would be longer starts at once.
        """
        if self._pace.unread:
            return True
        if not self._pace.slowed:
            return False
        return (self._pace.relative - 1) * self._takes(call) > SLOW_PHASE_LEFT_SECONDS

    def _takes(self, call):
        """Return how long `call` takes on this host as a rule, in seconds."""
        return self._times.takes(call) * self._pace.usual

    async def _wait_for_slot(self, call, on_wait):
        takes = self._takes(call)
        self._queue.short_takes = SHORT_SHARE * self._turn
        wait = self._expected_wait(call, takes)
        last_start = self._last_start(call, takes)
        if now() + wait > last_start:
            return NotRun("no slot in time", self._return_late(call, takes, wait))
        if self._queue.full and not self._queue.evict_for(call, takes):
            return NotRun("queue is full", wait)
        waiter = self._queue.add(call, takes)
        # Calls ahead of it may be held while a slot is free and it is short.
        self.start_waiting()
        on_wait(wait)
        try:
            async with asyncio.timeout_at(last_start):
                reason = await waiter.admitted
        except TimeoutError:
            return self._give_up(waiter, call, takes)
        except asyncio.CancelledError:
            self._return_slot(waiter)
            raise
        return NotRun(reason, wait) if reason else None

    @property
    def _turn(self):
        """How long a slot is taken by the work that usually holds it, in seconds."""
        return self._times.held * self._pace.usual

    def _last_start(self, call, takes):
        """Return the point until which `call` waits for a slot.

        Notes
        -----
        Which load it answers: more calls than slots for seconds.  A call that
        can no longer be in time is told so at once, and comes back or lets
        its own caller go.  Late calls that wait take slots from those that can
        still be in time, and calls of a tree wait while their parent holds a
        slot of another service.

        Short calls wait for one turn more: their parent has run for longer and
        would fail with them.
        """
        in_time_until = (call.objective_at or call.deadline) - takes
        turn = self._turn if takes <= self._queue.short_takes else 0.0
        return min(call.queue_until, call.deadline - takes, max(in_time_until, now()) + turn)

    def _return_after(self, wait):
        return wait * random.uniform(1.0, 1.0 + RETURN_SPREAD)

    def _return_late(self, call, takes, wait):
        """Return after how many seconds a call that got no slot should come back.

        Notes
        -----
        Which load it answers: more calls than slots for a second or two.  A call that
        could not be in time here is late whenever it comes back, and worth the same
        until its deadline.  Callers who return at once are refused again and again
        until they give up; later there may be room.  Short calls have a parent that
        waits for them.
        """
        if takes > self._queue.short_takes:
            wait = max(wait, RETURN_SHARE * (time_left(call.deadline) - takes))
        return self._return_after(wait)

    def _give_up(self, waiter, call, takes):
        self._return_slot(waiter)
        return NotRun("no slot in time", self._return_late(call, takes, self._times.usual))

    def _return_slot(self, waiter):
        # The slot may have been given in the same turn of the loop in which
        # the wait ended: it would be lost for good if nobody handed it on.
        if waiter.admitted.done() and not waiter.admitted.cancelled():
            if waiter.admitted.result() == "":
                self.release()
        else:
            waiter.admitted.cancel()

    def _expected_wait(self, call, takes):
        # Slots that are free stay so until a neighbour leaves, and all who come
        # meanwhile share them.
        free = self._limit.limit - self._running
        before = self._queue.ahead_of(call, takes)
        ahead = max(0, before + 1 - free)
        # The first reading comes long before a visit would end.
        visited = free > 0 and not self._pace.unread
        wait = SLOW_PHASE_LEFT_SECONDS if visited else 0.0
        wait += ahead * self._times.recent * self._pace.usual / self._limit.limit
        return max(wait, self._cold.wait(before))

    def release(self):
        """Give a slot back."""
        self._running -= 1
        self.start_waiting()

    def start_waiting(self):
        """Start the calls that may start now: a slot is free, or the host is quick again."""
        self._limit.adjust()
        while self._running < self._allowed() and len(self._queue):
            wait = self._cold.wait()
            if wait > 0:
                self._wake_after(wait)
                return
            call = self._queue.admit_next(self._holds)
            if call is None:
                return
            self._take_slot()
            if len(self._queue):
                call.running_at_start = self._running
                self._knee.note_start()

    def _wake_after(self, seconds):
        if self._waking is None:
            self._waking = asyncio.get_running_loop().call_later(seconds, self._wake)

    def _wake(self):
        self._waking = None
        self.start_waiting()

    def _allowed(self):
        """Return how many calls may be at work with the next that has waited."""
        limit = self._limit.limit
        return limit if limit < self._knee.limit else self._knee.allowed()

    def note_time(self, call, ratio):
        """Note the time of a call that ended, against its route's usual.

        Returns
        -------
        bool
            Whether other many calls may be at work at once from now on.
        """
        before = self._knee.limit
        if call.running_at_start:
            self._knee.note_time(call.running_at_start, min(ratio, RATIO_MOST))
            self._limit.resize(self._knee.limit)
        return self._knee.limit != before
