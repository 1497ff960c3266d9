"""Makes the tree of another revision from a base, in steps so short that they do not hold an event loop."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from brackenloft.configuration import tree as trees
from brackenloft.configuration.model import Delta, Item, Section
from brackenloft.configuration.tree import Bucket, DigestMismatch, Tree

ITEMS_PER_STEP = 100  # names that one step sorts into buckets; about 0.1 ms


class Builder:
    """Changes on a base tree, bucket by bucket; buckets that do not change are shared with the base.

    Use ``steps`` for each delta in turn, or ``load_bucket`` for each bucket of a snapshot that differs, and
    then ``finish``. The base stays as it is, also when the building is given up halfway.
    """

    def __init__(self, base: Tree) -> None:
        self._base = base
        self._buckets = list(base.buckets)

    def steps(self, delta: Delta) -> Iterator[None]:
        """Apply a delta; each step is well under 1 ms. One delta's steps end before the next's begin."""
        changes: dict[int, dict[str, Item | None]] = {}
        for section in Section:
            names: Sequence[str] = getattr(delta.remove, section)
            for first in range(0, len(names), ITEMS_PER_STEP):
                for name in names[first : first + ITEMS_PER_STEP]:
                    changes.setdefault(trees.bucket_index(section, name), {})[name] = None
                yield
            items: Sequence[Item] = getattr(delta.put, section)
            for first in range(0, len(items), ITEMS_PER_STEP):
                for item in items[first : first + ITEMS_PER_STEP]:
                    changes.setdefault(trees.bucket_index(section, item.name), {})[item.name] = item
                yield
        for index, changed in changes.items():
            self._change(index, changed)
            yield

    def load_bucket(self, index: int, data: bytes, digest: bytes) -> None:
        """Replace a bucket by an encoded one. DigestMismatch where a byte of it is damaged."""
        if not 0 <= index < trees.TOTAL_BUCKETS:
            raise DigestMismatch(f"bucket {index}: there is none of this index")
        self._set(index, trees.decode_bucket(index, data, digest))

    def finish(self, expected_digest: bytes) -> Tree:
        """The tree after all changes. DigestMismatch where it is not the document that was expected."""
        built = self._built()
        if built.digest != expected_digest:
            raise DigestMismatch("the document does not have the digest of its revision")
        return built

    def _built(self) -> Tree:
        return Tree(tuple(self._buckets))

    def _change(self, index: int, changed: dict[str, Item | None]) -> None:
        items = dict(self._buckets[index].items)
        for name, item in changed.items():
            if item is None:
                items.pop(name, None)
            else:
                items[name] = item
        self._set(index, trees.bucket_of(items))

    def _set(self, index: int, bucket: Bucket) -> None:
        same = self._base.buckets[index]
        self._buckets[index] = same if same.digest == bucket.digest else bucket


def apply(base: Tree, delta: Delta) -> Tree:
    """The tree after a delta, in one go; for processes that have no loop to keep free."""
    builder = Builder(base)
    for _ in builder.steps(delta):
        pass
    return builder._built()
