"""Messages as bytes: what is read is what was written, or it is refused within bounds."""

from __future__ import annotations

import random
import zlib

import msgspec
import pytest
from configuration_strategies import deltas
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration.codec import CodecError, decode, encode, most_encoded_bytes
from brackenloft.configuration.messages import (
    Busy,
    Changes,
    Chunk,
    ChunkAnswer,
    Fault,
    FollowAnswer,
    Invalid,
    PublishAnswer,
    PublishRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.model import Record
from brackenloft.configuration.tree import digest_of

LONGEST_BYTES = 4096
REVISIONS = st.integers(0, 2**63)
DIGESTS = st.binary(min_size=16, max_size=16)
RECORDS = st.builds(Record, st.integers(1, 99), DIGESTS, deltas(), st.text(max_size=5))
FOLLOW_ANSWERS = st.one_of(
    st.builds(Unchanged, REVISIONS, st.floats(0, 1e6)),
    st.builds(Changes, st.lists(RECORDS, max_size=3).map(tuple), st.floats(0, 1e6)),
    st.builds(SnapshotOffer, REVISIONS, DIGESTS, st.lists(DIGESTS, max_size=9).map(tuple), st.floats(0, 1e6)),
    st.builds(Busy, st.floats(0, 1e6)),
)


def sealed(body: bytes) -> bytes:
    """Any bytes with their right digest before them."""
    return digest_of(body) + body


@settings(derandomize=True, deadline=None)
@given(FOLLOW_ANSWERS)
def test_what_is_read_is_what_was_written(answer):
    assert decode(encode(answer), FollowAnswer) == answer


@settings(derandomize=True, deadline=None)
@given(deltas())
def test_a_request_is_read_without_a_tag(delta):
    request = PublishRequest(delta, "ana", "why")
    assert decode(encode(request), PublishRequest) == request


@settings(derandomize=True, deadline=None)
@given(FOLLOW_ANSWERS, st.data())
def test_any_damaged_byte_is_noticed(answer, data):
    damaged = bytearray(encode(answer))
    damaged[data.draw(st.integers(0, len(damaged) - 1))] ^= data.draw(st.integers(1, 255))
    with pytest.raises(CodecError):
        decode(bytes(damaged), FollowAnswer)


def test_each_byte_is_covered_and_each_truncation_noticed():
    good = encode(Invalid((Fault("routes.a", "no such service"),)))
    for place in range(len(good)):
        damaged = bytearray(good)
        damaged[place] ^= 0x46  # among others turns one valid header of zlib into another
        with pytest.raises(CodecError):
            decode(bytes(damaged), PublishAnswer)
        with pytest.raises(CodecError):
            decode(good[:place], PublishAnswer)
    with pytest.raises(CodecError):
        decode(good + b"\0", PublishAnswer)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_garbage_is_a_clear_error(garbage):
    with pytest.raises(CodecError):
        decode(garbage, FollowAnswer)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_garbage_with_a_right_digest_is_refused_too(garbage, compressed):
    with pytest.raises(CodecError):
        decode(sealed(zlib.compress(garbage) if compressed else garbage), SnapshotOffer)


def test_an_answer_of_another_type_is_refused():
    with pytest.raises(CodecError, match="type"):
        decode(encode(Chunk(1, (b"x",))), FollowAnswer)
    with pytest.raises(CodecError):
        decode(encode({"type": "Unchanged", "revision": "one", "verified_ms": 0.0}), FollowAnswer)
    assert decode(encode(Busy(5.0)), FollowAnswer) == decode(encode(Busy(5.0)), ChunkAnswer)


def test_an_endless_answer_is_not_decompressed_beyond_the_bound(monkeypatch):
    asked: list[int] = []
    real = zlib.decompressobj

    class Watched:
        def __init__(self) -> None:
            self.inner = real()

        def decompress(self, data: bytes, most: int) -> bytes:
            asked.append(most)
            return self.inner.decompress(data, most)

        def __getattr__(self, name: str):
            return getattr(self.inner, name)

    monkeypatch.setattr(zlib, "decompressobj", Watched)
    bomb = encode(Chunk(1, (bytes(LONGEST_BYTES * 1000),)))
    assert len(bomb) < most_encoded_bytes(LONGEST_BYTES)
    with pytest.raises(CodecError, match="longer than"):
        decode(bomb, ChunkAnswer, LONGEST_BYTES)
    assert asked == [LONGEST_BYTES + 1]


def test_the_bound_is_exact():
    body = msgspec.msgpack.encode(Busy(1.0))
    assert decode(encode(Busy(1.0)), FollowAnswer, len(body)) == Busy(1.0)
    with pytest.raises(CodecError, match="longer than"):
        decode(encode(Busy(1.0)), FollowAnswer, len(body) - 1)


def test_too_many_bytes_are_refused_before_they_are_read():
    with pytest.raises(CodecError, match="more than"):
        decode(bytes(most_encoded_bytes(LONGEST_BYTES) + 1), FollowAnswer, LONGEST_BYTES)


def test_incompressible_content_up_to_the_bound_fits():
    content = random.Random(3).randbytes(LONGEST_BYTES - 64)
    data = encode(Chunk(1, (content,)))
    assert decode(data, ChunkAnswer, LONGEST_BYTES) == Chunk(1, (content,))


def test_bytes_after_the_end_and_a_missing_end_are_refused():
    body = zlib.compress(msgspec.msgpack.encode(Busy(1.0)))
    for wrong in (body + b"x", body[:-1], body[:-4]):
        with pytest.raises(CodecError):
            decode(sealed(wrong), FollowAnswer)


def test_deep_nesting_is_a_clear_error():
    nested = b"\x81\xa1x" + b"\x91" * 100_000 + b"\x90"
    with pytest.raises(CodecError):
        decode(sealed(zlib.compress(nested)), SnapshotOffer)
