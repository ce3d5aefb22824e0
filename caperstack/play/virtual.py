"""An event loop in virtual time, whose clock jumps to the next timer."""

import asyncio
import selectors

from caperstack.clock import use_source
from caperstack.exception import CaperstackError

__all__ = ["run_virtual"]

#: Initial virtual time in seconds. It is well above zero because several modules
#: use the time 0 for "never".
START_SECONDS = 1000.0


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock by the timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.seconds = START_SECONDS

    def select(self, timeout=None):
        """Advance the clock by `timeout` and return no events; only timers are supported."""
        if timeout is None:
            raise CaperstackError("all tasks wait and no timer is pending", step="play")
        self.seconds += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self):
        """Return the virtual time in seconds."""
        return self._clock.seconds


def run_virtual(create_coroutine):
    """Run a coroutine in virtual time and return its result.

    Parameters
    ----------
    create_coroutine : callable
        ``create_coroutine()`` returns the coroutine. It must not use sockets, threads
        or processes.

    Raises
    ------
    CaperstackError
        If all tasks wait and no timer is pending.

    Notes
    -----
    `caperstack.clock` returns the virtual time while the coroutine runs.
    """
    loop = _VirtualLoop()
    with use_source(loop.time), asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(_await_coroutine(create_coroutine))


async def _await_coroutine(create_coroutine):
    return await create_coroutine()
