"""Keepers: remember which idempotency keys have been claimed, for a window."""

import hashlib
import uuid
from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

import xxhash

from caperstack.clock import deadline_after, now, wall_microseconds

__all__ = [
    "KEEPERS_PER_KEY",
    "Keeper",
    "Verdict",
    "creation_microseconds",
    "fingerprint",
    "keepers_of",
    "majority",
]

#: Keepers of one key; a majority of them must grant it.
KEEPERS_PER_KEY = 3

#: Keys that one keeper remembers; a further one is not granted.
MAX_RECORDS = 200_000

#: How much longer an unsettled claim is kept than the window, in seconds: the
#: longest deadline that a route may have.
MAX_CALL_SECONDS = 300.0

#: How far the clocks of callers and hosts may be apart, in seconds.
MAX_CLOCK_SKEW_SECONDS = 2.0


class Verdict(IntEnum):
    """What a keeper says to a claim."""

    GRANTED = 0
    RUNNING = 1
    RAN = 2
    OTHER_REQUEST = 3
    FULL = 4


@dataclass(slots=True)
class _Record:
    holder: int
    fingerprint: int
    ran: bool
    forget_at: float
    window: float


@dataclass(slots=True)
class _MembershipView:
    since: float
    hosts: dict


def majority(count):
    """Return how many of `count` keepers make a majority."""
    return count // 2 + 1


def keepers_of(key, hosts):
    """Return the keepers of `key` among `hosts`, by rendezvous hashing.

    References
    ----------
    .. [1] Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
       Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    ranked = sorted(hosts, key=lambda host: xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode()))
    return ranked[:KEEPERS_PER_KEY]


def creation_microseconds(key):
    """Return when a UUID version 7 was made, in microseconds; 0 for other keys.

    References
    ----------
    .. [1] RFC 9562, section 5.7.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return 0
    return (value.int >> 80) * 1000 if value.version == 7 else 0


def fingerprint(method, target, body):
    """Return a number that tells requests under one key apart."""
    digest = hashlib.blake2b(digest_size=7)
    digest.update(f"{method} {target}\n".encode())
    digest.update(body)
    return int.from_bytes(digest.digest())


class Keeper:
    """Grant each key once, and vouch for it only where nothing can be forgotten.

    Notes
    -----
    Each claim goes to the three keepers of its key, and runs if a majority
    grants it *and vouches*.  Two such majorities share a keeper, and a keeper
    that vouches has forgotten nothing since before the key's first use: it
    would not grant a second time.  A keeper vouches only if

    - it has run since before the key can have been used first, and
    - in all views of the membership that it held since then it was a keeper
      of the key, and fewer than a majority of the keepers have been replaced;
    - the one who asks sees the same keepers.

    A pause or a partition loses no memory, so neither needs a rule here.
    """

    def __init__(self, here):
        self._here = here
        self._records = OrderedDict()
        self._started = now()
        self._views = {}

    async def start(self, kernel):
        """Follow the membership."""
        self._members = kernel.find("members")
        self._metrics = kernel.find("metrics")
        self._started = now()
        self._members.listen(self._on_member)

    async def stop(self):
        """Nothing to stop."""

    def __len__(self):
        return len(self._records)

    def claim(self, message):
        """Return ``(verdict, vouches)`` for a `caperstack.peers.messages.Claim`."""
        self._forget_old()
        window = message.window_us / 1e6
        verdict = self._verdict(message, window)
        vouches = self._vouches(message, window)
        self._metrics.count("claims", verdict=verdict.name, vouches=str(vouches))
        return verdict, vouches

    def _verdict(self, message, window):
        name = (message.service, message.key)
        record = self._records.get(name)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                return Verdict.FULL
            self._records[name] = _Record(
                message.holder,
                message.fingerprint,
                False,
                deadline_after(window + MAX_CALL_SECONDS),
                window,
            )
            return Verdict.GRANTED
        if record.fingerprint != message.fingerprint:
            return Verdict.OTHER_REQUEST
        if record.ran:
            return Verdict.RAN
        return Verdict.GRANTED if record.holder == message.holder else Verdict.RUNNING

    def settle(self, message):
        """Note how the holder's call ended; proof that it did not run frees the key."""
        name = (message.service, message.key)
        record = self._records.get(name)
        if record is None or record.holder != message.holder:
            return
        if not message.ran:
            del self._records[name]
            return
        record.ran = True
        record.forget_at = deadline_after(record.window)

    def _forget_old(self):
        moment = now()
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.forget_at > moment:
                return
            del self._records[name]

    # -- vouching ---------------------------------------------------------

    def _earliest_first_use(self, message, window):
        """Return the earliest point at which the key can have been used, or ``None``."""
        if not message.born_us:
            return now() - window
        age = (wall_microseconds() - message.born_us) / 1e6 + MAX_CLOCK_SKEW_SECONDS
        # Older than what is remembered: a first use may be forgotten already.
        return None if age > window else now() - age

    def _vouches(self, message, window):
        first_use = self._earliest_first_use(message, window)
        if first_use is None or self._started > first_use:
            return False
        current = set(keepers_of(message.key, self._hosts(message.service)))
        if current != set(message.keepers):
            return False
        for keepers in self._keepers_since(message.service, message.key, first_use):
            if self._here.host not in keepers:
                return False
            if len(keepers - current) >= majority(len(keepers)):
                return False
        return self._here.host in current

    def _keepers_since(self, service, key, point):
        views = self._views.get(service, [])
        for index, view in enumerate(views):
            ended = views[index + 1].since if index + 1 < len(views) else float("inf")
            if ended > point:
                yield set(keepers_of(key, view.hosts))

    def _hosts(self, service):
        return [member.host for member in self._members.of_service(service)]

    def _on_member(self, member, gone):
        views = self._views.setdefault(member.service, [])
        views.append(_MembershipView(now(), self._hosts(member.service)))
        oldest = now() - 86_400
        while len(views) > 1 and views[1].since < oldest:
            views.pop(0)
