"""Following the configuration: which control server is asked next, and what its answer may change.

A pure state machine: no I/O, no clock, no randomness. The caller asks ``next_step`` what to do, carries it
out, and tells ``answered`` or ``failed``; times are milliseconds that never go back, ``draw`` is a random
number from 0 to 1. The revision in force only grows: whatever an answer says, nothing at or below it, with a
gap before it or of a call that was abandoned changes anything.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import TypeAlias

from blake3 import blake3

from brackenloft.configuration.messages import (
    Busy,
    Changes,
    Chunk,
    ChunkAnswer,
    ChunkRequest,
    Compacted,
    FollowAnswer,
    Follower,
    FollowRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.model import Record
from brackenloft.configuration.tree import DIGEST_BYTES

RETRY_BASE_MS = 250.0  # largest pause after a first failure; doubles with each further one
RETRY_CAP_MS = 5000.0  # largest pause before a server is tried again
LEAST_GAP_MS = 100.0  # between two requests but those of one snapshot: bounds what a wrong server can cause
MOST_BUSY_MS = 10_000.0  # a server that names a longer pause is asked again after this
STALE_MS = 3000.0  # a server that has not heard of a majority of stores for so long may be cut off
WAIT_MS = 4000  # default of how long a server may wait with its answer
FIRST_TIMEOUT_MS = 2000.0  # of a request that the server need not wait with
WAIT_MARGIN_MS = 1500.0  # beyond the wait, for an answer to arrive
CHUNK_TIMEOUT_MS = 4000.0
CHUNK_BUCKETS = 64  # of a snapshot in one request
NO_DIGEST = bytes(DIGEST_BYTES)  # told where a snapshot is wanted: no document has it
SNAPSHOT_FAILURES = 4  # after which an offered snapshot is given up


class Failure(StrEnum):
    """Why a call to a control server brought nothing."""

    UNREACHABLE = "unreachable"  # no connection, or it ended within the answer
    TIMEOUT = "timeout"
    STATUS = "status"  # an HTTP status that is no answer
    TOO_LONG = "too long"
    GARBAGE = "garbage"  # bytes that are no message, or another one than was asked for
    STALE = "stale"  # the server may be cut off from the stores
    GAP = "gap"  # records that do not follow on each other or on the revision in force
    OLDER = "older"  # nothing but revisions at or below the one in force
    MISMATCH = "mismatch"  # the document has another digest than the record says
    UNUSABLE = "unusable"  # a revision that this gateway can't put in force
    INTERNAL = "internal"  # a fault of this process


TOO_MUCH = (Failure.TOO_LONG, Failure.GARBAGE)  # of an answer that may have been longer than is read


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A control server's name and region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Position:
    """A revision, the digest of its document and those of its buckets."""

    revision: int
    digest: bytes
    buckets: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FollowCall:
    """Ask ``server`` for what comes after the revision in force."""

    number: int
    server: str
    request: FollowRequest
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ChunkCall:
    """Ask ``server`` for buckets of the snapshot that is being fetched."""

    number: int
    server: str
    request: ChunkRequest
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Ask nobody for so long."""

    pause_ms: float


Step: TypeAlias = FollowCall | ChunkCall | Pause


@dataclass(frozen=True, slots=True)
class ApplyRecords:
    """Records that follow on the revision in force without a gap, to be put in force in one swap."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class LoadBuckets:
    """Buckets of a snapshot, by their place in ``offer.buckets``; to be put in force after the ``last``."""

    offer: SnapshotOffer
    places: tuple[int, ...]
    buckets: tuple[bytes, ...]
    last: bool


Work: TypeAlias = ApplyRecords | LoadBuckets


@dataclass(slots=True)
class _Server:
    """What is known of a control server."""

    endpoint: Endpoint
    failures: int = 0  # in a row
    retry_at_ms: float = -inf
    answers: bool = False  # its last call was answered: it may be trusted with a long wait


@dataclass(slots=True)
class _Snapshot:
    """A snapshot that is being fetched."""

    offer: SnapshotOffer
    missing: tuple[int, ...]
    failures: int = 0

    @property
    def wanted(self) -> tuple[int, ...]:
        """The buckets of the next request."""
        return self.missing[:CHUNK_BUCKETS]


def preference(follower: Follower, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """The order in which a gateway prefers control servers: those of its region first.

    Within a region by rendezvous hashing with the gateway's name, so that gateways spread evenly over the
    servers and those of a lost server spread over the rest.
    """

    def rank(endpoint: Endpoint) -> tuple[bool, bytes]:
        name = f"{follower.gateway}\n{endpoint.name}".encode()
        return endpoint.region != follower.region, blake3(name).digest(8)

    return sorted(endpoints, key=rank)


class Following:
    """The state of one gateway that follows the configuration."""

    def __init__(
        self, follower: Follower, endpoints: Iterable[Endpoint], in_force: Position, wait_ms: float = WAIT_MS
    ) -> None:
        self.follower, self.in_force, self.wait_ms = follower, in_force, round(wait_ms)
        self.servers = {endpoint.name: _Server(endpoint) for endpoint in preference(follower, endpoints)}
        self.followed = ""  # the server that was asked last
        self.failures: Counter[Failure] = Counter()
        self.late = self.busy = self.behind = (
            0  # answers that were too late, said Busy, were of older servers
        )
        self.verified_at_ms = -inf  # when a majority of stores last confirmed what a server told
        self._number = 0  # of the call that is out, or was last
        self._open = False  # whether that call is still out
        self._asked_at_ms = -inf
        self._progresses = False  # the last answer was a part of a snapshot, which has an end
        self._snapshot: _Snapshot | None = None
        self._wants_snapshot = False  # after records whose digest did not match

    # ---- What to do next

    def next_step(self, now_ms: float) -> Step:
        """The next call, or how long to wait before one. A call that is still out is abandoned by this."""
        earliest_ms = self._asked_at_ms + (0.0 if self._progresses else LEAST_GAP_MS)
        if now_ms < earliest_ms:
            return Pause(earliest_ms - now_ms)
        server = self._choose(now_ms)
        if server is None:
            return Pause(min(one.retry_at_ms for one in self.servers.values()) - now_ms)
        self._number += 1
        self._open, self._asked_at_ms, self.followed = True, now_ms, server.endpoint.name
        self._progresses = False
        if self._snapshot:
            chunk = ChunkRequest(self._snapshot.offer.revision, self._snapshot.wanted)
            return ChunkCall(self._number, self.followed, chunk, CHUNK_TIMEOUT_MS)
        return self._follow_call(server)

    def _choose(self, now_ms: float) -> _Server | None:
        """Which of the servers that are not paused is asked.

        After a failure the one with the fewest in a row, so that a second stalled server is not tried before
        one that answers. After an answer the preferred one, which is how a gateway returns to its region;
        but a snapshot is fetched on from the server that gives it.
        """
        ready = [server for server in self.servers.values() if server.retry_at_ms <= now_ms]
        last = self.servers.get(self.followed)
        if last and last.failures:
            return min(ready, key=lambda server: server.failures, default=None)
        if self._snapshot and last in ready:
            return last
        return next(iter(ready), None)

    def _follow_call(self, server: _Server) -> FollowCall:
        """A server that was not heard yet is not given time: one that is stalled costs less."""
        wait_ms = self.wait_ms if server.answers else 0
        digest = NO_DIGEST if self._wants_snapshot else self.in_force.digest
        request = FollowRequest(self.follower, self.in_force.revision, digest, wait_ms)
        timeout_ms = wait_ms + WAIT_MARGIN_MS if wait_ms else FIRST_TIMEOUT_MS
        return FollowCall(self._number, self.followed, request, timeout_ms)

    # ---- Failures

    def failed(self, number: int, failure: Failure, now_ms: float, draw: float) -> None:
        """The call brought nothing; the next one goes to another server, if there is one."""
        if not self._closes(number):
            return
        if self._snapshot:
            self._snapshot.failures += 1
            if self._snapshot.failures >= SNAPSHOT_FAILURES:
                self._snapshot = None
        elif failure in TOO_MUCH:
            self._wants_snapshot = True
        self._set_back(failure, now_ms, draw)

    def rejected(self, failure: Failure, now_ms: float, draw: float) -> None:
        """What the last answer brought can't be put in force.

        After a digest that does not match a snapshot is asked for, elsewhere first.
        """
        self._snapshot = None
        self._wants_snapshot = self._wants_snapshot or failure is Failure.MISMATCH
        self._set_back(failure, now_ms, draw)

    def _closes(self, number: int) -> bool:
        """Whether this is the call that is out; it is out no more."""
        if not self._open or number != self._number:
            self.late += 1
            return False
        self._open = False
        return True

    def _set_back(self, failure: Failure, now_ms: float, draw: float) -> None:
        """Pause a server: exponential backoff with a cap and full jitter."""
        self.failures[failure] += 1
        server = self.servers.get(self.followed)
        if server is None:
            return  # nobody was asked yet
        bound_ms = min(RETRY_CAP_MS, RETRY_BASE_MS * 2.0 ** min(server.failures, 16))
        server.failures += 1
        server.answers = False
        server.retry_at_ms = now_ms + draw * bound_ms

    # ---- Answers

    def answered(
        self, number: int, answer: FollowAnswer | ChunkAnswer, now_ms: float, draw: float
    ) -> Work | None:
        """What an answer brings; None if it changes nothing."""
        if not self._closes(number):
            return None
        if isinstance(answer, Busy):
            self._pause_busy(answer, now_ms, draw)
            return None
        if isinstance(answer, Chunk | Compacted):
            return self._chunk(answer, now_ms, draw)
        if self._snapshot:  # it was asked for buckets
            self._set_back(Failure.GARBAGE, now_ms, draw)
            return None
        return self._follow_answer(answer, now_ms, draw)

    def _follow_answer(
        self, answer: Unchanged | Changes | SnapshotOffer, now_ms: float, draw: float
    ) -> Work | None:
        if 0.0 <= answer.verified_ms <= STALE_MS:
            self._heard()
            self.verified_at_ms = max(self.verified_at_ms, now_ms - answer.verified_ms)
        else:
            self._set_back(Failure.STALE, now_ms, draw)  # what it tells is taken all the same, if it is newer
        if isinstance(answer, Changes):
            return self._changes(answer, now_ms, draw)
        if isinstance(answer, SnapshotOffer):
            return self._offer(answer, now_ms, draw)
        self.behind += answer.revision < self.in_force.revision
        return None

    def _heard(self) -> None:
        server = self.servers[self.followed]
        server.failures, server.answers = 0, True

    def _pause_busy(self, answer: Busy, now_ms: float, draw: float) -> None:
        self.busy += 1
        named_ms = answer.retry_after_ms if answer.retry_after_ms >= 0.0 else 0.0  # not for NaN either
        pause_ms = max(LEAST_GAP_MS, min(MOST_BUSY_MS, named_ms))
        self.servers[self.followed].retry_at_ms = now_ms + pause_ms * (1.0 + draw)

    def _changes(self, answer: Changes, now_ms: float, draw: float) -> Work | None:
        revision = self.in_force.revision
        records = tuple(record for record in answer.records if record.revision > revision)
        if not records:
            self._set_back(Failure.OLDER, now_ms, draw)
            return None
        for expected, record in enumerate(records, revision + 1):
            if record.revision != expected or record.delta.base != expected - 1:
                self._set_back(Failure.GAP, now_ms, draw)
                return None
        return ApplyRecords(records)

    def _offer(self, answer: SnapshotOffer, now_ms: float, draw: float) -> Work | None:
        if answer.revision <= self.in_force.revision:
            self._no_newer_offer(answer, now_ms, draw)
            return None
        if len(answer.buckets) != len(self.in_force.buckets):
            self._set_back(Failure.GARBAGE, now_ms, draw)
            return None
        pairs = enumerate(zip(answer.buckets, self.in_force.buckets, strict=True))
        missing = tuple(place for place, (theirs, ours) in pairs if theirs != ours)
        if not missing:
            return LoadBuckets(answer, (), (), last=True)
        self._snapshot = _Snapshot(answer, missing)
        return None

    def _no_newer_offer(self, answer: SnapshotOffer, now_ms: float, draw: float) -> None:
        """It is right to offer what is in force where a snapshot was asked for, and wrong else."""
        expected, self._wants_snapshot = self._wants_snapshot, False
        same = answer.revision == self.in_force.revision and answer.digest == self.in_force.digest
        if not (expected and same):
            self._set_back(Failure.OLDER, now_ms, draw)

    def _chunk(self, answer: Chunk | Compacted, now_ms: float, draw: float) -> Work | None:
        snapshot = self._snapshot
        if snapshot is None:
            self._set_back(Failure.GARBAGE, now_ms, draw)
            return None
        if isinstance(answer, Compacted):
            self._heard()
            self._snapshot = None
            return None
        wanted = snapshot.wanted
        if answer.revision != snapshot.offer.revision or len(answer.buckets) != len(wanted):
            self._set_back(Failure.GARBAGE, now_ms, draw)
            return None
        self._heard()
        self._progresses = True
        snapshot.missing = snapshot.missing[len(wanted) :]
        last = not snapshot.missing
        if last:
            self._snapshot = None
        return LoadBuckets(snapshot.offer, wanted, answer.buckets, last)

    # ---- In force

    def put_in_force(self, position: Position) -> None:
        """The swap has been made. ValueError: it would go back."""
        if position.revision <= self.in_force.revision:
            raise ValueError(f"revision {position.revision} after {self.in_force.revision}")
        self.in_force = position
        self._wants_snapshot = False
