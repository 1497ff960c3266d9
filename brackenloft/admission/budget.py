"""One budget of descriptors for all sides: what one side leaves, the others may use, but for a floor."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum


class Side(StrEnum):
    """Who holds a descriptor: the clients of a front, or the servers."""

    CLIENTS = "clients"
    SERVERS = "servers"


class Budget:
    """Counts descriptors of any number of sides, each front being one.

    ``floors`` are kept free for a side, whatever the others want; ``spare`` more than a side holds are left
    to it, so that one that grows a little need not wait for the others.
    """

    def __init__(self, total: int, floors: Mapping[Side, int], spare: int = 0) -> None:
        if min(floors.values()) < 1 or sum(floors.values()) > total:
            raise ValueError(f"floors of {', '.join(map(str, floors.values()))} do not go into {total}")
        self.total, self.spare, self.floors = total, spare, dict(floors)
        self.full, self.told = total, -1  # with nobody beside it; what was told to somebody beside it
        self.taken = dict.fromkeys(floors, 0)

    def limit(self, side: Side) -> int:
        """How many a side may hold now, at least its floor."""
        kept = 0
        for other, floor in self.floors.items():
            if other is not side:
                kept += max(floor, self.taken[other] + self.spare)
        return max(self.floors[side], self.total - kept)

    def free(self, side: Side) -> int:
        """How many more a side may take now."""
        taken = self.taken[side]
        return max(0, min(self.limit(side) - taken, self.total - sum(self.taken.values())))

    def take(self, side: Side) -> bool:
        """Take one; False if there is none for this side."""
        if self.free(side) < 1:
            return False
        self.taken[side] += 1
        return True

    def give(self, side: Side) -> None:
        """Give one back."""
        if self.taken[side] < 1:
            raise ValueError(f"{side.value} hold none")
        self.taken[side] -= 1

    # ---- Shared with another process, the two being one gateway

    def keep(self, spare: int) -> int | None:
        """Leave all but what is held and some to spare to the other; how many that keeps, None as before."""
        held = min(self.full, sum(self.taken.values()) + spare)
        self.total = held
        changed, self.told = held != self.told, held
        return held if changed else None

    def leave(self, held: int) -> None:
        """The other one keeps so many."""
        self.total = max(len(self.floors), self.full - held)

    def lend_out(self, share: float) -> None:
        """Leave this share to one that can't be asked."""
        self.leave(int(share * self.full))

    def whole(self) -> None:
        """Nobody is beside it any more."""
        self.total, self.told = self.full, -1

    def owed(self, side: Side) -> int:
        """How many a side has beyond its limit: to be given back as soon as may be."""
        return max(0, self.taken[side] - self.limit(side))
