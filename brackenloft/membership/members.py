"""The sources of one edge, running: what they say goes through the merge to the decisions."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any, Protocol

from brackenloft import interface as api
from brackenloft.edge.edge import Edge
from brackenloft.membership.merge import MOST_AT_ONCE, Membership
from brackenloft.membership.model import Combine, Said, SourceTerms, Tried

log = logging.getLogger(__name__)

LONGEST_S = 1.0  # between two looks at what time alone changes; the decisions' clock may be another's


class Running(Protocol):
    """A source at work."""

    def figures(self) -> dict[str, Any]:
        """What became of its questions."""

    async def close(self) -> None:
        """Ask no more."""


Start = Callable[[int, Callable[[Said], None], Callable[[], float]], Running]


class Members:
    """Runs sources and tells the edge what they come to.

    What a source says is taken in pieces, and the loop goes on between two: a list of ten thousand must not
    hold it up.
    """

    def __init__(
        self,
        edge: Edge,
        sources: list[tuple[SourceTerms, Start]],
        combine: Combine = Combine.UNION,
    ) -> None:
        self.edge, self.clock = edge, edge.driver.clock
        self.loop = asyncio.get_running_loop()
        self.merge = Membership([terms for terms, _ in sources], combine)
        self.pieces: deque[Said] = deque()
        self.timer: asyncio.Handle | None = None
        self.stale: list[str] = []
        self.began = self.clock()
        self.first = asyncio.Event()  # all of a first list is with the decisions
        self.longest_ms = 0.0  # that the loop was held by one turn of this
        edge.servers.watcher = self._tried
        self.running = [start(number, self.said, self.clock) for number, (_, start) in enumerate(sources)]
        self._soon()

    async def close(self) -> None:
        """Follow no source any more; the servers stay as they are."""
        if self.timer:
            self.timer.cancel()
        self.edge.servers.watcher = None
        for source in self.running:
            await source.close()

    def said(self, said: Said) -> None:
        """A source has answered; it is taken in pieces. What is missing comes last, in one: weighed whole."""
        changed, left = said.changed, said.left
        for start in range(0, max(len(changed), len(left)), MOST_AT_ONCE):
            end = start + MOST_AT_ONCE
            self.pieces.append(Said(said.source, changed[start:end], left[start:end]))
        if said.absent or not (changed or left):
            self.pieces.append(Said(said.source, (), (), said.absent))
        self._soon()

    def _tried(self, server: int, reached: bool) -> None:
        self.merge.tried(self.clock(), Tried(server, reached))
        if self.merge.dirty:
            self._soon()

    def _soon(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        """Take a piece or settle some, then let the loop go on."""
        if not self.edge.is_open:
            return  # its sources may be followed for a moment longer
        began, now = time.perf_counter(), self.clock()
        if self.pieces:
            self.merge.said(now, self.pieces.popleft())
        update = self.merge.settle(now)
        if update:
            self.edge.take(update.news, update.addresses)
        self._tell_stale(now)
        self.longest_ms = max(self.longest_ms, (time.perf_counter() - began) * 1000.0)
        due = -inf if self.pieces else self.merge.due(now)
        if due <= now:
            self.timer = self.loop.call_soon(self._turn)
        else:
            if self.merge.nodes:
                self.first.set()
            self.timer = self.loop.call_later(min(LONGEST_S, (due - now) / 1000.0), self._turn)

    def _tell_stale(self, now: float) -> None:
        stale = self.merge.stale(now, self.began)
        for name in stale:
            if name not in self.stale:
                log.warning("what %s lists is stale", name)
        for name in self.stale:
            if name not in stale:
                log.info("%s is fresh", name)
        self.stale = stale

    def figures(self) -> dict[str, Any]:
        """What the sources stand at, for people."""
        now = self.clock()
        ready = sum(node.entry.state is api.ServerState.READY for node in self.merge.nodes.values())
        return {
            "nodes": len(self.merge.nodes),
            "ready": ready,
            "held": self.merge.held(),
            "out": len(self.merge.strikes.out),
            "resting": len(self.merge.flaps.until),
            "stale": self.merge.stale(now, self.began),
            "sources": {
                terms.terms.name: running.figures()
                for terms, running in zip(self.merge.sources, self.running, strict=True)
            },
        }
