"""Concurrency limiter of one backend server: start, queue or refuse each call."""

import asyncio
import random
from dataclasses import dataclass

from caperstack.admission.knee import Knee
from caperstack.admission.limit import AdaptiveLimit
from caperstack.admission.queue import AdmissionQueue
from caperstack.admission.wakeup import WakeUp
from caperstack.calls.model import SLOW_PHASE_LEFT_SECONDS, NotRun
from caperstack.clock import now, time_left

__all__ = ["Outlook", "SlotGate"]

#: Random extension of the advised retry delay, as a share of it, so that refused callers
#: don't all retry at the same moment.
RETRY_JITTER = 0.5

#: Least advised retry delay after a refusal for lack of a slot, as a share of the time in
#: which the call can still be started.
RETRY_DELAY_SHARE = 0.4

#: Added before rounding down: floating-point products of slots and shares such as 0.8 may
#: fall just short of a whole number.
ROUNDING_TOLERANCE = 1e-9

#: Calls that take at most this share of the slot-weighted median service time are short.
SHORT_CALL_SHARE = 0.5

#: Cap on the ratio of a service time to its route's baseline. Larger ratios occur if a slow
#: phase of the host began between two readings of its slowdown.
MAX_TIME_RATIO = 3.0

#: Reason for the refusal of calls that a stated rate limit cannot admit in time.
RATE_LIMIT_REASON = "backend server limits its requests"

#: Queued calls per slot. This bounds memory only; in practice the queue stays shorter,
#: since calls that cannot finish in time are refused.
QUEUE_PER_SLOT = 16


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a call would find at the gate now.

    Attributes
    ----------
    wait_seconds : float
        Expected wait for a slot.
    last_start : float
        Time until which the call may wait.
    last_free_start : float
        Time until which it may start if it need not wait: it is late then, but can still end
        before its deadline.
    """

    wait_seconds: float
    last_start: float
    last_free_start: float

    @property
    def too_late(self):
        """Whether the call would have to wait for a slot until it is too late."""
        return self.wait_seconds > 0 and now() + self.wait_seconds > self.last_start


class SlotGate:
    """Limit the calls that run concurrently at one backend server, and queue the others.

    Parameters
    ----------
    slots : int
        The backend server's slots.
    share : float
        Initial concurrency limit, as a share of the slots.
    times : caperstack.admission.limit.ServiceTimes
        Service times of the backend server.
    slowdown : caperstack.admission.slowdown.HostSlowdown
        Current slowdown of the host.
    starts : caperstack.admission.starts.StartLimits
        Limits on the rate of starts.
    """

    def __init__(self, slots, share, times, slowdown, starts):
        self._share = share
        self._times = times
        self._slowdown = slowdown
        self._starts = starts
        self._wakeup = WakeUp(self.start_waiting)
        self._slots = slots
        self._knee = Knee(slots, self._initial_limit(slots))
        self._limit = AdaptiveLimit(self._knee.limit, times)
        self._queue = AdmissionQueue(slots * QUEUE_PER_SLOT)
        self._running = 0

    @property
    def running(self):
        """Number of calls that hold a slot."""
        return self._running

    @property
    def waiting(self):
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @property
    def limit(self):
        """Number of calls that may hold a slot concurrently now.

        Notes
        -----
        The limit is lowered to the number of running calls and of those that the limits on
        the rate of starts admit now, but not below 1.
        """
        return max(1, min(self._running + self._starts.available, self._limit.limit))

    @property
    def rate_wait(self):
        """Seconds until the stated rate lets a call start that arrives now."""
        return self._starts.rate.wait(self.waiting)

    def _initial_limit(self, slots):
        # Rounded down, since one call more than the share allows slows all of them.
        return max(1, int(slots * self._share + ROUNDING_TOLERANCE))

    def resize(self, slots):
        """Set the number of slots; a change discards the learnt limit."""
        if slots != self._slots:
            self._slots = slots
            self.restart()
            self._queue.resize(slots * QUEUE_PER_SLOT)

    def restart(self):
        """Discard the learnt limit, after the backend server was replaced or restarted."""
        self._knee = Knee(self._slots, self._initial_limit(self._slots))
        self._limit.resize(self._knee.limit)

    def start_cold(self):
        """Begin with the lowest limit, since the backend server has just started."""
        self._limit.start_cold()

    def refuse_all(self, reason):
        """Refuse every waiting call with `reason`."""
        self._queue.refuse_all(reason)

    def outlook(self, call):
        """Return the `Outlook` of `call`, without admitting it."""
        service_seconds = self._expected_seconds(call)
        wait = self._expected_wait(call, self._queue.ahead_of(call, service_seconds))
        last_start = self._last_start(call, service_seconds)
        return Outlook(wait, last_start, call.deadline - service_seconds)

    def retry_after(self, call, wait):
        """Return the advised retry delay in seconds for a call that would have to wait `wait`."""
        return self._retry_after(call, self._expected_seconds(call), wait)

    async def admit(self, call, on_wait):
        """Acquire a slot for `call`, waiting for one if need be.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        on_wait : callable
            Called with the expected wait in seconds if the call has to wait.

        Returns
        -------
        NotRun or None
            The refusal, or ``None`` once the call holds a slot.
        """
        self._limit.adjust()
        if self._may_start(call):
            self._take_slot()
            return None
        return await self._wait_for_slot(call, on_wait)

    def _may_start(self, call):
        if self._running >= self._limit.limit or len(self._queue):
            return False
        return not self._defers(call) and not self._starts.wait()

    def _take_slot(self):
        self._running += 1
        self._starts.record_start()

    def _defers(self, call):
        """Return whether to hold `call` back until the host's slow phase is over.

        Notes
        -----
        A noisy neighbour takes the host's processor for some hundred milliseconds at a
        time, repeatedly.  A call that starts in such a slow phase takes several times as
        long, even after the phase is over, and occupies its slot meanwhile.  Waiting costs
        the remainder of the phase, so a call starts at once if the slow phase would lengthen
        it by less than that.
        """
        if self._slowdown.awaiting_reading:
            return True
        if not self._slowdown.slowed:
            return False
        return (self._slowdown.relative - 1) * self._expected_seconds(
            call
        ) > SLOW_PHASE_LEFT_SECONDS

    def _expected_seconds(self, call):
        """Return the expected service time of `call` at the host's baseline, in seconds."""
        return self._times.service_seconds(call) * self._slowdown.baseline

    async def _wait_for_slot(self, call, on_wait):
        service_seconds = self._expected_seconds(call)
        self._queue.short_seconds = SHORT_CALL_SHARE * self._slot_holding_seconds
        ahead = self._queue.ahead_of(call, service_seconds)
        wait = self._expected_wait(call, ahead)
        last_start = self._last_start(call, service_seconds)
        rate_wait = self._starts.rate.wait(ahead)
        if rate_wait and now() + rate_wait > last_start:
            return self._rate_refusal(call, service_seconds)
        if now() + wait > last_start:
            return NotRun("no slot in time", self._retry_after(call, service_seconds, wait))
        if self._queue.full and not self._queue.evict_for(call, service_seconds):
            return NotRun("queue is full", wait)
        waiter = self._queue.add(call, service_seconds, last_start)
        self._refuse_beyond_rate()
        # If all calls ahead are deferred, a slot may be free in which a short call can start.
        self.start_waiting()
        on_wait(wait)
        try:
            async with asyncio.timeout_at(last_start):
                reason = await waiter.admitted
        except TimeoutError:
            return self._time_out(waiter, call, service_seconds)
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise
        if reason == RATE_LIMIT_REASON:
            return self._rate_refusal(call, service_seconds)
        return NotRun(reason, wait) if reason else None

    def _refuse_beyond_rate(self):
        """Refuse the waiting calls whose turn under the stated rate comes too late.

        Notes
        -----
        A more urgent call that arrives moves the turns of all that rank behind it.  Those
        that it makes too late would otherwise wait in vain until their last start.
        """
        if not self._starts.rate.active:
            return
        ahead = 0
        for waiter in self._queue.ranked():
            if now() + self._starts.rate.wait(ahead) > waiter.last_start:
                self._queue.refuse(waiter, RATE_LIMIT_REASON)
            else:
                ahead += 1

    def _rate_refusal(self, call, service_seconds):
        wait = self._starts.rate.wait(self._queue.ahead_of(call, service_seconds))
        if call.last:
            wait = self._starts.rate.return_delay(wait, call.deadline - service_seconds)
        return NotRun(RATE_LIMIT_REASON, wait)

    def apply_rate(self):
        """Apply a changed rate limit to the waiting calls."""
        self._refuse_beyond_rate()
        self.start_waiting()

    @property
    def _slot_holding_seconds(self):
        """Slot-weighted median service time at the host's baseline, in seconds."""
        return self._times.median_slot_seconds * self._slowdown.baseline

    def _last_start(self, call, service_seconds):
        """Return the time until which `call` may wait for a slot.

        Notes
        -----
        A call that gets no slot and can no longer meet its objective is refused at once, so
        that its caller retries or gives up.  If such calls waited in an overload that lasts
        for seconds, they would occupy slots needed by calls that can still be in time, and
        nested calls would wait while their parent holds a slot of another service.

        Short calls may wait for one median service time longer, since they are mostly nested:
        the parent has run for longer and would fail with them.
        """
        in_time_until = (call.objective_at or call.deadline) - service_seconds
        extra = self._slot_holding_seconds if service_seconds <= self._queue.short_seconds else 0.0
        return min(
            call.queue_until, call.deadline - service_seconds, max(in_time_until, now()) + extra
        )

    def _with_jitter(self, wait):
        return wait * random.uniform(1.0, 1.0 + RETRY_JITTER)

    def _retry_after(self, call, service_seconds, wait):
        """Return the advised retry delay in seconds for a call that got no slot.

        Notes
        -----
        A call that cannot meet its objective here is late whenever it is retried, and its
        answer is worth the same until the deadline.  In an overload of a second or two, callers
        that retry at once are refused repeatedly until they give up, while a later retry may
        find a free slot.  Short calls are exempt from the least delay, since a parent call
        mostly waits for them.
        """
        if service_seconds > self._queue.short_seconds:
            wait = max(wait, RETRY_DELAY_SHARE * (time_left(call.deadline) - service_seconds))
        return self._with_jitter(wait)

    def _time_out(self, waiter, call, service_seconds):
        self._cancel_wait(waiter)
        return NotRun(
            "no slot in time", self._retry_after(call, service_seconds, self._times.baseline)
        )

    def _cancel_wait(self, waiter):
        # The slot may have been granted in the same iteration of the event loop in which
        # the wait timed out or was cancelled; it would leak if it were not released here.
        if waiter.admitted.done() and not waiter.admitted.cancelled():
            if waiter.admitted.result() == "":
                self.release(sent=False)
        else:
            waiter.admitted.cancel()

    def _expected_wait(self, call, ahead):
        """Return the expected wait of `call` with `ahead` calls ahead of it, in seconds."""
        # While the host is in a slow phase, calls are deferred and slots stay free. All calls
        # that arrive meanwhile share these slots once the phase ends.
        free = self._limit.limit - self._running
        without_slot = max(0, ahead + 1 - free)
        # The first reading of the slowdown arrives much sooner than a slow phase ends.
        awaiting_reading = self._slowdown.awaiting_reading
        slow_phase = free > 0 and not awaiting_reading and self._defers(call)
        wait = SLOW_PHASE_LEFT_SECONDS if slow_phase else 0.0
        wait += without_slot * self._times.recent * self._slowdown.baseline / self._limit.limit
        return max(wait, self._starts.wait(ahead))

    def release(self, sent=True):
        """Release a slot and start waiting calls.

        Parameters
        ----------
        sent : bool
            Whether the call was sent to the backend server.
        """
        self._running -= 1
        if not sent:
            self._starts.cancel_start()
        self.start_waiting()

    def start_waiting(self):
        """Start waiting calls as far as the limits and the host's slowdown allow."""
        self._limit.adjust()
        while self._running < self._allowed() and len(self._queue):
            wait = self._starts.wait()
            if wait > 0:
                self._wakeup.set(wait)
                return
            call = self._queue.admit_next(self._defers)
            if call is None:
                return
            self._take_slot()
            # The best concurrency is learnt only under overload, while further calls wait
            # for a slot rather than for the stated rate.
            if len(self._queue) and not self._starts.rate.active:
                call.running_at_start = self._running
                self._knee.record_start()

    def _allowed(self):
        """Return the concurrency allowed once the next queued call has started."""
        limit = self._limit.limit
        return limit if limit < self._knee.limit else self._knee.allowed()

    def record_time(self, call, ratio):
        """Record the service time of a finished call.

        Parameters
        ----------
        call : caperstack.calls.model.Call
            The call.
        ratio : float
            Its service time divided by the baseline of its route.

        Returns
        -------
        bool
            Whether the learnt concurrency limit changed.
        """
        before = self._knee.limit
        if call.running_at_start:
            self._knee.record_time(call.running_at_start, min(ratio, MAX_TIME_RATIO))
            self._limit.resize(self._knee.limit)
        return self._knee.limit != before
