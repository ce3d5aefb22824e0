"""Revisions that stay in order when the counter they come from is set back."""

__all__ = ["ERAS", "NUMBERS", "era_of", "format_revision", "number_of", "make_revision"]

#: Bits of a revision for the counter's own value, and for the era above them.
NUMBER_BITS = 40
ERA_BITS = 22

#: Numbers and eras are below these.
NUMBERS = 1 << NUMBER_BITS
ERAS = 1 << ERA_BITS


def make_revision(era, number):
    """Return the revision that orders by `era` first, then by `number`.

    Parameters
    ----------
    era : int
        How often the counter has been set back, below `ERAS`.
    number : int
        The counter's value, below `NUMBERS`.

    Notes
    -----
    Failure: a store loses its last writes and counts on from an older revision.
    What is written then looks older than what is held, and is ignored until the
    count has caught up.

    References
    ----------
    .. [1] Junqueira, Reed, Serafini: "Zab: High-performance broadcast for
       primary-backup systems", DSN 2011; its transaction ids put the epoch above
       the counter alike.
    """
    return era << NUMBER_BITS | number


def era_of(revision):
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision):
    """Return the counter's value in a revision."""
    return revision % NUMBERS


def format_revision(revision):
    """Return a revision as a person reads it: ``revision 17``, ``revision 17 of era 2``."""
    era = era_of(revision)
    return f"revision {number_of(revision)}" + (f" of era {era}" if era > 0 else "")
