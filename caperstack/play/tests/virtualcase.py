"""Decorator of tests that run in virtual time."""

import functools

__all__ = ["in_virtual_time"]


def in_virtual_time(test):
    """Let the coroutine `test` of a test case run by its ``play``."""
    return functools.wraps(test)(lambda case: case.play(lambda: test(case)))
