"""What the socket tests share: settings, a gateway in each of its housings, stand-ins under short names."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import uvloop
from host import hosted

from brackenloft import (
    Contract,
    Effect,
    KeyScope,
    Limits,
    ListKind,
    Plan,
    RequestClass,
    ServerEntry,
    ServerList,
    Settings,
)
from brackenloft.edge import Edge, Room
from brackenloft.lifecycle import Event
from brackenloft.standins import Line, Peer, array, chunk, listing, resp, row
from brackenloft.standins import ScriptedDiscovery as FakeDiscovery
from brackenloft.standins import ScriptedNode as FakeServer

__all__ = [
    "HOUSINGS",
    "SETTINGS",
    "FakeDiscovery",
    "FakeServer",
    "Line",
    "Node",
    "Peer",
    "array",
    "call",
    "chunk",
    "housing",
    "listing",
    "node",
    "resp",
    "row",
    "run",
    "until",
]
HOUSINGS = ("daemon", "library-uvloop", "library-asyncio")  # a gateway of its own, or within a host's program
housing = {"now": "daemon"}  # set for each test by conftest.py
MOST_HELD = 32 * 1024 * 1024
LIMIT_S = 60.0  # generous: a test that takes so long hangs
SETTINGS = Settings(
    gateways=2,
    index=0,
    zone="a",
    classes=(
        RequestClass("read", 2000.0, 4000.0, Effect.SAFE),
        RequestClass("post", 2000.0, 4000.0, Effect.KEYED, key_scope=KeyScope.ZONE, key_memory_ms=6000.0),
        RequestClass("buy", 2000.0, 8000.0, Effect.UNSAFE),
    ),
    plans=(Plan("free"), Plan("tiny", rate=0.001, burst=2.0)),
    limits=Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=2000.0),
    contract=Contract(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    load_fields=("utilisation", "queue"),
    meter_period_ms=1000.0,
    tick_ms=2.0,
)


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on the loop that its housing uses."""
    plain = housing["now"] == "library-asyncio"
    (asyncio.run if plain else uvloop.run)(asyncio.wait_for(test, LIMIT_S))


async def until(true: Callable[[], bool]) -> None:
    """Let the loop turn until something inside the gateway has come about."""
    while not true():
        await asyncio.sleep(0)


def call(number: int, kind: str = "read", plan: str = "free", body: bytes = b"b", wait: int = 4000) -> bytes:
    """A request; its number is its id."""
    fields = f"c={kind},t={plan},d={wait},{'k=5c0f,' if kind == 'post' else ''}units=1,spread=2,first=0"
    words = ["00000000b4d65521", f"{number:016x}", fields]
    return resp("CALL.GET", *words) if kind == "read" else resp("CALL.POST", *words, body)


class Node:
    """An open gateway, without discovery."""

    def __init__(self, edge: Edge) -> None:
        self.edge, self.servers, self.driver, self.clients = edge, edge.servers, edge.driver, edge.clients
        edge.lifecycle.happens(Event.LISTED)

    def told(self, *rows: tuple[ServerEntry, tuple[str, int]], kind: ListKind = ListKind.FULL) -> None:
        listing = ServerList(kind, tuple(entry for entry, _ in rows))
        self.edge.told(listing, {entry.server: address for entry, address in rows})

    async def peer(self) -> Peer:
        assert self.clients.listener
        return await Peer().open(self.clients.listener.getsockname()[1])


@asynccontextmanager
async def housed(edge: Edge) -> AsyncIterator[Edge]:
    """Open it alone, as the daemon does, or within a host's program on the same loop."""
    if housing["now"] != "daemon":
        async with hosted(edge):
            yield edge
        return
    edge.open()
    try:
        yield edge
    finally:
        await edge.close(0.0)


@asynccontextmanager
async def node(*fakes: FakeServer, most_connections: int = 100, **changes: Any) -> AsyncIterator[Node]:
    """A gateway before these servers, numbered from 1."""
    room = Room(most_connections, most_connections, MOST_HELD)
    async with housed(Edge(replace(SETTINGS, **changes), room, seed=1)) as edge:
        made = Node(edge)
        for fake in fakes:
            await fake.start()
        made.told(*(fake.entry(number) for number, fake in enumerate(fakes, 1)))
        edge.listen("127.0.0.1", 0)
        yield made


def pass_time(gateway: Node, ms: float) -> None:
    """Have the gateway's clock go on by so much, and whatever has fallen due called up."""
    driver, before = gateway.driver, gateway.driver.clock
    driver.clock = driver.timers.clock = lambda: before() + ms
    driver.timers.reading_first = True
    driver.timers._fire()
