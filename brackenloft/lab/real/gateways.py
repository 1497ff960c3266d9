"""Gateway processes of an experiment: configuration, start and end, the list that each is told."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import sys
from collections import deque
from contextlib import suppress
from dataclasses import asdict
from enum import Enum
from pathlib import Path
from typing import Any

from brackenloft.interface import Settings
from brackenloft.lab.spec import ExperimentError
from brackenloft.standins.discovery import Agent

LISTENS = re.compile(rb"listening on 127\.0\.0\.1:([0-9]+)")
START_S = 30.0  # for a process to listen and ask for its list: many times what a busy machine takes
LAST_LINES = 20  # of what a process says, kept to tell why it ended
LONGEST_LINE = 1 << 16  # of its log


def configuration(settings: Settings, discovery: int, seed: int) -> dict[str, Any]:
    """The file of one gateway, for ``serve``."""
    site = (
        "gateways",
        "index",
        "zone",
        "load_fields",
        "meter_period_ms",
        "largest_units",
        "settles",
        "tick_ms",
        "cross_zone_price",
    )
    return {
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": seed,
        "classes": [_plain(asdict(kind)) for kind in settings.classes],
        "plans": [asdict(plan) for plan in settings.plans],
        "attempts": asdict(settings.limits),
        "rules": asdict(settings.contract),
        "site": {name: getattr(settings, name) for name in site},
    }


def _plain(table: dict[str, Any]) -> dict[str, Any]:
    return {name: value.value if isinstance(value, Enum) else value for name, value in table.items()}


def ran_and_queued_s(pid: int) -> tuple[float, float]:
    """How long a process has run, and how long it was ready and had no processor; nothing once it is gone."""
    with suppress(OSError, ValueError, IndexError):
        ran, queued = Path(f"/proc/{pid}/schedstat").read_text().split()[:2]
        return int(ran) / 1e9, int(queued) / 1e9
    return 0.0, 0.0


class Teller(Agent):
    """The list of one gateway; knows when it is listened to."""

    def __init__(self) -> None:
        super().__init__()
        self.heard = asyncio.Event()

    async def _watch(self, writer: asyncio.StreamWriter, seen: int | None) -> None:
        self.heard.set()
        await super()._watch(writer, seen)


class GatewayProcess:
    """One place for a gateway: a process at a time, each with a port of its own."""

    def __init__(self, folder: Path, index: int, settings: Settings, seed: int) -> None:
        self.folder, self.index, self.settings, self.seed = folder, index, settings, seed
        self.teller = Teller()
        self.port, self.killed = 0, False
        self.process: asyncio.subprocess.Process | None = None
        self.lines: deque[str] = deque(maxlen=LAST_LINES)
        self.reading: asyncio.Task[None] | None = None
        self.used_s = self.queued_s = 0.0  # on a processor, and waiting for one, of those that are over

    async def start(self) -> None:
        """A new process; returns once it listens and its list has been asked for."""
        if not self.process:
            await self.teller.start()
        self.teller.heard.clear()
        path = self.folder / f"gateway-{self.index}.json"
        path.write_text(json.dumps(configuration(self.settings, self.teller.port, self.seed)))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brackenloft.lab.real.child",
            "serve",
            "--config",
            str(path),
            stderr=asyncio.subprocess.PIPE,
            limit=LONGEST_LINE,
        )
        self.killed = False
        listens: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.reading = asyncio.create_task(self._read(self.process, listens))
        try:
            async with asyncio.timeout(START_S):
                self.port = await listens
                await self.teller.heard.wait()
        except TimeoutError:
            raise ExperimentError(f"gateway {self.index} did not start: {self._last()}") from None

    async def _read(self, process: asyncio.subprocess.Process, listens: asyncio.Future[int]) -> None:
        """Its log, read to the end so that it never waits for us."""
        assert process.stderr
        while line := await process.stderr.readline():
            self.lines.append(line.decode(errors="replace").rstrip())
            if (found := LISTENS.search(line)) and not listens.done():
                listens.set_result(int(found[1]))
        if not listens.done():
            listens.set_exception(ExperimentError(f"gateway {self.index} ended: {self._last()}"))

    def _last(self) -> str:
        return self.lines[-1] if self.lines else "it said nothing"

    def kill(self) -> None:
        """End it at once, as a crash does."""
        if self.process and self.process.returncode is None:
            ran, queued = ran_and_queued_s(self.process.pid)
            self.used_s, self.queued_s = self.used_s + ran, self.queued_s + queued
            self.killed = True
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)

    def process_lives(self) -> bool:
        """Whether a process is there that was not killed."""
        return self.process is not None and self.process.returncode is None and not self.killed

    def spent_s(self) -> tuple[float, float]:
        """Time on a processor and time waiting for one, of all its processes so far."""
        if self.process is None or not self.process_lives():
            return self.used_s, self.queued_s
        ran, queued = ran_and_queued_s(self.process.pid)
        return self.used_s + ran, self.queued_s + queued

    async def close(self) -> None:
        """At the end: nothing of it is left."""
        self.kill()
        if self.process:
            await self.process.wait()
            self.teller.close()
        if self.reading:
            await asyncio.gather(self.reading, return_exceptions=True)
