"""Schedule the comparisons of this node's settings with those of its peers."""

from caperstack.clock import deadline_after, now

__all__ = ["COMPARISON_TIMEOUT_SECONDS", "Comparisons"]

#: Time in seconds after which the next comparison starts although the current one has
#: not ended: ten times what the transfer of a 40 kB body takes at 10 Mbit/s.
COMPARISON_TIMEOUT_SECONDS = 0.3


class Comparisons:
    """Compare with one peer at a time and queue the others whose digests differ.

    Notes
    -----
    When all hosts start together, as after a power failure, each node connects to
    fifty others within half a second and its digest differs from all of theirs.
    Fifty simultaneous exchanges of all revisions in each node would saturate the
    links just as the first calls arrive.  After the first exchange most of the other
    peers hold the same revisions as this node.
    """

    def __init__(self):
        self._host = None
        self._deadline = 0.0
        self._different = {}

    def differs(self, host, value):
        """Record that the digest of `host`, `value`, differs from this node's."""
        self._different[host] = value

    def remove(self, host):
        """Remove `host`, which agrees or has disconnected, and end its comparison if it runs."""
        self._different.pop(host, None)
        self.done(host)

    def done(self, host):
        """End the comparison with `host`, if it is the current one."""
        if host == self._host:
            self._host = None

    def finish_current(self):
        """End the current comparison, since all wanted bodies have arrived.

        Notes
        -----
        A body that the comparison needs may already be in transfer from another peer.
        Without this call the comparison would then end only by its timeout, and the
        next one would start a third of a second late.
        """
        self._host = None

    def begin(self, own_digest):
        """Start the next comparison and return its host; ``None`` if there is none to start.

        Parameters
        ----------
        own_digest : int
            This node's digest; peers that reported the same one are skipped.
        """
        if self._host is not None and now() < self._deadline:
            return None
        self._different = {
            host: value for host, value in self._different.items() if value != own_digest
        }
        if not self._different:
            return None
        # The peer that began to differ last most likely holds the newest revisions.
        self._host, _ = self._different.popitem()
        self._deadline = deadline_after(COMPARISON_TIMEOUT_SECONDS)
        return self._host
