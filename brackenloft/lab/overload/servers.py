"""Servers of a run: each answers within some milliseconds, with the value that the request's id asks for."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from typing import Any

import hiredis

from brackenloft.lab.overload.payload import value_of
from brackenloft.lab.overload.records import AttemptRecord
from brackenloft.standins.call_fields import is_call
from brackenloft.standins.discovery import row
from brackenloft.standins.peer import READ, array

LONGEST_WORK_S = 0.06


class OverloadServer:
    """One server; ``attempts`` is shared by all of a run."""

    def __init__(self, number: int, seed: int, attempts: list[AttemptRecord]) -> None:
        self.number, self.attempts = number, attempts
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
        parser: Any = hiredis.Reader()
        with suppress(OSError):
            while data := await reader.read(READ):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    await self._answer(words, writer)
        writer.close()

    async def _answer(self, words: Any, writer: asyncio.StreamWriter) -> None:
        if not is_call(words):
            writer.write(b"+PONG\r\n")
            return
        identity = int(words[2], 16)
        self.attempts.append(AttemptRecord(identity, time.monotonic(), self.number))
        await asyncio.sleep(self.random.random() * LONGEST_WORK_S)
        writer.write(array(value_of(identity)))
        await writer.drain()
