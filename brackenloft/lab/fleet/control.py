"""How a fleet's driver speaks to its helpers: a JSON object a line on their standard input, one back."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec

PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of Linux's prctl
START_S = 30.0  # for a process to say that it is there: many times what a busy machine takes
ANSWER_S = 10.0
LONGEST_LINE = 1 << 20
Answerer = Callable[[dict[str, Any]], dict[str, Any]]


def die_with_parent() -> None:
    """Guards against helpers left over by a driver that was killed."""
    ctypes.CDLL(None).prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


async def serve(hello: dict[str, Any], answerer: Answerer) -> None:
    """Say hello, then answer each line until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    _say(hello)
    while line := await reader.readline():
        _say(answerer(msgspec.json.decode(line)))


def _say(document: dict[str, Any]) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(document) + b"\n")
    sys.stdout.buffer.flush()


class Helper:
    """A helper process, from its driver's side. It may be stopped, killed and started again."""

    def __init__(self, *words: str) -> None:
        self.words = words
        self.process: asyncio.subprocess.Process | None = None
        self.hello: dict[str, Any] = {}
        self.turn = asyncio.Lock()

    async def start(self, *more: str) -> dict[str, Any]:
        """A new process; what it said first."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.words,
            *more,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LONGEST_LINE,
        )
        async with asyncio.timeout(START_S), self.turn:
            self.hello = await self._line()
        return self.hello

    async def _line(self) -> dict[str, Any]:
        assert self.process and self.process.stdout
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.words[0]} ended")
        found: dict[str, Any] = msgspec.json.decode(line)
        return found

    async def ask(self, **document: Any) -> dict[str, Any]:
        """Tell it something; its answer. RuntimeError if it has ended, or ends meanwhile."""
        async with asyncio.timeout(ANSWER_S), self.turn:
            assert self.process and self.process.stdin
            self.process.stdin.write(msgspec.json.encode(document) + b"\n")
            return await self._line()

    @property
    def pid(self) -> int:
        """Its process."""
        assert self.process
        return self.process.pid

    def lives(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send it a signal, if it is there."""
        if self.lives():
            with suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def end(self) -> None:
        """It is gone."""
        if self.process:
            self.signal(signal.SIGKILL)
            await self.process.wait()
