"""The sockets of an experiment: a listener for each gateway at each node, and clients' connections.

Each gateway has an address of its own at each node, so that the one can be cut off from the other and an
attempt tells who sent it.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Protocol, cast

import hiredis

from brackenloft.lab.client_try import ClientTry
from brackenloft.lab.nodes import Job, Node
from brackenloft.standins.ports import ReservedPort

BACKLOG = 1024
FILL = 4  # connections of our own that fill the queue of a listener that is cut off: it holds one or two
MOST_SLOTS = 1000  # commands that one connection may have open: far more than a gateway sends


@dataclass(slots=True, eq=False)
class Slot:
    """One command on a connection; answers keep the order of the commands."""

    ask: Any  # whose it is: a ClientTry, or its name in a script
    job: Job | None = None
    text: bytes | None = None  # its answer; empty: the connection is reset


class Host(Protocol):
    """What the sockets tell the experiment."""

    def commanded(self, door: Door, words: Any) -> None:
        """A gateway has sent a node a command."""

    def left(self, door: Door) -> None:
        """A gateway's connection has ended."""

    def replied(self, line: Line, answer: Any) -> None:
        """A client has its answer: bytes, or an error."""

    def broke(self, line: Line) -> None:
        """A client's connection has ended."""


class Door(asyncio.Protocol):
    """A gateway's connection to a node, from the node's side."""

    def __init__(self, host: Host, gateway: int, node: Node) -> None:
        self.host, self.gateway, self.node = host, gateway, node
        self.parser = hiredis.Reader()
        self.slots: deque[Slot] = deque()
        self.open = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport, self.open = cast(asyncio.Transport, transport), True

    def data_received(self, data: bytes) -> None:
        """Commands, whole or in part."""
        try:
            self.parser.feed(data)
            while self.open and (words := self.parser.gets()) is not False:
                self.host.commanded(self, words)
                if len(self.slots) > MOST_SLOTS:
                    self.transport.abort()
                    return
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has closed it, or we have."""
        self.open = False
        self.host.left(self)

    def answer(self, slot: Slot, text: bytes) -> None:
        """Write it once those before it are written."""
        slot.text = text
        while self.open and self.slots and self.slots[0].text is not None:
            first = self.slots.popleft().text
            if first:
                self.transport.write(first)
            else:
                self.transport.abort()
                return

    def hold(self, held: bool) -> None:
        """Read nothing while it is cut off."""
        if self.open:
            (self.transport.pause_reading if held else self.transport.resume_reading)()


class Listener:
    """A node's address for one gateway: it takes connections, refuses them, or lets them hang."""

    def __init__(self, make: Callable[[], Door]) -> None:
        self.make = make
        self.reserved = ReservedPort()
        self.port = self.reserved.number
        self.socket: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.doors: set[Door] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def take(self) -> None:
        """Accept connections, at the same port as before."""
        self.refuse()
        self.socket = socket.create_server(("127.0.0.1", self.port), backlog=BACKLOG)
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self._accept, self.socket)

    def refuse(self) -> None:
        """Refuse new connections; those that are open stay."""
        if self.socket:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
        self._drop_fillers()

    def hang(self) -> None:
        """Let new connections hang: the queue of those to be accepted is short and full.

        The system drops what comes for a full queue, so that it looks as if the way there were cut.
        """
        if not self.socket or self.fillers:
            return
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.listen(0)
        for _ in range(FILL):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def mend(self) -> None:
        """Accept again after ``hang``."""
        if self.socket and self.fillers:
            self._drop_fillers()
            self.socket.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.socket.fileno(), self._accept, self.socket)

    def _drop_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):  # it went away again before it was accepted
            accepted, _ = listening.accept()
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._open(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _open(self, accepted: socket.socket) -> None:
        with suppress(OSError):
            _, door = await asyncio.get_running_loop().connect_accepted_socket(self.make, accepted)
            self.doors.add(door)

    def reset(self) -> None:
        """The process at this address is gone: whatever is open is reset."""
        for door in list(self.doors):
            if door.open:
                door.transport.abort()
        self.doors.clear()


class Wrong(Exception):  # noqa: N818
    """An error line as a client reads it."""


class Line(asyncio.Protocol):
    """A client's connection to a gateway: one request at a time."""

    def __init__(self, host: Host, gateway: int) -> None:
        self.host, self.gateway = host, gateway
        self.parser = hiredis.Reader(replyError=Wrong)
        self.ask: ClientTry | None = None
        self.open = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport, self.open = cast(asyncio.Transport, transport), True

    def data_received(self, data: bytes) -> None:
        """An answer, whole or in part."""
        try:
            self.parser.feed(data)
            while (answer := self.parser.gets()) is not False:
                self.host.replied(self, answer)
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has closed it, or is gone."""
        self.open = False
        self.host.broke(self)
