"""Scripted faults of a node: which fault the next command meets, at random by seed or in a given order."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from enum import Enum


class Fault(Enum):
    """What goes wrong with one command. All but BUSY and HANG_UP have run."""

    SLOW = "slow"  # it takes ``slow_s`` longer
    SILENT = "silent"  # it runs, and no answer comes
    RESET = "reset"  # it runs, and the connection is reset in the middle of the answer
    SPOILT = "spoilt"  # it runs, and what comes can't be read
    ERROR = "error"
    BUSY = "busy"
    HANG_UP = "hang up"  # the connection ends before it is begun


Script = Callable[[list[bytes]], Fault | None]


def at_random(seed: int, shares: Mapping[Fault, float]) -> Script:
    """Faults drawn for each command, with these shares; the same seed gives the same faults."""
    draw = random.Random(seed)

    def script(_: list[bytes]) -> Fault | None:
        place = draw.random()
        for fault, share in shares.items():
            place -= share
            if place < 0.0:
                return fault
        return None

    return script


def in_order(faults: Iterable[Fault | None]) -> Script:
    """These faults one after the other, then none."""
    rest = iter(faults)
    return lambda _: next(rest, None)
