"""Combination of the limits on the rate at which calls start at a backend server."""

import math

__all__ = ["StartLimits"]


class StartLimits:
    """Limit starts by what a cold server sustains and by the rate that the server states.

    Parameters
    ----------
    cold : caperstack.admission.cold.ColdLimit
        Rate limit for starts while the server is cold.
    rate : caperstack.admission.rate.RateLimit
        Rate limit that the server states.

    Attributes
    ----------
    rate : caperstack.admission.rate.RateLimit
        Rate limit that the server states.
    """

    def __init__(self, cold, rate):
        self._cold = cold
        self.rate = rate

    @property
    def available(self):
        """Number of calls that may start now; infinite without a limit.

        While a cold server admits calls, it counts as unlimited.
        """
        if self._cold.wait() > 0:
            return 0
        return self.rate.available if self.rate.active else math.inf

    def wait(self, ahead=0):
        """Return the seconds until a call may start after `ahead` other calls."""
        return max(self._cold.wait(ahead), self.rate.wait(ahead))

    def record_start(self):
        """Record the start of a call."""
        self._cold.record_start()
        self.rate.record_start()

    def cancel_start(self):
        """Take back a recorded start: the call was not sent to the server after all.

        A cold server counts it all the same, which errs on the safe side.
        """
        self.rate.cancel_start()
