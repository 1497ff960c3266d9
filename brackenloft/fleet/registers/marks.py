"""What this process has seen at each store, so that one that has gone back is noticed. Pure.

A store's process tells a restart by its identity. What is left is one whose content goes back under a running
process (emptied, or made a replica of an older one): its promises are lower than they were.
"""

from __future__ import annotations

from collections import OrderedDict

from brackenloft.fleet.registers.members import Member
from brackenloft.fleet.registers.model import Ballot, Slot

MOST_MARKS = 16_384  # registers times stores: a thousand registers at seven stores, and as many again


class Marks:
    """The highest promise seen of each register at each store."""

    def __init__(self) -> None:
        self.highest: OrderedDict[tuple[Member, str], Ballot] = OrderedDict()
        self.older: set[Member] = set()  # out for this process, until they are given another identity

    def seen(self, member: Member, name: str, slot: Slot) -> bool:
        """Note a slot; False if the store had promised more before."""
        if member in self.older:
            return False
        key = member, name
        before = self.highest.get(key)
        if before is not None and slot.promised < before:
            self.older.add(member)
            return False
        self.highest[key] = slot.promised
        self.highest.move_to_end(key)
        if len(self.highest) > MOST_MARKS:
            self.highest.popitem(last=False)
        return True
