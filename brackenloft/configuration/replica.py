"""The document that stands at a control server, in memory: its log, recent trees and proposals.

Everything here belongs to one event loop. Time is the loop's monotonic clock, in milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from math import inf

from brackenloft.configuration.log import Log, RecentTrees, follow_answer
from brackenloft.configuration.messages import Changes, Compacted, FollowRequest, SnapshotOffer, Unchanged
from brackenloft.configuration.model import Record, Standing
from brackenloft.configuration.tree import Tree

VERIFIED_STEP_MS = 100.0  # in which ages are told, rounded up: answers of one moment are equal


class Replica:
    """What this server answers from."""

    def __init__(self, tree: Tree, log: Log, proposals: Iterable[Record], most_records: int) -> None:
        self.tree = tree
        self.log = Log(log.start, most_records)
        records = log.records_after(log.start.revision)
        assert not isinstance(records, Compacted)
        for record in records:
            self.log.append(record)
        self.trees = RecentTrees()
        self.trees.add(self.standing.revision, tree)
        self.proposals: dict[Standing, tuple[Record, Tree | None]] = {}  # tree: None until it is needed
        for record in proposals:
            self.propose(record, None)
        self._verified_ms: float | None = None
        self._changed = asyncio.Event()
        self._verified = asyncio.Event()
        self.closed = False

    @property
    def standing(self) -> Standing:
        """The revision that is answered from."""
        return self.log.newest

    # ---- Revisions

    def propose(self, record: Record, tree: Tree | None) -> None:
        """Keep a record that may come to stand, unless its revision is decided."""
        if record.revision > self.standing.revision:
            self.proposals[Standing(record.revision, record.digest)] = record, tree

    def advance(self, record: Record, tree: Tree) -> None:
        """The next revision stands."""
        self.log.append(record)
        self._take(tree)

    def replace(self, standing: Standing, tree: Tree) -> None:
        """A later revision stands, and the records up to it are not known here."""
        self.log = Log(standing, self.log.most_records)
        self._take(tree)

    def _take(self, tree: Tree) -> None:
        self.tree = tree
        revision = self.standing.revision
        self.trees.add(revision, tree)
        self.proposals = {key: held for key, held in self.proposals.items() if key.revision > revision}
        self._changed = _wake(self._changed)

    async def wait_beyond(self, revision: int) -> None:
        """Until a later revision stands here, or this server ends."""
        while self.standing.revision <= revision and not self.closed:
            await self._changed.wait()

    def close(self) -> None:
        """Wake all that wait for a later revision."""
        self.closed = True
        self._changed = _wake(self._changed)

    # ---- Verification

    def verify(self, at_ms: float) -> None:
        """A majority of stores said, to a question asked at this time, that this revision stands."""
        self._verified_ms = max(at_ms, self._verified_ms or -inf)
        self._verified = _wake(self._verified)

    async def wait_verified(self, since_ms: float) -> None:
        """Until a question asked at this time or later has been answered."""
        while self._verified_ms is None or self._verified_ms < since_ms:
            await self._verified.wait()

    def verified_ms_ago(self, now_ms: float) -> float:
        """How long ago, rounded up to ``VERIFIED_STEP_MS``; infinite if never."""
        if self._verified_ms is None:
            return inf
        steps = max(0.0, now_ms - self._verified_ms) // VERIFIED_STEP_MS + 1.0
        return steps * VERIFIED_STEP_MS

    # ---- Answers

    def answer(self, request: FollowRequest, now_ms: float) -> Unchanged | Changes | SnapshotOffer:
        """What a gateway, or a peer, is told now."""
        return follow_answer(self.log, self.tree, request, self.verified_ms_ago(now_ms))


def _wake(event: asyncio.Event) -> asyncio.Event:
    """Wake those that wait for it, and give the next one to wait for."""
    event.set()
    return asyncio.Event()
