"""What a connection to a server needs of the pool that it belongs to."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

from brackenloft.admission.account import MemoryAccount
from brackenloft.net.address import Address
from brackenloft.net.read_buffer import ReadBuffer
from brackenloft.net.server_host import Host
from brackenloft.net.server_protocol import ServerProtocol
from brackenloft.net.streams import Streams

if TYPE_CHECKING:
    from brackenloft.net.server_connection import Connection


class Pool(Protocol):
    """The connections to all servers of one protocol, and their shared limits."""

    loop: asyncio.AbstractEventLoop
    connect: Callable[[socket.socket, Address], Awaitable[None]]
    protocol: ServerProtocol
    streams: Streams
    read_buffer: ReadBuffer
    socket_buffer: int
    memory: MemoryAccount
    connect_timeout_s: float
    tries: int
    watcher: Callable[[int, bool], None] | None

    def fail_waiting(self, host: Host) -> None:
        """A connection to this server did not come up: fail the attempts that wait for one."""

    def give_back(self, connection: Connection) -> None:
        """An attempt has ended well: keep its connection, unless the server changed meanwhile."""

    def hold(self, size: int, connection: Connection) -> None:
        """Count bytes held for an answer; raises ProtocolError where there is no memory for it."""

    def room(self, connection: Connection) -> int:
        """Bytes that may still be held of what comes on a connection."""

    def whole_up_to(self) -> int:
        """Bytes of a value that is held until it is whole."""

    def may_stream(self) -> bool:
        """Whether there is memory for another long value that a client may take slowly."""

    def look_at(self, connection: Connection) -> None:
        """Watch the pace of a command or an answer that did not go or come at once."""

    def forget(self, connection: Connection) -> None:
        """A connection that is closing counts no more."""
