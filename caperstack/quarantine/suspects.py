"""Which requests were at work when backend servers ended, and what follows from it."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum

from caperstack.calls.model import NotRun
from caperstack.clock import deadline_after, now, time_left

__all__ = ["Clearing", "End", "Suspects", "Suspicion", "Verdict"]

#: Ends of backend servers at which a request was at work, from which on it runs alone
#: among such requests, and from which on it is not sent at all.  A bystander is at
#: one by chance, and at a second where it was repeated beside the culprit; run
#: apart from then on, the culprit alone reaches the third.
ALONE_FROM = 2
QUARANTINED_FROM = 3

#: For how long a request is kept away after its third end, in seconds; twice as
#: long after each further one, up to the longest.  It may then be tried again,
#: alone: the trial costs a server and what runs there, and it ends the quarantine
#: of a request whose fault was mended meanwhile.
QUARANTINE_SECONDS = 300.0
QUARANTINE_SECONDS_MOST = 3600.0

#: How long nothing may be heard of a suspect until it is forgotten, in seconds.
FORGET_SECONDS = 7200.0

#: A request that ran whole here within so many seconds before an end does not
#: bear the blame for it.
SURVIVED_SECONDS = 10.0

#: Requests that are remembered as having run whole; a node answers up to 60 a
#: second, so a request that comes each second is always among them.
SURVIVORS_MOST = 256

#: Suspects and ends of one that are kept: 200 kB at the most.
SUSPECTS_MOST = 512
ENDS_MOST = 8


class Clearing(IntEnum):
    """How far a whole run of the request has cleared it of an end."""

    NONE = 0
    #: It ran whole for another caller.
    OTHERS = 1
    #: It ran whole for the same caller.
    ALL = 2


class Verdict(IntEnum):
    """How a request may be sent."""

    FREE = 0
    ALONE = 1
    QUARANTINED = 2


@dataclass(frozen=True, slots=True)
class End:
    """The end of a backend server, as it bears on one request.

    Attributes
    ----------
    number : int
        Names it among all ends of all servers; a later one has a higher number.
    caller : int
        Hash of who asked for the request that was at work.
    clearing : Clearing
        Whether the request has run whole since.
    """

    number: int
    caller: int
    clearing: int = Clearing.NONE


@dataclass(frozen=True, slots=True)
class Suspicion:
    """All that is known of one request; of two, the union is known."""

    request: int
    ends: tuple


@dataclass(slots=True)
class _Record:
    """What is kept of one request; ``told`` is the verdict that was logged last."""

    ends: dict = field(default_factory=dict)
    quarantined_until: float = 0.0
    forget_at: float = 0.0
    told: int = Verdict.FREE

    def count(self, caller):
        """Return how many ends speak against the request when `caller` asks for it.

        Notes
        -----
        A request may be fatal for one caller only, whose data it needs, or for
        all.  Ends under one caller speak against that caller's requests alone, so
        that others who ask for the same stay served; once it was fatal for two
        and nobody got an answer, it counts for everybody.
        """
        own = sum(e.caller == caller and e.clearing < Clearing.ALL for e in self.ends.values())
        open_ends = [e for e in self.ends.values() if e.clearing == Clearing.NONE]
        shared = len({e.caller for e in open_ends}) > 1
        return max(own, len(open_ends) if shared else 0)

    @property
    def worst(self):
        """The count for the caller against whom most speaks."""
        return max(self.count(caller) for caller in {e.caller for e in self.ends.values()})


class Suspects:
    """Judge requests by the ends of backend servers at which they were at work.

    Notes
    -----
    Failure: a request ends each backend server that runs it, comes again under a
    new id at any node, and is repeated by entries whose call was lost; a service
    loses all its servers again and again.  Each node judges by itself, from the
    ends that owners have told; of two accounts of a request it takes the union,
    so their order does not matter and none is lost by being told twice.

    It suffices since a run that ends whole clears the request, wherever it ran:
    what never ran whole at three ends is either their cause or so rare that
    keeping it away harms nobody else.
    """

    def __init__(self):
        self._records = OrderedDict()
        self._survivors = OrderedDict()
        self._listeners = []
        self._events = None
        self._metrics = None

    async def start(self, kernel):
        """Show how many there are."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._metrics.gauge("suspects", "requests at work when servers ended", self._suspected)
        self._metrics.gauge("quarantined", "requests that are not sent", self._quarantined)

    async def stop(self):
        """Nothing to stop."""

    def listen(self, listener):
        """Call ``listener(request, source)`` when more is known of a request than before."""
        self._listeners.append(listener)

    # -- verdicts ---------------------------------------------------------

    def count(self, fingerprint):
        """Return how many ends of backend servers speak against a request."""
        record = self._records.get(fingerprint.request)
        return 0 if record is None else record.count(fingerprint.caller)

    def verdict(self, fingerprint):
        """Return the `Verdict` on a request."""
        record = self._records.get(fingerprint.request)
        if record is None:
            return Verdict.FREE
        if now() > record.forget_at:
            del self._records[fingerprint.request]
            return Verdict.FREE
        count = record.count(fingerprint.caller)
        if count >= QUARANTINED_FROM and now() < record.quarantined_until:
            return Verdict.QUARANTINED
        return Verdict.ALONE if count >= ALONE_FROM else Verdict.FREE

    def refusal(self, call):
        """Return the `NotRun` for a call that must not be sent, or ``None``."""
        if self.verdict(call.fingerprint) != Verdict.QUARANTINED:
            return None
        wait = time_left(self._records[call.fingerprint.request].quarantined_until)
        return NotRun("request is quarantined: servers ended of it", wait)

    # -- what is learnt ---------------------------------------------------

    def note_end(self, number, fingerprints):
        """A backend server ended while these requests were at work."""
        for fingerprint in fingerprints:
            clearing = self._survived(fingerprint)
            if clearing != Clearing.ALL:
                end = End(number, fingerprint.caller, clearing)
                self.take(Suspicion(fingerprint.request, (end,)))

    def blames(self, number, fingerprint):
        """Return whether that end speaks against a request."""
        record = self._records.get(fingerprint.request)
        return record is not None and number in record.ends

    def note_survival(self, fingerprint):
        """A request ran whole: no end until now was of its making."""
        if not fingerprint.request:
            return
        until = deadline_after(SURVIVED_SECONDS)
        for key in (fingerprint, fingerprint.request):
            self._survivors[key] = until
            self._survivors.move_to_end(key)
        while len(self._survivors) > 2 * SURVIVORS_MOST:
            self._survivors.popitem(last=False)
        record = self._records.get(fingerprint.request)
        if record is not None:
            ends = (
                End(e.number, e.caller, self._cleared(e, fingerprint)) for e in record.ends.values()
            )
            self.take(Suspicion(fingerprint.request, tuple(ends)))

    @staticmethod
    def _cleared(end, fingerprint):
        same = end.caller == fingerprint.caller
        return max(end.clearing, Clearing.ALL if same else Clearing.OTHERS)

    def _survived(self, fingerprint):
        """Return the `Clearing` by runs that ended whole here a short while ago."""
        moment = now()
        if self._survivors.get(fingerprint, 0.0) > moment:
            return Clearing.ALL
        if self._survivors.get(fingerprint.request, 0.0) > moment:
            return Clearing.OTHERS
        return Clearing.NONE

    def take(self, suspicion, source=""):
        """Take over what `source` knows of a request, this node itself if empty.

        Returns
        -------
        bool
            Whether anything of it is news.
        """
        if not suspicion.ends or not suspicion.request:
            return False
        record = self._records.get(suspicion.request)
        held = {} if record is None else record.ends
        ends = _union(held, suspicion.ends)
        if ends == held:
            return False
        if record is None:
            self._make_room()
            record = self._records[suspicion.request] = _Record()
        record.ends = ends
        self._judge(suspicion.request, record, not ends.keys() <= held.keys(), source)
        for listener in self._listeners:
            listener(suspicion.request, source)
        return True

    def _judge(self, request, record, further, source):
        record.forget_at = deadline_after(FORGET_SECONDS)
        self._records.move_to_end(request)
        count = record.worst
        if further and count >= QUARANTINED_FROM:
            seconds = QUARANTINE_SECONDS * 2 ** (count - QUARANTINED_FROM)
            record.quarantined_until = deadline_after(min(QUARANTINE_SECONDS_MOST, seconds))
        told, record.told = record.told, _verdict_at(count)
        if record.told != told:
            self._events.log_state(
                "suspect",
                asks=f"{request:016x}",
                old=Verdict(told).name.lower(),
                new=record.told.name.lower(),
                ends=[f"{number:016x}" for number in record.ends],
                count=count,
                source=source,
                for_s=round(max(0.0, time_left(record.quarantined_until))),
            )

    def _make_room(self):
        if len(self._records) < SUSPECTS_MOST:
            return
        light = (r for r, record in self._records.items() if record.worst < ALONE_FROM)
        del self._records[next(light, next(iter(self._records)))]

    # -- what is told -----------------------------------------------------

    def suspicion(self, request):
        """Return the `Suspicion` on a request, or ``None`` if it is no longer kept."""
        record = self._records.get(request)
        return None if record is None else Suspicion(request, tuple(record.ends.values()))

    def grave(self):
        """Return the suspicions of two ends or more, which a node must know before it sends."""
        records = self._records.items()
        return [self.suspicion(r) for r, record in records if record.worst >= ALONE_FROM]

    def _suspected(self):
        return sum(record.worst > 0 for record in self._records.values())

    def _quarantined(self):
        return sum(record.worst >= QUARANTINED_FROM for record in self._records.values())


def _union(held, ends):
    """Return what is known of a request from both sides, the latest `ENDS_MOST` ends.

    Notes
    -----
    Which ends are kept depends on their numbers alone, not on who heard of them
    first: two nodes would else tell each other for ever what the other has dropped.
    """
    union = dict(held)
    for end in ends:
        known = union.get(end.number)
        if known is None or known.clearing < end.clearing:
            union[end.number] = end
    return {number: union[number] for number in sorted(union)[-ENDS_MOST:]}


def _verdict_at(count):
    if count >= QUARANTINED_FROM:
        return Verdict.QUARANTINED
    return Verdict.ALONE if count >= ALONE_FROM else Verdict.FREE
