"""Typed messages between nodes.

Fields that end in ``_us`` are in microseconds, in ``_ms`` in milliseconds.  ``clock`` is
the sender's event clock, see `caperstack.events.ring.HybridClock`.  ``size`` is the length
of the body in bytes; the body starts in the same frame and continues in `Chunk` messages.
"""

from typing import Annotated

import msgspec

__all__ = [
    "Answer",
    "Buckets",
    "CallBody",
    "CallMessage",
    "Chunk",
    "Claim",
    "Claimed",
    "Digest",
    "Fetch",
    "Hello",
    "LoadReport",
    "Message",
    "Ping",
    "Pong",
    "Refused",
    "Revisions",
    "Revoke",
    "SendBody",
    "Settle",
    "State",
    "SubtreeBody",
    "SuspectedEnd",
    "Suspicions",
    "SuspicionReport",
    "Unsure",
]

#: Version of the message format; a peer that uses another is rejected in the handshake.
VERSION = 6

#: Limit on the crashes in one `SuspicionReport`; more than a node keeps per request.
MAX_SUSPECTED_ENDS = 32

_Hash = Annotated[int, msgspec.Meta(ge=0)]


class _MessageStruct(msgspec.Struct, array_like=True, gc=False):
    pass


class LoadReport(_MessageStruct):
    """A `caperstack.calls.model.Load` on the wire."""

    in_flight: int
    queued: int
    limit: int
    service_us: int
    state: int
    failing: int
    published: int
    pace: int
    rate_limit: int = 0
    rate_wait_ms: int = 0
    leaving_run: str = ""
    link_wait_ms: int = 0


class Hello(_MessageStruct, tag=1):
    """The first message of each side.

    ``sent_us`` is the sender's monotonic clock, ``incarnation`` the wall clock time at
    which its node started, in microseconds.  ``known_run`` and ``known_rate`` are the
    last rate limit that the sender knows of the receiver's backend server, as in `LoadReport`,
    and the run of the server that stated it; without a limit they are empty and 0.
    ``body_bytes_per_second`` is what large bodies may use of the sender's link, 0 if unknown.
    """

    version: int
    host: str
    zone: str
    service: str
    incarnation: int
    sent_us: int
    load: LoadReport
    known_run: str = ""
    known_rate: int = 0
    body_bytes_per_second: int = 0


class CallMessage(_MessageStruct, tag=2):
    """A call for the owner's backend server.

    ``left_us``, ``queue_us`` and ``objective_us`` are the times left until the call's
    deadline, the end of its wait in the queue and its latency objective.  ``depth`` is the
    depth in the call tree, 0 for the root, and ``last`` tells that no other backend server
    is left to try.  If ``withheld`` is set, the body is sent only when the owner requests it;
    ``body_bytes`` is its size then, and ``body_bytes_per_second`` the rate at which the sender's
    link can send it, 0 if unknown.
    """

    id: int
    size: int
    sent_us: int
    left_us: int
    queue_us: int
    request_id: str
    service: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    idempotent: bool
    criticality: int
    depth: int
    last: bool
    clock: int
    route: str
    objective_us: int
    request_hash: int
    caller_hash: int
    withheld: bool = False
    body_bytes: int = 0
    body_bytes_per_second: int = 0


class SendBody(_MessageStruct, tag=21):
    """The owner requests the withheld body of a call.

    With ``bytes_per_second`` the body comes in several `CallBody` messages, at that rate at
    most; without, in one.
    """

    id: int
    bytes_per_second: int = 0


class CallBody(_MessageStruct, tag=22):
    """The withheld body of a call, or the next piece of it, which follows the message."""

    id: int
    size: int


class Answer(_MessageStruct, tag=3):
    """The backend server's answer; its body follows the message."""

    id: int
    size: int
    status: int
    reason: str
    headers: list[tuple[str, str]]
    load: LoadReport
    clock: int


class Refused(_MessageStruct, tag=4):
    """The owner guarantees that the call did not run and will not run.

    ``offered`` tells whether the backend server received the call and refused it.
    """

    id: int
    reason: str
    retry_after_ms: int
    load: LoadReport
    clock: int
    offered: bool


class Unsure(_MessageStruct, tag=5):
    """The owner sent the call to its backend server and got no complete answer.

    ``end`` is the number of the crash if the backend server crashed while it ran the
    call, otherwise 0.
    """

    id: int
    reason: str
    status: int
    load: LoadReport
    clock: int
    end: int


class Revoke(_MessageStruct, tag=6):
    """The entry abandons a call or, with ``reply``, asks how it ended.

    Without ``reply`` the owner cancels the call if it can and sends nothing back.
    ``age_us`` is the time since the call was sent, ``sent_us`` the sender's monotonic
    clock when this message was sent.  With ``waiting_only`` the owner replies only if the
    call has not been dispatched; its connection is open, so it gets the outcome anyway.
    """

    id: int
    reply: bool
    age_us: int = 0
    sent_us: int = 0
    waiting_only: bool = False


class Chunk(_MessageStruct, tag=7):
    """The next part of the body of message ``id``."""

    id: int


class Ping(_MessageStruct, tag=8):
    """A heartbeat request, answered by a `Pong`."""

    id: int
    clock: int


class Pong(_MessageStruct, tag=9):
    """The reply to a `Ping`."""

    id: int
    load: LoadReport
    clock: int


class State(_MessageStruct, tag=10):
    """An unsolicited update of the owner's load and state."""

    load: LoadReport


class Claim(_MessageStruct, tag=11):
    """A request to a keeper to record an idempotency key.

    ``holder`` is a random number that identifies the claim, ``fingerprint`` a hash of the
    request by which another request with the same key is detected.  ``born_us`` is the
    creation time contained in the key, or 0 if there is none; ``keepers`` are all keepers
    that the sender asks, and ``window_us`` is how long the key is remembered after the call ran.
    """

    id: int
    service: str
    key: str
    keepers: list[str]
    holder: int
    fingerprint: int
    born_us: int
    window_us: int


class Claimed(_MessageStruct, tag=12):
    """The reply to a `Claim`.

    ``verdict`` is a `caperstack.idempotency.keeper.Verdict`; ``vouches`` tells that no record
    of the key can be missing at the keeper.
    """

    id: int
    verdict: int
    vouches: bool
    clock: int


class Settle(_MessageStruct, tag=13):
    """How the call that holds an idempotency key ended.

    ``ran`` is false only if the call is known not to have run.
    """

    service: str
    key: str
    holder: int
    ran: bool


class Revisions(_MessageStruct, tag=14):
    """Revisions of configuration subtrees that the sender holds.

    With ``buckets`` they are all its revisions in these buckets, and the receiver
    replies with the higher revisions that it holds there.
    """

    revisions: dict[str, int]
    buckets: list[int] = []


class Digest(_MessageStruct, tag=18):
    """A hash over all revisions, equal on two nodes if their revisions are equal.

    A nonzero ``reading`` is the number of a platform read that began
    ``read_age_us`` before ``sent_us``, a time on the sender's monotonic clock.
    ``era`` is the era of the platform's revisions, which any node first saw ``era_age_us``
    before ``sent_us``.
    """

    value: int
    reading: int = 0
    read_age_us: int = 0
    sent_us: int = 0
    era: int = 0
    era_age_us: int = 0


class Buckets(_MessageStruct, tag=19):
    """The sender's digest over all subtrees and its digest of each bucket of them.

    The receiver replies with its revisions in the buckets whose digests differ.
    """

    value: int
    values: list[int]


class Fetch(_MessageStruct, tag=15):
    """A request for the bodies of subtrees."""

    paths: list[str]


class SubtreeBody(_MessageStruct, tag=16):
    """A subtree at a revision.

    The body is its JSON text, compressed with zlib, unless the subtree is deleted.
    """

    id: int
    size: int
    path: str
    revision: int
    deleted: bool


class SuspectedEnd(_MessageStruct):
    """A `caperstack.quarantine.suspects.Crash` on the wire."""

    number: _Hash
    caller: _Hash
    clearing: Annotated[int, msgspec.Meta(ge=0, le=2)]
    isolated: bool = True


class SuspicionReport(_MessageStruct):
    """A `caperstack.quarantine.suspects.Suspicion` on the wire."""

    request: _Hash
    ends: Annotated[list[SuspectedEnd], msgspec.Meta(max_length=MAX_SUSPECTED_ENDS)]


class Suspicions(_MessageStruct, tag=20):
    """The sender's records of requests that were running when backend servers crashed."""

    items: list[SuspicionReport]


Message = (
    Hello
    | CallMessage
    | Answer
    | Refused
    | Unsure
    | Revoke
    | Chunk
    | Ping
    | Pong
    | State
    | Claim
    | Claimed
    | Settle
    | Revisions
    | Digest
    | Buckets
    | Fetch
    | SubtreeBody
    | Suspicions
    | SendBody
    | CallBody
)
