"""Gateway processes of a run, as the platform starts and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from brackenloft.lab.real.gateways import ran_and_queued_s
from brackenloft.lab.soak.faults import HELD_UP_S, TERMINATED_S, Fault, FaultKind
from brackenloft.lab.soak.history import History, LagRecord, ToldRecord
from brackenloft.lab.soak.preload import Preload
from brackenloft.lab.soak.settings import settings
from brackenloft.standins.discovery import Agent
from brackenloft.standins.ports import free_port

READY_S = 30.0  # for a process to listen
LOOK_S = 0.02
BETWEEN_SIGNALS_S = 0.15
LEAST_QUEUED_S = 0.005
FAULTS = ("Traceback", "the loop reports", "never retrieved")  # in a process's log
GOOD_EXITS = (0, -signal.SIGKILL)


class SoakGateway:
    """One gateway: its agent of discovery, its control block, and a process at a time."""

    def __init__(self, number: int, gateways: int, folder: Path, preload: Preload, history: History) -> None:
        self.number, self.gateways, self.folder = number, gateways, folder
        self.preload, self.history = preload, history
        self.agent, self.port = Agent(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"gateway-{number}.log"
        self.replacing = asyncio.Lock()
        self.killed_at: list[float] = []
        self.queued_s = 0.0  # for which the process had no processor so far

    async def start(self, rows: Sequence[dict[str, Any]]) -> None:
        """Start the agent, with this list, and a first process."""
        await self.agent.start()
        await self.agent.put(*rows)
        await self._spawn()

    async def _spawn(self) -> None:
        discovery = f"127.0.0.1:{self.agent.port}"
        path = self.folder / f"gateway-{self.number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": discovery,
                    "seed": f"{self.preload.seed:x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 384},
                    "settings": settings(self.number, self.gateways),
                    "known": {"generation": 1, "reset": True, "instances": list(self.agent.rows.values())},
                }
            )
        )
        environment = {**os.environ, **self.preload.environment(), "EDGE_CONFIG": str(path)}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brackenloft.lab.soak.child", env=environment, stderr=log
            )
        await self._listens()

    async def _listens(self) -> None:
        """Wait until it does, or has ended instead."""
        assert self.process
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                return
            if self.process.returncode is not None:
                self.history.crashes.append(f"gateway {self.number} did not start: {self.process.returncode}")
                return
            await asyncio.sleep(LOOK_S)
        self.history.crashes.append(f"gateway {self.number} did not listen in {READY_S:g} s")

    def _signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def terminate(self, times: int = 1) -> None:
        """Replace the process: SIGTERM, so many times, SIGKILL when its time is up, then a new one."""
        if self.replacing.locked():
            return
        async with self.replacing:
            assert self.process
            began = time.monotonic()
            for _ in range(times):
                self._signal(signal.SIGTERM)
                if times > 1:
                    await asyncio.sleep(BETWEEN_SIGNALS_S)
            try:
                await asyncio.wait_for(self.process.wait(), TERMINATED_S - (time.monotonic() - began))
            except TimeoutError:
                self._signal(signal.SIGKILL)
                await self.process.wait()
            self._note_exit()
            await self._spawn()

    async def kill(self) -> None:
        """Replace the process with no warning: what it held is the clients' to retry."""
        if self.replacing.locked():
            return
        async with self.replacing:
            assert self.process
            self.killed_at.append(time.monotonic())
            self._signal(signal.SIGKILL)
            await self.process.wait()
            await self._spawn()

    def _note_exit(self) -> None:
        assert self.process
        if self.process.returncode not in GOOD_EXITS:
            self.history.crashes.append(f"gateway {self.number} exited with {self.process.returncode}")

    async def suffer(self, fault: Fault) -> None:
        """One fault of a gateway, from its begin to its end."""
        match fault.kind:
            case FaultKind.TERMINATE:
                await self.terminate()
            case FaultKind.TERMINATE_IN_SERIES:
                await self.terminate(fault.size)
            case FaultKind.KILL:
                await self.kill()
            case FaultKind.HOLD_UP:
                await self.hold_up()
            case FaultKind.RELOAD:
                if not self.replacing.locked():  # the interpreter's own start takes no signal
                    self._signal(signal.SIGHUP)
            case FaultKind.STEP_CLOCK:
                await self.step_clock(fault)
            case FaultKind.FAIL_CALLS:
                await self.fail_calls(fault)
            case FaultKind.DISCOVERY_SILENT:
                await self.discovery_silent(fault)

    async def hold_up(self) -> None:
        """The process stands still for a moment."""
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(HELD_UP_S)
        self._signal(signal.SIGCONT)

    async def step_clock(self, fault: Fault) -> None:
        """The wall clock is off for a while."""
        self.preload.step_clock(fault.size)
        await asyncio.sleep(fault.for_s)
        self.preload.step_clock(0)

    async def fail_calls(self, fault: Fault) -> None:
        """System calls fail for a while."""
        self.preload.fail_calls(fault.size)
        await asyncio.sleep(fault.for_s)
        self.preload.fail_calls(0)

    async def discovery_silent(self, fault: Fault) -> None:
        """The agent says nothing for a while."""
        await self.agent.be_silent(True)
        await asyncio.sleep(fault.for_s)
        await self.agent.be_silent(False)

    async def tell(self, row: dict[str, Any], withdrawn: bool) -> None:
        """The agent has an entry that has changed; ``withdrawn``: it takes no more work from now on."""
        if withdrawn and not self.agent.silent:
            self.history.told.append(ToldRecord(self.number, row["instanceId"], time.monotonic()))
        await self.agent.put(row)

    def note_queued(self, began: float, ended: float) -> None:
        """Write down how long the process was ready to run and had no processor in a span."""
        queued_s = ran_and_queued_s(self.process.pid)[1] if self.process else 0.0
        waited_s = queued_s - self.queued_s
        self.queued_s = queued_s
        if waited_s > LEAST_QUEUED_S:
            self.history.lags.append(LagRecord(began, ended, self.number, waited_s))

    async def close(self) -> None:
        """At the end of a run."""
        if self.process:
            alive = self.process.returncode is None
            self._signal(signal.SIGKILL)
            await self.process.wait()
            if not alive:
                self.history.crashes.append(f"gateway {self.number} had ended: {self.process.returncode}")
        self.agent.close()
        text = self.log.read_text(errors="replace")
        for fault in FAULTS:
            if fault in text:
                self.history.crashes.append(f"gateway {self.number}: {text[text.index(fault) :][:2000]}")
        if self.preload.bad_closes():
            count = self.preload.bad_closes()
            self.history.crashes.append(f"gateway {self.number}: descriptors closed twice {count} times")
        self.preload.close()
