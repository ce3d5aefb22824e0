"""Calls from an entry to the owner in the same process."""

__all__ = ["LocalOwner"]


class LocalOwner:
    """Counterpart of `caperstack.peers.link.Link` for the owner in the entry's own process.

    Parameters
    ----------
    owner : caperstack.admission.owner.Owner
        The owner in this process.
    """

    def __init__(self, owner):
        self._owner = owner

    @property
    def usable(self):
        """Always true, since the owner itself refuses what it cannot run."""
        return True

    async def run(self, call):
        """Run `call` and return its outcome."""
        return await self._owner.run(call)

    async def resolve(self, call):
        """Return the outcome of a call whose `run` was interrupted."""
        return await self._owner.revoke(call.origin, call.id, call.sent_at)

    def end_by(self, _end_at):
        """Do nothing, since the owner itself refuses the calls that wait when it leaves."""

    def touch(self):
        """Do nothing, since there is no connection to open."""

    def freshen(self, estimate):
        """Update `estimate` with the exact load, which is known in this process."""
        estimate.update_load(self._owner.load)
