"""The processes of a trial and the links between them."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.lab.configuration.events import EventWriter, ProcessEnded, now_ms
from brackenloft.lab.configuration.followers import FollowersOrder, ServerPlace
from brackenloft.lab.configuration.mutants import SERVER_MUTANTS
from brackenloft.lab.configuration.publisher import PublisherOrder
from brackenloft.lab.configuration.schedule import Schedule
from brackenloft.lab.fleet.control import Helper

MODULES = {
    "s": "brackenloft.lab.fleet.store",
    "c": "brackenloft.lab.configuration.control_server",
    "g": "brackenloft.lab.configuration.gateway",
    "h": "brackenloft.lab.configuration.followers",
    "p": "brackenloft.lab.configuration.publisher",
}
FLOOR = 1_000_000  # of register versions
STORE_TIMEOUT_S = 0.5
WAIT_MS = 1000.0  # of a long poll: shorter than in operation, so that a short trial has many
STORE_TRIP_MS = 150.0
POLL_MS = 200.0
PUBLISH_MS = 4000.0
NODE_CLASSES = [{"name": "read", "aim_ms": 1000.0, "deadline_ms": 2000.0, "effect": "safe"}]


class Cluster:
    """All processes by name; implements ``nemesis.Processes``."""

    def __init__(self, schedule: Schedule, folder: Path, writer: EventWriter, node_port: int) -> None:
        self.schedule, self.folder, self.writer, self.node_port = schedule, folder, writer, node_port
        self.links = Helper("brackenloft.lab.fleet.links")
        self.helpers = {name: Helper(MODULES[name[0]]) for name in schedule.processes()}
        self.link_ports: dict[str, int] = {}
        self.starts: Counter[str] = Counter()

    # ---- Life

    async def open(self) -> None:
        """Start all but the publishers."""
        plan = self.schedule
        self.link_ports = await self.links.start(*(f"{name}=0" for name in plan.links()))
        await asyncio.gather(*(self.helpers[name].start() for name in plan.of_kind("s")))
        for name in plan.of_kind("s"):
            await self._aim(name)
        await self._found_stores()
        names = [name for kind in "cgh" for name in plan.of_kind(kind)]
        await asyncio.gather(*(self.start(name) for name in names))

    async def _found_stores(self) -> None:
        ports = {name: self.port(name) for name in self.schedule.of_kind("s")}
        stores = {
            name: Store(f"redis://127.0.0.1:{port}", "fleet", STORE_TIMEOUT_S) for name, port in ports.items()
        }
        members = places.first(stores, FLOOR, "a")
        registers = Registers(stores, members, "operator", self.schedule.seed)
        await enrol.found(registers, members)
        await registers.close()

    async def close(self) -> None:
        """End all processes."""
        for helper in (*self.helpers.values(), self.links):
            await helper.end()

    def port(self, name: str) -> int:
        """Where a process listens, without a link."""
        return int(self.helpers[name].hello["port"])

    def is_running(self, name: str) -> bool:
        """Whether it was started and has not ended."""
        return self.helpers[name].lives()

    # ---- What a nemesis does

    async def set_links(self, links: tuple[str, ...], do: str, **more: Any) -> None:
        if links:
            await self.links.ask(do=do, on=list(links), **more)

    async def stop(self, name: str) -> None:
        self.helpers[name].signal(signal.SIGSTOP)

    async def resume(self, name: str) -> None:
        self.helpers[name].signal(signal.SIGCONT)

    async def kill(self, name: str) -> None:
        if self.is_running(name):
            self.writer.write(ProcessEnded(now_ms(), f"{name}#{self.starts[name] - 1}"))
            await self.helpers[name].end()

    async def start(self, name: str) -> None:
        path = self._write_order(name)
        self.starts[name] += 1
        await self.helpers[name].start(*path)
        if name[0] in "cs":
            await self._aim(name)

    async def spoil(self, name: str, how: str) -> None:
        await self.helpers[name].ask(do="spoil", how=how)

    async def _aim(self, name: str) -> None:
        links = [link for link in self.schedule.links() if link.endswith(f">{name}")]
        await self.links.ask(do="aim", on=links, port=self.port(name))

    # ---- Files

    def _write_order(self, name: str) -> list[str]:
        """The words with which a process is started."""
        makers = {
            "c": self._control_file,
            "g": self._gateway_file,
            "h": self._followers,
            "p": self._publisher,
        }
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(makers[name[0]](name)))
        if name[0] not in "cg":
            return [str(path)]
        history = str(self.folder / f"{name}.jsonl")
        mutant = self.schedule.mutant if (self.schedule.mutant in SERVER_MUTANTS) == (name[0] == "c") else ""
        return [str(path), history, f"{name}#{self.starts[name]}", mutant]

    def _url(self, link: str, scheme: str = "http") -> str:
        return f"{scheme}://127.0.0.1:{self.link_ports[link]}"

    def _servers(self, name: str) -> list[dict[str, str]]:
        """Control servers as a process reaches them."""
        return [
            {"name": server, "url": self._url(f"{name}>{server}"), "region": self.schedule.region(server)}
            for server in self.schedule.of_kind("c")
            if server != name
        ]

    def _control_file(self, name: str) -> dict[str, Any]:
        plan = self.schedule
        bounds = {"publish_ms": PUBLISH_MS, "snapshots_per_s": 50.0, "snapshot_burst": 20}
        return {
            "name": name,
            "region": plan.region(name),
            "data": str(self.folder / f"{name}-data"),
            "listen": "127.0.0.1:0",
            "stores": [
                {"name": store, "url": self._url(f"{name}>{store}", "redis")} for store in plan.of_kind("s")
            ],
            "peers": self._servers(name),
            "timeout_ms": STORE_TRIP_MS,
            "poll_ms": POLL_MS,
            "bounds": bounds | ({"records": plan.keep_records} if plan.keep_records else {}),
        }

    def _gateway_file(self, name: str) -> dict[str, Any]:
        plan = self.schedule
        client = {
            "gateway": name,
            "region": plan.region(name),
            "wait_ms": WAIT_MS,
            "servers": self._servers(name),
        }
        (self.folder / f"{name}-control.json").write_bytes(msgspec.json.encode(client))
        return {
            "listen": "127.0.0.1:0",
            "seed": plan.seed,
            "control": f"{name}-control.json",
            "site": {"gateways": plan.gateways, "index": int(name[1:])},
            "nodes": [{"name": "n1", "host": "127.0.0.1", "port": self.node_port}],
            "classes": NODE_CLASSES,
            "plans": [{"name": "file", "rate": 1e6, "burst": 1e6}],
        }

    def _followers(self, name: str) -> FollowersOrder:
        plan = self.schedule
        servers = [ServerPlace(place["name"], place["url"], place["region"]) for place in self._servers(name)]
        mutant = "" if plan.mutant in SERVER_MUTANTS else plan.mutant
        history = str(self.folder / f"{name}.jsonl")
        return FollowersOrder(
            name, plan.seed, self.starts[name], plan.region(name), plan.hollow, plan.tenants, servers,
            history, WAIT_MS, mutant,
        )  # fmt: skip

    def _publisher(self, name: str) -> PublisherOrder:
        plan = self.schedule
        urls = [place["url"] for place in self._servers(name)]
        history = str(self.folder / f"{name}.jsonl")
        return PublisherOrder(
            name, plan.seed, int(name[1:]), plan.publishers, self.starts[name], urls, history,
            plan.publish_every_ms * plan.publishers, plan.tenants, plan.plans,
        )  # fmt: skip

    # ---- Publishers

    async def start_publishers(self) -> None:
        """From now on changes are published."""
        await asyncio.gather(*(self.start(name) for name in self.schedule.of_kind("p")))

    async def end_publishers(self) -> None:
        """Nothing more is published."""
        with suppress(ProcessLookupError):
            await asyncio.gather(*(self.kill(name) for name in self.schedule.of_kind("p")))
