"""What the tests of membership share: a registry on loopback, its nodes, an edge that follows it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from fakes import SETTINGS

from brackenloft.answers import Answer
from brackenloft.edge import Call, Edge, Room
from brackenloft.membership import config
from brackenloft.membership.eureka.client import Eureka
from brackenloft.membership.members import Members
from brackenloft.standins import BoardNode
from brackenloft.standins.eureka import Registry, RegistryServer

APP = "BOARD"
READ = Call("read", "free", "00000000b4d65521")
LONG_MS = 3_600_000.0  # before the test, when the nodes came up: none is cold
INTERVAL_S = 0.1  # the least that a file may say


def unix_ms() -> float:
    return time.time() * 1000.0


def info(name: str, port: int, **more: Any) -> dict[str, Any]:
    """What an instance says when it registers."""
    return {
        "instanceId": name,
        "hostName": "localhost",
        "ipAddr": "127.0.0.1",
        "status": "UP",
        "vipAddress": "board",
        "port": {"$": port, "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        **more,
    }


class Fleet:
    """A registry, board nodes that it lists, and an edge."""

    def __init__(self, book: Registry, skin: RegistryServer, edge: Edge, members: Members) -> None:
        self.book, self.skin, self.edge, self.members = book, skin, edge, members
        self.boards: dict[str, BoardNode] = {}

    @property
    def eureka(self) -> Eureka:
        source = self.members.running[0]
        assert isinstance(source, Eureka)
        return source

    def register(self, name: str, **more: Any) -> None:
        self.book.register(APP, info(name, self.boards[name].port, **more))

    def ready(self) -> set[str]:
        """Names of the nodes that the decisions send to."""
        fleet, keys = self.edge.driver.gateway.fleet, self.members.merge.keys
        return {keys[server.id][0].partition("/")[2] for server in fleet.ready}


def document(urls: list[str], **more: Any) -> dict[str, Any]:
    table = {
        "name": "registry",
        "servers": [{"url": url} for url in urls],
        "apps": [APP],
        "interval_s": INTERVAL_S,
        **more,
    }
    return {"eureka": [table]}


async def many(world: Fleet, number: int = 40) -> list[Answer]:
    """The answers to so many requests at once."""
    return await asyncio.gather(*(world.edge.call(READ) for _ in range(number)))


@asynccontextmanager
async def fleet(
    *names: str,
    table: dict[str, Any] | None = None,
    book: Registry | None = None,
    **more: Any,
) -> AsyncIterator[Fleet]:
    """An edge that follows a registry with these nodes, ready. ``more``: keys of the registry's table."""
    book = book or Registry(unix_ms)
    skin = await RegistryServer(book).start()
    boards = {name: await BoardNode(name, work_s=0.0).start() for name in names}
    for name, board in boards.items():
        book.register(APP, info(name, board.port))
        book.leases[APP, name].up_since_ms -= LONG_MS
    async with Edge(SETTINGS, Room(100, 100), seed=1) as edge:
        loaded = config.read(table or document([skin.url], **more))
        members = config.follow(loaded, edge)
        made = Fleet(book, skin, edge, members)
        made.boards = boards
        await edge.wait_ready()
        yield made
        await members.close()
    await skin.close()
    for board in boards.values():
        board.close()
