"""A client of anything that speaks RESP2, and its words. Reads with hiredis, not as the gateway does."""

from __future__ import annotations

import asyncio
from typing import Any

import hiredis

READ = 65536


def resp(*words: bytes | str) -> bytes:
    """A command."""
    parts = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def array(value: bytes, used: bytes | None = None, load: bytes | None = None) -> bytes:
    """A good answer of a server: value, figures on use, load report."""
    parts = [
        b"$-1\r\n" if part is None else b"$%d\r\n%b\r\n" % (len(part), part) for part in (value, used, load)
    ]
    return b"*3\r\n" + b"".join(parts)


class Line(Exception):  # noqa: N818
    """An error line as a client reads it."""


class Peer:
    """A client with one connection."""

    async def open(self, port: int, host: str = "127.0.0.1") -> Peer:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.parser = hiredis.Reader(replyError=Line)
        return self

    def send(self, *commands: bytes) -> None:
        """Write without waiting for a reply."""
        self.writer.write(b"".join(commands))

    async def reply(self) -> Any:
        """The next reply: bytes, an error line as text with its dash, or None when the connection ended."""
        while (answer := self.parser.gets()) is False:
            data = await self.reader.read(READ)
            if not data:
                return None
            self.parser.feed(data)
        return f"-{answer}" if isinstance(answer, Line) else answer

    async def ask(self, *commands: bytes) -> Any:
        """Write, and wait for one reply."""
        self.send(*commands)
        return await self.reply()
