"""Policy for reusing idle connections to a backend server."""

from caperstack.clock import deadline_after, now

__all__ = ["ReusePolicy"]

#: A non-idempotent request is sent only on a connection that was idle for at most this
#: time, in seconds, or on a new one, which takes 1 ms to open.  Backend servers usually
#: keep idle connections for 5 to 10 s.
AT_MOST_ONCE_IDLE_SECONDS = 1.0

#: After a request is lost on an idle connection, connections are reused only up to this
#: share of its idle time, but at least up to the minimum in seconds.  The limit applies
#: for `LOSS_MEMORY_SECONDS` after the loss.
IDLE_SHARE_AFTER_LOSS = 0.5
MIN_IDLE_SECONDS = 0.05
LOSS_MEMORY_SECONDS = 20.0


class ReusePolicy:
    """Decide whether an idle connection may be reused, based on lost requests.

    Notes
    -----
    A backend server may drop idle connections without closing them, for example
    after 300 ms.  The next request on such a connection leads to a reset.  If the
    request is not idempotent it fails, since nothing proves that it did not run;
    otherwise it has to be sent a second time.  For a while after such a loss,
    connections that were idle for more than half as long as the lost one are not
    reused for any request.
    """

    def __init__(self):
        self._max_idle_seconds = AT_MOST_ONCE_IDLE_SECONDS
        self._loss_remembered_until = 0.0

    @property
    def recent_loss(self):
        """Whether a request was recently lost on an idle connection."""
        return now() < self._loss_remembered_until

    def allows(self, idle_since, at_most_once):
        """Return whether an idle connection may be used for a request.

        Parameters
        ----------
        idle_since : float
            Time of the connection's last response, on the local monotonic clock.
        at_most_once : bool
            Whether the request may run at most once, that is, is not idempotent.
        """
        if not at_most_once and not self.recent_loss:
            return True
        limit = self._max_idle_seconds if self.recent_loss else AT_MOST_ONCE_IDLE_SECONDS
        return now() - idle_since <= limit

    def record_loss(self, idle_seconds):
        """Record that a request was lost on a connection idle for `idle_seconds`."""
        before = self._max_idle_seconds if self.recent_loss else AT_MOST_ONCE_IDLE_SECONDS
        after = max(MIN_IDLE_SECONDS, IDLE_SHARE_AFTER_LOSS * idle_seconds)
        self._max_idle_seconds = min(before, after)
        self._loss_remembered_until = deadline_after(LOSS_MEMORY_SECONDS)
