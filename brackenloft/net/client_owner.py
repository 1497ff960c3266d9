"""What a client's connection needs of the listener that accepted it."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from brackenloft.admission.account import MemoryAccount
from brackenloft.admission.roll import Roll
from brackenloft.net.departures import Departures
from brackenloft.net.driver import Driver
from brackenloft.net.read_buffer import ReadBuffer
from brackenloft.net.read_turns import ReadTurns
from brackenloft.net.requests import Requests
from brackenloft.obligations import Obligations
from brackenloft.policy.parked import Parked

ClientT = TypeVar("ClientT")


class BufferAccount(Protocol):
    """The account of all that is held for peers."""

    memory: MemoryAccount
    most_unsent: int  # bytes that a transport takes at once, and buffers before no more are written


class ClientOwner(BufferAccount, Protocol[ClientT]):
    """The connections of all clients, their shared limits, and the driver behind them."""

    loop: asyncio.AbstractEventLoop
    driver: Driver
    requests: Requests
    parked: Parked
    roll: Roll[ClientT]
    departures: Departures[ClientT]
    stuck: dict[ClientT, None]
    read_buffer: ReadBuffer
    socket_buffer: int
    turns: ReadTurns
    asking: int
    emptying: bool
    closing: bool
    obligations: Obligations

    def opened(self, client: ClientT) -> None:
        """A connection has been made."""

    def closed(self, client: ClientT) -> None:
        """A connection has ended, and its descriptor is free."""

    def sort(self, client: ClientT, within: bool, took: bool) -> None:
        """Note whether a connection is within a command, and whether it took a whole one."""

    def rests(self, client: ClientT) -> None:
        """All that came on a connection has been answered."""

    def part(self, client: ClientT) -> None:
        """A connection is to be ended as soon as it rests."""

    def is_within(self, client: ClientT) -> None:
        """A connection is within a command."""

    def has_read(self, client: ClientT) -> None:
        """Something has come on a connection."""

    def is_whole(self, client: ClientT) -> None:
        """A command is whole, or its connection has ended."""

    def release_reserve(self) -> None:
        """Have the reserve for a long command back, if nothing of it is held any more."""

    def may_send_on(self, client: ClientT) -> bool:
        """Whether a connection is read further, as far as memory goes."""

    def room_for(self, client: ClientT) -> int:
        """Bytes that may be read of a connection at once."""

    def has_room(self) -> bool:
        """Whether what is held leaves room for more."""

    def may_read_ahead(self) -> bool:
        """Whether there is memory for what can't be taken yet."""

    def look_after(self) -> None:
        """Sweep until nothing is overdue and there is room."""

    def may_take(self, size: int) -> bool:
        """Whether there is memory for a command of this size, which has come whole."""

    def depth(self) -> int:
        """Commands that one connection may have in hand now."""

    def scarcity(self) -> float:
        """The share of the places for requests that is taken, 0 to 1."""

    def turnover(self) -> float:
        """Places for requests that come free in a second, when all are held for as long as they may be."""

    def short(self) -> bool:
        """Whether places are to be given up as soon as may be."""

    def finishing(self) -> bool:
        """Whether the process empties and its last commands have been taken."""

    def pong(self) -> bytes:
        """The reply to PING."""
