"""The document of one revision as an immutable digest tree.

Each section is split into a fixed number of buckets by a checksum of the items' names. A bucket has a digest
of its encoding, and the document has a digest of all bucket digests (a Merkle tree of two levels). Two
processes that have the same digest have the same document; two that differ find out which buckets differ by
comparing 608 digests. Revisions share the buckets that did not change.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator, Mapping
from itertools import chain
from types import MappingProxyType
from typing import Any

import msgspec
from blake3 import blake3

from brackenloft.configuration.model import FIRST_REVISION, ITEM_TYPES, Delta, Item, Items, Names, Section

BUCKETS: Mapping[Section, int] = MappingProxyType(
    {Section.SERVICES: 16, Section.ROUTES: 64, Section.PLANS: 16, Section.TENANTS: 512}
)
TOTAL_BUCKETS = sum(BUCKETS.values())
DIGEST_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[Section, msgspec.msgpack.Decoder[Any]] = {
    section: msgspec.msgpack.Decoder(list[kind])  # type: ignore[valid-type]
    for section, kind in ITEM_TYPES.items()
}


def _first_buckets() -> dict[Section, int]:
    """The flat index of each section's first bucket."""
    first, index = {}, 0
    for section in Section:
        first[section] = index
        index += BUCKETS[section]
    return first


FIRST_BUCKET: Mapping[Section, int] = MappingProxyType(_first_buckets())
_SECTION_OF_BUCKET = tuple(section for section in Section for _ in range(BUCKETS[section]))


class DigestMismatch(Exception):  # noqa: N818  part of the interface agreed on
    """Content does not have the digest that it should have: it was damaged, or is of another revision."""


class BucketError(DigestMismatch):
    """An encoded bucket has its digest, but does not hold what belongs into that bucket."""


def digest_of(data: bytes) -> bytes:
    """The digest used throughout the configuration: the first 16 bytes of BLAKE3."""
    return blake3(data).digest(length=DIGEST_BYTES)


def bucket_index(section: Section, name: str) -> int:
    """The flat index of the bucket that an item belongs to."""
    return FIRST_BUCKET[section] + zlib.crc32(name.encode()) % BUCKETS[section]


def section_of_bucket(index: int) -> Section:
    """The section of a bucket, by the bucket's flat index."""
    return _SECTION_OF_BUCKET[index]


class Bucket:
    """Items by name, never mutated, with the digest of their encoding."""

    __slots__ = ("digest", "items")

    def __init__(self, items: Mapping[str, Item], digest: bytes) -> None:
        self.items = items
        self.digest = digest


def encode_items(items: Mapping[str, Item]) -> bytes:
    """The encoding of a bucket: a MessagePack array of its items, sorted by name."""
    return _ENCODER.encode([items[name] for name in sorted(items)])


def bucket_of(items: Mapping[str, Item]) -> Bucket:
    """A bucket of these items; the mapping must not be changed afterwards."""
    return Bucket(items, digest_of(encode_items(items)))


def decode_bucket(index: int, data: bytes, digest: bytes) -> Bucket:
    """Read an encoded bucket. DigestMismatch where a byte is damaged, BucketError where it is another's."""
    if digest_of(data) != digest:
        raise DigestMismatch(f"bucket {index}: the content does not have its digest")
    try:
        listed = _DECODERS[section_of_bucket(index)].decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise BucketError(f"bucket {index}: {error}") from error
    _check_order(index, listed)
    return Bucket({item.name: item for item in listed}, digest)


def _check_order(index: int, listed: list[Item]) -> None:
    section = section_of_bucket(index)
    before = None
    for item in listed:
        if before is not None and item.name <= before:
            raise BucketError(f"bucket {index}: {item.name!r:.60} is out of order")
        if bucket_index(section, item.name) != index:
            raise BucketError(f"bucket {index}: {item.name!r:.60} belongs to another bucket")
        before = item.name


class Tree:
    """A whole document. Immutable: a change makes another tree, see ``builder.Builder``."""

    __slots__ = ("buckets", "digest")

    def __init__(self, buckets: tuple[Bucket, ...]) -> None:
        if len(buckets) != TOTAL_BUCKETS:
            raise ValueError(f"{len(buckets)} buckets instead of {TOTAL_BUCKETS}")
        self.buckets = buckets
        self.digest = digest_of(b"".join([bucket.digest for bucket in buckets]))

    @classmethod
    def empty(cls) -> Tree:
        """The document of revision 0."""
        return _EMPTY

    @property
    def bucket_digests(self) -> tuple[bytes, ...]:
        """The digest of each bucket, by flat index: sections in the order of ``Section``."""
        return tuple(bucket.digest for bucket in self.buckets)

    def get(self, section: Section, name: str) -> Item | None:
        """The item of this name, or None."""
        return self.buckets[bucket_index(section, name)].items.get(name)

    def items(self, section: Section) -> Iterator[Item]:
        """All items of a section, in no particular order."""
        return chain.from_iterable(bucket.items.values() for bucket in self._of(section))

    def count(self, section: Section) -> int:
        """The number of items of a section."""
        return sum(len(bucket.items) for bucket in self._of(section))

    def encode_bucket(self, index: int) -> bytes:
        """The encoding whose digest is ``bucket_digests[index]``."""
        return encode_items(self.buckets[index].items)

    def differing(self, digests: tuple[bytes, ...]) -> tuple[int, ...]:
        """The flat indices of the buckets that have another digest here than in ``digests``."""
        if len(digests) != TOTAL_BUCKETS:
            raise ValueError(f"{len(digests)} bucket digests instead of {TOTAL_BUCKETS}")
        pairs = enumerate(zip(self.buckets, digests, strict=True))
        return tuple(index for index, (bucket, digest) in pairs if bucket.digest != digest)

    def _of(self, section: Section) -> tuple[Bucket, ...]:
        first = FIRST_BUCKET[section]
        return self.buckets[first : first + BUCKETS[section]]


_EMPTY = Tree((bucket_of({}),) * TOTAL_BUCKETS)


def difference(old: Tree, new: Tree, base: int = FIRST_REVISION) -> Delta:
    """The change that leads from one document to another; ``base`` is the revision of the old one."""
    put: dict[Section, list[Item]] = {section: [] for section in Section}
    remove: dict[Section, list[str]] = {section: [] for section in Section}
    for index in new.differing(old.bucket_digests):
        section = section_of_bucket(index)
        before, after = old.buckets[index].items, new.buckets[index].items
        put[section] += [after[name] for name in sorted(after) if before.get(name) != after[name]]
        remove[section] += sorted(before.keys() - after.keys())
    return Delta(
        base,
        put=Items(**{section.value: tuple(items) for section, items in put.items()}),  # type: ignore[arg-type]
        remove=Names(**{section.value: tuple(names) for section, names in remove.items()}),
    )
