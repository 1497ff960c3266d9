"""Guards taken out of the program at run time, by name, to see that the trials' checkers find it.

Modules that a process does not need are imported by the mutant that changes them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

from brackenloft.configuration.builder import Builder
from brackenloft.configuration.following import Following, LoadBuckets, Position, Work
from brackenloft.configuration.messages import FollowRequest, SnapshotOffer
from brackenloft.configuration.tree import Tree


def older_taken() -> None:
    """A gateway takes whatever revision a server offers, also an older one after a failover."""

    def offer_taken(self: Following, answer: SnapshotOffer, now_ms: float, draw: float) -> Work | None:
        if answer.revision == self.in_force.revision:
            return None
        newest, self.in_force = self.in_force, Position(-1, self.in_force.digest, self.in_force.buckets)
        try:
            return guarded_offer(self, answer, now_ms, draw)
        finally:
            self.in_force = newest

    def put_in_force(self: Following, position: Position) -> None:
        self.in_force = position

    guarded_offer = Following._offer
    Following._offer = offer_taken  # type: ignore[method-assign]
    Following.put_in_force = put_in_force  # type: ignore[method-assign]


def early_swap() -> None:
    """A gateway swaps to what is built before the last slice, and once more after it.

    Slices are one step each, so that a document of a trial's size has many.
    """
    from brackenloft.configuration import applying

    async def finish_early(
        self: applying.Applier, builder: Builder, steps: Iterator[None], revision: int, digest: bytes
    ) -> Position:
        while next(steps, self) is None:
            self.target.swap(Tree(tuple(builder._buckets)))
            await asyncio.sleep(self.slices.rest_ms / 1000.0)
        return await finish(self, builder, steps, revision, digest)

    async def load_early(self: applying.Applier, work: LoadBuckets) -> Position | None:
        position = await load(self, work)
        if position is None and self._builder:
            self.target.swap(Tree(tuple(self._builder._buckets)))
        return position

    finish, load = applying.Applier._finish, applying.Applier._load
    applying.SLICE_MS = 0.0
    applying.Applier._finish = finish_early  # type: ignore[method-assign]
    applying.Applier._load = load_early  # type: ignore[method-assign]


def digest_ignored() -> None:
    """A gateway does not compare the digest of what it built with that of its revision."""

    def finish(self: Builder, expected_digest: bytes) -> Tree:
        return self._built()

    Builder.finish = finish  # type: ignore[method-assign]


def confirmed_when_sent() -> None:
    """A control server counts a revision as in force at a gateway when it has sent it."""
    from brackenloft.configuration.following_service import FollowingService
    from brackenloft.configuration.messages import Changes

    def encode_and_confirm(self: FollowingService, request: FollowRequest, answer: Any) -> bytes:
        if isinstance(answer, Changes):
            self._enrolment.confirm(request.follower, answer.records[-1].revision)
        elif isinstance(answer, SnapshotOffer):
            self._enrolment.confirm(request.follower, answer.revision)
        return encode(self, request, answer)

    encode = FollowingService._encode
    FollowingService._encode = encode_and_confirm  # type: ignore[method-assign]


SERVER_MUTANTS = ("confirmed_when_sent",)  # they change control servers; all others gateways
MUTANTS: dict[str, Callable[[], None]] = {
    "older_taken": older_taken,
    "early_swap": early_swap,
    "digest_ignored": digest_ignored,
    "confirmed_when_sent": confirmed_when_sent,
}
