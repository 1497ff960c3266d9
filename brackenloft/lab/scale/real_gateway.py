"""A real gateway with traffic at its pace, beside the same without control and beside a bare relay."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from brackenloft.lab.fleet.control import Helper
from brackenloft.lab.fleet.history import now_ms
from brackenloft.lab.scale import formulas
from brackenloft.lab.scale.fleet import (
    LOOK_S,
    START_S,
    ControlServer,
    FleetPlan,
    processor_s,
    resident_mb,
)
from brackenloft.lab.scale.rows import Sizes
from brackenloft.lab.scale.slopes import Environment, Measured
from brackenloft.lab.scale.traffic import PLAN, READ
from brackenloft.standins.ports import free_ports

NODES = 4
METRICS_PATH = "/-/metrics"
CONTROL_FIGURES = "configuration"  # of the second address, where a gateway follows control servers
NO_SLOPES = Measured(Environment("", 0, 0.0, "", "", "", 0.0), ())


class GatewayProcess:
    """``brackenloft serve`` on a file of its own."""

    def __init__(self, name: str, folder: Path, discovery: int, control: str | None) -> None:
        self.name, self.folder = name, folder
        self.port, self.admin = free_ports(2)
        self.path = folder / f"{name}.json"
        document: dict[str, Any] = {
            "listen": f"127.0.0.1:{self.port}",
            "admin": f"127.0.0.1:{self.admin}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": 1,
            "site": {"gateways": 570, "index": 0, "zone": "a", "load_fields": ["queue", "util"]},
            "classes": [
                {"name": READ.name, "aim_ms": READ.aim_ms, "deadline_ms": READ.deadline_ms, "effect": "safe"}
            ],
            "plans": [{"name": PLAN, "rate": 1e6, "burst": 1e6}],
        }
        self.path.write_bytes(msgspec.json.encode(document | ({"control": control} if control else {})))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Until it is ready."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            words = ("-m", "brackenloft.lab.fleet.gateway", "serve", "--config", str(self.path))
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *words, stdout=log, stderr=log
            )
        async with asyncio.timeout(START_S):
            while not await self._ready():
                await asyncio.sleep(LOOK_S)

    async def _ready(self) -> bool:
        try:
            figures = await self.figures()
        except (aiohttp.ClientError, OSError):
            assert self.process
            if self.process.returncode is not None:
                log = (self.folder / f"{self.name}.log").read_text()
                raise RuntimeError(f"{self.name} ended: {log[-500:]}") from None
            return False
        return CONTROL_FIGURES not in figures or figures[CONTROL_FIGURES]["revision"] > 0

    async def figures(self) -> dict[str, Any]:
        """As its second address tells them."""
        url = f"http://127.0.0.1:{self.admin}{METRICS_PATH}"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            found: dict[str, Any] = await answer.json(content_type=None)
            return found

    @property
    def pid(self) -> int:
        """Its process."""
        assert self.process
        return self.process.pid

    async def end(self) -> None:
        """It is killed, and gone."""
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


class RealGateway:
    """The gateway, its twin without control, a relay, servers, the list, and the load on all three."""

    def __init__(self, plan: FleetPlan, folder: Path, servers: Sequence[ControlServer]) -> None:
        self.plan, self.folder, self.servers = plan, folder, servers
        self.helpers: list[Helper] = []
        self.gateways: dict[str, GatewayProcess] = {}
        self.load: Helper
        self.links: Helper  # between the list's agent and the gateways

    async def start(self) -> None:
        """All of them; the load begins."""
        module = "brackenloft.lab.scale.traffic"
        nodes = await self._helper(module, "nodes", str(NODES))
        port = str(nodes.hello["ports"][0])
        relay = await self._helper(module, "relay", port)
        changes_s = formulas.list_changes_s(Sizes(NO_SLOPES))
        agent = await self._helper(module, "agent", port, str(self.plan.servers), str(changes_s))
        lists = f"plain={agent.hello['port']}", f"gateway={agent.hello['port']}"
        self.links = await self._helper("brackenloft.lab.scale.links", *lists)
        for name, control in (("plain", None), ("gateway", self._control_file())):
            self.gateways[name] = GatewayProcess(name, self.folder, self.links.hello[name], control)
            await self.gateways[name].start()
        targets = {"relay": relay.hello["port"]} | {name: one.port for name, one in self.gateways.items()}
        self.load = await self._helper(module, "load", *(f"{name}={port}" for name, port in targets.items()))

    def _control_file(self) -> str:
        path = self.folder / "gateway-control.json"
        servers = [{"name": one.name, "url": one.url, "region": one.region} for one in self.servers]
        document = {"gateway": "real", "region": "r1", "zone": "a", "servers": servers}
        path.write_bytes(msgspec.json.encode(document))
        return path.name

    async def _helper(self, *words: str) -> Helper:
        helper = Helper(*words)
        self.helpers.append(helper)
        await helper.start()
        return helper

    async def window(self) -> dict[str, Any]:
        """Latencies since the last window by name; the gateway's own figures of control."""
        found = await self.load.ask(do="window")
        figures = await self.gateways["gateway"].figures()
        used = {name: processor_s(one.pid) for name, one in self.gateways.items()}
        counts = (await self.links.ask(do="count"))["gateway"]
        listed = counts.get("there", 0) + counts.get("back", 0)
        return found | {
            "control": figures.get(CONTROL_FIGURES),
            "cpu_s": used,
            "list_bytes": listed,
            "at_ms": now_ms(),
        }

    def memory(self) -> dict[str, float]:
        """Of both gateways now."""
        return {name: resident_mb(one.pid) for name, one in self.gateways.items()}

    def pids(self) -> list[int]:
        """All processes that live."""
        pids = [helper.pid for helper in self.helpers if helper.lives()]
        lives = [one for one in self.gateways.values() if one.process and one.process.returncode is None]
        return pids + [one.pid for one in lives]

    async def end(self) -> None:
        """All of them."""
        for gateway in self.gateways.values():
            await gateway.end()
        for helper in self.helpers:
            await helper.end()
