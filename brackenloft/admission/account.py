"""One account of what the process buffers for its peers, and what the kernel may. Pure; sizes in bytes.

Whoever holds something for a peer says so here, by kind; whoever is about to take on more asks what is left.
What the kernel may hold is counted by what its buffers are bounded to, from when it may fill them (a client
that takes no replies or is not read, a command that a server does not take) until it can't any more.
"""

from __future__ import annotations

from enum import StrEnum
from math import inf

# Of the limit, left to connections, usual commands and short answers by those who could do with less: long
# commands, long values, and further commands of a connection that has some in hand.
HEADROOM_SHARE = 0.25


class Held(StrEnum):
    """What is held for a peer."""

    CONNECTION = "connections"  # the connection itself
    COMMANDS = "commands"  # read from a client and not taken yet, in part or whole
    GRANTED = "granted"  # parts of commands that have yet to come
    RESERVE = "reserve"  # less by the long command that is kept beside the limit
    IN_HAND = "in hand"  # commands taken
    REPLIES = "replies"  # that are not written yet
    UNSENT = "unsent"  # replies that wait in a client's transport
    ANSWERS = "answers"  # of servers, not whole yet
    STREAMS = "streams"  # parts of long values on their way from a server to a client
    RECEIVED = "receive buffers"  # of the kernel
    SENT = "send buffers"  # of the kernel


class MemoryAccount:
    """What is held for all peers, by kind, against a ``limit``."""

    __slots__ = ("limit", "headroom", "held", "total")

    def __init__(self, limit: float = inf) -> None:
        self.limit = limit
        self.headroom = 0.0 if limit == inf else limit * HEADROOM_SHARE
        self.held = dict.fromkeys(Held, 0)
        self.total = 0

    def hold(self, kind: Held, size: int) -> None:
        """So much more is held, or less."""
        self.held[kind] += size
        self.total += size

    def left(self) -> float:
        """How much more may be held; below 0 where it is too much already."""
        return self.limit - self.total

    def left_beside_headroom(self) -> float:
        """The same for those who could do with less."""
        return self.left() - self.headroom


class PeerAccount:
    """What is held for one peer, as a part of the account of all."""

    __slots__ = ("account", "held", "total", "closed")

    def __init__(self, account: MemoryAccount) -> None:
        self.account, self.closed = account, False
        self.held: dict[Held, int] = {}
        self.total = 0

    def hold(self, kind: Held, size: int) -> None:
        """So much more is held for it, or less; nothing once it has gone."""
        if self.closed:
            return
        self.held[kind] = self.held.get(kind, 0) + size
        self.total += size
        self.account.hold(kind, size)

    def change(self, kind: Held, size: int) -> None:
        """So much is held for it now."""
        self.hold(kind, size - self.held.get(kind, 0))

    def of(self, *kinds: Held) -> int:
        """How much is held of these kinds."""
        return sum(self.held.get(kind, 0) for kind in kinds)

    def close(self) -> None:
        """It has gone, and all that was held for it."""
        self.closed = True
        for kind, size in self.held.items():
            self.account.hold(kind, -size)
        self.held.clear()
        self.total = 0
