"""Rate limit that a backend server states in its answers."""

__all__ = ["RateLimit"]


class RateLimit:
    """The requests per second that a backend server accepts from all hosts together.

    Notes
    -----
    A server under strain states the rate in its answers for as long as it holds.  An answer
    without it withdraws it, except that an answer of the health path does so only if the
    health path has stated it before: not every server states it there.  A rate that cannot
    be parsed leaves the former one in force, since the server still asks for one.
    """

    def __init__(self):
        self._per_second = None
        self._stated_by_probes = False

    @property
    def per_second(self):
        """The rate in requests per second; ``None`` if the server states none."""
        return self._per_second

    def restart(self):
        """Forget the rate, since another run of the backend server has begun."""
        self._per_second = None
        self._stated_by_probes = False

    def update(self, report):
        """Apply the `caperstack.calls.dialect.ServerReport` of an answer.

        Returns
        -------
        bool
            Whether the rate changed.
        """
        if report.states_rate_limit:
            if report.rate_limit is None:
                return False
            self._stated_by_probes |= report.probed
        elif report.probed and not self._stated_by_probes:
            return False
        changed = report.rate_limit != self._per_second
        self._per_second = report.rate_limit
        return changed
