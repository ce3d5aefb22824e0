"""How long an idle connection to the backend server is trusted."""

from caperstack.clock import deadline_after, now

__all__ = ["ReusePolicy"]

#: A request that may run once goes out on a connection that rested for less than
#: this, in seconds, or on a new one, which takes 1 ms.  Backend servers keep idle
#: connections for 5 to 10 s as a rule.
AT_MOST_ONCE_IDLE_SECONDS = 1.0

#: What a connection that turns out dead takes off the trust, as a share of the
#: time for which it had rested; the least that is left, in seconds; and how long
#: a server's forgetting is remembered, in seconds.
IDLE_SHARE_AFTER_LOSS = 0.5
MIN_IDLE_SECONDS = 0.05
LOSS_MEMORY_SECONDS = 20.0


class ReusePolicy:
    """Learn from lost requests how soon a backend server forgets idle connections.

    Notes
    -----
    Failure: a backend server drops connections that rested for 300 ms, without
    a word.  What is sent next is reset; a booking is lost, since nothing proves
    that it did not run, and a listing costs a second send.  The first loss
    shows how long the connection had rested, and for a while none that rested
    half as long is used for anything.
    """

    def __init__(self):
        self._max_idle_seconds = AT_MOST_ONCE_IDLE_SECONDS
        self._loss_remembered_until = 0.0

    @property
    def recent_loss(self):
        """Whether a connection was lost lately after a rest."""
        return now() < self._loss_remembered_until

    def allows(self, idle_since, at_most_once):
        """Return whether to send on a connection.

        Parameters
        ----------
        idle_since : float
            When its last answer came.
        at_most_once : bool
            Whether the request may run once only.
        """
        if not at_most_once and not self.recent_loss:
            return True
        trusted = self._max_idle_seconds if self.recent_loss else AT_MOST_ONCE_IDLE_SECONDS
        return now() - idle_since <= trusted

    def record_loss(self, rested_seconds):
        """A connection was dead after a rest of so long."""
        before = self._max_idle_seconds if self.recent_loss else AT_MOST_ONCE_IDLE_SECONDS
        after = max(MIN_IDLE_SECONDS, IDLE_SHARE_AFTER_LOSS * rested_seconds)
        self._max_idle_seconds = min(before, after)
        self._loss_remembered_until = deadline_after(LOSS_MEMORY_SECONDS)
