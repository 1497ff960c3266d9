"""One run: gateway processes, servers and clients on loopback, and the faults of a seed between them."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Coroutine
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from brackenloft.lab.soak.clients import CROWD, HABITS, QUIET, Habit, Numbers, SoakClient
from brackenloft.lab.soak.faults import Fault, FaultKind, draw
from brackenloft.lab.soak.gateways import SoakGateway
from brackenloft.lab.soak.history import History, LagRecord
from brackenloft.lab.soak.invariants import Violation, check
from brackenloft.lab.soak.preload import Preload, build
from brackenloft.lab.soak.servers import SoakServer
from brackenloft.lab.soak.settings import slow_start

BEAT_S = 0.01  # between two looks at how late our own loop is
LATE_S = 0.02
SAMPLE_S = 0.1  # between two looks at how long the gateways had no processor
ROOM = 1.2  # capacity of a server, by the mean of the calls that it gets
SETTLE_S = 4.5  # after the last request, for the answers to it and the end of what was told to end
MOST_SHOWN = 20


@dataclass(frozen=True, slots=True)
class Scenario:
    """How large a run is, and what befalls it."""

    seed: int
    gateways: int = 12
    servers: int = 8
    clients: int = 6  # of each gateway
    length_s: float = 10.0
    faults: tuple[Fault, ...] = ()
    habits: tuple[Habit, ...] = HABITS

    @staticmethod
    def drawn(
        seed: int, gateways: int = 12, servers: int = 8, length_s: float = 10.0, count: int = 40
    ) -> Scenario:
        """With the faults of a seed."""
        faults = tuple(draw(seed, gateways, servers, length_s, count))
        return Scenario(seed, gateways, servers, length_s=length_s, faults=faults)


@dataclass(frozen=True, slots=True)
class Result:
    """What came of a run."""

    scenario: Scenario
    counts: dict[str, int]
    violations: list[Violation]

    def line(self) -> dict[str, Any]:
        """For a line of JSON."""
        rules = collections.Counter(violation.rule for violation in self.violations)
        shown = [asdict(violation) for violation in self.violations[:MOST_SHOWN]]
        return {"seed": self.scenario.seed, **self.counts, "rules": dict(rules), "violations": shown}


class Run:
    """Plays one scenario in a folder of its own."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.history, self.numbers = History(), Numbers()
        library = build(folder)
        self.servers = [SoakServer(number, self.history, scenario.seed) for number in range(scenario.servers)]
        self.gateways = [
            SoakGateway(
                number,
                scenario.gateways,
                folder,
                Preload(library, folder / f"control-{number}", scenario.seed + number),
                self.history,
            )
            for number in range(scenario.gateways)
        ]
        self.clients: list[SoakClient] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> Result:
        """The whole run."""
        lag = asyncio.create_task(self._watch_lag())
        try:
            await asyncio.gather(*(server.start() for server in self.servers))
            rows = [server.row() for server in self.servers]
            await asyncio.gather(*(gateway.start(rows) for gateway in self.gateways))
            began = time.monotonic()
            self._add_clients()
            await self._inject(began)
            await asyncio.sleep(max(0.0, began + self.scenario.length_s - time.monotonic()))
            await asyncio.gather(*self.tasks)
            length_s = time.monotonic() - began
            await self._settle()
        finally:
            lag.cancel()
            for task in self.tasks:
                task.cancel()
            for client in self.clients:
                client.stop()
            await asyncio.gather(*(gateway.close() for gateway in self.gateways))
            for server in self.servers:
                server.close()
        return self._result(length_s)  # once the logs are whole

    async def _watch_lag(self) -> None:
        sampled = time.monotonic()
        due = sampled + BEAT_S
        while True:
            await asyncio.sleep(BEAT_S)
            now = time.monotonic()
            if now - due > LATE_S:
                self.history.lags.append(LagRecord(due, now, None, now - due))
            if now - sampled >= SAMPLE_S:
                for gateway in self.gateways:
                    gateway.note_queued(sampled, now)
                sampled = now
            due = now + BEAT_S

    def _add_clients(self) -> None:
        habits = self.scenario.habits
        for gateway in self.gateways:
            for number in range(self.scenario.clients):
                self._add_client(gateway, habits[number % len(habits)], str(number))

    def _add_client(self, gateway: SoakGateway, habit: Habit, name: str) -> SoakClient:
        seed = f"{self.scenario.seed} {gateway.number} {name}"
        client = SoakClient(
            self.history, self.numbers, gateway.number, gateway.port, habit, seed, gateway.preload.bytes_read
        )
        self.clients.append(client)
        client.task = asyncio.create_task(client.run())
        return client

    # ---- Faults

    async def _inject(self, began: float) -> None:
        for fault in self.scenario.faults:
            await asyncio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            self._start(self._befall(fault))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)

    async def _befall(self, fault: Fault) -> None:
        if fault.kind.value.startswith("server"):
            await self._befall_server(fault, self.servers[fault.target])
        else:
            await self._befall_gateway(fault, self.gateways[fault.target])

    async def _befall_gateway(self, fault: Fault, gateway: SoakGateway) -> None:
        if fault.kind is FaultKind.CROWD:
            await self._crowd(fault, gateway)
        elif fault.kind is FaultKind.CLIENTS_LEAVE:
            for client in self.clients:
                if client.gateway == gateway.number:
                    client.leave()
        else:
            await gateway.suffer(fault)

    async def _crowd(self, fault: Fault, gateway: SoakGateway) -> None:
        names = [f"crowd {fault.at_s} {number}" for number in range(fault.size)]
        crowd = [self._add_client(gateway, CROWD, name) for name in names]
        await asyncio.sleep(fault.for_s)
        for client in crowd:
            client.leave()
            client.stop()

    async def _befall_server(self, fault: Fault, server: SoakServer) -> None:
        match fault.kind:
            case FaultKind.SERVER_HANGS:
                server.hangs = True
                await asyncio.sleep(fault.for_s)
                server.hangs = False
            case FaultKind.SERVER_SLOW:
                server.slow = True
                await asyncio.sleep(fault.for_s)
                server.slow = False
            case FaultKind.SERVER_RESETS:
                server.reset()
            case FaultKind.SERVER_RESTARTS:
                if not server.draining:
                    await server.restart()
                    await self._tell(server, withdrawn=False)
            case FaultKind.SERVER_DRAINS:
                if not server.draining:
                    server.draining = True
                    await self._tell(server, withdrawn=True)

    async def _tell(self, server: SoakServer, withdrawn: bool) -> None:
        row = server.row()
        for gateway in self.gateways:
            await gateway.tell(row, withdrawn)

    # ---- The end

    async def _settle(self) -> None:
        """Send no more, and wait for what is owed."""
        for client in self.clients:
            client.habit = QUIET
        await asyncio.sleep(SETTLE_S)
        self.history.ended_at = time.monotonic()

    def _result(self, length_s: float) -> Result:
        """Check the rules."""
        history = self.history
        for gateway in self.gateways:
            self._excuse_killed(gateway)
        calls_per_s = ROOM * len(history.attempts) / length_s / len(self.servers)
        counts = collections.Counter(str(request.answer) for request in history.requests.values())
        counts["attempts"] = len(history.attempts)
        return Result(self.scenario, dict(counts), check(history, slow_start(calls_per_s)))

    def _excuse_killed(self, gateway: SoakGateway) -> None:
        """What a process held when it was killed with no warning is its clients' to retry."""
        for at in gateway.killed_at:
            for request in self.history.requests.values():
                if request.gateway == gateway.number and request.sent_at <= at <= request.ended_at:
                    request.killed = True
