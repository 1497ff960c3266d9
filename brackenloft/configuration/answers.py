"""Encoded answers, kept so that followers in the same position cost one encoding between them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Hashable

from brackenloft.configuration import codec
from brackenloft.configuration.log import RecentTrees
from brackenloft.configuration.messages import Changes, ChunkRequest, Compacted, SnapshotOffer, Unchanged

MOST_ANSWERS = 128
MOST_CHUNK_BYTES = 32 * 1024 * 1024


class FollowAnswers:
    """The latest answers to followers, as bytes."""

    def __init__(self) -> None:
        self._kept: OrderedDict[Hashable, bytes] = OrderedDict()
        self.encoded = 0

    def encode(self, in_force: int, answer: Unchanged | Changes | SnapshotOffer) -> bytes:
        """An answer to a follower that has a revision in force."""
        key = _key(in_force, answer)
        body = self._kept.get(key)
        if body is None:
            body = codec.encode(answer)
            self.encoded += 1
            self._kept[key] = body
            if len(self._kept) > MOST_ANSWERS:
                self._kept.popitem(last=False)
        return body


def _key(in_force: int, answer: Unchanged | Changes | SnapshotOffer) -> Hashable:
    """Equal for equal answers: a revision has one digest, and the log one content."""
    match answer:
        case Unchanged(revision, verified_ms):
            return "unchanged", revision, verified_ms
        case Changes(records, verified_ms):
            return "changes", in_force, records[-1].revision, verified_ms
        case SnapshotOffer(revision, _, _, verified_ms):
            return "snapshot", revision, verified_ms


class Chunks:
    """Encoded buckets by what was asked for, made once however many wait for the same."""

    def __init__(self, trees: Callable[[], RecentTrees]) -> None:
        self._trees = trees
        self._kept: OrderedDict[ChunkRequest, bytes] = OrderedDict()
        self._under_way: dict[ChunkRequest, asyncio.Task[bytes]] = {}
        self._bytes = 0
        self.encoded = 0

    async def answer(self, request: ChunkRequest) -> bytes:
        """The encoded answer. UnknownBucket for a request that no gateway should make."""
        body = self._kept.get(request)
        if body is not None:
            self._kept.move_to_end(request)
            return body
        task = self._under_way.get(request)
        if task is None:
            task = asyncio.create_task(self._encode(request))
            self._under_way[request] = task
            task.add_done_callback(lambda _: self._under_way.pop(request, None))
        return await asyncio.shield(task)

    async def _encode(self, request: ChunkRequest) -> bytes:
        answer = self._trees().answer(request)
        body = await asyncio.to_thread(codec.encode, answer)
        self.encoded += 1
        if not isinstance(answer, Compacted):
            self._keep(request, body)
        return body

    def _keep(self, request: ChunkRequest, body: bytes) -> None:
        self._kept[request] = body
        self._bytes += len(body)
        while self._bytes > MOST_CHUNK_BYTES:
            self._bytes -= len(self._kept.popitem(last=False)[1])
