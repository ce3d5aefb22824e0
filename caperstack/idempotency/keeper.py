"""Keepers: nodes that record which idempotency keys have been claimed, for a window.

The key window of a service is the time after the first use of a key in which a call
with the same key must not run again.
"""

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

#: Number of keepers of a key; a majority of them must grant a claim.
KEEPERS_PER_KEY = 3

#: Maximum number of keys that one keeper records; claims of further keys are refused.
MAX_RECORDS = 200_000

#: Longest deadline that a route may have.  An unsettled claim is kept this much longer
#: than the window, as its call may still run.
MAX_CALL_SECONDS = 300.0

#: Maximum assumed difference between the clocks of callers and hosts.
MAX_CLOCK_SKEW_SECONDS = 2.0


class Verdict(IntEnum):
    """A keeper's answer to a claim.

    Attributes
    ----------
    GRANTED
        The key is recorded for this claim.
    RUNNING
        Another claim holds the key and has not been settled.
    RAN
        A call with the key has run.
    OTHER_REQUEST
        The key was claimed for a request with another fingerprint.
    FULL
        The keeper records `MAX_RECORDS` keys already.
    """

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
    expires_at: float
    window: float


@dataclass(slots=True)
class _MembershipView:
    since: float
    hosts: dict


def majority(count):
    """Return the smallest majority of `count` keepers."""
    return count // 2 + 1


def keepers_of(key, hosts):
    """Return the keepers of `key` among `hosts`, chosen by rendezvous hashing.

    References
    ----------
    .. [1] Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
       Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    ranked = sorted(hosts, key=lambda host: xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode()))
    return ranked[:KEEPERS_PER_KEY]


def creation_microseconds(key):
    """Return the creation time of a UUID version 7 in microseconds since 1970; 0 for other keys.

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
    """Return a 56-bit hash by which a keeper detects another request with the same key."""
    digest = hashlib.blake2b(digest_size=7)
    digest.update(f"{method} {target}\n".encode())
    digest.update(body)
    return int.from_bytes(digest.digest())


class Keeper:
    """Grant each key once, and vouch for the grant only if no record can be missing.

    Parameters
    ----------
    here : object
        The start settings of this node; its ``host`` is read.

    Notes
    -----
    An entry claims a key at its three keepers and runs the call if a majority of
    them grants the claim *and vouches* for it.  A keeper that vouches confirms that
    it has kept all records since before the key's earliest possible first use.  Any
    two such majorities share a keeper, which therefore does not grant the key a
    second time.  Records are held in memory only.  A keeper vouches only if

    - it started before the key's earliest possible first use, and
    - in each membership view that it has had since then, it was a keeper of the key
      and fewer than a majority of that view's keepers have been replaced by now, and
    - the entry that claims the key knows the same keepers.

    Pauses and partitions do not make a keeper lose records, so neither needs a
    condition of its own.
    """

    def __init__(self, here):
        self._here = here
        self._records = OrderedDict()
        self._started = now()
        self._views = {}

    async def start(self, kernel):
        """Subscribe to membership changes."""
        self._members = kernel.find("members")
        self._metrics = kernel.find("metrics")
        self._started = now()
        self._members.listen(self._on_member)

    async def stop(self):
        """Nothing to stop."""

    def __len__(self):
        return len(self._records)

    def claim(self, message):
        """Return ``(verdict, vouches)`` for `message`, a `caperstack.peers.messages.Claim`."""
        self._drop_expired()
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
        """Record whether the holder's call ran; if it did not, release the key."""
        name = (message.service, message.key)
        record = self._records.get(name)
        if record is None or record.holder != message.holder:
            return
        if not message.ran:
            del self._records[name]
            return
        record.ran = True
        record.expires_at = deadline_after(record.window)

    def _drop_expired(self):
        # Records are dropped in the order of their first claim: an expired one is kept
        # until all earlier ones have expired.
        current_time = now()
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.expires_at > current_time:
                return
            del self._records[name]

    def _earliest_first_use(self, message, window):
        """Return the earliest time at which the key can have been used first.

        Returns ``None`` if that is so long ago that records may have expired since.
        """
        if not message.born_us:
            return now() - window
        age = (wall_microseconds() - message.born_us) / 1e6 + MAX_CLOCK_SKEW_SECONDS
        # The record of a first use before the window may have expired already.
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

    def _keepers_since(self, service, key, start):
        """Yield the set of keepers of `key` in each membership view held since `start`."""
        views = self._views.get(service, [])
        for index, view in enumerate(views):
            view_end = views[index + 1].since if index + 1 < len(views) else float("inf")
            if view_end > start:
                yield set(keepers_of(key, view.hosts))

    def _hosts(self, service):
        return [member.host for member in self._members.of_service(service)]

    def _on_member(self, member, gone):
        views = self._views.setdefault(member.service, [])
        views.append(_MembershipView(now(), self._hosts(member.service)))
        # The longest key window that the settings allow is 86,400 seconds.
        oldest = now() - 86_400
        while len(views) > 1 and views[1].since < oldest:
            views.pop(0)
