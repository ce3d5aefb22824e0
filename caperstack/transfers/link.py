"""What a host's link sustains, and which bodies are large on it."""

from dataclasses import dataclass

__all__ = ["LinkBudget"]

#: Share of the link that bodies may fill.  The rest is left to small messages: calls without a
#: body, answers and load reports.
BODY_SHARE = 0.85

#: Time on the link from which a body counts as large, in seconds.  Every message behind a body
#: waits that long, and nested calls have a tenth of a second for the whole way and their work.
LARGE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class LinkBudget:
    """The part of a host's link that request bodies may use.

    Attributes
    ----------
    link_bytes_per_second : float
        What the link sustains in each direction; 0 if unknown.
    """

    link_bytes_per_second: float = 0.0

    @property
    def bytes_per_second(self):
        """The rate at which bodies may be sent or received, in bytes per second."""
        return self.link_bytes_per_second * BODY_SHARE

    def is_large(self, size, other_bytes_per_second=0.0):
        """Return whether a body holds up other messages noticeably; see `seconds`."""
        return self.seconds(size, other_bytes_per_second) > LARGE_SECONDS

    def seconds(self, size, other_bytes_per_second=0.0):
        """Return how long a body takes at least, in seconds; 0 if no link is known.

        Parameters
        ----------
        size : int
            The size of the body in bytes.
        other_bytes_per_second : float, optional
            The rate of bodies on the other side's link; 0 if unknown.
        """
        known = [rate for rate in (self.bytes_per_second, other_bytes_per_second) if rate]
        return size / min(known) if known else 0.0
