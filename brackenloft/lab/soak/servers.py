"""Servers of a run: they answer late, hang, reset, restart and drain, and write down each command."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from typing import Any

import hiredis

from brackenloft.lab.soak.history import AttemptRecord, History, ServerRecord
from brackenloft.standins.call_fields import call_fields, is_call
from brackenloft.standins.discovery import row
from brackenloft.standins.peer import READ, array
from brackenloft.standins.ports import free_port

LONGEST_WORK_S = 0.08
SLOW_WORK_S = 0.6
HANGS_S = 30.0  # longer than any client waits
BREAKS, HANGS, BUSY, FAILS = 0.02, 0.02, 0.05, 0.03  # shares of the commands
LONG, BREAKS_OFF = (
    0.03,
    0.3,
)  # share of the answers that are long values, and of these, that break off half way
LONG_VALUE = b"x" * 200_000


class SoakServer:
    """One server, at the same port over restarts."""

    def __init__(self, number: int, history: History, seed: int) -> None:
        self.name, self.history = f"s-{number}", history
        self.record = history.servers.setdefault(self.name, ServerRecord(self.name))
        self.random = random.Random(f"{seed} {self.name}")
        self.started_ms = 0
        self.hangs = self.slow = self.draining = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = free_port()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def row(self) -> dict[str, Any]:
        """Its entry in the list."""
        return row(self.name, self.port, "Terminating" if self.draining else "Ready", self.started_ms)

    def reset(self) -> None:
        """Connections are reset, whatever they carry."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self) -> None:
        """The process dies and is back at once, cold."""
        self.close()
        self.hangs = False
        self.started_ms = int(time.time() * 1000.0)
        self.record.starts.append(time.monotonic())
        await self.start()

    def close(self) -> None:
        """Listen no more; connections are reset."""
        if self.server:
            self.server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        parser: Any = hiredis.Reader()
        queue: asyncio.Queue[tuple[AttemptRecord, bytes]] = asyncio.Queue()
        answering = asyncio.create_task(self._answer_all(queue, writer))
        out: list[AttemptRecord] = []
        with suppress(OSError):
            while data := await reader.read(READ):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    if is_call(words):
                        attempt = self._note(words)
                        out.append(attempt)
                        queue.put_nowait((attempt, words[2]))
        now = time.monotonic()
        for attempt in out:
            attempt.ended_at = min(attempt.ended_at, now)
        answering.cancel()
        self.writers.discard(writer)
        writer.close()

    def _note(self, words: list[bytes]) -> AttemptRecord:
        fields = call_fields(words)
        if fields is None:
            raise ValueError(f"a command of another form: {words!r:.200}")
        told_s = float(fields["d"]) / 1000.0
        attempt = AttemptRecord(int(words[2], 16), self.name, time.monotonic(), told_s)
        self.history.attempts.append(attempt)
        return attempt

    async def _answer_all(
        self, queue: asyncio.Queue[tuple[AttemptRecord, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while True:
                attempt, request_id = await queue.get()
                if not await self._answer(attempt, request_id, writer):
                    writer.close()
                    return

    async def _answer(self, attempt: AttemptRecord, request_id: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer one command; False: the connection ends instead."""
        chance = self.random.random()
        if self.draining or chance < BUSY:
            attempt.ended_at = time.monotonic()
            writer.write(b"-BUSY\r\n")
            return True
        chance -= BUSY
        attempt.ran = True
        if chance < BREAKS:
            return False
        hangs = self.hangs or chance < BREAKS + HANGS
        work_s = SLOW_WORK_S if self.slow else LONGEST_WORK_S
        await asyncio.sleep(HANGS_S if hangs else self.random.random() * work_s)
        attempt.ended_at = time.monotonic()
        if chance < BREAKS + HANGS + FAILS:
            writer.write(b"-ERR failed\r\n")
            return True
        return self._serve_value(request_id, writer)

    def _serve_value(self, request_id: bytes, writer: asyncio.StreamWriter) -> bool:
        """A good answer; False: the connection ends in the middle of it."""
        if self.random.random() >= LONG:
            writer.write(array(request_id))
            return True
        answer = array(request_id + LONG_VALUE)
        if self.random.random() < BREAKS_OFF:
            writer.write(answer[: self.random.randrange(len(request_id), len(answer))])
            return False
        writer.write(answer)
        return True
