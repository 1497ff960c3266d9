"""The processes of a scale run: stores, control servers, links, hollow gateways. Started, cut, ended."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.lab.fleet.control import Helper
from brackenloft.lab.scale.hollow import HollowOrder, ServerPlace

STORES = 3
ZONES = {"a": "r1", "b": "r1", "c": "r2", "d": "r2", "e": "r3", "f": "r3", "g": "r3"}  # zone: region
REGIONS = ("r1", "r2", "r3")
FLOOR = 1_000_000  # of the registers' tokens
STORE_TIMEOUT_S = 0.5
START_S, LOOK_S = 30.0, 0.05  # until a process answers, and between two looks whether it does


class FleetPlan(msgspec.Struct, frozen=True):
    """The sizes of a run. Zones take turns with the gateways and regions with the control servers."""

    gateways: int = 570
    control_servers: int = 6
    zones: int = 7
    tenants: int = 55_000
    routes: int = 3_900
    services: int = 140
    servers: int = 6_300
    lookups_s: float = 0.2  # of each gateway
    seed: int = 1


def shares(total: int, parts: int) -> list[int]:
    """An even division."""
    return [total // parts + (number < total % parts) for number in range(parts)]


class Zone:
    """The hollow gateways of a zone and their links to the control servers."""

    def __init__(self, name: str, gateways: tuple[str, ...], folder: Path) -> None:
        self.name, self.region, self.gateways = name, ZONES[name], gateways
        self.history = folder / f"zone-{name}.jsonl"
        self.order_path = folder / f"zone-{name}.json"
        self.links = Helper("brackenloft.lab.scale.links")
        self.hollow = Helper("brackenloft.lab.scale.hollow", str(self.order_path))

    async def start(
        self, ports: dict[str, int], regions: dict[str, str], plan: FleetPlan, names: list[str]
    ) -> None:
        """Links and the process of gateways; the gateways themselves begin with the order ``start``."""
        found = await self.links.start(*(f"{name}={port}" for name, port in ports.items()))
        servers = tuple(
            ServerPlace(name, f"http://127.0.0.1:{port}", regions[name]) for name, port in found.items()
        )
        order = HollowOrder(
            f"zone-{self.name}", self.gateways, self.region, self.name, servers, str(self.history),
            plan.seed, plan.lookups_s, tuple(names),
        )  # fmt: skip
        self.order_path.write_bytes(msgspec.json.encode(order))
        await self.hollow.start()

    async def cut(self) -> None:
        """Nothing goes to or from any control server."""
        await self.links.ask(do="cut")

    async def heal(self) -> None:
        """What was kept goes on."""
        await self.links.ask(do="heal")

    async def bytes_both_ways(self) -> int:
        """On all links so far."""
        counts = await self.links.ask(do="count")
        return sum(count.get("there", 0) + count.get("back", 0) for count in counts.values())

    async def end(self) -> None:
        """Both processes."""
        await self.hollow.end()
        await self.links.end()


class Stores:
    """The register stores."""

    def __init__(self) -> None:
        self.helpers = {f"s{number}": Helper("brackenloft.lab.fleet.store") for number in range(STORES)}
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Blank ones, enrolled."""
        for name, helper in self.helpers.items():
            self.ports[name] = (await helper.start())["port"]
        direct = {name: Store(url, "fleet", STORE_TIMEOUT_S) for name, url in self.urls().items()}
        members = places.first(direct, FLOOR, "a")
        registers = Registers(direct, members, "operator", 1)
        await enrol.found(registers, members)
        await registers.close()

    def urls(self) -> dict[str, str]:
        """By name."""
        return {name: f"redis://127.0.0.1:{port}" for name, port in self.ports.items()}

    async def end(self) -> None:
        """All of them."""
        for helper in self.helpers.values():
            await helper.end()


class ControlServer:
    """A control server's place: its file, its disk, a process at a time."""

    def __init__(self, name: str, region: str, port: int, folder: Path) -> None:
        self.name, self.region, self.port, self.folder = name, region, port, folder
        self.config = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Where it listens."""
        return f"http://127.0.0.1:{self.port}"

    def write_config(self, others: Sequence[ControlServer], stores: dict[str, str]) -> None:
        """Its file; ``others`` are its peers."""
        peers = [{"name": one.name, "url": one.url, "region": one.region} for one in others]
        document = {
            "name": self.name,
            "region": self.region,
            "listen": f"127.0.0.1:{self.port}",
            "data": str(self.folder / f"{self.name}-data"),
            "stores": [{"name": name, "url": url} for name, url in stores.items()],
            "peers": peers,
        }
        self.config.write_bytes(msgspec.json.encode(document))

    async def start(self) -> None:
        """A new process on the same disk; returns when it answers."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            words = ("-m", "brackenloft.lab.fleet.gateway", "control", "--config", str(self.config))
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *words, stdout=log, stderr=log
            )
        async with asyncio.timeout(START_S):
            while not await self._answers():
                await asyncio.sleep(LOOK_S)

    async def _answers(self) -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            if self.process and self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended: {self._log_end()}") from None
            return False
        writer.close()
        return True

    def _log_end(self) -> str:
        return (self.folder / f"{self.name}.log").read_text()[-500:]

    @property
    def pid(self) -> int:
        """Its process."""
        assert self.process
        return self.process.pid

    @property
    def lives(self) -> bool:
        """Whether there is a process now."""
        return self.process is not None and self.process.returncode is None

    async def end(self) -> None:
        """It is killed, and gone."""
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


def processor_s(pid: int) -> float:
    """Time of a process, all its threads, on a processor so far; to a hundredth of a second."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """What a process holds for itself now."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon"):
            return int(line.split()[1]) / 1024.0
    raise RuntimeError("no RssAnon")


async def ask_all(zones: list[Zone], order: str) -> list[dict[str, Any]]:
    """The same order to all processes of hollow gateways; their figures."""
    return list(await asyncio.gather(*(zone.hollow.ask(do=order) for zone in zones)))
