"""How much of what clients send is read and taken, by the memory that is left.

Room is asked for before it is used: a command waits in the kernel until all of it fits, and is refused before
it is taken where its request does not. What was taken is never given up for memory.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from brackenloft.admission.account import Held
from brackenloft.admission.budget import Budget
from brackenloft.admission.command_admission import Ask, CommandAdmission, CommandRoom
from brackenloft.lifecycle import Lifecycle
from brackenloft.net.bites import Bites
from brackenloft.net.driver import Driver
from brackenloft.net.limits import BufferLimits
from brackenloft.net.listener import Listener
from brackenloft.net.read_buffer import LEAST_READ
from brackenloft.net.replies import BUFFERED
from brackenloft.net.streams import STREAM_FROM

if TYPE_CHECKING:
    from brackenloft.net.client import Client

LONG_SHARE = 0.75  # of what may be held, for commands of more than STREAM_FROM and for what is read ahead
# Bytes of all, and share of what may be held, up to which commands are read that can't be taken yet.
MOST_AHEAD, AHEAD_SHARE = 8 * 1024 * 1024, 0.25
NO_MEMORY = "no memory in time"  # why a command that was not read whole is refused
ANSWER = 16 * 1024  # bytes that a request's answer may take while others are in hand on its connection


class ClientMemory(Listener):
    """Who is read further, and whose commands are taken, while the memory is short.

    Clients may hold ``most_held`` bytes together, and no more than all sides' account has left.
    """

    connections: OrderedDict[Client, None]
    driver: Driver
    emptying: bool

    def __init__(self, budget: Budget, lifecycle: Lifecycle, limits: BufferLimits) -> None:
        super().__init__(budget, lifecycle, limits)
        self.most_held = limits.held
        self.bites = Bites()
        self.commands: CommandAdmission[Client] = CommandAdmission(STREAM_FROM)
        self.reserved: Client | None = None  # whose long command has the reserve
        self.reserved_size = 0

    # ---- What is left

    @property
    def held(self) -> int:
        """Bytes of commands, granted ones in full, and of replies; without what is in the reserve."""
        held = self.memory.held
        return sum(held[kind] for kind in BUFFERED) + held[Held.GRANTED] + held[Held.RESERVE]

    def _left(self) -> float:
        """Bytes of commands and replies that may still be held."""
        return min(self.most_held - self.held, self.memory.left())

    def _left_for_more(self) -> float:
        """The same for those who could do with less."""
        return min(self.most_held - self.held, self.memory.left_beside_headroom())

    # ---- Requests

    def has_room(self) -> bool:
        """Whether a connection that has a request in hand may have one more."""
        answers = ANSWER * self.driver.unanswered
        return self.held < self.most_held and self.memory.left_beside_headroom() > answers

    def may_take(self, size: int) -> bool:
        """Whether there is memory for a command of this size, which has come whole.

        Usual ones have a share of what may be held, by those that have no answer yet. Guards against refusing
        them for what slow readers and long commands keep. What is long had its whole size granted.
        """
        if size > STREAM_FROM or self._left() > 0:
            return True
        long = sum(client.long_in_hand() for client in self.connections)
        return self.memory.held[Held.IN_HAND] - long <= self.most_held * (1.0 - LONG_SHARE)

    # ---- Commands that are not whole

    def room_for(self, client: Client) -> int:
        """Bytes that may be read of a connection at once."""
        granted = self.commands.granted.get(client)
        if granted is not None:
            return granted - client.reader.left
        return int(min(self._left_for_more(), STREAM_FROM))

    def may_read_ahead(self) -> bool:
        """Whether there is memory for what can't be taken yet; while it empties, no more is read than can."""
        limit = min(MOST_AHEAD, self.most_held * AHEAD_SHARE)
        return not self.emptying and self.held < limit and self._left_for_more() > 0

    def may_send_on(self, client: Client) -> bool:
        """Whether it is read further, as far as memory goes."""
        return client not in self.commands.waiting

    def is_within(self, client: Client) -> None:
        """A connection is within a command: it is read further once there is memory for all of it."""
        size = max(client.reader.left, client.reader.needed)
        if size <= LEAST_READ:
            return
        self.commands.ask(client, Ask(size, client.reader.left))
        self._grant()

    def has_read(self, client: Client) -> None:
        """Some of what was granted to a connection has come."""
        granted = self.commands.granted.get(client)
        if granted is not None:
            client.account.change(Held.GRANTED, max(0, granted - client.reader.left))

    def is_whole(self, client: Client) -> None:
        """A command is whole, or its connection ended: others may go on."""
        if self.commands.done(client):
            client.account.change(Held.GRANTED, 0)
            if self.commands.waiting:
                self.loop.call_soon(self._grant)
        self.release_reserve()

    def _grant(self) -> None:
        """Let commands be read for which there is memory now."""
        if not self.commands.waiting:
            return
        for grant in self.commands.grants(self._room_for_commands()):
            client, ask = grant.peer, grant.ask
            if grant.reserved:
                self.reserved = client
                self.reserved_size = ask.size
                self.memory.hold(Held.RESERVE, -ask.size)
            client.account.change(Held.GRANTED, ask.more)
            client.throttle()

    def _room_for_commands(self) -> CommandRoom:
        """Usual commands have a share of what may be held, whatever else does."""
        granted = self.commands.granted
        usual = sum(size for size in granted.values() if size <= STREAM_FROM)
        long = sum(granted.values()) - usual
        return CommandRoom(
            max(self._left(), self.most_held * (1.0 - LONG_SHARE) - usual),
            min(self._left_for_more(), self.most_held * LONG_SHARE - long),
            self.reserved is None,
        )

    def release_reserve(self) -> None:
        """Have the reserve back, if the command that had it is no longer held."""
        holder = self.reserved
        if holder is None or (holder.transport and (holder in self.commands or holder.long_in_hand())):
            return
        self.reserved = None
        self.memory.hold(Held.RESERVE, self.reserved_size)
        if self.commands.waiting:
            self.loop.call_soon(self._grant)

    def _refuse_the_newest(self, most: int) -> None:
        """Refuse long commands that wait for memory, but for the one that has waited longest.

        Guards against connections that never come in, for the places that these hold.
        """
        waiting = [one for one, ask in self.commands.waiting.items() if ask.size > STREAM_FROM]
        for client in waiting[1:][-most:]:
            self.bites.bite("memory for connections", "the newest long command that waits is refused")
            client.refuse_partial(NO_MEMORY)

    def _end_waits(self) -> None:
        """Refuse commands that have waited for memory until their client's time was up."""
        now = time.monotonic()
        for client in [one for one in self.commands.waiting if one.time_is_up(now)]:
            self.bites.bite("memory for commands", "one that waited is refused as its time is up")
            client.refuse_partial(NO_MEMORY)
