"""A node that answers as a test tells it to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import hiredis

from brackenloft.interface import ServerEntry
from brackenloft.standins.peer import READ, array


class ScriptedNode:
    """Answers each command as ``answer`` says: bytes, or None to stay silent, or b"" to hang up."""

    def __init__(self, answer: Callable[[list[bytes]], bytes | None] = lambda words: array(words[2])) -> None:
        self.answer = answer
        self.commands: list[list[bytes]] = []
        self.by: list[int] = []  # the number of the connection of each command
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = 0
        self.news = asyncio.Event()

    async def start(self) -> ScriptedNode:
        """Listen on a port of the system's choice."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, parser = len(self.writers), hiredis.Reader()
        self.writers.append(writer)
        while data := await read_some(reader):
            parser.feed(data)
            while (words := parser.gets()) is not False:
                self.commands.append(words)
                self.by.append(number)
                reply = self.answer(words)
                if reply == b"":
                    writer.close()
                elif reply:
                    writer.write(reply)
                self.news.set()
        self.ended += 1
        self.news.set()
        writer.close()

    async def until(self, true: Callable[[], bool]) -> None:
        """Wait for something to have come about here."""
        while not true():
            self.news.clear()
            await self.news.wait()

    def entry(self, number: int, **more: Any) -> tuple[ServerEntry, tuple[str, int]]:
        """An entry of a list for this one, and its address."""
        return ServerEntry(number, more.pop("zone", "a"), **more), ("127.0.0.1", self.port)


async def read_some(reader: asyncio.StreamReader) -> bytes:
    """What has come; nothing at the end of the connection, however it ended."""
    try:
        return await reader.read(READ)
    except OSError:
        return b""
