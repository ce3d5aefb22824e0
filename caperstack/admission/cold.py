"""How many calls a second a cold backend server gets."""

from collections import deque

from caperstack.clock import deadline_after, now, process_start

__all__ = ["ColdLimit"]

#: The span in which starts are counted, in seconds; a little more than a second,
#: since calls that are sent a second apart may arrive closer together.
WINDOW_SECONDS = 1.05

#: A process's predecessor ended at least so long before its own first statement, in
#: seconds: the start of the interpreter.
RESTART_SECONDS = 0.1

#: Starts that are kept back of those that a cold server bears in a second.
RESERVED_STARTS = 1


class ColdLimit:
    """The starts of the last second, of which a cold backend server bears only so many.

    Notes
    -----
    A backend server that has just started, or says so at any later moment, ends if
    it gets many more calls a second than it bears.  Starts are counted all the time,
    so that the limit holds from the moment at which the server turns cold.

    A server counts as cold until it says that it is warm, also when the time is over
    for which it was to be cold: it may have turned cold again.  After as many starts
    without a word as a cold one bears in a second it counts as cold, too.  What another
    process may have sent before this one began counts as a full second's starts, unless
    the server turned cold only after that.

    Attributes
    ----------
    max_starts : int
        Starts in a second that a cold server bears; 0 if there is no bound.
    cold_seconds : float
        For how long a server is cold that has just started; 0 if nobody says.
    """

    def __init__(self):
        self._starts = deque()
        self._unreported = 0
        self._warm = False
        self._report_due_at = 0.0
        self._sole_sender_since = process_start() - RESTART_SECONDS
        self._unknown_until = self._sole_sender_since + WINDOW_SECONDS
        self.max_starts = 0
        self.cold_seconds = 0.0

    @property
    def cold(self):
        """Whether the limit is in force."""
        return self.max_starts > 0 and (not self._warm or self._unreported >= self.max_starts)

    @property
    def report_due(self):
        """Whether the server should be asked before the next start.

        It may be warm by now, or has got half of what a cold one bears without a word.
        """
        if not self.max_starts:
            return False
        return (
            now() >= self._report_due_at
            if not self._warm
            else 2 * self._unreported >= self.max_starts
        )

    def resize(self, per_second, cold_seconds=0.0):
        """Bound the starts of a second at a cold server, 0 for any number."""
        self.max_starts = max(1, int(per_second) - RESERVED_STARTS) if per_second > 0 else 0
        self.cold_seconds = cold_seconds

    def restart(self):
        """Another start of the backend server: it got nothing yet, and said nothing."""
        self._starts.clear()
        self._unreported = 0
        self._warm = False
        self._report_due_at = 0.0
        self._unknown_until = 0.0

    def set_remaining(self, seconds):
        """The server says that it will be cold for so many seconds more; 0 if it is warm."""
        self._warm = seconds <= 0
        self._unreported = 0
        self._report_due_at = deadline_after(seconds)
        cold_since = self._report_due_at - self.cold_seconds
        if seconds <= self.cold_seconds and cold_since >= self._sole_sender_since:
            self._unknown_until = 0.0

    def record_start(self):
        """Count a start."""
        self._unreported += 1
        self._starts.append(now())
        # Starts before the last `max_starts` bound no later one.
        while len(self._starts) > max(1, self.max_starts):
            self._starts.popleft()

    def wait(self, ahead=0):
        """Return how many seconds it takes until a call may start, with so many before it."""
        if not self.cold:
            return 0.0
        moment = now()
        starts = deque(self._counted(moment), maxlen=self.max_starts)
        start = moment
        for _ in range(ahead + 1):
            if len(starts) == self.max_starts:
                start = max(start, starts[0] + WINDOW_SECONDS)
            starts.append(start)
        return start - moment

    def _counted(self, moment):
        """Return the points at which the calls that count now started, the oldest first."""
        recent = [start for start in self._starts if start > moment - WINDOW_SECONDS]
        if moment < self._unknown_until:
            before = self._unknown_until - WINDOW_SECONDS
            return [before] * (self.max_starts - len(recent)) + recent
        return recent
