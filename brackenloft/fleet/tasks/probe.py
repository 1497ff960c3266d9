"""Probing for all: one gateway asks servers that are silent or doubted, the others read what it found."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from brackenloft.edge import Edge
from brackenloft.fleet.leases.lease import LeaseOver
from brackenloft.fleet.logs import logger
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.tasks import verdicts
from brackenloft.fleet.tasks.runner import Run
from brackenloft.fleet.tasks.verdicts import Hints, Verdicts
from brackenloft.interface import ProbeResult, Status
from brackenloft.net.address import Address

log = logger(__name__)

PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
ANSWER_S = 0.5  # for a connection and an answer: many times what a server takes that is not in trouble
AT_ONCE = 16  # asked at the same time
MOST_READ = 256
TELL_S = 0.5  # between two times that a hint which lasts is told to the decisions, whose figures fade
FLEET_READS_S = 40.0  # reads of the verdicts by all gateways together, a second
LEAST_READ_S = 0.5  # while we doubt a server ourselves
CALM = 8.0  # times as seldom while we doubt none: a verdict is news for longer
ROUND_S = 1.0


async def ask(address: Address) -> bool:
    """Whether a server answers a PING at all, whatever it says."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(PING)
            return bool(await reader.read(MOST_READ))
    except (OSError, TimeoutError):
        return False
    finally:
        if writer:
            writer.transport.abort()


class Probe:
    """The job."""

    def __init__(self, edge: Edge, registers: Registers, every_ms: float) -> None:
        self.edge, self.registers, self.every_ms = edge, registers, every_ms
        self.asked = 0

    async def close(self) -> None:
        """Nothing is kept."""

    async def run(self, run: Run) -> None:
        """Ask those whose turn it is, and write down who did not answer."""
        before = verdicts.read(await self.registers.read(verdicts.REGISTER, ROUND_S))
        addresses, doubted = self._servers()
        known, turn = (before.bad, before.turn + 1) if before else ({}, 0)
        names = verdicts.to_ask(addresses, doubted, known, turn)
        answers: dict[str, bool] = {}
        for at in range(0, len(names), AT_ONCE):
            run.act.check()
            some = names[at : at + AT_ONCE]
            self.asked += len(some)
            said = await asyncio.gather(*(ask(addresses[name]) for name in some))
            answers.update(zip(some, said, strict=True))
        run.act.check()
        bad = verdicts.found(known, answers, addresses)
        after = Verdicts(run.act.token, self.every_ms, bad, turn)
        done = await self.registers.change(
            verdicts.REGISTER, lambda held: verdicts.replaced(held, after), ROUND_S
        )
        if not done.mine:
            raise LeaseOver("a larger token has written its verdicts")

    def _servers(self) -> tuple[Mapping[str, Address], list[str]]:
        """Addresses by name, and whom our own decisions doubt."""
        edge, fleet = self.edge, self.edge.driver.gateway.fleet
        names = {number: name for name, number in edge.discovery.roster.numbers.items()}
        addresses = {
            names[number]: host.address
            for number, host in edge.servers.hosts.items()
            if number in names and host.ready
        }
        doubted = [
            names[number] for number, server in fleet.servers.items() if number in names and server.bad
        ]
        return addresses, doubted


class Listener:
    """Reads the verdicts and tells the decisions, at every gateway."""

    def __init__(
        self,
        edge: Edge,
        registers: Registers,
        clock: Callable[[], float] = lambda: time.monotonic() * 1000.0,
    ) -> None:
        self.edge, self.registers, self.clock = edge, registers, clock
        self.hints = Hints()
        self.told = 0
        self.every_s = edge.settings.gateways / FLEET_READS_S
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> Listener:
        """From now on."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._read()), loop.create_task(self._tell())]
        return self

    async def close(self) -> None:
        """Listen no more."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _read(self) -> None:
        while True:
            found = await self.registers.look([verdicts.REGISTER], ROUND_S)
            try:
                self.hints.saw(found.get(verdicts.REGISTER), self.clock())
            except ValueError as error:
                log.error("verdicts that can't be read", why=error)
            servers = self.edge.driver.gateway.fleet.servers.values()
            doubts = any(server.bad for server in servers)
            wait_s = max(self.every_s, LEAST_READ_S if doubts else CALM * LEAST_READ_S)
            await asyncio.sleep(wait_s * self.registers.random.uniform(0.8, 1.2))

    async def _tell(self) -> None:
        while True:
            numbers = self.edge.discovery.roster.numbers
            for name in self.hints.bad(self.clock()):
                if number := numbers.get(name):
                    self.told += 1
                    self.edge.driver.post(ProbeResult(number, Status.TIMEOUT, ANSWER_S * 1000.0))
            await asyncio.sleep(TELL_S)
