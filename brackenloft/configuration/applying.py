"""Building the next revision beside the one in force, in short slices of the event loop, then one swap.

While a revision is built the loop serves requests by the one in force; only ``Target.swap`` changes what they
see. Nothing of a revision that turns out wrong is ever seen.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Protocol

from brackenloft.configuration.builder import Builder
from brackenloft.configuration.following import ApplyRecords, LoadBuckets, Position, Work
from brackenloft.configuration.model import FIRST_REVISION
from brackenloft.configuration.tree import Tree

SLICE_MS = 0.5  # of the loop at once, and one step that has begun: together well below 1 ms
REST_MS = (
    2.0  # between two slices, for everybody else: a fifth of the loop is taken while a revision is built
)


class Target(Protocol):
    """What a revision is put in force in."""

    def prepare(self, tree: Tree) -> Iterator[None]:
        """Get ready for a document, in steps of well under 1 ms. ValueError: it can't be used."""

    def swap(self, tree: Tree) -> None:
        """Put the document that was prepared last in force, between two requests."""


class Listener:
    """A target that only tells a callback of each document, when it is in force."""

    def __init__(self, on_revision: Callable[[Tree], None]) -> None:
        self.swap = on_revision

    def prepare(self, tree: Tree) -> Iterator[None]:
        """There is nothing to get ready."""
        return iter(())


def _clock_ms() -> float:
    return time.perf_counter() * 1000.0


class Slices:
    """Runs steps on the event loop, ``SLICE_MS`` at once, and measures for how long each slice held it."""

    def __init__(self, clock_ms: Callable[[], float] = _clock_ms, rest_ms: float = REST_MS) -> None:
        self.clock_ms, self.rest_ms = clock_ms, rest_ms
        self.count, self.longest_ms, self.total_ms = 0, 0.0, 0.0

    async def run(self, steps: Iterator[None]) -> None:
        """All steps; what they raise is raised here."""
        while not self._slice(steps):
            await asyncio.sleep(self.rest_ms / 1000.0)

    def _slice(self, steps: Iterator[None]) -> bool:
        """One slice; whether that was the last."""
        began_ms = self.clock_ms()
        try:
            return all(self.clock_ms() - began_ms < SLICE_MS for _ in steps)
        finally:
            took_ms = self.clock_ms() - began_ms
            self.count += 1
            self.total_ms += took_ms
            self.longest_ms = max(self.longest_ms, took_ms)


class Applier:
    """The document in force, and the one that is being built."""

    def __init__(self, target: Target, tree: Tree | None = None, slices: Slices | None = None) -> None:
        self.target, self.tree = target, tree or Tree.empty()
        self.slices = slices or Slices()
        self._offer_digest = b""  # of the snapshot that is being loaded
        self._builder: Builder | None = None

    def position(self, revision: int = FIRST_REVISION) -> Position:
        """What is in force, as this revision."""
        return Position(revision, self.tree.digest, self.tree.bucket_digests)

    async def apply(self, work: Work) -> Position | None:
        """Do what an answer brought; what is in force after a swap, None if more is needed for one.

        DigestMismatch: it is not the document that its revision should be. ValueError: the target can't use
        it. Either way what was in force still is.
        """
        if isinstance(work, ApplyRecords):
            last = work.records[-1]
            builder = Builder(self.tree)
            steps = chain.from_iterable(builder.steps(record.delta) for record in work.records)
            return await self._finish(builder, steps, last.revision, last.digest)
        try:
            return await self._load(work)
        except BaseException:
            self._builder = None
            raise

    async def _load(self, work: LoadBuckets) -> Position | None:
        builder = self._builder
        if builder is None or work.offer.digest != self._offer_digest:
            builder = self._builder = Builder(self.tree)
            self._offer_digest = work.offer.digest
        steps = _load_steps(builder, work)
        if not work.last:
            await self.slices.run(steps)
            return None
        position = await self._finish(builder, steps, work.offer.revision, work.offer.digest)
        self._builder = None
        return position

    async def _finish(
        self, builder: Builder, steps: Iterator[None], revision: int, digest: bytes
    ) -> Position:
        await self.slices.run(steps)
        tree = builder.finish(digest)
        await self.slices.run(self.target.prepare(tree))
        self.target.swap(tree)
        self.tree = tree
        return self.position(revision)


def _load_steps(builder: Builder, work: LoadBuckets) -> Iterator[None]:
    for place, bucket in zip(work.places, work.buckets, strict=True):
        builder.load_bucket(place, bucket, work.offer.buckets[place])
        yield
