"""Which peer's settings are compared with this node's now, and which wait for it."""

from caperstack.clock import deadline_after, now

__all__ = ["COMPARISON_TIMEOUT_SECONDS", "Comparisons"]

#: How long a comparison may take before the next one begins, in seconds: ten
#: times what a body of 40 kB needs over a link of 10 Mbit/s.
COMPARISON_TIMEOUT_SECONDS = 0.3


class Comparisons:
    """One comparison at a time; the peers that hold something else wait for their turn.

    Notes
    -----
    Failure: all hosts lose power and start together.  Each node is connected to
    fifty others within half a second and holds something else than all of them;
    fifty exchanges of all revisions at once, in each node, fill the links just
    as the first callers come.  After the first exchange most of the others turn
    out to hold the same.
    """

    def __init__(self):
        self._host = None
        self._deadline = 0.0
        self._different = {}

    def differs(self, host, value):
        """Note that `host` holds something else, by the digest `value` that it told."""
        self._different[host] = value

    def agrees(self, host):
        """Note that `host` holds the same, or is not connected any more."""
        self._different.pop(host, None)
        self.done(host)

    def done(self, host):
        """The comparison with `host` is over, if there was one."""
        if host == self._host:
            self._host = None

    def finish_current(self):
        """All that was wanted has come, whoever sent it: nothing is compared any more.

        Notes
        -----
        Failure: a body that a comparison asks for is on its way from another
        peer already.  It comes from there, the comparison never hears of its
        end, and the next one begins a third of a second late.
        """
        self._host = None

    def begin(self, own_digest):
        """Return the host to compare with next, or ``None``.

        Parameters
        ----------
        own_digest : int
            This node's digest; peers that told the same need no comparison.
        """
        if self._host is not None and now() < self._deadline:
            return None
        self._different = {
            host: value for host, value in self._different.items() if value != own_digest
        }
        if not self._different:
            return None
        # The one that told last knows most likely what is new.
        self._host, _ = self._different.popitem()
        self._deadline = deadline_after(COMPARISON_TIMEOUT_SECONDS)
        return self._host
