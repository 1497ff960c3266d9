"""Hollow gateways, many in a process: the program's control client, and lookups in place of requests.

python -m brackenloft.lab.configuration.followers FILE      FILE: JSON, see ``FollowersOrder``
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec

from brackenloft.configuration.client import ControlClient
from brackenloft.configuration.client_config import ClientConfig, ControlServer
from brackenloft.configuration.model import Plan, Section, Tenant
from brackenloft.configuration.tree import Tree
from brackenloft.lab.configuration.changes import tenant_names
from brackenloft.lab.configuration.events import EventWriter, Served, log_to, now_ms
from brackenloft.lab.configuration.instrument import observe
from brackenloft.lab.configuration.mutants import MUTANTS
from brackenloft.lab.fleet import control

LOOK_EVERY_S = 0.02  # of one follower


class ServerPlace(msgspec.Struct):
    """A control server as this process reaches it."""

    name: str
    url: str
    region: str


class FollowersOrder(msgspec.Struct):
    """What it is told. ``start``: how often it was started before."""

    name: str
    seed: int
    start: int
    region: str
    followers: int
    tenants: int
    servers: list[ServerPlace]
    history: str
    wait_ms: float
    mutant: str = ""


class Lookups:
    """The document that requests would be served by."""

    def __init__(self) -> None:
        self.tree = Tree.empty()

    def prepare(self, tree: Tree) -> Iterator[None]:
        """There is nothing to get ready."""
        return iter(())

    def swap(self, tree: Tree) -> None:
        """From now on requests are served by this document."""
        self.tree = tree

    def look_up(self, tenant_name: str) -> tuple[str, float]:
        """The plan of a tenant and its rate; of an unknown one, nothing."""
        tenant = self.tree.get(Section.TENANTS, tenant_name)
        if not isinstance(tenant, Tenant):
            return "", 0.0
        plan = self.tree.get(Section.PLANS, tenant.plan)
        return tenant.plan, plan.rate if isinstance(plan, Plan) else 0.0


async def follow(order: FollowersOrder, number: int, writer: EventWriter) -> None:
    """One hollow gateway, until its process ends."""
    servers = tuple(ControlServer(place.name, place.url, place.region) for place in order.servers)
    config = ClientConfig(servers, f"{order.name}-{number}", order.region, wait_ms=order.wait_ms)
    lookups = Lookups()
    client = ControlClient(config, lookups)
    observe(client, writer, f"{order.name}#{order.start}")
    client.start()
    dice = random.Random(f"{order.seed}/{config.gateway}/{order.start}")
    tenants = tenant_names(order.tenants)
    while True:
        await asyncio.sleep(dice.uniform(0.5, 1.5) * LOOK_EVERY_S)
        name, at_ms = dice.choice(tenants), now_ms()
        plan, rate = lookups.look_up(name)
        writer.write(Served(at_ms, client.follower.run, client.revision, name, plan, rate))


async def main(path: Path) -> None:
    """All of them, until the input ends."""
    order = msgspec.json.decode(path.read_bytes(), type=FollowersOrder)
    log_to(path.with_suffix(".log"))
    if order.mutant:
        MUTANTS[order.mutant]()
    writer = EventWriter(Path(order.history))
    tasks = [asyncio.create_task(follow(order, number, writer)) for number in range(order.followers)]
    serving = asyncio.create_task(control.serve({}, lambda _: {}))
    await asyncio.wait([*tasks, serving], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    control.die_with_parent()
    asyncio.run(main(Path(sys.argv[1])))
