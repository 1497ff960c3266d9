"""How a control server comes to hold the document that stands: by its own proposals, then from peers."""

from __future__ import annotations

import asyncio

from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.log import MOST_CHUNK_BUCKETS
from brackenloft.configuration.messages import (
    CHUNK_PATH,
    RECORDS_PATH,
    Changes,
    Chunk,
    ChunkAnswer,
    ChunkRequest,
    FollowAnswer,
    RecordsRequest,
    SnapshotOffer,
)
from brackenloft.configuration.model import Record, Standing
from brackenloft.configuration.peers import PeerError, Peers
from brackenloft.configuration.replica import Replica
from brackenloft.configuration.storage import Storage
from brackenloft.configuration.tree import TOTAL_BUCKETS, DigestMismatch, Tree
from brackenloft.fleet.logs import logger

log = logger(__name__)
RECORDS_TIMEOUT_S = 2.0
CHUNK_TIMEOUT_S = 4.0


class BehindError(Exception):
    """The document that stands is not to be had now."""


async def build(tree: Tree, record: Record) -> Tree:
    """The document after a record, built beside the event loop. DigestMismatch if it is another."""
    after = await asyncio.to_thread(apply, tree, record.delta)
    if after.digest != record.digest:
        raise DigestMismatch(f"revision {record.revision} does not lead to the document of its digest")
    return after


class CatchingUp:
    """Brings the replica to what stands; one at a time."""

    def __init__(self, replica: Replica, storage: Storage, peers: Peers) -> None:
        self._replica, self._storage, self._peers = replica, storage, peers
        self._turn = asyncio.Lock()
        self._failed: set[str] = set()  # peers that failed the last time: asked last

    async def reach(self, target: Standing) -> None:
        """Hold this revision or a later one; BehindError if it can't be had."""
        async with self._turn:
            while self._replica.standing.revision < target.revision:
                if not await self._promote(target):
                    await self._fetch(target)
        stands = self._replica.standing
        if stands.revision == target.revision and stands.digest != target.digest:
            raise BehindError(f"revision {target.revision} here has another digest than the one that stands")

    def stands(self, record: Record, tree: Tree) -> None:
        """A record that is known to stand, and its document; nothing to do if it was known before."""
        if record.revision == self._replica.standing.revision + 1:
            self._replica.advance(record, tree)
            self._storage.stands(record, tree, self._replica.log.start.revision)

    async def _promote(self, target: Standing) -> bool:
        """Put the proposal of what stands in force, if it is the next revision and held here."""
        replica = self._replica
        if target.revision != replica.standing.revision + 1 or target not in replica.proposals:
            return False
        record, tree = replica.proposals[target]
        try:
            self.stands(record, tree or await build(replica.tree, record))
        except DigestMismatch as error:
            del replica.proposals[target]
            log.error("a proposal can't be used", revision=target.revision, error=error)
            return False
        return True

    async def _fetch(self, target: Standing) -> None:
        """Take what one peer has after our revision; BehindError if none has any."""
        before = self._replica.standing.revision
        reasons = []
        for peer in sorted(self._peers.nearest, key=lambda name: name in self._failed):
            try:
                await self._fetch_from(peer, target)
            except (PeerError, DigestMismatch) as error:
                self._failed.add(peer)
                reasons.append(f"{peer}: {error}")
                continue
            if self._replica.standing.revision > before:
                self._failed.discard(peer)
                return
            reasons.append(f"{peer}: has nothing newer")
        raise BehindError(f"revision {target.revision} stands and is not held here: {'; '.join(reasons)}")

    async def _fetch_from(self, peer: str, target: Standing) -> None:
        stands = self._replica.standing
        request = RecordsRequest(stands.revision, stands.digest, target)
        answer = await self._peers.call(peer, RECORDS_PATH, request, FollowAnswer, RECORDS_TIMEOUT_S)
        if isinstance(answer, Changes):
            await self._take_records(answer, target)
        elif isinstance(answer, SnapshotOffer) and answer.revision > stands.revision:
            await self._take_snapshot(peer, answer, target)

    async def _take_records(self, changes: Changes, target: Standing) -> None:
        for record in changes.records:
            if record.revision != self._replica.standing.revision + 1:
                raise DigestMismatch(f"record {record.revision} does not follow what is held")
            if record.revision == target.revision and record.digest != target.digest:
                raise DigestMismatch(f"record {record.revision} is not the one that stands")
            self.stands(record, await build(self._replica.tree, record))

    async def _take_snapshot(self, peer: str, offer: SnapshotOffer, target: Standing) -> None:
        if offer.revision == target.revision and offer.digest != target.digest:
            raise DigestMismatch(f"snapshot {offer.revision} is not of what stands")
        if len(offer.buckets) != TOTAL_BUCKETS:
            raise DigestMismatch(f"a snapshot of {len(offer.buckets)} buckets")
        differing = self._replica.tree.differing(offer.buckets)
        builder = Builder(self._replica.tree)
        for first in range(0, len(differing), MOST_CHUNK_BUCKETS):
            wanted = differing[first : first + MOST_CHUNK_BUCKETS]
            request = ChunkRequest(offer.revision, wanted)
            chunk = await self._peers.call(peer, CHUNK_PATH, request, ChunkAnswer, CHUNK_TIMEOUT_S)
            if not isinstance(chunk, Chunk) or len(chunk.buckets) != len(wanted):
                raise PeerError(f"no buckets of revision {offer.revision}: {type(chunk).__name__}")
            await asyncio.to_thread(_load, builder, wanted, chunk, offer)
        tree = builder.finish(offer.digest)
        standing = Standing(offer.revision, offer.digest)
        self._replica.replace(standing, tree)
        self._storage.replaced(standing, tree)
        log.info("took a snapshot", revision=offer.revision, buckets=len(differing), peer=peer)


def _load(builder: Builder, wanted: tuple[int, ...], chunk: Chunk, offer: SnapshotOffer) -> None:
    for index, data in zip(wanted, chunk.buckets, strict=True):
        builder.load_bucket(index, data, offer.buckets[index])
