"""Who may be closed to make room, and in which order. Pure; times in seconds of one clock.

A connection stands in one of these, by what it has shown:

  fresh   it has said nothing yet; may be closed after ``fresh_s``
  once    it rests after its one request; may be closed after ``idle_s``
  idle    it rests after several, or after none but other commands; the same, behind those
  busy    it is within a command or has a request in hand; is never closed

Who asked once goes before who comes again: it is least likely to be of use. Among equals the longest idle
goes first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from itertools import islice
from math import inf
from typing import Generic, TypeVar

P = TypeVar("P")


class Standing(StrEnum):
    """What a connection has shown; in the order in which room is made."""

    FRESH = "fresh"
    ONCE = "once"
    IDLE = "idle"


class Roll(Generic[P]):
    """Connections that do nothing now, by standing, the longest first; who is busy is not on it."""

    def __init__(self) -> None:
        self.rows: dict[Standing, OrderedDict[P, float]] = {standing: OrderedDict() for standing in Standing}
        self.at: dict[P, Standing] = {}

    def rests(self, peer: P, standing: Standing, since: float) -> None:
        """It does nothing, since then."""
        self.stirs(peer)
        self.rows[standing][peer] = since
        self.at[peer] = standing

    def since(self, peer: P) -> float:
        """Since when it does nothing; infinity while it is busy."""
        return self.rows[self.at[peer]][peer] if peer in self.at else inf

    def stirs(self, peer: P) -> None:
        """It is busy, or has gone."""
        standing = self.at.pop(peer, None)
        if standing:
            del self.rows[standing][peer]

    def closable(self, now: float, fresh_s: float, idle_s: float, most: int) -> Iterator[P]:
        """Who may be closed now, so many at most, the least valuable first."""
        limits = {Standing.FRESH: fresh_s, Standing.ONCE: idle_s, Standing.IDLE: idle_s}
        left = most
        for standing, row in self.rows.items():
            for peer, since in list(islice(row.items(), left)):
                if since < now - limits[standing]:
                    left -= 1
                    yield peer

    def later(self, peer: P) -> None:
        """It could not be closed after all: the others of its standing come before it."""
        if peer in self.at:
            self.rows[self.at[peer]].move_to_end(peer)

    def __contains__(self, peer: P) -> bool:
        return peer in self.at
