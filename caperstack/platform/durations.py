"""Durations as the platform writes them: a number and ``ms`` or ``s``."""

from caperstack.exception import ConfigurationError

__all__ = ["parse_duration"]

_UNITS = (("ms", 0.001), ("s", 1.0))


def parse_duration(text, field=""):
    """Return the seconds in a text such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ConfigurationError
        Naming `field`, if it is no such text or below zero.

    Examples
    --------
    >>> seconds_of("1500ms"), seconds_of("2.5s")
    (1.5, 2.5)
    """
    for unit, factor in _UNITS:
        if isinstance(text, str) and text.endswith(unit):
            try:
                value = float(text[: -len(unit)])
            except ValueError:
                break
            if value >= 0:
                return value * factor
            break
    raise ConfigurationError(f"not a duration: {text!r}", step="duration", peer=field)
