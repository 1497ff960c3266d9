"""A scale run, phase by phase: all gateways begin, rest, changes, faults, a burst, a large change, all anew.

What is seen is gathered in ``Observed``; figures are made of it in ``summary``. Phases end by events (all
gateways have the newest revision in force) within a bound, but for those that measure a rate.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from brackenloft.configuration.client_config import ControlServer as ServerAddress
from brackenloft.lab.configuration.events import EventWriter, FaultBegan, FaultsOver, HistoryEnded, now_ms
from brackenloft.lab.scale.changes import Document
from brackenloft.lab.scale.fleet import (
    REGIONS,
    ZONES,
    ControlServer,
    FleetPlan,
    Stores,
    Zone,
    ask_all,
    processor_s,
    resident_mb,
    shares,
)
from brackenloft.lab.scale.operator import Operator
from brackenloft.lab.scale.real_gateway import RealGateway
from brackenloft.lab.scale.verdict import Cut
from brackenloft.standins.ports import free_ports

LOOK_S, LONGEST_S = 0.1, 120.0
TOLD_WITHIN_S = 30.0
STATUS_EVERY_S = 1.0
LOOKED_UP = 200  # tenants that hollow gateways look up


class Phases(msgspec.Struct, frozen=True):
    """How long each phase is. ``rest_s``: with one change in it, as the target's rate has one in 99 s."""

    rest_s: float = 60.0
    changes: int = 20
    change_every_s: float = 1.5
    down_s: float = 10.0  # a control server
    cut_s: float = 15.0  # a zone
    burst: int = 50
    burst_s: float = 10.0


@dataclass
class Usage:
    """What was spent until a moment."""

    at_ms: float
    link_bytes: int
    hollow_cpu_s: float
    server_cpu_s: dict[str, float]


@dataclass
class Observed:
    """What a run showed beside its histories."""

    cuts: list[Cut] = field(default_factory=list)
    rest: tuple[Usage, Usage] | None = None
    changing: tuple[Usage, Usage] | None = None
    bursting: tuple[Usage, Usage] | None = None
    storming: tuple[Usage, Usage] | None = None
    start_s: float | None = None  # the first time that all gateways began
    storm_from_ms: float = 0.0
    storm_revision: int = 0
    large_revision: int = 0
    large_s: float | None = None  # from asking for a change of every tenant until all have it in force
    hollow: list[dict[str, Any]] = field(default_factory=list)
    memory_mb: float = 0.0  # of all processes of the run, at most
    server_memory_mb: float = 0.0  # of the largest control server
    traffic: dict[str, Any] = field(default_factory=dict)
    told_everywhere_s: float | None = None  # from the large change's publishing until an operator is told so
    told_everywhere_at_end: bool = False


class Scenario:
    """One run, in a folder of its own."""

    def __init__(self, plan: FleetPlan, phases: Phases, folder: Path, say: Callable[[str], None]) -> None:
        self.plan, self.phases, self.folder, self.say = plan, phases, folder, say
        self.stores, self.observed = Stores(), Observed()
        self.zones = self._zones()
        self.servers: list[ControlServer] = []
        self.writer = EventWriter(folder / "driver.jsonl")
        self.document = Document(plan.services, plan.routes, plan.tenants, plan.seed)
        self.operator: Operator
        self.real: RealGateway | None = None

    def _zones(self) -> list[Zone]:
        names = list(ZONES)[: self.plan.zones]
        zones, number = [], 0
        for name, count in zip(names, shares(self.plan.gateways, len(names)), strict=True):
            gateways = tuple(f"gateway-{number + index:04d}" for index in range(count))
            zones.append(Zone(name, gateways, self.folder))
            number += count
        return zones

    # ---- The whole

    async def play(self) -> Observed:
        """All phases; every process has ended when it returns."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            watching = asyncio.create_task(self.operator.watch(STATUS_EVERY_S))
            try:
                for phase in (
                    self._begin, self._rest, self._change, self._faults, self._burst, self._large, self._storm
                ):  # fmt: skip
                    self.say(f"{phase.__name__.strip('_')}: {phase.__doc__}")
                    await phase()
                    self._weigh()
                await self._end()
            finally:
                watching.cancel()
                await asyncio.gather(watching, return_exceptions=True)
        self.writer.write(HistoryEnded(now_ms()))
        return self.observed

    def events_files(self) -> list[Path]:
        """All histories of the run."""
        return sorted(self.folder.glob("*.jsonl"))

    async def _start(self, stack: AsyncExitStack) -> None:
        stack.push_async_callback(self.stores.end)
        await self.stores.start()
        count = self.plan.control_servers
        for number, port in enumerate(free_ports(count)):
            region = REGIONS[number % len(REGIONS)]
            server = ControlServer(f"control-{number}", region, port, self.folder)
            self.servers.append(server)
            stack.push_async_callback(server.end)
        for server in self.servers:
            server.write_config([one for one in self.servers if one is not server], self.stores.urls())
        await asyncio.gather(*(server.start() for server in self.servers))
        addresses = tuple(ServerAddress(one.name, one.url, one.region) for one in self.servers)
        names = [name for zone in self.zones for name in zone.gateways]
        self.operator = Operator(addresses, self.document, self.folder / "operator.jsonl", names)
        ports = {one.name: one.port for one in self.servers}
        regions = {one.name: one.region for one in self.servers}
        for zone in self.zones:
            stack.push_async_callback(zone.end)
        tenants = self.document.tenants[:LOOKED_UP]
        await asyncio.gather(*(zone.start(ports, regions, self.plan, tenants) for zone in self.zones))

    # ---- Phases

    async def _begin(self) -> None:
        """the whole document is published, and all gateways begin at once, with nothing"""
        await self.operator.publish(self.document.whole)
        began_ms = now_ms()
        await ask_all(self.zones, "start")
        await self._all_at(self.operator.revision)
        self.observed.start_s = (now_ms() - began_ms) / 1000.0
        self.real = RealGateway(self.plan, self.folder, self.servers)
        await self.real.start()

    async def _rest(self) -> None:
        """nothing but polls, one change, and the list's changes at the target's rate"""
        assert self.real
        self.observed.traffic["before"] = await self.real.window()
        before = await self._usage()
        await asyncio.sleep(self.phases.rest_s / 2.0)
        await self.operator.publish(self.document.small)
        await asyncio.sleep(self.phases.rest_s / 2.0)
        self.observed.rest = before, await self._usage()
        self.observed.traffic["rest"] = await self.real.window()

    async def _change(self) -> None:
        """a change each second or two"""
        assert self.real
        before = await self._usage()
        await self._publish_for(self.phases.changes, self.phases.change_every_s)
        await self._all_at(self.operator.revision)
        self.observed.changing = before, await self._usage()
        self.observed.traffic["changes"] = await self.real.window()

    async def _publish_for(self, changes: int, every_s: float) -> None:
        for _ in range(changes):
            began_ms = now_ms()
            await self.operator.publish(self.document.small)
            await asyncio.sleep(max(0.0, every_s - (now_ms() - began_ms) / 1000.0))

    async def _faults(self) -> None:
        """a control server is killed and comes back, a zone is cut off and comes back, while changes go on"""
        victim, zone = self.servers[0], self.zones[0]
        changing = asyncio.create_task(self._change_until_cancelled())
        try:
            self.writer.write(FaultBegan(now_ms(), f"{victim.name} is killed"))
            await victim.end()
            await asyncio.sleep(self.phases.down_s)
            await victim.start()
            self.writer.write(FaultBegan(now_ms(), f"zone {zone.name} is cut off"))
            from_ms = now_ms()
            await zone.cut()
            await asyncio.sleep(self.phases.cut_s)
            await zone.heal()
            self.observed.cuts.append(Cut(frozenset(zone.gateways), from_ms, now_ms()))
        finally:
            changing.cancel()
            await asyncio.gather(changing, return_exceptions=True)
        self.writer.write(FaultsOver(now_ms()))
        await self._settle()

    async def _change_until_cancelled(self) -> None:
        while True:
            publishing = asyncio.ensure_future(self.operator.publish(self.document.small))
            try:
                await asyncio.shield(publishing)
            except asyncio.CancelledError:
                await publishing  # one that was asked for has its answer written
                raise
            await asyncio.sleep(self.phases.change_every_s)

    async def _settle(self) -> None:
        await self.operator.publish(self.document.small)
        await self._all_at(self.operator.revision)

    async def _burst(self) -> None:
        """many changes in a few seconds"""
        assert self.real
        await self.real.window()
        before = await self._usage()
        await self._publish_for(self.phases.burst, self.phases.burst_s / self.phases.burst)
        await self._all_at(self.operator.revision)
        self.observed.bursting = before, await self._usage()
        self.observed.traffic["burst"] = await self.real.window()

    async def _large(self) -> None:
        """one change of every tenant"""
        assert self.real
        asked_ms = now_ms()
        self.observed.large_revision = await self.operator.publish(self.document.large)
        await self._all_at(self.operator.revision)
        self.observed.large_s = (now_ms() - asked_ms) / 1000.0
        if await self._told_everywhere():
            self.observed.told_everywhere_s = (now_ms() - asked_ms) / 1000.0
        self.observed.traffic["large"] = await self.real.window()
        self.observed.traffic["memory"] = self.real.memory()
        await self.real.end()

    async def _storm(self) -> None:
        """all gateways begin anew at once, with nothing, and nobody has said that it leaves"""
        self.observed.hollow = await ask_all(self.zones, "figures")
        self.observed.storm_revision = self.operator.revision
        before = await self._usage()
        self.observed.storm_from_ms = now_ms()
        await ask_all(self.zones, "restart")
        await self._all_at(self.operator.revision)
        self.observed.storming = before, await self._usage()

    async def _end(self) -> None:
        """What the operator is told at last."""
        self.observed.told_everywhere_at_end = await self._told_everywhere()

    async def _told_everywhere(self) -> bool:
        """Until an operator is told that the newest revision is in force everywhere; False after long."""
        ends_ms = now_ms() + TOLD_WITHIN_S * 1000.0
        while not (await self.operator.status()).everywhere:
            if now_ms() > ends_ms:
                return False
            await asyncio.sleep(LOOK_S)
        return True

    # ---- What is seen

    async def _all_at(self, revision: int) -> None:
        """Until each hollow gateway has it in force, and the real one; TimeoutError after long."""
        async with asyncio.timeout(LONGEST_S):
            while True:
                figures = await ask_all(self.zones, "figures")
                revisions = [one for each in figures for one in each["revisions"]]
                if len(revisions) == self.plan.gateways and min(revisions) >= revision:
                    return
                await asyncio.sleep(LOOK_S)

    async def _usage(self) -> Usage:
        figures = await ask_all(self.zones, "figures")
        counts = await asyncio.gather(*(zone.bytes_both_ways() for zone in self.zones))
        servers = {one.name: processor_s(one.pid) for one in self.servers if one.lives}
        return Usage(now_ms(), sum(counts), sum(each["cpu_s"] for each in figures), servers)

    def _weigh(self) -> None:
        """The memory of all processes of the run."""
        helpers = [*self.stores.helpers.values()]
        helpers += [helper for zone in self.zones for helper in (zone.links, zone.hollow)]
        pids = [helper.pid for helper in helpers if helper.lives()]
        servers = [resident_mb(one.pid) for one in self.servers if one.lives]
        pids += self.real.pids() if self.real else []
        total = sum(map(resident_mb, pids)) + sum(servers)
        self.observed.memory_mb = max(self.observed.memory_mb, total)
        self.observed.server_memory_mb = max([self.observed.server_memory_mb, *servers])
