"""Turns of connections that write at full speed, so that others are heard between their commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

MOST_AT_ONCE = 64  # commands of one connection read before the others have their turn


class TurnTaker(Protocol):
    """A connection that has read more than it may take at once."""

    def take_turn(self) -> None:
        """Take the next batch of commands."""


class ReadTurns:
    """Who has had a batch of commands, in the order of the next; some go on in each turn of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[TurnTaker] = deque()
        self.scheduled = False

    def batch(self) -> int:
        """Commands that one connection may take now."""
        return MOST_AT_ONCE

    def wait(self, taker: TurnTaker) -> None:
        """A connection has had its batch, and goes on when those before it have had theirs."""
        self.waiting.append(taker)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._take)

    def _take(self) -> None:
        self.scheduled = False
        for _ in range(len(self.waiting)):
            self.waiting.popleft().take_turn()
        self._schedule()
