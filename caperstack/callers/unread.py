"""Decide which callers that do not read their answers are disconnected."""

from collections import OrderedDict
from dataclasses import dataclass
from itertools import takewhile

from caperstack.clock import now

__all__ = ["UnreadAnswer", "UnreadAnswers"]

#: Share of the limit on request bodies beyond which stalled callers are disconnected.
#: Bodies and answers are counted apart, so that callers that do not read cause no refusals
#: of uploads.
STALLED_SHARE = 0.5

#: Time without progress after which a caller counts as stalled, in seconds.  Callers that
#: read need less, also when the node is busy or answers many of them at once.
STALLED_SECONDS = 2.0


@dataclass(slots=True)
class UnreadAnswer:
    """An answer that its caller has not read completely.

    Attributes
    ----------
    held_bytes : int
        Size of the answer, all of which is held until the caller has read it.
    unread_bytes : int
        Bytes that the caller had not acknowledged at the last observation.
    progress_at : float
        Time on the local monotonic clock at which progress was last observed.
    """

    held_bytes: int
    unread_bytes: int
    progress_at: float


class UnreadAnswers:
    """The answers that callers have not read yet, ordered by the time of the last progress.

    Parameters
    ----------
    limits : caperstack.config.start.LimitSettings or caperstack.config.node.Limits
        ``unread_seconds`` and ``bodies_bytes`` are used.

    Attributes
    ----------
    held_bytes : int
        Total size of the answers.

    Notes
    -----
    This answers the load of callers that send requests and read their answers slowly or not
    at all.  Any progress counts, since a slow caller still gets its answer.  The time
    without progress is limited as the time for sending a request is.  Where memory runs out
    earlier, those that have made no progress for longest give way: from half of
    ``bodies_bytes`` on only stalled ones, as a burst of large answers is no reason to
    break any of them off, and from ``bodies_bytes`` on any.

    Examples
    --------
    >>> from caperstack.config.node import Limits
    >>> answers = UnreadAnswers(Limits(bodies_bytes=500))
    >>> for caller in ("a", "b"):
    ...     answers.observe(caller, 300, 300)
    >>> list(answers.excess())
    ['a']
    """

    def __init__(self, limits):
        self._limits = limits
        self._answers = OrderedDict()
        self.held_bytes = 0

    def __len__(self):
        return len(self._answers)

    def __iter__(self):
        """Iterate over the callers, the one without progress for longest first."""
        return iter(tuple(self._answers))

    def observe(self, caller, held_bytes, unread_bytes):
        """Record how much of an answer is unread; a change since the last time is progress.

        Parameters
        ----------
        caller : hashable
            Identifies the answer.
        held_bytes : int
            Size of the answer.
        unread_bytes : int
            Bytes that the caller has not acknowledged.
        """
        answer = self._answers.get(caller)
        if answer is None:
            self._answers[caller] = UnreadAnswer(held_bytes, unread_bytes, now())
            self.held_bytes += held_bytes
        elif unread_bytes != answer.unread_bytes:
            answer.unread_bytes = unread_bytes
            answer.progress_at = now()
            self._answers.move_to_end(caller)

    def remove(self, caller):
        """Forget an answer, and return its `UnreadAnswer`; ``None`` if there is none."""
        answer = self._answers.pop(caller, None)
        if answer is not None:
            self.held_bytes -= answer.held_bytes
        return answer

    def overdue(self):
        """Yield the callers that have made no progress for ``unread_seconds``."""
        for caller, _ in tuple(self._stalled_since(now() - self._limits.unread_seconds)):
            yield caller

    def stalled_excess(self):
        """Yield the stalled callers to disconnect so that `held_bytes` is within their limit.

        All callers must have been observed just before: after a pause of the node those that
        have read in the meantime would be taken for stalled.
        """
        stalled = self._stalled_since(now() - STALLED_SECONDS)
        yield from self._beyond(self._limits.bodies_bytes * STALLED_SHARE, stalled)

    def excess(self):
        """Yield the callers to disconnect so that `held_bytes` is within ``bodies_bytes``."""
        yield from self._beyond(self._limits.bodies_bytes, self._answers.items())

    def _stalled_since(self, moment):
        """Return the callers without progress since `moment`, with their answers."""
        return takewhile(lambda pair: pair[1].progress_at <= moment, self._answers.items())

    def _beyond(self, max_bytes, answers):
        """Yield as many callers of `answers` as exceed `max_bytes`, the first ones first.

        The caller with the latest progress is never among them: a single answer that is
        larger than the limit would otherwise never be delivered.
        """
        held = self.held_bytes
        if held <= max_bytes:
            return
        latest = next(reversed(self._answers))
        for caller, answer in tuple(answers):
            if held <= max_bytes or caller == latest:
                return
            held -= answer.held_bytes
            yield caller
