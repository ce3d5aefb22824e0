"""Track the bodies to fetch and the peers that hold them."""

from dataclasses import dataclass, field

from caperstack.clock import deadline_after, now

__all__ = ["FETCH_TIMEOUT_SECONDS", "Fetches"]

#: Time in seconds after which a body that has not arrived is requested from another
#: peer: enough for several simultaneous bodies of 40 kB at 5 Mbit/s.
FETCH_TIMEOUT_SECONDS = 0.6


@dataclass(slots=True)
class _Wanted:
    revision: int
    asked: str = ""
    ask_again_at: float = 0.0
    holders: list = field(default_factory=list)


class Fetches:
    """Request each wanted body from one peer at a time, and from the next one on a timeout.

    Notes
    -----
    The peer that was asked may be killed before it sends the body, and no peer may
    announce that revision again.  So all peers that announced it are remembered and
    asked in turn.
    """

    def __init__(self):
        self._wanted = {}

    @property
    def idle(self):
        """Whether no body is wanted."""
        return not self._wanted

    def add_holder(self, host, path, revision):
        """Record that `host` holds a revision of `path` that this node wants."""
        wanted = self._wanted.get(path)
        if wanted is None or revision > wanted.revision:
            wanted = self._wanted[path] = _Wanted(revision)
        if revision == wanted.revision and host not in wanted.holders:
            wanted.holders.append(host)

    def take_due(self):
        """Return the paths to request now, a dict of lists by host.

        Each of them counts as requested; its timeout starts now.
        """
        due = {}
        for path, wanted in self._wanted.items():
            if now() >= wanted.ask_again_at and wanted.holders:
                wanted.asked = wanted.holders.pop(0)
                wanted.ask_again_at = deadline_after(FETCH_TIMEOUT_SECONDS)
                due.setdefault(wanted.asked, []).append(path)
        return due

    def forget_host(self, host):
        """Remove a disconnected host; what was requested from it is due at another peer."""
        for wanted in self._wanted.values():
            if host in wanted.holders:
                wanted.holders.remove(host)
            if wanted.asked == host:
                wanted.ask_again_at = 0.0

    def done(self, path, revision):
        """Record that the body of `revision` of `path` has arrived, from any peer."""
        wanted = self._wanted.get(path)
        if wanted is not None and revision >= wanted.revision:
            del self._wanted[path]
