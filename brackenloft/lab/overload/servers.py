"""Servers of a run: each answers within some milliseconds, with the value that the request's id asks for.

In trouble, one refuses what is over its places and ends that connection, and resets some as they come up.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from contextlib import suppress
from typing import Any

import hiredis

from brackenloft.lab.overload.payload import value_of
from brackenloft.lab.overload.records import AttemptRecord
from brackenloft.lab.overload.scenario import Trouble
from brackenloft.standins.call_fields import is_call
from brackenloft.standins.discovery import row
from brackenloft.standins.peer import READ, array

LONGEST_WORK_S = 0.06
PIECE = 16 * 1024  # bytes that a slow server takes at once
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for no time


class OverloadServer:
    """One server; ``attempts`` is shared by all of a run."""

    def __init__(
        self,
        number: int,
        seed: int,
        attempts: list[AttemptRecord],
        trouble: Trouble = Trouble(),  # noqa: B008
    ) -> None:
        self.number, self.attempts, self.trouble = number, attempts, trouble
        self.busy = 0  # requests that it works on
        self.random = random.Random(f"server {seed} {number}")
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return row(f"s-{self.number}", self.port)

    def close(self) -> None:
        """Listen no more."""
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.random.random() < self.trouble.reset_share:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()
            return
        parser: Any = hiredis.Reader()
        with suppress(OSError):
            while data := await self._read(reader):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    if not await self._answer(words, writer):
                        writer.close()
                        return
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """The next bytes, at the rate at which it takes them."""
        if not self.trouble.body_rate:
            return await reader.read(READ)
        data = await reader.read(PIECE)
        await asyncio.sleep(len(data) / self.trouble.body_rate)
        return data

    async def _answer(self, words: Any, writer: asyncio.StreamWriter) -> bool:
        """Answer one command; False: the connection ends behind that."""
        if not is_call(words):
            writer.write(b"+PONG\r\n")
            return True
        if 0 < self.trouble.places <= self.busy:
            writer.write(b"-BUSY\r\n")
            return False
        identity = int(words[2], 16)
        self.attempts.append(AttemptRecord(identity, time.monotonic(), self.number))
        self.busy += 1
        try:
            await asyncio.sleep(self.random.random() * LONGEST_WORK_S)
            writer.write(array(value_of(identity)))
            await writer.drain()
        finally:
            self.busy -= 1
        return True
