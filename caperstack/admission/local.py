"""The way to the owner in this process."""

__all__ = ["LocalOwner"]


class LocalOwner:
    """The way to the owner in this process."""

    def __init__(self, owner):
        self._owner = owner

    @property
    def usable(self):
        """Always: the owner refuses by itself what it cannot run."""
        return True

    async def run(self, call):
        """Return the outcome of `call`."""
        return await self._owner.run(call)

    async def resolve(self, call):
        """Return how a call ended whose `run` was broken off."""
        return await self._owner.revoke(call.origin, call.id, call.sent_at)

    def touch(self):
        """Nothing to open."""

    def freshen(self, estimate):
        """Tell `estimate` the exact load, which costs nothing here."""
        estimate.update_load(self._owner.load)
