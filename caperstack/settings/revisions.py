"""Revisions that stay ordered when the counter behind them is reset to a lower value."""

__all__ = ["ERAS", "NUMBERS", "era_of", "format_revision", "number_of", "make_revision"]

#: Bits of a revision for the counter's value, and above them for the era.
NUMBER_BITS = 40
ERA_BITS = 22

#: Exclusive upper limits of the counter's value and of the era.
NUMBERS = 1 << NUMBER_BITS
ERAS = 1 << ERA_BITS


def make_revision(era, number):
    """Return the revision that orders by `era` first, then by `number`.

    Parameters
    ----------
    era : int
        How many times the counter has been reset, below `ERAS`.
    number : int
        The counter's value, below `NUMBERS`.

    Notes
    -----
    A store that loses its last writes continues from an older counter value.  Without
    the era, later writes would look older than what the nodes hold and would be
    ignored until the counter has caught up.

    References
    ----------
    .. [1] Junqueira, Reed, Serafini: "Zab: High-performance broadcast for
       primary-backup systems", DSN 2011.  Its transaction ids also place the epoch
       above the counter.
    """
    return era << NUMBER_BITS | number


def era_of(revision):
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision):
    """Return the counter's value in a revision."""
    return revision % NUMBERS


def format_revision(revision):
    """Return a revision as readable text: ``revision 17``, ``revision 17 of era 2``."""
    era = era_of(revision)
    return f"revision {number_of(revision)}" + (f" of era {era}" if era > 0 else "")
