"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors

from caperstack.clock import use_source
from caperstack.exception import CaperstackError

__all__ = ["run_virtual"]

#: Where the virtual clock begins, in seconds; well above zero, since a point in
#: time of 0 means "never" in several places.
START_SECONDS = 1000.0


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances the clock by the time it was to wait."""

    def __init__(self):
        super().__init__()
        self.seconds = START_SECONDS

    def select(self, timeout=None):
        """Jump; there is nothing to wait for but timers."""
        if timeout is None:
            raise CaperstackError("everything waits and no timer is set", step="play")
        self.seconds += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self):
        """Return the virtual time."""
        return self._clock.seconds


def run_virtual(create_coroutine):
    """Run the coroutine that ``make()`` returns in virtual time and return its result.

    Everything that reads `caperstack.clock` sees the virtual time meanwhile. Nothing
    in it may use sockets, threads or processes.

    Raises
    ------
    CaperstackError
        If all tasks wait for something that no timer will bring about.
    """
    loop = _VirtualLoop()
    with use_source(loop.time), asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(_await_coroutine(create_coroutine))


async def _await_coroutine(create_coroutine):
    return await create_coroutine()
