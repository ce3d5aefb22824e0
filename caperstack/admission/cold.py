"""Rate limit for calls to a cold backend server."""

from collections import deque

from caperstack.clock import deadline_after, now, process_start

__all__ = ["ColdLimit"]

#: Window in which starts are counted, in seconds; a little more than one second, since
#: calls that are sent a second apart may arrive closer together.
WINDOW_SECONDS = 1.05

#: Least time between the end of the node's previous process and the first statement of this
#: one, in seconds: the interpreter takes that long to start.
RESTART_SECONDS = 0.1

#: Starts subtracted from the number that a cold server sustains in a second.
RESERVED_STARTS = 1


class ColdLimit:
    """Sliding-window rate limit on the starts of calls at a cold backend server.

    Attributes
    ----------
    max_starts : int
        Starts per window allowed while the server is cold; 0 if there is no bound.
    cold_seconds : float
        Time for which a server is cold after its start, in seconds; 0 if unknown.

    Notes
    -----
    A backend server is cold after its start, and may turn cold again at any later time.  A
    cold server crashes if it gets many more calls per second than it sustains.  Starts are
    also counted while the server is warm, so that the limit holds as soon as it turns cold.

    A server counts as cold until it reports that it is warm, even after the announced cold
    time has passed, since it may have turned cold again.  A warm server counts as cold
    again after `max_starts` starts without a report.

    The node's previous process may have sent calls that this one does not know of.  They count
    as a full window of starts, unless the server turned cold after that process had ended.
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
        """Whether the limit applies."""
        return self.max_starts > 0 and (not self._warm or self._unreported >= self.max_starts)

    @property
    def report_due(self):
        """Whether to ask the server for a report before the next start.

        Notes
        -----
        A report is due when the announced cold time of a cold server has passed, and when half
        of `max_starts` calls have started at a warm one without a report.
        """
        if not self.max_starts:
            return False
        return (
            now() >= self._report_due_at
            if not self._warm
            else 2 * self._unreported >= self.max_starts
        )

    def resize(self, per_second, cold_seconds=0.0):
        """Set the limit.

        Parameters
        ----------
        per_second : float
            Calls per second that a cold server sustains; 0 for no bound.
        cold_seconds : float, optional
            Time for which a server is cold after its start, in seconds; 0 if unknown.
        """
        self.max_starts = max(1, int(per_second) - RESERVED_STARTS) if per_second > 0 else 0
        self.cold_seconds = cold_seconds

    def restart(self):
        """Forget all starts and reports, since the backend server has restarted."""
        self._starts.clear()
        self._unreported = 0
        self._warm = False
        self._report_due_at = 0.0
        self._unknown_until = 0.0

    def set_remaining(self, seconds):
        """Record a report of the server: it stays cold for `seconds` more, or is warm if 0."""
        self._warm = seconds <= 0
        self._unreported = 0
        self._report_due_at = deadline_after(seconds)
        cold_since = self._report_due_at - self.cold_seconds
        if seconds <= self.cold_seconds and cold_since >= self._sole_sender_since:
            self._unknown_until = 0.0

    def record_start(self):
        """Record the start of a call."""
        self._unreported += 1
        self._starts.append(now())
        # Only the last `max_starts` starts can delay a later one.
        while len(self._starts) > max(1, self.max_starts):
            self._starts.popleft()

    def wait(self, ahead=0):
        """Return the seconds until a call may start after `ahead` other calls."""
        if not self.cold:
            return 0.0
        moment = now()
        starts = deque(self._starts_in_window(moment), maxlen=self.max_starts)
        start = moment
        for _ in range(ahead + 1):
            if len(starts) == self.max_starts:
                start = max(start, starts[0] + WINDOW_SECONDS)
            starts.append(start)
        return start - moment

    def _starts_in_window(self, moment):
        """Return the times of the starts in the window that ends at `moment`, oldest first."""
        recent = [start for start in self._starts if start > moment - WINDOW_SECONDS]
        if moment < self._unknown_until:
            # The previous process may have started the remaining calls just before it ended.
            before = self._unknown_until - WINDOW_SECONDS
            return [before] * (self.max_starts - len(recent)) + recent
        return recent
