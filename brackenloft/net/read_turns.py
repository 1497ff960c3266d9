"""Turns of connections that write at full speed, so that others are heard between their commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

MOST_AT_ONCE = 64  # commands of all that wait for a turn, read before the others are heard


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
        """Commands that one connection may take now.

        Guards against hundreds that write at full speed, whose batches together make a turn of seconds.
        """
        return max(1, MOST_AT_ONCE // max(1, len(self.waiting)))

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
        for _ in range(min(len(self.waiting), MOST_AT_ONCE)):
            self.waiting.popleft().take_turn()
        self._schedule()
