"""Garbage collection that does not stop the loop."""

import gc

__all__ = ["configure_garbage_collector"]

#: New objects between two runs of the youngest generation's collector.
YOUNG_GENERATION_THRESHOLD = 20_000


def configure_garbage_collector():
    """Keep the garbage collector from scanning what is alive for good.

    Notes
    -----
    What is alive after the start stays alive: scanning it again and again for
    garbage stops the loop for milliseconds, which shows in the tail.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD, 20, 50)
