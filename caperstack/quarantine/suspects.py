"""Requests that were running when backend servers crashed, and how they may be sent."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import IntEnum

from caperstack.calls.model import NotRun
from caperstack.clock import deadline_after, now, time_left

__all__ = ["Clearing", "Crash", "Suspects", "Suspicion", "Verdict"]

#: A request that was running at this many server crashes is isolated (sent to a server
#: that runs one such request at a time) or quarantined (not sent at all).  An unrelated
#: request may be running at one crash by chance, and at a second if it was retried at
#: the same server as the cause.  With isolation only the cause reaches the third.  Runs
#: that began before the owner knew of the second crash are not isolated, so the request
#: is quarantined only if it ran in isolation at one of the crashes.
MIN_CRASHES_ALONE = 2
MIN_CRASHES_QUARANTINED = 3

#: Duration of the quarantine after the third crash in seconds; it doubles with each
#: further crash up to the maximum.  Afterwards the request is sent again in isolation.
#: That trial may crash a server and lose all calls on it, but it ends the quarantine of
#: a request whose fault has been fixed.
QUARANTINE_SECONDS = 300.0
MAX_QUARANTINE_SECONDS = 3600.0

#: A suspect without new information for this time is dropped, in seconds.
SUSPECT_TTL_SECONDS = 7200.0

#: A request that completed on this node within this time before a crash is not
#: blamed for the crash, in seconds.
COMPLETION_VALID_SECONDS = 10.0

#: Number of completed requests that are remembered.  A node answers up to 60 calls per
#: second, so a request that completes every second is always among them.
MAX_COMPLETIONS = 256

#: Number of suspects that are kept, and of crashes per suspect; together at most 200 kB.
MAX_SUSPECTS = 512
MAX_CRASHES_PER_SUSPECT = 8


class Clearing(IntEnum):
    """How far a completed run of the request has cleared it of a crash."""

    NONE = 0
    #: It completed for another caller.
    OTHERS = 1
    #: It completed for the same caller.
    ALL = 2


class Verdict(IntEnum):
    """How a request may be sent."""

    #: Like any other request.
    FREE = 0
    #: In isolation: once, to a server that runs one such request at a time.
    ALONE = 1
    #: Not at all.
    QUARANTINED = 2


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of a backend server, as recorded for one request.

    Attributes
    ----------
    number : int
        Identifies the crash among those of all servers; a later one has a higher number.
    caller : int
        Hash of the caller of the request that was running.
    clearing : Clearing
        How far a completed run has cleared the request of this crash.
    isolated : bool
        Whether the request was the only suspect of at least `MIN_CRASHES_ALONE` crashes
        that was running, and was sent as such.
    """

    number: int
    caller: int
    clearing: int = Clearing.NONE
    isolated: bool = True


@dataclass(frozen=True, slots=True)
class Suspicion:
    """All crashes known for one request; two suspicions are merged as a union.

    Attributes
    ----------
    request : int
        Hash of the request.
    ends : tuple of Crash
        The crashes.
    """

    request: int
    ends: tuple


@dataclass(slots=True)
class _Record:
    """The state of one suspect.

    Attributes
    ----------
    ends : dict
        Each `Crash` by its number.
    quarantined_until, expires_at : float
        Times of the clock in seconds.
    logged_verdict : Verdict
        The last verdict in the log.
    """

    ends: dict = field(default_factory=dict)
    quarantined_until: float = 0.0
    expires_at: float = 0.0
    logged_verdict: int = Verdict.FREE

    def count(self, caller):
        """Return how many crashes count against the request when `caller` sends it.

        Notes
        -----
        A request may crash servers for one caller only, whose data it needs, or for
        all callers.  Crashes for one caller count against that caller alone, so that
        the same request of others is still served.  Once it has crashed servers for
        two callers and nobody has got an answer, the crashes count for everybody.
        """
        crashes = self.ends.values()
        own = [c for c in crashes if c.caller == caller and c.clearing < Clearing.ALL]
        uncleared = [c for c in crashes if c.clearing == Clearing.NONE]
        shared = len({c.caller for c in uncleared}) > 1
        return max(_counted(own), _counted(uncleared) if shared else 0)

    @property
    def max_count(self):
        """The highest count among the callers."""
        return max(self.count(caller) for caller in {c.caller for c in self.ends.values()})


class Suspects:
    """Decide how requests may be sent, by the crashes during which they were running.

    Notes
    -----
    A request that crashes every backend server that runs it may arrive again under a
    new id at any node, and entries retry a call whose answer was lost.  Without
    quarantine a service would lose all its servers again and again.

    Each node decides on its own, from the crashes that owners report.  Reports on a
    request are merged as a union, so neither their order nor repetition matters.
    A completed run clears the request, wherever it ran.  A request that was running
    at three crashes, in isolation at one of them, and never completed is therefore either
    their cause, or so rare that refusing it affects nobody else.
    """

    def __init__(self):
        self._records = OrderedDict()
        self._completions = OrderedDict()
        self._listeners = []
        self._events = None
        self._metrics = None

    async def start(self, kernel):
        """Look up the services needed, and register the gauges."""
        self._events = kernel.find("events")
        self._metrics = kernel.find("metrics")
        self._metrics.gauge("suspects", "requests at work when servers ended", self._suspected)
        self._metrics.gauge("quarantined", "requests that are not sent", self._quarantined)

    async def stop(self):
        """Do nothing; there are no resources to release."""

    def listen(self, listener):
        """Call ``listener(request, source)`` when new information on a request arrives."""
        self._listeners.append(listener)

    # -- verdicts ---------------------------------------------------------

    def count(self, fingerprint):
        """Return how many crashes count against a request."""
        record = self._records.get(fingerprint.request)
        return 0 if record is None else record.count(fingerprint.caller)

    def verdict(self, fingerprint):
        """Return the `Verdict` on a request."""
        record = self._records.get(fingerprint.request)
        if record is None:
            return Verdict.FREE
        if now() > record.expires_at:
            del self._records[fingerprint.request]
            return Verdict.FREE
        count = record.count(fingerprint.caller)
        if count >= MIN_CRASHES_QUARANTINED and now() < record.quarantined_until:
            return Verdict.QUARANTINED
        return Verdict.ALONE if count >= MIN_CRASHES_ALONE else Verdict.FREE

    def refusal(self, call):
        """Return the `NotRun` for a call whose request is quarantined, or ``None``."""
        if self.verdict(call.fingerprint) != Verdict.QUARANTINED:
            return None
        wait = time_left(self._records[call.fingerprint.request].quarantined_until)
        return NotRun("request is quarantined: servers ended of it", wait)

    # -- updates ----------------------------------------------------------

    def record_crash(self, number, fingerprints, isolated=None):
        """Record the crash of a backend server while these requests were running.

        Parameters
        ----------
        number : int
            Identifies the crash.
        fingerprints : iterable of caperstack.calls.fingerprint.Fingerprint
            The requests that were running, as far as known.
        isolated : collection of int, optional
            Hashes of the requests among them that were sent in isolation; all of them by
            default.

        Notes
        -----
        A request sent in isolation may still have run beside another suspect, whose run
        began earlier.  Such a crash does not tell which of them caused it.
        """
        fingerprints = list(fingerprints)
        requests = {f.request for f in fingerprints}
        if isolated is None:
            alone = requests
        else:
            restricted = {request for request in requests if self._is_restricted(request)}
            alone = {request for request in isolated if restricted <= {request}}
        for fingerprint in fingerprints:
            clearing = self._clearing_by_completions(fingerprint)
            if clearing != Clearing.ALL:
                request = fingerprint.request
                crash = Crash(number, fingerprint.caller, clearing, request in alone)
                self.take(Suspicion(request, (crash,)))

    def _is_restricted(self, request):
        record = self._records.get(request)
        return record is not None and record.max_count >= MIN_CRASHES_ALONE

    def implicates(self, number, fingerprint):
        """Return whether crash `number` is recorded for a request."""
        record = self._records.get(fingerprint.request)
        return record is not None and number in record.ends

    def record_completion(self, fingerprint):
        """Record that a request completed, which clears it of earlier crashes."""
        if not fingerprint.request:
            return
        until = deadline_after(COMPLETION_VALID_SECONDS)
        for key in (fingerprint, fingerprint.request):
            self._completions[key] = until
            self._completions.move_to_end(key)
        while len(self._completions) > 2 * MAX_COMPLETIONS:
            self._completions.popitem(last=False)
        record = self._records.get(fingerprint.request)
        if record is not None:
            crashes = (
                replace(c, clearing=self._cleared(c, fingerprint)) for c in record.ends.values()
            )
            self.take(Suspicion(fingerprint.request, tuple(crashes)))

    @staticmethod
    def _cleared(crash, fingerprint):
        """Return the `Clearing` of `crash` after the request completed for a caller."""
        same = crash.caller == fingerprint.caller
        return max(crash.clearing, Clearing.ALL if same else Clearing.OTHERS)

    def _clearing_by_completions(self, fingerprint):
        """Return how far recent completed runs on this node clear the request."""
        moment = now()
        if self._completions.get(fingerprint, 0.0) > moment:
            return Clearing.ALL
        if self._completions.get(fingerprint.request, 0.0) > moment:
            return Clearing.OTHERS
        return Clearing.NONE

    def take(self, suspicion, source=""):
        """Merge a `suspicion` from the peer `source`, or from this node if that is empty.

        Returns
        -------
        bool
            Whether the suspicion contained anything new.
        """
        if not suspicion.ends or not suspicion.request:
            return False
        record = self._records.get(suspicion.request)
        held = {} if record is None else record.ends
        ends = _merge(held, suspicion.ends)
        if ends == held:
            return False
        if record is None:
            self._make_room()
            record = self._records[suspicion.request] = _Record()
        record.ends = ends
        self._update_verdict(suspicion.request, record, _has_new_evidence(held, ends), source)
        for listener in self._listeners:
            listener(suspicion.request, source)
        return True

    def _update_verdict(self, request, record, has_new_evidence, source):
        record.expires_at = deadline_after(SUSPECT_TTL_SECONDS)
        self._records.move_to_end(request)
        count = record.max_count
        if has_new_evidence and count >= MIN_CRASHES_QUARANTINED:
            seconds = QUARANTINE_SECONDS * 2 ** (count - MIN_CRASHES_QUARANTINED)
            record.quarantined_until = deadline_after(min(MAX_QUARANTINE_SECONDS, seconds))
        previous, record.logged_verdict = record.logged_verdict, _verdict_at(count)
        if record.logged_verdict != previous:
            self._events.log_state(
                "suspect",
                asks=f"{request:016x}",
                old=Verdict(previous).name.lower(),
                new=record.logged_verdict.name.lower(),
                ends=[f"{number:016x}" for number in record.ends],
                count=count,
                source=source,
                for_s=round(max(0.0, time_left(record.quarantined_until))),
            )

    def _make_room(self):
        if len(self._records) < MAX_SUSPECTS:
            return
        unrestricted = (
            request
            for request, record in self._records.items()
            if record.max_count < MIN_CRASHES_ALONE
        )
        del self._records[next(unrestricted, next(iter(self._records)))]

    # -- reports to peers -------------------------------------------------

    def suspicion(self, request):
        """Return the `Suspicion` on a request, or ``None`` if it has been dropped."""
        record = self._records.get(request)
        return None if record is None else Suspicion(request, tuple(record.ends.values()))

    def restricted(self):
        """Return the suspicions on requests that are isolated or quarantined."""
        records = self._records.items()
        return [self.suspicion(r) for r, record in records if record.max_count >= MIN_CRASHES_ALONE]

    def _suspected(self):
        return sum(record.max_count > 0 for record in self._records.values())

    def _quarantined(self):
        return sum(record.max_count >= MIN_CRASHES_QUARANTINED for record in self._records.values())


def _merge(held, ends):
    """Return the union of `held` and `ends`, limited to the latest crashes.

    Notes
    -----
    At most `MAX_CRASHES_PER_SUSPECT` are kept.  Which ones depends on their numbers
    alone, not on the order of arrival.  Otherwise two nodes would forever send each
    other the crashes that the other has dropped.
    """
    union = dict(held)
    for crash in ends:
        known = union.get(crash.number)
        if known is None:
            union[crash.number] = crash
        else:
            base = crash if known.clearing < crash.clearing else known
            union[crash.number] = replace(base, isolated=known.isolated or crash.isolated)
    return {number: union[number] for number in sorted(union)[-MAX_CRASHES_PER_SUSPECT:]}


def _has_new_evidence(held, ends):
    """Return whether `ends` has a crash that `held` lacks, or knows as one in isolation."""
    return any(
        number not in held or (crash.isolated and not held[number].isolated)
        for number, crash in ends.items()
    )


def _counted(crashes):
    """Return how many of `crashes` count: without one in isolation, not enough to quarantine."""
    if any(crash.isolated for crash in crashes):
        return len(crashes)
    return min(len(crashes), MIN_CRASHES_ALONE)


def _verdict_at(count):
    if count >= MIN_CRASHES_QUARANTINED:
        return Verdict.QUARANTINED
    return Verdict.ALONE if count >= MIN_CRASHES_ALONE else Verdict.FREE
