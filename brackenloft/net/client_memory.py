"""How much of what clients send is read and taken, by the memory that is left."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from brackenloft.admission.account import Held
from brackenloft.admission.budget import Budget
from brackenloft.admission.intake import Intake
from brackenloft.admission.room import relief
from brackenloft.lifecycle import Lifecycle
from brackenloft.net.bites import Bites
from brackenloft.net.limits import BufferLimits
from brackenloft.net.listener import Listener
from brackenloft.net.replies import BUFFERED
from brackenloft.net.resp import LONGEST_VALUE
from brackenloft.net.streams import STREAM_FROM

if TYPE_CHECKING:
    from brackenloft.net.client import Client

LONG_SHARE = 0.75  # of what may be held, for commands of more than STREAM_FROM and for what is read ahead
# Bytes of all, and share of what may be held, up to which commands are read that can't be taken yet.
MOST_AHEAD, AHEAD_SHARE = 8 * 1024 * 1024, 0.25


class ClientMemory(Listener):
    """Who is read further, whose commands are taken, and who is cut off when the memory is short.

    Clients may hold ``most_held`` bytes together, and no more than all sides' account has left.
    """

    connections: OrderedDict[Client, None]
    emptying: bool

    def __init__(self, budget: Budget, lifecycle: Lifecycle, limits: BufferLimits) -> None:
        super().__init__(budget, lifecycle, limits)
        self.most_held = limits.held
        self.bites = Bites()
        self.intake: Intake[Client] = Intake()  # who is within a long command

    @property
    def held(self) -> int:
        """Bytes of commands and replies."""
        return sum(self.memory.held[kind] for kind in BUFFERED)

    def limit(self) -> float:
        """Bytes of commands and replies that may be held now."""
        return min(self.most_held, self.held + self.memory.left())

    def has_room(self) -> bool:
        """Whether what is held leaves room for more."""
        return self.held < self.limit()

    def room(self) -> int:
        """Bytes that may be read ahead, the share of usual commands left free."""
        return int(self.limit() * LONG_SHARE) - self.held

    def room_for(self, client: Client) -> int:
        """Bytes that may be read of a connection at once: the first long command has a reserve."""
        first = next(iter(self.intake.rows), None)
        return LONGEST_VALUE if client is first else self.room()

    def may_read_ahead(self) -> bool:
        """Whether there is memory for what can't be taken yet; while it empties, no more is read than can."""
        return not self.emptying and self.held < min(MOST_AHEAD, self.limit() * AHEAD_SHARE)

    def may_send_on(self, client: Client) -> bool:
        """Whether it is read further, as far as memory goes. Who is not is looked at again at each sweep."""
        most = self.limit() * LONG_SHARE
        room = self.held < most
        if not self.intake.may_read(client, room):
            return False
        if self.intake.may_read(client, room, beside=False):
            return True
        return self.held - sum(one.held for one in self.intake.rows) < most

    def long_held(self) -> int:
        """Bytes of long commands, those that are in hand and those that are not whole yet."""
        return sum(client.long_held() for client in self.connections)

    def may_take(self, size: int) -> bool:
        """Whether there is memory for a command of this size, which has come whole.

        Guards against usual commands that are refused for long ones, of which a few fill the memory: these
        have a share of it and wait for their turn. What is whole and long had its turn.
        """
        if self.relieve(LONGEST_VALUE if size > STREAM_FROM else 0):
            return True
        usual = self.memory.held[Held.COMMANDS] + self.memory.held[Held.IN_HAND] - self.long_held()
        return size <= STREAM_FROM and usual <= self.most_held * (1.0 - LONG_SHARE)

    def _memory_for_connections(self) -> float:
        """Bytes that new connections may take: the reserve of the first long command counts for nobody."""
        first = next(iter(self.intake.rows), None)
        return self.memory.left() + (min(first.held, LONGEST_VALUE) if first else 0)

    def _cut_the_newest(self, most: int) -> None:
        """End long commands that wait for their turn, but for the first; they have not been read whole.

        Guards against connections that never come in, for the memory that these hold.
        """
        waiting = [client for client in self.intake.rows if not client.ending]
        for client in waiting[1:][-most:]:
            self.bites.bite("memory for connections", "the newest long command is cut off")
            client.cut_off()

    def next_long(self, client: Client) -> None:
        """A long command is whole, or its connection ended: others may go on."""
        if self.intake.done(client):
            self.loop.call_soon(self._let_in)

    def _let_in(self) -> None:
        """Let those within a long command send on, as far as there is room, or stop them."""
        for client in list(self.intake.rows):
            client.throttle()

    def relieve(self, reserve: int = 0) -> bool:
        """Cut off who holds most, if all hold too much; whether there is room now, with a ``reserve``.

        Guards against those who hold little and are turned away for what others keep. What is in hand stays:
        it is owed.
        """
        if self.held <= self.limit():
            return True
        holders = {client: size for client in self.connections if (size := client.loose())}
        for client in relief(self.held, self.limit(), holders):
            self.bites.bite("memory", "the client that holds most is cut off")
            client.cut_off()
        return self.held <= self.limit() + reserve
