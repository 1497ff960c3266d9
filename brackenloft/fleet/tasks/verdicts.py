"""What one gateway found out about servers for all, and what the others make of it. Pure.

The verdicts are one register's value. A gateway that reads them takes a bad one for a late hint: it counts
where it has seen nothing itself, for as long as it is news, and no longer.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from brackenloft.fleet.registers.model import Held, NonsenseError

REGISTER = "verdicts"
FORM = 1
MOST_BAD = 200  # servers in the value, 13 kB of names; where more are bad, it is not servers that fail
LONGEST_NAME = 64
MOST_COUNT = 1000  # counted no further
PART = 10  # runs in which each server that nobody doubts is asked once
MOST_PAUSE = 8  # runs between two questions to one that stays silent: 1, 2, 4 at first
LASTS = 6.0  # runs for which a verdict is news: the one who asks may be replaced meanwhile


class Verdicts(msgspec.Struct, frozen=True):
    """Servers that did not answer, by the gateway that asks for all. ``every_ms``: how often it asks."""

    token: int
    every_ms: float
    bad: dict[str, int] = {}  # with how often each was asked in vain, in a row
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
    counts = all(0 < number <= MOST_COUNT for number in found.bad.values())
    if found.form != FORM or len(found.bad) > MOST_BAD or not counts or not found.every_ms > 0.0:
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


def to_ask(
    servers: Iterable[str],
    doubted: Collection[str],
    bad: Mapping[str, int],
    turn: int,
) -> list[str]:
    """Whom to ask in this run: who is bad, ever more seldom; whom we doubt; some of the others in turn."""
    names = sorted(name for name in servers if len(name) <= LONGEST_NAME)
    return [name for at, name in enumerate(names) if _is_due(name, at, doubted, bad.get(name, 0), turn)]


def _is_due(name: str, at: int, doubted: Collection[str], vain: int, turn: int) -> bool:
    if vain:
        return turn % min(MOST_PAUSE, 1 << min(vain - 1, MOST_PAUSE)) == 0
    return name in doubted or at % PART == turn % PART


def found(bad: Mapping[str, int], answers: Mapping[str, bool], servers: Collection[str]) -> dict[str, int]:
    """Who is bad now: who did not answer, and who was and has not been asked again; of those listed."""
    vain = {name: count for name, count in bad.items() if name not in answers}
    vain |= {name: min(MOST_COUNT, bad.get(name, 0) + 1) for name, good in answers.items() if not good}
    return {name: vain[name] for name in sorted(vain)[:MOST_BAD] if name in servers}


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
        return tuple(self.verdicts.bad) if self.verdicts and now_ms < self.until_ms else ()
