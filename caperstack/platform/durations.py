"""The platform's format of durations: a number and the unit ``ms`` or ``s``."""

from caperstack.exception import ConfigurationError

__all__ = ["parse_duration"]

_UNITS = (("ms", 0.001), ("s", 1.0))


def parse_duration(text, field=""):
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    Parameters
    ----------
    text : str
        The duration.
    field : str, optional
        The field that holds it, for the error message.

    Raises
    ------
    ConfigurationError
        Naming `field`, if `text` is not a duration or is negative.

    Examples
    --------
    >>> parse_duration("1500ms"), parse_duration("2.5s")
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
