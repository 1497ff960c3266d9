"""The log: records without a gap, compaction by number and bytes, and what a gateway is answered."""

from __future__ import annotations

import msgspec
import pytest
from configuration_strategies import deltas
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.log import (
    MOST_CHUNK_BUCKETS,
    Log,
    OutOfOrder,
    RecentTrees,
    UnknownBucket,
    follow_answer,
)
from brackenloft.configuration.messages import (
    Changes,
    Chunk,
    ChunkRequest,
    Compacted,
    Follower,
    FollowRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.model import Delta, Items, Plan, Record, Section, Standing
from brackenloft.configuration.tree import TOTAL_BUCKETS, Tree

FOLLOWER = Follower("g", "run", 1, "north")
CHANGES = st.lists(deltas(), max_size=6)


def records_of(changes: list[Delta]) -> tuple[list[Record], list[Tree]]:
    """The records of changes, and the document at each revision from 0."""
    records, trees = [], [Tree.empty()]
    for base, change in enumerate(changes):
        delta = msgspec.structs.replace(change, base=base)
        trees.append(apply(trees[-1], delta))
        records.append(Record(base + 1, trees[-1].digest, delta))
    return records, trees


def log_of(records: list[Record], **bounds: int) -> Log:
    log = Log(**bounds)
    for record in records:
        log.append(record)
    return log


def plans(count: int) -> list[Delta]:
    return [Delta(0, Items(plans=(Plan("p", price=float(number + 1)),))) for number in range(count)]


def encoded_bytes(record: Record) -> int:
    return len(msgspec.msgpack.encode(record))


def asks(in_force: int, digest: bytes) -> FollowRequest:
    return FollowRequest(FOLLOWER, in_force, digest)


@settings(derandomize=True, deadline=None)
@given(CHANGES, st.integers(1, 4), st.integers(100, 3000))
def test_the_log_is_within_its_bounds_and_has_no_gap(changes, most_records, most_bytes):
    records, trees = records_of(changes)
    log = log_of(records, most_records=most_records, most_bytes=most_bytes)
    start = log.start.revision
    kept = records[start:]
    assert log.records_after(start) == tuple(kept)
    assert log.newest == Standing(len(records), trees[-1].digest)
    assert len(log) == len(kept) <= most_records
    assert log.bytes == sum(map(encoded_bytes, kept)) <= most_bytes
    if start:  # one more would be beyond a bound
        assert len(kept) == most_records or log.bytes + encoded_bytes(records[start - 1]) > most_bytes
    for revision, tree in enumerate(trees):
        assert log.digest_at(revision) == (tree.digest if revision >= start else None)
        if revision < start:
            assert log.records_after(revision) == Compacted(start, len(records))
        else:
            assert log.records_after(revision) == tuple(records[revision:])
    assert log.digest_at(len(trees)) is None
    assert log.records_after(len(trees)) == ()


@settings(derandomize=True, deadline=None)
@given(CHANGES, st.integers(1, 6), st.integers(1, 2000), st.data())
def test_a_gateway_that_follows_answers_reaches_the_newest_document(changes, most_records, longest, data):
    records, trees = records_of(changes)
    log = log_of(records, most_records=most_records)
    in_force = data.draw(st.integers(0, len(records)))
    tree = trees[in_force]
    for _ in range(len(records) + 1):
        answer = follow_answer(log, trees[-1], asks(in_force, tree.digest), 5.0, longest)
        assert answer.verified_ms == 5.0
        if isinstance(answer, Unchanged):
            break
        builder = Builder(tree)
        if isinstance(answer, Changes):
            assert sum(map(encoded_bytes, answer.records)) <= longest
            assert [record.revision for record in answer.records] == list(
                range(in_force + 1, in_force + 1 + len(answer.records))
            )
            for record in answer.records:
                list(builder.steps(record.delta))
            in_force, digest = answer.records[-1].revision, answer.records[-1].digest
        else:
            for index in tree.differing(answer.buckets):
                builder.load_bucket(index, trees[-1].encode_bucket(index), answer.buckets[index])
            in_force, digest = answer.revision, answer.digest
        tree = builder.finish(digest)
    assert answer == Unchanged(len(records), 5.0)
    assert in_force == len(records) and tree.digest == trees[-1].digest


def test_changes_are_coalesced_up_to_a_bound():
    records, trees = records_of(plans(50))
    log = log_of(records)
    answer = follow_answer(log, trees[-1], asks(0, trees[0].digest), 0.0)
    assert answer == Changes(tuple(records), 0.0)
    two = sum(map(encoded_bytes, records[10:12]))
    for bound, expected in ((two, records[10:12]), (two - 1, records[10:11])):
        assert follow_answer(log, trees[-1], asks(10, trees[10].digest), 0.0, bound) == Changes(
            tuple(expected), 0.0
        )


def test_a_change_that_is_too_long_is_taken_as_a_snapshot():
    records, trees = records_of(plans(3))
    bound = encoded_bytes(records[1]) - 1
    answer = follow_answer(log_of(records), trees[-1], asks(1, trees[1].digest), 0.0, bound)
    assert answer == SnapshotOffer(3, trees[-1].digest, trees[-1].bucket_digests, 0.0)


def test_another_digest_at_the_same_revision_gets_a_snapshot():
    records, trees = records_of(plans(3))
    log = log_of(records)
    for in_force in range(4):
        answer = follow_answer(log, trees[-1], asks(in_force, b"x" * 16), 0.0)
        assert isinstance(answer, SnapshotOffer) and answer.revision == 3


def test_a_gateway_behind_the_log_gets_a_snapshot():
    records, trees = records_of(plans(5))
    log = log_of(records, most_records=2)
    assert isinstance(follow_answer(log, trees[-1], asks(2, trees[2].digest), 0.0), SnapshotOffer)
    assert isinstance(follow_answer(log, trees[-1], asks(3, trees[3].digest), 0.0), Changes)


def test_a_gateway_ahead_of_this_server_is_told_what_stands_here():
    records, trees = records_of(plans(2))
    assert follow_answer(log_of(records), trees[-1], asks(9, b"z" * 16), 1.0) == Unchanged(2, 1.0)


def test_a_log_begins_at_a_snapshot():
    records, trees = records_of(plans(4))
    log = Log(Standing(2, trees[2].digest))
    with pytest.raises(OutOfOrder):
        log.append(records[1])
    log.append(records[2])
    assert log.records_after(1) == Compacted(2, 3)
    assert log.records_after(2) == (records[2],)
    assert log.newest == Standing(3, trees[3].digest)


def test_records_out_of_order_are_refused():
    records, _ = records_of(plans(3))
    log = log_of(records[:1])
    for wrong in (records[0], records[2], msgspec.structs.replace(records[1], delta=Delta(0))):
        with pytest.raises(OutOfOrder):
            log.append(wrong)
    assert log.newest.revision == 1


def test_buckets_of_recent_revisions_can_be_asked_for():
    _, trees = records_of(plans(4))
    recent = RecentTrees(2)
    assert recent.answer(ChunkRequest(1, (0,))) == Compacted(0, 0)
    for revision, tree in enumerate(trees):
        recent.add(revision, tree)
    index = next(iter(trees[3].differing(trees[4].bucket_digests)))
    assert recent.answer(ChunkRequest(3, (index, 0))) == Chunk(
        3, (trees[3].encode_bucket(index), trees[3].encode_bucket(0))
    )
    assert recent.answer(ChunkRequest(2, (0,))) == Compacted(3, 4)
    assert recent.get(2) is None and recent.get(4) is trees[4]
    assert trees[4].get(Section.PLANS, "p") == Plan("p", price=4.0)


@pytest.mark.parametrize("buckets", [(), (-1,), (TOTAL_BUCKETS,), tuple(range(MOST_CHUNK_BUCKETS + 1))])
def test_a_request_of_no_or_too_many_buckets_is_refused(buckets):
    recent = RecentTrees()
    recent.add(0, Tree.empty())
    with pytest.raises(UnknownBucket):
        recent.answer(ChunkRequest(0, buckets))
