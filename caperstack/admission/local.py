"""In-process route to the owner."""

__all__ = ["LocalOwner"]


class LocalOwner:
    """In-process route to the owner, for an entry whose own server gets the call.

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

    def touch(self):
        """Do nothing, since there is no connection to open."""

    def freshen(self, estimate):
        """Update `estimate` with the exact load, which is available at no cost."""
        estimate.update_load(self._owner.load)
