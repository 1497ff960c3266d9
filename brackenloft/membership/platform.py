"""The platform's discovery, and nodes that a file names, as sources beside others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from brackenloft import interface as api
from brackenloft.edge.sources import Node
from brackenloft.membership.model import Address, Instance, Said
from brackenloft.net.discovery import Discovery

BEAT_S = 1.0  # between two looks whether the watch is alive: half of what lies between two of its empty lines


class DiscoverySource:
    """Follows discovery at an address. A watch that is alive is fresh, also while nothing changes."""

    def __init__(self, number: int, address: Address, say: Callable[[Said], None]) -> None:
        self.number, self.say = number, say
        self.names: dict[int, str] = {}
        self.discovery = Discovery(self._news)
        self.discovery.watch(address)
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(BEAT_S, self._beat)

    def figures(self) -> dict[str, object]:
        """How many nodes it lists."""
        return {"listed": len(self.names)}

    async def close(self) -> None:
        """Watch no more."""
        self.timer.cancel()
        self.discovery.end()

    def _beat(self) -> None:
        feed = self.discovery.feed
        if feed and feed.watch and not feed.watch.done.done():
            self.say(Said(self.number))
        self.timer = self.loop.call_later(BEAT_S, self._beat)

    def _news(self, news: api.ServerList, addresses: dict[int, Address]) -> None:
        if any(entry.server not in self.names for entry in news.entries):
            self.names.update((number, name) for name, number in self.discovery.roster.numbers.items())
        changed, left = [], []
        for entry in news.entries:
            name = self.names.get(entry.server)
            if name is None:
                continue  # gone before it was known
            if entry.state is api.ServerState.GONE:
                left.append(name)
                del self.names[entry.server]
                continue
            changed.append(_instance(name, addresses[entry.server], entry))
        absent: list[str] = []
        if news.kind is not api.ListKind.CHANGES:
            listed = {entry.server for entry in news.entries}
            gone = [number for number in self.names if number not in listed]
            absent = [self.names.pop(number) for number in gone]
        self.say(Said(self.number, tuple(changed), tuple(left), tuple(absent)))


def _instance(name: str, address: Address, entry: api.ServerEntry) -> Instance:
    return Instance(
        name,
        *address,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.state is api.ServerState.READY,
        entry.size,
        entry.started_ms,
        entry.started_ms,
    )


class ListedSource:
    """Nodes that the file names, as they are there."""

    def __init__(self, number: int, nodes: Iterable[Node], zone: str, say: Callable[[Said], None]) -> None:
        say(
            Said(
                number,
                tuple(
                    Instance(
                        node.name,
                        node.host,
                        node.port,
                        node.zone or zone,
                        node.kind,
                        node.cell,
                        not node.draining,
                        node.weight,
                        node.started_ms,
                    )
                    for node in nodes
                ),
            )
        )

    def figures(self) -> dict[str, object]:
        """Nothing changes."""
        return {}

    async def close(self) -> None:
        """There is nothing to end."""
