"""One budget of descriptors for both sides: what one side leaves, the other may use, but for a floor."""

from __future__ import annotations

from enum import Enum


class Side(Enum):
    """Who holds a descriptor."""

    CLIENTS = "clients"
    SERVERS = "servers"


OTHER = {Side.CLIENTS: Side.SERVERS, Side.SERVERS: Side.CLIENTS}


class Budget:
    """Counts descriptors. ``floors`` are kept free for a side, whatever the other one wants; ``spare`` more
    than a side holds are left to it, so that one that grows a little need not wait for the other.
    """

    def __init__(self, total: int, clients: int, servers: int, spare: int = 0) -> None:
        if clients < 1 or servers < 1 or clients + servers > total:
            raise ValueError(f"floors of {clients} and {servers} do not go into {total}")
        self.total, self.spare = total, spare
        self.floors = {Side.CLIENTS: clients, Side.SERVERS: servers}
        self.taken = {Side.CLIENTS: 0, Side.SERVERS: 0}

    def limit(self, side: Side) -> int:
        """How many a side may hold now, at least its floor."""
        other = OTHER[side]
        kept = max(self.floors[other], self.taken[other] + self.spare)
        return max(self.floors[side], self.total - kept)

    def free(self, side: Side) -> int:
        """How many more a side may take now."""
        return max(0, min(self.limit(side), self.total - self.taken[OTHER[side]]) - self.taken[side])

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

    def owed(self, side: Side) -> int:
        """How many a side has beyond its limit: to be given back as soon as may be."""
        return max(0, self.taken[side] - self.limit(side))
