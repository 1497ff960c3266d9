"""What one gateway found out about servers for all, and what the others make of it. Pure.

The verdicts are one register's value. A gateway that reads them takes a bad one for a late hint: it counts
where it has seen nothing itself, for as long as it is news, and no longer.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from brackenloft.fleet.registers.model import Held, NonsenseError

REGISTER = "verdicts"
FORM = 1
MOST_BAD = 200  # servers in the value, 13 kB of names; where more are bad, it is not servers that fail
LONGEST_NAME = 64
PART = 10  # runs in which each server that nobody doubts is asked once
LASTS = 3.0  # runs for which a verdict is news: the one who asks may be replaced meanwhile


class Verdicts(msgspec.Struct, frozen=True):
    """Servers that did not answer, by the gateway that asks for all. ``every_ms``: how often it asks."""

    token: int
    every_ms: float
    bad: tuple[str, ...] = ()
    turn: int = 0
    form: int = FORM


def read(held: Held | None) -> Verdicts | None:
    """From the register, checked."""
    if held is None:
        return None
    try:
        found = msgspec.json.decode(held.data, type=Verdicts)
    except msgspec.DecodeError as error:
        raise NonsenseError(f"no verdicts: {error}") from None
    if found.form != FORM or len(found.bad) > MOST_BAD or not found.every_ms > 0.0:
        raise NonsenseError("verdicts that can't be")
    return found


def write(verdicts: Verdicts) -> bytes:
    """For the register."""
    return msgspec.json.encode(verdicts)


def replaced(held: Held | None, verdicts: Verdicts) -> bytes | None:
    """What is to stand: the new ones, unless a holder with a larger token has written."""
    before = read(held)
    if before is not None and before.token > verdicts.token:
        return None
    return write(verdicts)


def to_ask(servers: Iterable[str], doubted: Iterable[str], bad: Iterable[str], turn: int) -> list[str]:
    """Whom to ask in this run: those found bad before, those we doubt, and a part of the others in turn."""
    names = sorted(name for name in servers if len(name) <= LONGEST_NAME)
    first = set(doubted) | set(bad)
    return [name for at, name in enumerate(names) if name in first or at % PART == turn % PART]


def found(bad: Iterable[str], answers: Mapping[str, bool], servers: Iterable[str]) -> tuple[str, ...]:
    """Who is bad now: who did not answer, and who was and has not been asked again; of those listed."""
    still = {name for name in bad if name not in answers}
    still |= {name for name, good in answers.items() if not good}
    return tuple(sorted(still & set(servers))[:MOST_BAD])


@dataclass(slots=True)
class Hints:
    """What one gateway makes of the verdicts."""

    version: int = 0
    verdicts: Verdicts | None = None
    until_ms: float = -math.inf
    told_ms: dict[str, float] = field(default_factory=dict)

    def saw(self, held: Held | None, now_ms: float) -> None:
        """The register as it stood; news only if it is another version."""
        if held is not None and held.version > self.version:
            self.version, self.verdicts = held.version, read(held)
            if self.verdicts:
                self.until_ms = now_ms + LASTS * self.verdicts.every_ms

    def bad(self, now_ms: float) -> tuple[str, ...]:
        """Servers for which there is a hint now."""
        return self.verdicts.bad if self.verdicts and now_ms < self.until_ms else ()
