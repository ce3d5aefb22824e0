"""Which bodies are wanted, which peers hold them, and which of these were asked."""

from dataclasses import dataclass, field

from caperstack.clock import deadline_after, now

__all__ = ["FETCH_TIMEOUT_SECONDS", "Fetches"]

#: How long a body that was asked for is waited for before another peer is asked, in
#: seconds: 40 kB over a link of 5 Mbit/s, several at once.
FETCH_TIMEOUT_SECONDS = 0.6


@dataclass(slots=True)
class _Wanted:
    revision: int
    asked: str = ""
    ask_again_at: float = 0.0
    holders: list = field(default_factory=list)


class Fetches:
    """Ask for each wanted body at one peer at a time, and at the next if it does not come.

    Notes
    -----
    A peer that was asked may be killed before it sends, and nobody may tell of that
    revision again: the peers that told of it before are kept, and asked in turn.
    """

    def __init__(self):
        self._wanted = {}

    @property
    def idle(self):
        """Whether nothing is wanted."""
        return not self._wanted

    def add_holder(self, host, path, revision):
        """Note that `host` holds a revision of `path` that is wanted here."""
        wanted = self._wanted.get(path)
        if wanted is None or revision > wanted.revision:
            wanted = self._wanted[path] = _Wanted(revision)
        if revision == wanted.revision and host not in wanted.holders:
            wanted.holders.append(host)

    def take_due(self):
        """Return the paths to ask for now by host, a dict; they count as asked."""
        due = {}
        for path, wanted in self._wanted.items():
            if now() >= wanted.ask_again_at and wanted.holders:
                wanted.asked = wanted.holders.pop(0)
                wanted.ask_again_at = deadline_after(FETCH_TIMEOUT_SECONDS)
                due.setdefault(wanted.asked, []).append(path)
        return due

    def forget_host(self, host):
        """Host `host` is not connected any more: what it was asked for is asked elsewhere."""
        for wanted in self._wanted.values():
            if host in wanted.holders:
                wanted.holders.remove(host)
            if wanted.asked == host:
                wanted.ask_again_at = 0.0

    def done(self, path, revision):
        """A body of that revision has come, from whomever."""
        wanted = self._wanted.get(path)
        if wanted is not None and revision >= wanted.revision:
            del self._wanted[path]
