"""The typed messages between nodes."""

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

#: The version of the messages below; a peer that speaks another is turned away.
VERSION = 6


#: More ends of one request than a node keeps are never told of it.
ENDS_TOLD_MOST = 32

_Hash = Annotated[int, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, array_like=True, gc=False):
    pass


class LoadReport(_Message):
    """A `caperstack.calls.model.Load` on the wire."""

    in_flight: int
    queued: int
    limit: int
    service_us: int
    state: int
    failing: int
    published: int
    pace: int


class Hello(_Message, tag=1):
    """The first message of each side; ``sent_us`` is the sender's monotonic clock."""

    version: int
    host: str
    zone: str
    service: str
    incarnation: int
    sent_us: int
    load: LoadReport


class CallMessage(_Message, tag=2):
    """A call for the owner's backend server; times are in microseconds.

    With ``withheld`` its body comes later, when the owner asks for it.
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


class SendBody(_Message, tag=21):
    """The owner is about to run a call whose body the entry has kept."""

    id: int


class CallBody(_Message, tag=22):
    """The body of a call; it follows."""

    id: int
    size: int


class Answer(_Message, tag=3):
    """The backend server's answer; the body follows."""

    id: int
    size: int
    status: int
    reason: str
    headers: list[tuple[str, str]]
    load: LoadReport
    clock: int


class Refused(_Message, tag=4):
    """Proof by the owner that the call did not run and will not."""

    id: int
    reason: str
    retry_after_ms: int
    load: LoadReport
    clock: int
    offered: bool


class Unsure(_Message, tag=5):
    """The owner sent the call to its backend server and got no whole answer.

    ``end`` names the end of the server with the call at work; 0 if it lives.
    """

    id: int
    reason: str
    status: int
    load: LoadReport
    clock: int
    end: int


class Revoke(_Message, tag=6):
    """The entry gives a call up; with ``reply`` it wants to know how it ended.

    Without ``reply`` the owner cancels what it can and says nothing.
    ``age_us`` is how long ago the call was sent, ``sent_us`` the sender's
    monotonic clock now.
    """

    id: int
    reply: bool
    age_us: int = 0
    sent_us: int = 0


class Chunk(_Message, tag=7):
    """A further part of the body of message ``id``."""

    id: int


class Ping(_Message, tag=8):
    """A heartbeat that wants a `Pong`."""

    id: int
    clock: int


class Pong(_Message, tag=9):
    """The reply to a `Ping`."""

    id: int
    load: LoadReport
    clock: int


class State(_Message, tag=10):
    """The owner's load or state changed enough to say so unasked."""

    load: LoadReport


class Claim(_Message, tag=11):
    """Ask a keeper to record an idempotency key.

    ``born_us`` is 0 for a key whose birth cannot be read; ``keepers`` are all
    that the sender asks.
    """

    id: int
    service: str
    key: str
    keepers: list[str]
    holder: int
    fingerprint: int
    born_us: int
    window_us: int


class Claimed(_Message, tag=12):
    """The keeper's verdict on a claim, a `caperstack.idempotency.keeper.Verdict`."""

    id: int
    verdict: int
    vouches: bool
    clock: int


class Settle(_Message, tag=13):
    """How the holder's call under a key ended: ``ran`` is false only on proof."""

    service: str
    key: str
    holder: int
    ran: bool


class Revisions(_Message, tag=14):
    """Revisions of subtrees that the sender holds; with ``buckets`` all in those.

    To the list of whole buckets the receiver replies with what it holds higher there.
    """

    revisions: dict[str, int]
    buckets: list[int] = []


class Digest(_Message, tag=18):
    """A number that is equal where all revisions are equal.

    With ``reading`` it tells that the platform was read, ``read_age_us`` ago at
    ``sent_us`` on the sender's monotonic clock; the number names the reading.
    ``era`` is that of the platform's revisions, first seen ``era_age_us`` ago.
    """

    value: int
    reading: int = 0
    read_age_us: int = 0
    sent_us: int = 0
    era: int = 0
    era_age_us: int = 0


class Buckets(_Message, tag=19):
    """The sender's digest, and that of each bucket of subtrees.

    The receiver replies with its revisions in the buckets that differ.
    """

    value: int
    values: list[int]


class Fetch(_Message, tag=15):
    """Ask for the bodies of subtrees."""

    paths: list[str]


class SubtreeBody(_Message, tag=16):
    """A subtree at a revision, deleted or with its JSON text, packed by zlib, as the body."""

    id: int
    size: int
    path: str
    revision: int
    deleted: bool


class SuspectedEnd(_Message):
    """A `caperstack.quarantine.suspects.Crash` on the wire."""

    number: _Hash
    caller: _Hash
    clearing: Annotated[int, msgspec.Meta(ge=0, le=2)]


class SuspicionReport(_Message):
    """A `caperstack.quarantine.suspects.Suspicion` on the wire."""

    request: _Hash
    ends: Annotated[list[SuspectedEnd], msgspec.Meta(max_length=ENDS_TOLD_MOST)]


class Suspicions(_Message, tag=20):
    """What the sender knows of requests that were at work when servers ended."""

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
