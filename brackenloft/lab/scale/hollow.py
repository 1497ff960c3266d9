"""Hollow gateways: the real control client, codec and state machine on real sockets, and no traffic behind.

    python -m brackenloft.lab.scale.hollow FILE      FILE: JSON, see ``HollowOrder``

One process carries a hundred or more. Each gateway has its own session, state machine and document, and tells
each revision in force by an event of its own (``lab.configuration.events``). Buckets of the same digest are
shared within the process after they were decoded and checked, so that a hundred documents fit into the memory
of one machine; what a gateway keeps is therefore measured elsewhere, on a real one.

Orders of the driver, a line each: ``start``, ``restart`` (all anew at once, nobody leaves), ``figures``,
``leave``.
"""

from __future__ import annotations

import asyncio
import gc
import random
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from brackenloft.configuration.client import ControlClient
from brackenloft.configuration.client_config import ClientConfig, ControlServer
from brackenloft.configuration.following import Work
from brackenloft.configuration.model import FIRST_REVISION, Plan, Section, Tenant
from brackenloft.configuration.tree import Bucket, Tree
from brackenloft.lab.configuration.events import (
    EventWriter,
    InForce,
    ProcessEnded,
    RunEnrolled,
    RunLeft,
    RunStarted,
    Served,
    now_ms,
)
from brackenloft.lab.fleet import control

MOST_BUCKETS = 20_000  # kept for sharing; beyond it the oldest go


class ServerPlace(msgspec.Struct, frozen=True):
    """A control server as the gateways reach it."""

    name: str
    url: str
    region: str


class HollowOrder(msgspec.Struct, frozen=True):
    """What a process is told. ``lookups_s``: lookups of a tenant by each gateway, a second."""

    process: str
    gateways: tuple[str, ...]
    region: str
    zone: str
    servers: tuple[ServerPlace, ...]
    history: str
    seed: int = 1
    lookups_s: float = 0.5
    tenants: tuple[str, ...] = ()


class BucketPool:
    """Buckets by digest, shared by the documents of one process."""

    def __init__(self) -> None:
        self.buckets: dict[bytes, Bucket] = {}

    def share(self, tree: Tree) -> Tree:
        """The same document, of buckets that others have as well."""
        kept = self.buckets
        shared = Tree(tuple(kept.setdefault(bucket.digest, bucket) for bucket in tree.buckets))
        while len(kept) > MOST_BUCKETS:
            del kept[next(iter(kept))]
        return shared


class HollowTarget:
    """What a revision is put in force in: nothing but the document itself."""

    def __init__(self) -> None:
        self.tree = Tree.empty()

    def prepare(self, tree: Tree) -> Iterator[None]:
        """There is nothing to get ready."""
        return iter(())

    def swap(self, tree: Tree) -> None:
        """It is in force."""
        self.tree = tree


class HollowClient(ControlClient):
    """The real client; each revision that it has put in force is written to the history."""

    def __init__(self, config: ClientConfig, gateway: str, writer: EventWriter, pool: BucketPool) -> None:
        self.shown = HollowTarget()
        super().__init__(config, self.shown, gateway=gateway)
        self.writer, self.pool = writer, pool
        self.told = FIRST_REVISION

    async def _apply(self, server: str, work: Work) -> None:
        await super()._apply(server, work)
        if self.revision == self.told:
            return
        at_ms, run = now_ms(), self.follower.run
        if self.told == FIRST_REVISION:
            self.writer.write(RunEnrolled(at_ms, run))
        self.told = self.revision
        self.writer.write(InForce(at_ms, run, self.revision, self.shown.tree.digest))
        self.applier.tree = self.shown.tree = self.pool.share(self.shown.tree)

    def look_up(self, tenant: str) -> None:
        """As a request would: a tenant's plan and that plan's rate, by the revision in force."""
        found = self.shown.tree.get(Section.TENANTS, tenant)
        name = found.plan if isinstance(found, Tenant) else ""
        plan = self.shown.tree.get(Section.PLANS, name)
        rate = plan.rate if isinstance(plan, Plan) else 0.0
        self.writer.write(Served(now_ms(), self.follower.run, self.revision, tenant, name, rate))


class HollowFleet:
    """All hollow gateways of one process."""

    def __init__(self, order: HollowOrder) -> None:
        self.order, self.pool = order, BucketPool()
        self.writer = EventWriter(Path(order.history))
        self.dice = random.Random(order.seed)
        servers = tuple(ControlServer(one.name, one.url, one.region) for one in order.servers)
        self.config = ClientConfig(servers, region=order.region, zone=order.zone)
        self.clients: list[HollowClient] = []
        self.lookups: asyncio.Task[None] | None = None

    def start(self) -> None:
        """A new run of each gateway, all at once."""
        self.clients = [self._client(name) for name in self.order.gateways]
        for client in self.clients:
            client.start()
        if self.lookups is None and self.order.tenants and self.order.lookups_s > 0.0:
            self.lookups = asyncio.get_running_loop().create_task(self._look_up())

    def _client(self, name: str) -> HollowClient:
        client = HollowClient(self.config, name, self.writer, self.pool)
        follower = client.follower
        self.writer.write(
            RunStarted(now_ms(), follower.run, name, follower.region, self._process_of(follower.run))
        )
        return client

    def _process_of(self, run: str) -> str:
        """A run stands for a process of its own, which may end alone."""
        return f"{self.order.process}/{run}"

    async def close(self, leave: bool) -> None:
        """End all runs; ``leave``: each says so."""
        clients, self.clients = self.clients, []
        for client in clients:
            run = client.follower.run
            event = RunLeft(now_ms(), run) if leave else ProcessEnded(now_ms(), self._process_of(run))
            self.writer.write(event)
        await asyncio.gather(*(client.close(leave) for client in clients))

    async def _look_up(self) -> None:
        while True:
            pace_s = self.order.lookups_s * max(1, len(self.clients))
            await asyncio.sleep(self.dice.expovariate(pace_s))
            if self.clients:
                self.dice.choice(self.clients).look_up(self.dice.choice(self.order.tenants))

    def figures(self) -> dict[str, Any]:
        """Sums over the gateways that run now, and this process's time on a processor."""
        slices = [client.applier.slices for client in self.clients]
        return {
            "revisions": [client.revision for client in self.clients],
            "cpu_s": time.process_time(),
            "body_bytes": sum(client.received_bytes + client.sent_bytes for client in self.clients),
            "swaps": sum(client.swaps for client in self.clients),
            "busy": sum(client.core.busy for client in self.clients),
            "longest_slice_ms": max((each.longest_ms for each in slices), default=0.0),
            "failures": sum(client.core.failures.total() for client in self.clients),
        }


async def main(path: str) -> None:
    """Until the driver closes the input."""
    fleet = HollowFleet(msgspec.json.decode(Path(path).read_bytes(), type=HollowOrder))
    loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()

    async def restart() -> None:
        await fleet.close(leave=False)
        fleet.start()

    def answer(order: dict[str, Any]) -> dict[str, Any]:
        match order["do"]:
            case "start":
                fleet.start()
            case "restart":
                _spawn(loop.create_task(restart()), tasks)
            case "leave":
                _spawn(loop.create_task(fleet.close(leave=True)), tasks)
        return fleet.figures()

    await control.serve({}, answer)
    await fleet.close(leave=False)


def _spawn(task: asyncio.Task[None], tasks: set[asyncio.Task[None]]) -> None:
    tasks.add(task)
    task.add_done_callback(tasks.discard)


if __name__ == "__main__":
    control.die_with_parent()
    gc.disable()  # a pass would go over a hundred gateways' documents, which no real process holds
    uvloop.run(main(sys.argv[1]))
