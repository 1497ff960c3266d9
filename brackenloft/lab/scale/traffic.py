"""Traffic at the pace of one gateway, beside the same over a bare relay; both in processes of their own.

    python -m brackenloft.lab.scale.traffic nodes COUNT     echoing servers
    python -m brackenloft.lab.scale.traffic relay PORT      copies bytes to a server and back
    python -m brackenloft.lab.scale.traffic load NAME=PORT ...
    python -m brackenloft.lab.scale.traffic agent PORT SERVERS CHANGES_S

Load is open: requests begin at random times whatever the answers do, and a latency counts from the time
that was drawn. The order ``window`` gives the figures since the last one and begins another. The agent tells
a list of servers, all of them at one echoing port, and changes of single servers at a pace.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import deque
from contextlib import suppress
from typing import Any

import hiredis
import uvloop

from brackenloft.interface import Effect, RequestClass
from brackenloft.lab.fleet import control
from brackenloft.lab.scale.target import TARGET
from brackenloft.lab.scale.verdict import percentile
from brackenloft.standins.discovery import Agent, row
from brackenloft.standins.load import Member, command
from brackenloft.standins.peer import array

READ = RequestClass("read-board", 2_000.0, 5_000.0, Effect.SAFE)
PLAN, CUSTOMERS = "plan-00", 2_000
RATE = TARGET.requests_per_gateway_s
MOST_CONNECTIONS, TIMEOUT_S = 64, 5.0
SHARES = {"p50": 0.5, "p99": 0.99, "p999": 0.999}


class Echo(asyncio.Protocol):
    """Answers each command with its id, at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.reader = transport, hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            self.transport.write(array(words[2], b"used=10", b"queue=0,util=0.1"))  # type: ignore[attr-defined]


class RelaySide(asyncio.Protocol):
    """One end of a relayed connection: what comes goes to the other end."""

    def __init__(self, port: int | None) -> None:
        self.port, self.early = port, b""
        self.transport: Any = None
        self.other: RelaySide | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.port is not None:
            self.opening = asyncio.ensure_future(self._open(self.port))

    async def _open(self, port: int) -> None:
        other = RelaySide(None)
        other.other = self
        await asyncio.get_running_loop().create_connection(lambda: other, "127.0.0.1", port)
        self.other = other
        if self.early:
            other.transport.write(self.early)

    def data_received(self, data: bytes) -> None:
        if self.other:
            self.other.transport.write(data)
        else:
            self.early += data

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other and self.other.transport:
            self.other.transport.close()


class LoadConnection(asyncio.Protocol):
    """One command at a time."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()
        self.answer: asyncio.Future[object] | None = None
        self.transport: Any = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (found := self.reader.gets()) is not False:
            if self.answer and not self.answer.done():
                self.answer.set_result(found)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.answer and not self.answer.done():
            self.answer.set_exception(ConnectionError("the connection ended"))

    async def ask(self, text: bytes) -> object:
        """The answer to one command."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(text)
        return await self.answer


class Load:
    """Requests to one port."""

    def __init__(self, port: int, seed: int) -> None:
        self.port, self.dice = port, random.Random(seed)
        self.idle: deque[LoadConnection] = deque()
        self.open = self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.clear()

    def clear(self) -> None:
        """Begin a window."""
        self.times_ms: list[float] = []
        self.failed = self.refused = self.skipped = 0

    def window(self) -> dict[str, float | None]:
        """The figures since the last one."""
        found: dict[str, float | None] = {
            name: percentile(self.times_ms, share) for name, share in SHARES.items()
        }
        found |= {"max": max(self.times_ms, default=None), "count": len(self.times_ms)}
        found |= {"failed": self.failed, "refused": self.refused, "skipped": self.skipped}
        self.clear()
        return found

    async def run(self) -> None:
        """For ever."""
        due = time.perf_counter()
        while True:
            due += self.dice.expovariate(RATE)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            task = asyncio.ensure_future(self._request(due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _request(self, due: float) -> None:
        self._drop_closed()
        if not self.idle and self.open >= MOST_CONNECTIONS:
            self.skipped += 1
            return
        self.number += 1
        member = Member(1 + self.dice.randrange(CUSTOMERS), PLAN, 1.0, (READ,))
        connection = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                connection = self.idle.pop() if self.idle else await self._connect()
                answer = await connection.ask(command(member, READ, self.number, 1))
        except (OSError, TimeoutError):
            self.failed += 1
            if connection:
                self.open -= 1
                connection.transport.abort()
            return
        self.idle.append(connection)
        if isinstance(answer, Exception):
            self.refused += 1
        else:
            self.times_ms.append((time.perf_counter() - due) * 1000.0)

    def _drop_closed(self) -> None:
        """Connections that the other side has closed while they rested are no failures."""
        while self.idle and self.idle[-1].closed:
            self.idle.pop()
            self.open -= 1

    async def _connect(self) -> LoadConnection:
        self.open += 1
        try:
            loop = asyncio.get_running_loop()
            return (await loop.create_connection(LoadConnection, "127.0.0.1", self.port))[1]
        except OSError:
            self.open -= 1
            raise


async def serve_nodes(count: int) -> None:
    """Echoing servers, until the driver closes the input."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Echo, "127.0.0.1", 0) for _ in range(count)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    await control.serve({"ports": ports}, lambda order: {})


async def serve_relay(port: int) -> None:
    """A relay."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: RelaySide(port), "127.0.0.1", 0)
    own = server.sockets[0].getsockname()[1]
    await control.serve({"port": own}, lambda order: {"cpu_s": time.process_time()})


async def serve_load(words: list[str]) -> None:
    """Requests to each of the named ports."""
    ports = {name: int(port) for name, port in (word.split("=") for word in words)}
    loads = {name: Load(port, seed) for seed, (name, port) in enumerate(ports.items())}
    tasks = [asyncio.ensure_future(load.run()) for load in loads.values()]
    await control.serve({}, lambda order: {name: load.window() for name, load in loads.items()})
    for task in (*tasks, *(task for load in loads.values() for task in load.tasks)):
        task.cancel()


async def serve_agent(port: int, servers: int, changes_s: float) -> None:
    """A list of servers that changes, for any gateway that watches it."""
    agent = await Agent().start()
    zones = "abcdefg"
    await agent.put(*(row(f"server-{number:05d}", port, zone=zones[number % 7]) for number in range(servers)))
    task = asyncio.ensure_future(_change(agent, changes_s)) if changes_s > 0.0 else None
    await control.serve({"port": agent.port}, lambda order: {"generation": agent.generation})
    if task:
        task.cancel()
    agent.close()


async def _change(agent: Agent, changes_s: float) -> None:
    """A server drains, is gone, and another one is ready, over and over."""
    dice = random.Random(1)
    while True:
        before = dict(dice.choice(list(agent.rows.values())))
        for state in ("Terminating", "Gone", "Ready"):
            await asyncio.sleep(dice.expovariate(changes_s))
            await agent.put(before | {"lifecycle": state})


async def main(words: list[str]) -> None:
    """One role."""
    match words:
        case ["nodes", count]:
            await serve_nodes(int(count))
        case ["relay", port]:
            await serve_relay(int(port))
        case ["load", *ports]:
            await serve_load(ports)
        case ["agent", port, servers, changes_s]:
            await serve_agent(int(port), int(servers), float(changes_s))
        case _:
            raise SystemExit(f"no such role: {words}")


if __name__ == "__main__":
    control.die_with_parent()
    with suppress(KeyboardInterrupt):
        uvloop.run(main(sys.argv[1:]))
