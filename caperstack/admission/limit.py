"""The adaptive limit: how many calls a backend server may run at once."""

import math

from caperstack.averages import TimedAverage
from caperstack.calls.model import initial_estimate_seconds
from caperstack.clock import deadline_after, now

__all__ = ["FailureShare", "ServiceTimes", "SlotLimit"]

#: Weight of one call in the recent service time and in the share of failures.
FAST_WEIGHT = 0.1

#: Seconds of work after which what held the slots before counts half: some 100
#: calls of 200 ms, or 400 of 50.
HELD_MOST = 20.0

#: The time over which the recent one fades to the usual one without calls, and
#: the usual one to nothing, in seconds.
FADE_SECONDS = 0.2
FORGET_SECONDS = 10.0

#: A server whose last calls took this many times longer than usual is tried
#: with a call or two first.
DOUBT = 2.0
EXPLORERS = 2

#: The times over which the middle average follows, and the usual time rises.
MEDIUM_SECONDS = 1.0
USUAL_SECONDS = 60.0

#: The time over which a route's usual time follows, in seconds, and how many
#: routes are told apart; beyond that they are learnt anew.
ROUTE_SECONDS = 5.0
ROUTES_MOST = 500

#: Answers after which a route's usual time is more than chance.
ROUTE_ANSWERS = 5

#: So many calls make the first usual time.
FIRST_CALLS = 50

#: A backend server is slowed once its recent time exceeds the usual one by
#: this.  With heavy-tailed service times the mean age of twenty running calls
#: is often twice the usual time by chance, rarely four times.
TOLERANCE = 4.0

#: The limit never falls below this share of the slots, so that a backend
#: server whose load is cured can show it.
LEAST_SHARE = 0.5

#: How long the limit rests after a change, in seconds.
REST_SECONDS = 0.1

#: The share of failures that closes the gate, by how much more it must be than
#: at the other servers of the service, and how often a call may probe.
GATE_SHARE = 0.5
GATE_MARGIN = 0.25
PROBE_SECONDS = 0.1

#: How long the share of failures takes to fade in what others are told, in seconds.
FAILURES_FADE_SECONDS = 5.0

#: Service time that is assumed before the first call, in seconds, and the weight
#: of each call's own guess until the first answer.
FIRST_GUESS = 0.02
GUESS_WEIGHT = 0.2


class ServiceTimes:
    """Recent service times of one backend server, calls still running included.

    Times are divided by the host's pace at their start, so that a neighbour
    who takes the host for a moment does not look like a slow server.
    """

    def __init__(self):
        self._fast = None
        self._medium = TimedAverage(FIRST_GUESS, MEDIUM_SECONDS)
        self._usual = FIRST_GUESS
        self._guessed = False
        self._slot_seconds = {}
        self._started = {}
        self._routes = {}
        self._ended_at = now()

    @property
    def known(self):
        """Whether any call was answered."""
        return self._fast is not None

    @property
    def usual(self):
        """The lowest average of late, in seconds; it rises slowly.

        Notes
        -----
        An average alone would take a slowdown for usual while it lasts.
        """
        return self._usual

    @property
    def recent(self):
        """The fast average in seconds, or the mean age of running calls if that is more.

        Notes
        -----
        A server that slows down answers late, so answers alone would show it
        late.  The age of the calls that still run shows it while they run.
        """
        fast = self._faded()
        if not self._started:
            return fast
        moment = now()
        ages = sum((moment - start) / pace for start, pace, _ in self._started.values())
        ages /= len(self._started)
        return max(fast, ages)

    @property
    def settled(self):
        """Whether enough calls were answered to know what is usual."""
        return self._medium.count > FIRST_CALLS

    @property
    def doubtful(self):
        """Whether the last calls were slow, but so long ago that it may have changed."""
        if self._fast is None or now() - self._ended_at < FADE_SECONDS:
            return False
        return self._fast > DOUBT * self._usual

    def restart(self):
        """Another start of the backend server: how slow the last one was says nothing."""
        self._fast = self._usual if self.known else None

    def _faded(self):
        # Failure: a server that was slow gets no calls, so nothing shows that
        # it is quick again, and it stays idle for good.  What the last calls
        # showed fades, and a call or two try it.
        if self._fast is None:
            return self._usual
        idle = now() - self._ended_at
        excess = (self._fast - self._usual) * math.exp(-idle / FADE_SECONDS)
        return self._usual * math.exp(-idle / FORGET_SECONDS) + excess

    def expect(self, call):
        """Take the guess at the work of `call` for usual until the first answer."""
        guess = initial_estimate_seconds(call)
        if self.known or not guess:
            return
        weight = GUESS_WEIGHT if self._guessed else 1.0
        self._usual += weight * (guess - self._usual)
        self._guessed = True

    def takes(self, call):
        """Return how long `call` usually takes, in seconds."""
        average = self._routes.get(call.route)
        if average is not None:
            return average.value
        return initial_estimate_seconds(call) or self._usual

    @property
    def held(self):
        """How long work takes that holds a slot at a random moment, in seconds; 0 at first.

        Notes
        -----
        The median over slots, not calls: short calls may be most of the calls,
        and yet most slots are held by long ones.  A mean in its place lets a
        few odd calls of seconds make all others look short.
        """
        times = sorted((self._routes[r].value, s) for r, s in self._slot_seconds.items())
        half = sum(self._slot_seconds.values()) / 2
        for seconds, held in times:
            half -= held
            if half <= 0:
                return seconds
        return 0.0

    def route_known(self, route):
        """Return how long calls of `route` take, in seconds; 0 if few of them were answered."""
        average = self._routes.get(route)
        return average.value if average and average.count >= ROUTE_ANSWERS else 0.0

    def begin(self, key, pace=1.0, route=""):
        """Note that the call of that key starts now, when work takes `pace` times the usual."""
        self._started[key] = (now(), pace, route)

    def end(self, key, counts=True):
        """Note that the call of that key ended; with `counts` its time is a sample.

        Returns
        -------
        float
            Its time against the usual one of its route; 0 if that is not known.
        """
        start, pace, route = self._started.pop(key)
        elapsed = (now() - start) / pace
        if not counts:
            return 0.0
        usual = self.route_known(route)
        self._learn_route(route, elapsed)
        fast = elapsed if self._fast is None else self._faded()
        self._fast = fast + FAST_WEIGHT * (elapsed - fast)
        self._medium.add(elapsed)
        gap = self._medium.value - self._usual
        seconds = now() - self._ended_at
        follows = gap < 0 or self._medium.count <= FIRST_CALLS
        self._usual += gap if follows else gap * min(1.0, seconds / USUAL_SECONDS)
        self._ended_at = now()
        return elapsed / usual if usual else 0.0

    def _learn_route(self, route, elapsed):
        average = self._routes.get(route)
        if average is None:
            if len(self._routes) >= ROUTES_MOST:
                self._routes.clear()
                self._slot_seconds.clear()
            average = self._routes[route] = TimedAverage(elapsed, ROUTE_SECONDS)
        average.add(elapsed)
        self._slot_seconds[route] = self._slot_seconds.get(route, 0.0) + elapsed
        if sum(self._slot_seconds.values()) > HELD_MOST:
            self._slot_seconds = {r: s / 2 for r, s in self._slot_seconds.items()}


class FailureShare:
    """The share of recent calls that failed, and a gate that closes on too many.

    Notes
    -----
    Failure: a server answers errors at once, has free slots and the shortest
    service time of all, and so draws more and more calls.  While most of its
    calls fail, the owner refuses them, which proves that they did not run and
    costs no retry, and lets a few through to see whether it is cured.  A call
    that has no other server to go to passes all the same: when all servers
    fail, their own errors tell the caller more than a refusal.

    The gate stays open where the others fail about as often.  Failure: calls
    that the work of a service makes fail elsewhere, and all its servers answer
    errors.  One gate after the other would close on servers that are well;
    they would stand idle and the rest be full.
    """

    def __init__(self):
        self._share = 0.0
        self._added_at = 0.0
        self._probe_at = 0.0

    @property
    def percent(self):
        """The share as whole percent, which fades to nothing without calls.

        Notes
        -----
        A server that is well again shows it only by calls, and gets none while
        entries are told that it fails more than others.
        """
        faded = max(0.0, 1.0 - (now() - self._added_at) / FAILURES_FADE_SECONDS)
        return int(self._share * faded * 100)

    def passes(self, others):
        """Return whether a call that could go elsewhere may run here.

        Parameters
        ----------
        others : callable
            ``others()`` tells the share of failures at the other servers of the
            service; it is asked only where this one fails.
        """
        if self._share < GATE_SHARE or self._share < others() + GATE_MARGIN:
            return True
        if now() < self._probe_at:
            return False
        self._probe_at = deadline_after(PROBE_SECONDS)
        return True

    def restart(self):
        """Another backend server, or another start of it: nothing has failed yet."""
        self._share = 0.0
        self._probe_at = 0.0

    def add(self, failed):
        """Note one more call."""
        self._added_at = now()
        self._share += FAST_WEIGHT * (failed - self._share)


class SlotLimit:
    """The number of calls allowed at once, at most `slots`.

    Notes
    -----
    Slots that a noisy neighbour has taken do not show in any report, only in
    the service time.  While the recent service time is far above the usual
    one, the limit sinks by a tenth a step; it climbs by one a step when calls
    are quick again.
    """

    def __init__(self, slots, times):
        self._slots = slots
        self._times = times
        self._least = max(1, int(slots * LEAST_SHARE))
        self._limit = slots
        self._rest_until = 0.0

    @property
    def limit(self):
        """The calls that may run at once now."""
        return min(EXPLORERS, self._limit) if self._times.doubtful else self._limit

    def resize(self, slots):
        """Allow at most `slots` calls from now on."""
        if slots != self._slots:
            self._slots = self._limit = slots
            self._least = max(1, int(slots * LEAST_SHARE))

    def start_cold(self):
        """Begin with the least limit and climb from there."""
        self._limit = self._least

    def adjust(self):
        """Take one step up or down if the last step is long enough ago."""
        if now() < self._rest_until:
            return
        self._rest_until = deadline_after(REST_SECONDS)
        # Failure: an owner that has just started takes its first guess for
        # usual, every call looks slow, and half the slots stay empty.
        if self._times.settled and self._times.recent > TOLERANCE * self._times.usual:
            self._limit = max(self._least, int(self._limit * 0.9))
        elif self._limit < self._slots:
            self._limit += 1
