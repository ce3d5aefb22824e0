"""What an entry knows for free of each backend server."""

from caperstack.calls.model import SLOW_PHASE_LEFT_SECONDS, SLOWED_PACE, Load, ServerState
from caperstack.clock import deadline_after, now

__all__ = ["Estimate"]

#: How long calls in flight and waiting, as told by a load that rode back, are
#: trusted, in seconds; and how long the service time in it is.
LOAD_SECONDS = 0.5
SERVICE_SECONDS = 5.0

#: How long the pace of a host that was told, against its usual one, is trusted,
#: in seconds; longer than the silence after which a link counts as dead.
PACE_SECONDS = 2.0

#: How much a full server without a queue counts worse than an empty one.
EMPTIER = 0.2

#: A service time counts as slowed from this many usual ones on; less is chance.
SLOWED = 2.5

#: How much longer work takes at a cold server, in usual service times.
COLD_USUALS = 1.0

#: Own calls that may be out to a server of which nothing is known lately.
EXPLORERS = 2

#: How often the published report is taken over, in seconds; for the baselines.
PUBLISHED_SECONDS = 1.0

#: Results that make a server's failures count, and the share that ejects it.
EJECT_AFTER = 5
EJECT_SHARE = 0.5
EJECT_SECONDS = 1.0
EJECT_SECONDS_MOST = 30.0

OWN_WEIGHT = 0.2

#: The limit that is assumed before the first report.
FIRST_LIMIT = 20


#: A body of so many bytes or more is sent only when the owner is about to run the
#: call, once at least this share of the calls to that owner was refused lately.
WITHHELD_BYTES = 1024
WITHHELD_SHARE = 0.1

#: Weight of one call in the share of refused ones.
REFUSED_WEIGHT = 0.2


class Estimate:
    """An entry's view of one backend server: own calls, and loads that rode back.

    Attributes
    ----------
    in_flight : int
        This entry's own calls there.
    """

    def __init__(self):
        self.in_flight = 0
        self._load = Load(limit=FIRST_LIMIT)
        self.restart()

    def restart(self):
        """Another backend server, or another start of it, is there: forget all but own calls.

        Notes
        -----
        Failure: a backend server that failed, or drained, starts again; it is
        left alone for as long as its former run was to rest.
        """
        self._load = Load(limit=self._load.limit)
        self._own_at_load = self.in_flight
        self._heard_at = 0.0
        self._published = 0
        self._published_until = 0.0
        self._refused = 0.0
        self._refused_at = 0.0
        self._failing = 0.0
        self._result_at = 0.0
        self._results = 0
        self._ejected_until = 0.0
        self._ejections = 0

    @property
    def state(self):
        """The last `ServerState` heard."""
        return self._load.state

    @property
    def published(self):
        """The published report, up to a second older than the owner's copy."""
        return self._published

    @property
    def age_ms(self):
        """How old the last load heard is, in milliseconds; ``None`` before the first."""
        return round((now() - self._heard_at) * 1000) if self._heard_at else None

    @property
    def slowed(self):
        """Whether the host is so slow at this moment that its owner would refuse."""
        return self._pace() >= SLOWED_PACE

    @property
    def told_seconds(self):
        """The service time last told by the owner, in seconds; ``None`` if it knows none."""
        return self._load.service_us / 1e6 or None

    @property
    def ejected(self):
        """Whether the server fails so often that it should rest."""
        return now() < self._ejected_until

    @property
    def failing(self):
        """The share of recent calls that failed, from 0 to 1.

        Notes
        -----
        What this entry has seen fades like what it was told: a server that is well
        again shows it only by calls, and gets none while others look better.
        """
        own = self._failing * _fading(self._result_at, SERVICE_SECONDS)
        return max(own, self._load.failing / 100 * self._trust(SERVICE_SECONDS))

    def _trust(self, seconds):
        """Return the trust in what was heard, fading from 1 to 0 over `seconds`."""
        return _fading(self._heard_at, seconds)

    def expected_seconds(self, usual):
        """Return the expected seconds from arrival to answer.

        Parameters
        ----------
        usual : float
            The service's usual time in seconds, which stands in where no
            report is trusted any more.

        Notes
        -----
        Calls of other entries fade as the report that told of them ages; own
        calls are known exactly.  A server that nobody called lately drifts
        back to the usual time, so it is tried again.
        """
        crowding = self._crowding()
        usable = max(0.05, 1.0 - self.failing)
        service = self._service_seconds(usual)
        preference = EMPTIER * min(1.0, crowding)
        held = SLOW_PHASE_LEFT_SECONDS if self.slowed else 0.0
        if self.state == ServerState.COLD:
            held += COLD_USUALS * usual
        return held + service * (max(1.0, crowding) + preference) / usable**2

    def expected_wait(self, usual):
        """Return the expected seconds from arrival until a slot is free."""
        return self._service_seconds(usual) * max(0.0, self._crowding() - 1.0)

    def _service_seconds(self, usual):
        # Failure: with heavy-tailed service times the averages of equal servers
        # differ by half from moment to moment; all entries ran to the one that
        # looked quickest and queued there while the others had free slots.
        told = self._load.service_us / 1e6
        if told < SLOWED * usual:
            return usual
        trust = self._trust(SERVICE_SECONDS)
        return trust * told + (1 - trust) * usual

    def _pace(self):
        # An owner tells each change of its host's pace at once, so the last
        # one told holds for as long as the owner is heard of at all.
        if now() - self._heard_at > PACE_SECONDS:
            return 1.0
        return self._load.pace / 100

    def _crowding(self):
        # Failure: nothing is known lately of a server that has become slow, so
        # it looks free, and each entry sends it a dozen calls before the first
        # answer tells.  Until something is heard, two calls make it look full.
        load = self._load
        trust = self._trust(LOAD_SECONDS)
        if not trust:
            return (self.in_flight + 1) / EXPLORERS
        others = max(0, load.in_flight + load.queued - self._own_at_load)
        return (self.in_flight + others * trust + 1) / max(1, load.limit)

    def begin(self):
        """Note that a call goes there."""
        self.in_flight += 1

    def end(self):
        """Note that a call ended."""
        self.in_flight -= 1

    def take_load(self, load):
        """Note the `Load` that came from the owner."""
        self._load = load
        self._own_at_load = self.in_flight
        self._heard_at = now()
        if now() >= self._published_until:
            self._published = load.published
            self._published_until = deadline_after(PUBLISHED_SECONDS)

    def mark_down(self):
        """Note that the owner cannot be reached."""
        self._load.state = ServerState.DOWN

    def withholds(self, size):
        """Return whether to keep a body of `size` bytes until the owner asks for it.

        Notes
        -----
        Under overload one call is refused by several owners.  Bodies that come with
        each of these offers fill the link of a host that can't run them, and hold up
        what it does run.
        """
        refused = self._refused * _fading(self._refused_at, SERVICE_SECONDS)
        return size >= WITHHELD_BYTES and refused >= WITHHELD_SHARE

    def take_admission(self, refused):
        """Note whether the owner refused a call."""
        self._refused += REFUSED_WEIGHT * (refused - self._refused)
        self._refused_at = now()

    def take_result(self, failed):
        """Note whether a call that ran there failed; eject after too many."""
        self._failing += OWN_WEIGHT * (failed - self._failing)
        self._result_at = now()
        self._results += 1
        if not failed:
            self._ejections = 0
            return False
        if self._results < EJECT_AFTER or self._failing < EJECT_SHARE or self.ejected:
            return False
        self._ejections += 1
        seconds = min(EJECT_SECONDS_MOST, EJECT_SECONDS * 2 ** (self._ejections - 1))
        self._ejected_until = deadline_after(seconds)
        return True


def _fading(at, seconds):
    """Return how much what was seen at a point still counts, from 1 down to 0 over `seconds`."""
    return max(0.0, 1.0 - (now() - at) / seconds)
