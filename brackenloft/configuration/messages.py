"""Messages between gateways, control servers and operators, as msgpack bodies over HTTP.

Each answer is one of a tagged union, so that a reader never guesses what it has got.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from brackenloft.configuration.model import Delta, Record, Standing

LONGEST_ANSWER_BYTES = 8 * 1024 * 1024  # of any answer, as it is decompressed
# Of a FollowAnswer as it is decompressed: what a gateway decodes in well under 1 ms. A control server answers
# a SnapshotOffer where the records after a revision are more, as a snapshot comes in small buckets.
LONGEST_FOLLOW_ANSWER_BYTES = 128 * 1024
LONGEST_REQUEST_BYTES = 8 * 1024 * 1024  # of any request: a change may touch all tenants
FOLLOW_PATH = "/v1/follow"
CHUNK_PATH = "/v1/chunk"
LEAVE_PATH = "/v1/leave"
PUBLISH_PATH = "/v1/publish"
STATUS_PATH = "/v1/status"
PROPOSE_PATH = "/v1/peer/propose"
STANDING_PATH = "/v1/peer/standing"
RECORDS_PATH = "/v1/peer/records"
ENROL_PATH = "/v1/peer/enrol"


class Follower(msgspec.Struct, frozen=True):
    """One process of a gateway: ``run`` is new with each start, ``incarnation`` only grows for a name."""

    gateway: str
    run: str
    incarnation: int
    region: str
    zone: str = ""


class FollowRequest(msgspec.Struct, frozen=True):
    """A gateway tells what it has in force and asks for what comes after it, waiting ``wait_ms`` at most.

    ``digest`` is that of the document in force; a control server whose record differs answers a snapshot.
    One of zeros asks for a snapshot.
    """

    follower: Follower
    in_force: int
    digest: bytes
    wait_ms: int = 0


class Unchanged(msgspec.Struct, frozen=True, tag=True):
    """Nothing newer stands; ``verified_ms`` ago a majority of stores said so."""

    revision: int
    verified_ms: float


class Changes(msgspec.Struct, frozen=True, tag=True):
    """The records after the revision in force, in order and without a gap. More may come after them.

    No more of them than fit into ``LONGEST_FOLLOW_ANSWER_BYTES``; where the first does not, it is a snapshot.
    """

    records: tuple[Record, ...]
    verified_ms: float


class SnapshotOffer(msgspec.Struct, frozen=True, tag=True):
    """The digest of each bucket of a revision; those that differ are to be asked for by ``ChunkRequest``.

    ``buckets`` has ``tree.BUCKETS[section]`` digests for each section, in the order of ``Section``.
    """

    revision: int
    digest: bytes
    buckets: tuple[bytes, ...]
    verified_ms: float


class Busy(msgspec.Struct, frozen=True, tag=True):
    """Not now: ask again, here or elsewhere, after ``retry_after_ms``."""

    retry_after_ms: float


FollowAnswer: TypeAlias = Unchanged | Changes | SnapshotOffer | Busy


class ChunkRequest(msgspec.Struct, frozen=True):
    """Buckets of a revision, by their place in ``SnapshotOffer.buckets``."""

    revision: int
    buckets: tuple[int, ...]


class Chunk(msgspec.Struct, frozen=True, tag=True):
    """The encoded buckets that were asked for, in that order; each is checked against its digest."""

    revision: int
    buckets: tuple[bytes, ...]


class Compacted(msgspec.Struct, frozen=True, tag=True):
    """The revision is no longer held here: begin again with a ``FollowRequest``."""

    oldest: int
    newest: int


ChunkAnswer: TypeAlias = Chunk | Compacted | Busy


class Leave(msgspec.Struct, frozen=True):
    """A process of a gateway ends and serves no more."""

    follower: Follower


class PublishRequest(msgspec.Struct, frozen=True):
    """A change that an operator wants to stand."""

    delta: Delta
    author: str = ""
    note: str = ""


class Fault(msgspec.Struct, frozen=True):
    """One thing that is wrong with a change: where and what."""

    path: str
    reason: str


class Published(msgspec.Struct, frozen=True, tag=True):
    """It stands as this revision."""

    revision: int
    digest: bytes


class Invalid(msgspec.Struct, frozen=True, tag=True):
    """Every fault of a change; nothing was changed."""

    faults: tuple[Fault, ...]


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """Another change stands on the same base; nothing of this one was changed."""

    base: int
    standing: int


class Unavailable(msgspec.Struct, frozen=True, tag=True):
    """Too few stores or control servers; ``may_stand``: it is not known whether the change stands."""

    reason: str
    may_stand: bool


PublishAnswer: TypeAlias = Published | Invalid | Conflict | Unavailable


class Proposal(msgspec.Struct, frozen=True):
    """A record to be stored by another control server before it may stand."""

    record: Record


class Stored(msgspec.Struct, frozen=True, tag=True):
    """The record is on this server's disk, and its digest is right."""


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The record was not stored, and why."""

    reason: str
    standing: int


ProposalAnswer: TypeAlias = Stored | Refused


class StandingNotice(msgspec.Struct, frozen=True):
    """A hint that a revision stands; the register is read before it is believed."""

    standing: Standing


class RecordsRequest(msgspec.Struct, frozen=True):
    """What another control server has after a revision; it is answered by a ``FollowAnswer``.

    ``standing``: what the one that asks knows to stand. The register is read before it is believed.
    """

    after: int
    digest: bytes = b""
    standing: Standing | None = None


class EnrolRequest(msgspec.Struct, frozen=True):
    """Processes of gateways that are about to be answered for the first time, and ones that have left."""

    followers: tuple[Follower, ...] = ()
    left: tuple[Follower, ...] = ()


class Enrolled(msgspec.Struct, frozen=True, tag=True):
    """The processes are known here, and stay so after a restart."""

    server: str


class Confirmation(msgspec.Struct, frozen=True):
    """What one process of a gateway had in force when it last said so, ``silent_ms`` ago."""

    follower: Follower
    in_force: int
    silent_ms: float
    left: bool = False


class ServerStatus(msgspec.Struct, frozen=True):
    """What one control server knows: the standing revision and the gateways that ever followed.

    ``complete`` is False while a server that came up without its disk has not asked the others for the
    gateways that it knew: it then doesn't count among those that say what is in force. ``servers`` is how
    many control servers there are, this one among them, as its own file has it; 0 if it does not say.
    """

    server: str
    region: str
    standing: int
    verified_ms: float
    confirmations: tuple[Confirmation, ...]
    complete: bool = True
    servers: int = 0
