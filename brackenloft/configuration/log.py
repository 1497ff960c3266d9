"""The latest records of a control server, and what a gateway is answered from them.

The log is bounded: old records are compacted, and a gateway that is further behind takes a snapshot of the
document instead. Pure: no clock, no I/O.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from brackenloft.configuration.messages import (
    Changes,
    Chunk,
    ChunkRequest,
    Compacted,
    FollowRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.model import FIRST_REVISION, Record, Standing
from brackenloft.configuration.tree import TOTAL_BUCKETS, Tree

MOST_RECORDS = 2_000  # over two days of the 870 changes a day
MOST_LOG_BYTES = 32 * 1024 * 1024  # a few changes of the longest kind
LONGEST_CHANGES_BYTES = 48 * 1024  # of one answer: a gateway decodes 940 tenants in about 0.4 ms
MOST_TREES = 32  # revisions of which buckets can still be asked for
MOST_CHUNK_BUCKETS = 64  # of one answer

_ENCODER = msgspec.msgpack.Encoder()


class OutOfOrder(ValueError):  # noqa: N818
    """A record does not follow the newest one."""


class UnknownBucket(ValueError):  # noqa: N818
    """A request for buckets that do not exist, or for too many of them."""


class Log:
    """Records without a gap from after ``start`` up to the newest.

    The records of ``start`` and before are compacted; of ``start`` itself the digest is known.
    """

    def __init__(
        self,
        start: Standing | None = None,
        most_records: int = MOST_RECORDS,
        most_bytes: int = MOST_LOG_BYTES,
    ) -> None:
        self.start = start or Standing(FIRST_REVISION, Tree.empty().digest)
        self.bytes = 0
        self.most_records = most_records
        self._most_bytes = most_bytes
        self._records: list[Record] = []
        self._sizes: list[int] = []

    def __len__(self) -> int:
        return len(self._records)

    @property
    def newest(self) -> Standing:
        """The revision after the last record."""
        if not self._records:
            return self.start
        last = self._records[-1]
        return Standing(last.revision, last.digest)

    def append(self, record: Record) -> None:
        """Add the next record, and compact. OutOfOrder if it is not the next."""
        expected = self.newest.revision + 1
        if record.revision != expected or record.delta.base != expected - 1:
            raise OutOfOrder(f"revision {record.revision} of base {record.delta.base} instead of {expected}")
        size = len(_ENCODER.encode(record))
        self._records.append(record)
        self._sizes.append(size)
        self.bytes += size
        self._compact()

    def digest_at(self, revision: int) -> bytes | None:
        """The digest of the document of a revision, or None where it is compacted or not known yet."""
        if revision == self.start.revision:
            return self.start.digest
        position = revision - self.start.revision - 1
        return self._records[position].digest if 0 <= position < len(self._records) else None

    def records_after(self, revision: int) -> tuple[Record, ...] | Compacted:
        """All records after a revision, in order; none if it is the newest or beyond."""
        if revision < self.start.revision:
            return Compacted(self.start.revision, self.newest.revision)
        return tuple(self._records[revision - self.start.revision :])

    def first_records_after(self, revision: int, longest_bytes: int) -> tuple[Record, ...]:
        """The records after a revision that fit, in order and without a gap; none if not even one does."""
        first = max(revision - self.start.revision, 0)
        fitting = first
        room_bytes = longest_bytes
        while fitting < len(self._records) and self._sizes[fitting] <= room_bytes:
            room_bytes -= self._sizes[fitting]
            fitting += 1
        return tuple(self._records[first:fitting])

    def _compact(self) -> None:
        while len(self._records) > self.most_records or self.bytes > self._most_bytes:
            gone = self._records.pop(0)
            self.bytes -= self._sizes.pop(0)
            self.start = Standing(gone.revision, gone.digest)


def follow_answer(
    log: Log,
    tree: Tree,
    request: FollowRequest,
    verified_ms: float,
    longest_bytes: int = LONGEST_CHANGES_BYTES,
) -> Unchanged | Changes | SnapshotOffer:
    """What to answer a gateway; ``tree`` is the document of the log's newest revision.

    Unchanged where it has the newest revision in force or a later one than this server knows, Changes where
    the log reaches back to a document with the digest that it has, else a SnapshotOffer. A change that is too
    long for one answer is taken as a snapshot too: of that, a gateway decodes a bucket at a time.
    """
    newest = log.newest
    if request.in_force > newest.revision:
        return Unchanged(newest.revision, verified_ms)
    if log.digest_at(request.in_force) != request.digest:
        return _offer(newest, tree, verified_ms)
    if request.in_force == newest.revision:
        return Unchanged(newest.revision, verified_ms)
    records = log.first_records_after(request.in_force, longest_bytes)
    return Changes(records, verified_ms) if records else _offer(newest, tree, verified_ms)


def _offer(newest: Standing, tree: Tree, verified_ms: float) -> SnapshotOffer:
    return SnapshotOffer(newest.revision, newest.digest, tree.bucket_digests, verified_ms)


class RecentTrees:
    """The documents of the latest revisions: a snapshot that is being fetched outlives a few changes.

    They share the buckets that did not change, so that each costs little.
    """

    def __init__(self, most: int = MOST_TREES) -> None:
        self._most = most
        self._trees: OrderedDict[int, Tree] = OrderedDict()

    def add(self, revision: int, tree: Tree) -> None:
        """Keep the document of a revision, and forget the oldest beyond the bound."""
        self._trees[revision] = tree
        self._trees.move_to_end(revision)
        while len(self._trees) > self._most:
            self._trees.popitem(last=False)

    def get(self, revision: int) -> Tree | None:
        """The document of a revision, if it is kept."""
        return self._trees.get(revision)

    def answer(self, request: ChunkRequest) -> Chunk | Compacted:
        """The buckets that a gateway asks for. UnknownBucket for a request that no gateway should make."""
        if not 0 < len(request.buckets) <= MOST_CHUNK_BUCKETS:
            raise UnknownBucket(f"not 1 to {MOST_CHUNK_BUCKETS} buckets: {len(request.buckets)}")
        if not all(0 <= index < TOTAL_BUCKETS for index in request.buckets):
            raise UnknownBucket(f"buckets are from 0 to {TOTAL_BUCKETS - 1}")
        tree = self._trees.get(request.revision)
        if tree is None:
            return Compacted(min(self._trees, default=0), max(self._trees, default=0))
        return Chunk(request.revision, tuple(tree.encode_bucket(index) for index in request.buckets))
