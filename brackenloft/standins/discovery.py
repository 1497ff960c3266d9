"""Discovery's agent: the whole list, and watches that hold one JSON object a line in a chunked answer."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

BEAT_S = 2.0  # between two empty lines of a watch while nothing changes
HISTORY = 64  # changes kept; a watch from before them is given the whole list
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


def chunk(data: bytes) -> bytes:
    """A chunk of a chunked answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def listing(generation: int, *rows: dict[str, Any], reset: bool = False) -> bytes:
    """A line of a watch."""
    document = {"generation": generation, "reset": reset, "instances": rows}
    return json.dumps(document).encode() + b"\n"


def row(
    name: str,
    port: int,
    state: str = "Ready",
    started: int = 0,
    zone: str = "a",
    kind: str = "m",
) -> dict[str, Any]:
    """An entry of a list, on loopback."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }


class ScriptedDiscovery:
    """Keeps what was asked; each watch is a queue of lines that the test writes itself."""

    def __init__(self) -> None:
        self.targets: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.ended: asyncio.Queue[str] = asyncio.Queue()

    async def start(self) -> ScriptedDiscovery:
        """Listen on a port of the system's choice."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        self.targets.put_nowait(head.split()[1].decode())
        self.watches.put_nowait(writer)
        with suppress(OSError):
            while await reader.read(1000):
                pass
        self.ended.put_nowait("by the gateway")

    async def watch(self) -> tuple[str, asyncio.StreamWriter]:
        """The next watch: what it asked for and where to write lines."""
        return await self.targets.get(), await self.watches.get()


class Agent:
    """An agent that behaves: ``put`` and ``gone`` change the list, every watch is told.

    While ``silent`` it takes connections and says nothing, as an agent does whose source is down; it catches
    up once it is not.
    """

    def __init__(self) -> None:
        self.generation, self.rows = 1, dict[str, dict[str, Any]]()
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.news = asyncio.Condition()
        self.silent = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Agent:
        """Listen on a port of the system's choice."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def put(self, *rows: dict[str, Any]) -> None:
        """These entries are new or have changed."""
        async with self.news:
            self.generation += 1
            for entry in rows:
                if entry["lifecycle"] == "Gone":
                    self.rows.pop(entry["instanceId"], None)
                else:
                    self.rows[entry["instanceId"]] = entry
                self.changes.append((self.generation, entry))
            del self.changes[:-HISTORY]
            self.news.notify_all()

    async def gone(self, name: str) -> None:
        """This one has left."""
        await self.put({**self.rows[name], "lifecycle": "Gone"})

    async def be_silent(self, silent: bool) -> None:
        """Stop telling, or go on."""
        async with self.news:
            self.silent = silent
            self.news.notify_all()

    def close(self) -> None:
        """Listen no more, end all watches."""
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            url = urlsplit(head.split()[1].decode())
            query = parse_qs(url.query)
            if url.path != "/discovery/hosts":
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            elif "watch" in query:
                writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
                await self._watch(writer, int(query["from"][0]) if "from" in query else None)
            else:
                body = listing(self.generation, *self.rows.values(), reset=True)
                writer.write(HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
        self.tasks.discard(task)
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, seen: int | None) -> None:
        while not writer.is_closing():
            async with self.news:
                if self.silent:
                    await self.news.wait()
                    continue
                line, seen = self._line(seen), self.generation
                writer.write(chunk(line))
                await writer.drain()
                with suppress(TimeoutError):
                    async with asyncio.timeout(BEAT_S):
                        await self.news.wait()

    def _line(self, seen: int | None) -> bytes:
        """What has changed since that version: nothing, some entries, or the whole list."""
        if seen == self.generation:
            return b"\n"
        if seen is None or not self.changes or seen + 1 < self.changes[0][0]:
            return listing(self.generation, *self.rows.values(), reset=True)
        last = {entry["instanceId"]: entry for version, entry in self.changes if version > seen}
        return listing(self.generation, *last.values())
