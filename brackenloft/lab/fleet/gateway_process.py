"""One gateway of a trial: its configuration files, its links, and one process at a time."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import suppress
from pathlib import Path

from brackenloft.lab.fleet.control import Helper
from brackenloft.lab.fleet.schedule import Schedule

ENDED_MS = 1200.0  # a gateway's run that has not counted for so long is swept


class GatewayProcess:
    """One gateway's place: its file, its links, a process at a time."""

    def __init__(self, schedule: Schedule, folder: Path, number: int) -> None:
        self.schedule, self.folder, self.number = schedule, folder, number
        self.links = Helper("brackenloft.lab.fleet.links")
        self.process: asyncio.subprocess.Process | None = None
        self.path = folder / f"gateway-{number}.json"
        self.starts = 0

    async def prepare(self, ports: dict[str, int]) -> None:
        """Its links, and its files."""
        found = await self.links.start(*(f"{name}={port}" for name, port in ports.items()))
        plan, folder = self.schedule, self.folder
        place = f"redis://127.0.0.1:{found['place']}"
        tasks = [
            {
                "name": f"t{task}",
                "kind": "brackenloft.lab.fleet.exercise:Exercise",
                "every_ms": plan.every_ms,
                "longest_ms": 4000.0,
                "option": json.dumps(
                    {
                        "task": f"t{task}",
                        "place": place,
                        "history": str(folder / f"acts-{self.number}.jsonl"),
                        "fenced": plan.fenced,
                        "steps": plan.steps,
                        "poison": plan.poison and task == 0,
                    }
                ),
            }
            for task in range(plan.tasks)
        ]
        if plan.real:
            tasks += [
                {"name": "sweep", "kind": "sweep", "every_ms": 200.0, "ended_ms": ENDED_MS},
                {"name": "probe", "kind": "probe", "every_ms": 100.0},
            ]
            counter = {"url": place, "timeout_ms": 200.0}
            (folder / f"counter-{self.number}.json").write_text(json.dumps(counter))
        fleet = {
            "stores": [
                {"name": name, "url": f"redis://127.0.0.1:{port}"}
                for name, port in found.items()
                if name != "place"
            ],
            "tasks": tasks,
            "timeout_ms": plan.timeout_ms,
            "lease_ms": plan.lease_ms,
            "drift": plan.drift,
            "trial": {"clock_rate": plan.rate(self.number)},
        }
        (folder / f"fleet-{self.number}.json").write_text(json.dumps(fleet))
        self.path.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "seed": plan.seed + self.number,
                    "fleet": f"fleet-{self.number}.json",
                    **({"counter": f"counter-{self.number}.json"} if plan.real else {}),
                    "site": {"gateways": plan.gateways, "index": self.number},
                    "nodes": [{"name": "n1", "host": "127.0.0.1", "port": 9}],
                    "classes": [{"name": "read", "aim_ms": 1000.0, "deadline_ms": 2000.0, "effect": "safe"}],
                    "plans": [{"name": "p", "rate": 10.0, "burst": 10.0}],
                }
            )
        )

    async def start(self) -> None:
        """A new process."""
        self.starts += 1
        mutant = ["--mutant", self.schedule.mutant] if self.schedule.mutant else []
        with open(self.folder / f"gateway-{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "brackenloft.lab.fleet.gateway",
                *mutant,
                "serve",
                "--config",
                str(self.path),
                stderr=log,
            )

    def tell(self, number: int) -> None:
        """Send it a signal, if it is there."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> None:
        """It ends, and is gone."""
        self.tell(number)
        if self.process:
            await self.process.wait()
