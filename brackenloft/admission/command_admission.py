"""Which commands that are not whole may be read further while memory is short. Pure; sizes in bytes.

A command's whole size is granted before more than its first bytes are read, so that what is granted always
becomes whole and nothing that was read has to be given up for memory. Without a grant a command waits in the
kernel. Usual commands and long ones have room of their own; the smallest that waits goes first, and one
reserve, which the longest command fits into, goes to the long one that has waited longest: guards against
long commands that wait for ever because small ones keep coming.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

P = TypeVar("P")


@dataclass(frozen=True, slots=True)
class Ask:
    """What a command needs: ``size`` in all, of which ``have`` has been read."""

    size: int
    have: int

    @property
    def more(self) -> int:
        """Bytes that a grant takes."""
        return max(0, self.size - self.have)


@dataclass(frozen=True, slots=True)
class CommandRoom:
    """Bytes that may be granted now, and whether the reserve is free."""

    usual: float
    long: float
    reserve: bool


@dataclass(frozen=True, slots=True)
class Grant(Generic[P]):
    """A command may be read whole; ``reserved``: out of the reserve."""

    peer: P
    ask: Ask
    reserved: bool


class CommandAdmission(Generic[P]):
    """Commands that are not whole, by peer: those with a grant, and those that wait for one.

    ``longest_usual``: bytes of a command that counts as usual.
    """

    def __init__(self, longest_usual: int) -> None:
        self.longest_usual = longest_usual
        self.granted: dict[P, int] = {}
        self.waiting: dict[P, Ask] = {}  # in the order in which they began to wait

    def ask(self, peer: P, ask: Ask) -> None:
        """Its command needs so much."""
        if self.granted.get(peer, 0) < ask.size:
            self.waiting[peer] = ask

    def grants(self, room: CommandRoom) -> Iterator[Grant[P]]:
        """Grant what there is room for, and say to whom."""
        left = {False: room.usual, True: room.long}
        for peer, ask in sorted(self.waiting.items(), key=lambda item: item[1].size):
            long = ask.size > self.longest_usual
            if ask.more <= left[long]:
                left[long] -= ask.more
                yield self._grant(peer, ask, reserved=False)
        if room.reserve:
            for peer, ask in list(self.waiting.items()):
                if ask.size > self.longest_usual:
                    yield self._grant(peer, ask, reserved=True)
                    return

    def _grant(self, peer: P, ask: Ask, reserved: bool) -> Grant[P]:
        del self.waiting[peer]
        self.granted[peer] = ask.size
        return Grant(peer, ask, reserved)

    def done(self, peer: P) -> bool:
        """It is within no such command any more; whether it was."""
        waited = self.waiting.pop(peer, None) is not None
        return self.granted.pop(peer, None) is not None or waited

    def __contains__(self, peer: P) -> bool:
        return peer in self.granted or peer in self.waiting
