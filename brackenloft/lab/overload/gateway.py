"""The gateway process of a run: started, watched, told to end and replaced as the platform does it."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from brackenloft.lab.overload.memory import socket_bytes, status_bytes
from brackenloft.lab.overload.scenario import PURCHASE_WAIT_S, Scenario, Trouble, Usage
from brackenloft.lab.soak.preload import Preload, build
from brackenloft.lab.soak.settings import settings
from brackenloft.standins.discovery import Agent
from brackenloft.standins.ports import free_port

READY_S, LOOK_S = 30.0, 0.02
SAMPLE_S = 0.05  # between two looks at the memory
KILL_S = 3.7  # from SIGTERM to SIGKILL
STOPS_S = (0.03, 0.15)  # for which the process stands still
FAULTS = ("Traceback", "the loop reports", "never retrieved")  # in its log
BREACH = "obligation not kept"  # the same, where no client is bad: one that reads slowly is cut at the end
MOST_SHOWN = 1000  # bytes of the log behind the first fault of a kind
PONG = b"+PONG\r\n"


def settings_for(usage: Usage) -> dict[str, Any]:
    """Those of the soak for one gateway; purchases may take as long as their clients wait."""
    drawn = settings(0, 1)
    if usage is Usage.PURCHASES:
        for service in drawn["services"]:
            service["hard_limit_ms"] = PURCHASE_WAIT_S * 1000.0
    return drawn


class OverloadGateway:
    """One gateway; ``root`` is the folder of the version that is played."""

    def __init__(self, scenario: Scenario, folder: Path, root: Path, server_ports: Sequence[int]) -> None:
        self.scenario, self.root, self.server_ports = scenario, root, server_ports
        self.agent, self.port = Agent(), free_port()
        self.config, self.log = folder / "gateway.json", folder / "gateway.log"
        self.process: asyncio.subprocess.Process | None = None
        self.most_bytes = 0  # of the process and its sockets
        self.crashes: list[str] = []
        self.preload: Preload | None = None  # in trouble, where descriptors are closed in many ways
        if scenario.trouble != Trouble():
            self.preload = Preload(build(folder), folder / "control", scenario.seed)

    async def start(self, rows: Sequence[dict[str, Any]]) -> None:
        """Start the agent, with this list, and the first process."""
        await self.agent.start()
        await self.agent.put(*rows)
        await self._spawn()

    async def _spawn(self) -> None:
        limits = {"cores": 1.0, "memory_mb": self.scenario.memory_mb, "sockets": self.scenario.sockets}
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": f"{self.scenario.seed:x}",
            "limits": limits,
            "settings": settings_for(self.scenario.usage),
            "known": {"generation": 1, "reset": True, "instances": list(self.agent.rows.values())},
        }
        self.config.write_text(json.dumps(document))
        environment = {**os.environ, "EDGE_CONFIG": str(self.config), "PYTHONPATH": str(self.root)}
        if self.preload:
            environment |= self.preload.environment()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brackenloft", env=environment, cwd=self.root, stderr=log
            )
        await self._says_pong()

    async def _says_pong(self) -> None:
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                async with asyncio.timeout(READY_S):
                    answer = await reader.read(len(PONG))
                writer.close()
                if answer == PONG:
                    return
            await asyncio.sleep(LOOK_S)
        self.crashes.append(f"not ready in {READY_S:g} s")

    async def restart(self) -> None:
        """SIGTERM, SIGKILL when its time is up, then a new process."""
        assert self.process
        with suppress(ProcessLookupError):
            self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), KILL_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self.process.returncode not in (0, -signal.SIGKILL):
            self.crashes.append(f"exited with {self.process.returncode}")
        await self._spawn()

    async def watch_memory(self) -> None:
        """Sample what the process and its sockets hold until this is cancelled."""
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_S)

    async def stand_still(self) -> None:
        """Stop the process and let it go on, again and again, until this is cancelled."""
        chance = random.Random(f"stops {self.scenario.seed}")
        while True:
            await asyncio.sleep(chance.expovariate(self.scenario.trouble.stops_per_s))
            self._signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(chance.uniform(*STOPS_S))
            finally:
                self._signal(signal.SIGCONT)

    def _signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    def _sample(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        sockets = socket_bytes(self.port) + sum(socket_bytes(0, port) for port in self.server_ports)
        resident = status_bytes(self.process.pid, "VmRSS")
        self.most_bytes = max(self.most_bytes, resident + sockets)

    async def close(self) -> None:
        """End it; its log is whole then."""
        if self.process:
            if self.process.returncode is not None:
                self.crashes.append(f"had ended with {self.process.returncode}")
            else:
                self.process.kill()
                await self.process.wait()
        self.agent.close()
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        if self.preload:
            if self.preload.bad_closes():
                self.crashes.append(f"descriptors closed twice: {self.preload.bad_closes()}")
            self.preload.close()
        for fault in (*FAULTS, BREACH) if self.preload else FAULTS:
            if fault in text:
                found = text.index(fault)
                start = text.rfind("\n", 0, found) + 1
                self.crashes.append(f"{text.count(fault)} times: {text[start : found + MOST_SHOWN]}")
