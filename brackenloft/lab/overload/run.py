"""One run: a gateway process, servers here, sound and bad clients each in a process of their own."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from brackenloft.lab.overload.gateway import OverloadGateway
from brackenloft.lab.overload.judge import Verdict, judge
from brackenloft.lab.overload.records import AttemptRecord, DepartureRecord, RequestRecord
from brackenloft.lab.overload.scenario import CrowdKind, Scenario
from brackenloft.lab.overload.servers import OverloadServer

SERVERS = 4
LEAD_S = 0.3  # for which the crowd is there before the first sound request
MEGABYTE = 1 << 20
MOST_SHOWN = 20
ROOT = Path(__file__).resolve().parents[3]
RecordT = TypeVar("RecordT", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class Result:
    """What came of a run."""

    scenario: Scenario
    verdict: Verdict

    def line(self) -> dict[str, Any]:
        """For a line of JSON."""
        broken, figures = dict(self.verdict.broken), self.verdict.figures
        shown = self.verdict.shown[:MOST_SHOWN]
        return {**asdict(self.scenario), "figures": figures, "rules": broken, "violations": shown}


class Run:
    """Plays one scenario in a folder of its own, on the version of the gateway that ``root`` holds."""

    def __init__(self, scenario: Scenario, folder: Path, root: Path = ROOT) -> None:
        self.scenario, self.folder, self.root = scenario, folder, root
        self.attempts: list[AttemptRecord] = []
        self.servers = [
            OverloadServer(number, scenario.seed, self.attempts, scenario.trouble)
            for number in range(SERVERS)
        ]
        self.children: list[asyncio.subprocess.Process] = []

    async def play(self) -> Result:
        """The whole run."""
        await asyncio.gather(*(server.start() for server in self.servers))
        ports = [server.port for server in self.servers]
        gateway = OverloadGateway(self.scenario, self.folder, self.root, ports)
        tasks: list[asyncio.Task[None]] = []
        try:
            await gateway.start([server.row() for server in self.servers])
            tasks.append(asyncio.create_task(gateway.watch_memory()))
            if self.scenario.trouble.stops_per_s:
                tasks.append(asyncio.create_task(gateway.stand_still()))
            if self.scenario.restart_at_s:
                tasks.append(asyncio.create_task(self._restart(gateway)))
            crowd = asyncio.create_task(self._crowd(gateway.port))
            await asyncio.sleep(LEAD_S)
            requests = await self._child(
                RequestRecord,
                "sound_clients",
                gateway.port,
                self.scenario.seed,
                self.scenario.seconds,
                self.scenario.rate_per_s,
                self.scenario.sound_usage(),
            )
            left = await crowd
        finally:
            for task in tasks:
                task.cancel()
            for child in self.children:
                with suppress(ProcessLookupError):
                    child.kill()
            await gateway.close()
            for server in self.servers:
                server.close()
        return self._result(gateway, requests, left)

    async def _restart(self, gateway: OverloadGateway) -> None:
        await asyncio.sleep(self.scenario.restart_at_s)
        await gateway.restart()

    async def _crowd(self, port: int) -> list[DepartureRecord]:
        scenario = self.scenario
        if scenario.kind is CrowdKind.NONE:
            return []
        return await self._child(
            DepartureRecord,
            "bad_clients",
            port,
            scenario.seed,
            scenario.seconds,
            scenario.kind,
            scenario.crowd,
        )

    async def _child(self, record: type[RecordT], module: str, *arguments: object) -> list[RecordT]:
        """Run clients in a process of their own; what they wrote down."""
        output = self.folder / f"{module}.jsonl"
        words = (sys.executable, "-m", f"brackenloft.lab.overload.{module}", output, *arguments)
        child = await asyncio.create_subprocess_exec(*map(str, words), cwd=ROOT)
        self.children.append(child)
        if await child.wait():
            raise RuntimeError(f"{module} exited with {child.returncode}")
        return [msgspec.json.decode(line, type=record) for line in output.read_bytes().splitlines()]

    def _result(
        self, gateway: OverloadGateway, requests: Sequence[RequestRecord], left: Sequence[DepartureRecord]
    ) -> Result:
        verdict = judge(requests, left, self.attempts, gateway.log.read_text(errors="replace"))
        verdict.figures["memory_mb"] = round(gateway.most_bytes / MEGABYTE, 1)
        if gateway.most_bytes > self.scenario.memory_mb * MEGABYTE:
            verdict.violate("over the memory", f"{gateway.most_bytes / MEGABYTE:.1f} MB")
        for crash in gateway.crashes:
            verdict.violate("crash", crash)
        if not requests:
            verdict.violate("the run itself failed", "no sound client wrote anything down")
        return Result(self.scenario, verdict)
