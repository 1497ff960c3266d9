"""One gateway's part in the fleet: registers, leases and tasks beside an open edge."""

from __future__ import annotations

import asyncio
import secrets
from importlib import import_module
from typing import Any, cast

from brackenloft.config import ConfigError
from brackenloft.edge import Edge
from brackenloft.fleet.config import Document, Task
from brackenloft.fleet.leases.lease import Leases, SystemClock
from brackenloft.fleet.leases.model import Me
from brackenloft.fleet.leases.terms import Pace, Terms
from brackenloft.fleet.logs import as_json, logger
from brackenloft.fleet.registers.members import Members
from brackenloft.fleet.registers.model import MEMBERS
from brackenloft.fleet.registers.registers import Registers, known_members
from brackenloft.fleet.registers.store import Look, Store
from brackenloft.fleet.tasks.core import Book, Spec
from brackenloft.fleet.tasks.probe import Listener, Probe
from brackenloft.fleet.tasks.runner import Job, Runner
from brackenloft.fleet.tasks.spread import ranks
from brackenloft.quota.client import Where

log = logger(__name__)

LOOK_FOR_S = 0.5  # between two looks for an installation, while there is none or no store answers
UNKNOWN = Members(0, 0, ())  # of an installation that was not found yet


def stores_of(document: Document) -> dict[str, Store]:
    """The stores as this process reaches them."""
    return {
        place.name: Store(place.url, document.prefix, document.timeout_ms / 1000.0, place.durable)
        for place in document.stores
    }


class Fleet:
    """Open while its edge is."""

    def __init__(self, edge: Edge, document: Document, counter: Where | None = None) -> None:
        self.edge, self.document, self.counter = edge, document, counter
        if document.log == "json":
            as_json()
        index, rate = edge.settings.index, document.trial.clock_rate
        self.me = Me(f"{index}-{secrets.token_hex(6)}", index)
        self.clock = SystemClock(rate)
        self.terms = Terms(document.lease_ms, document.drift)
        self.registers = Registers(stores_of(document), UNKNOWN, self.me.who)
        self.registers.on_look = self._looked
        self.pace = Pace(document.drift)
        self.leases = Leases(self.registers, self.me, self.terms, self.clock, rate)
        specs = [Spec(task.name, task.every_ms, task.longest_ms) for task in document.tasks]
        places = ranks([spec.name for spec in specs], edge.settings.gateways, index)
        self.book = Book.of(self.me, self.terms, specs, places, self.leases.views, edge.settings.gateways)
        self.jobs = {task.name: self._job(task) for task in document.tasks}
        self.runner = Runner(self.leases, self.book, self.jobs, self._unfit)
        self.listener = Listener(edge, self.registers)
        self.task: asyncio.Task[None] | None = None
        self.said = ""

    def _job(self, task: Task) -> Job:
        if task.kind == "probe":
            return Probe(self.edge, self.registers, task.every_ms)
        if task.kind == "sweep":
            if self.counter is None:
                raise ConfigError(f"tasks.{task.name}: sweep wants a counter")
            from brackenloft.fleet.tasks.sweep import Sweep

            return Sweep(self.counter, task.ended_ms)
        module, _, name = task.kind.partition(":")
        try:
            return cast(Job, getattr(import_module(module), name)(task.option))
        except (ImportError, AttributeError) as error:
            raise ConfigError(f"tasks.{task.name}: kind: {error}") from error

    # ---- Fitness

    def _looked(self, store: str, look: Look) -> None:
        rate = self.clock.rate
        self.pace.heard(
            store, look.asked_s * 1000.0 * rate, look.heard_s * 1000.0 * rate, look.clock_s * 1000.0
        )

    def _unfit(self) -> str:
        """Why this gateway is not to hold a task; nothing if it may."""
        if not self.edge.lifecycle.facts.ready:
            return f"it is {self.edge.lifecycle.state.value}"
        if not self.edge.driver.gateway.fleet.ready:
            return "it has no servers"
        beyond = self.pace.beyond()
        if beyond:
            return f"its clock runs {'fast' if beyond > 0 else 'slow'} by {abs(beyond):.1%} beyond the bound"
        return ""

    # ---- Life

    def start(self) -> Fleet:
        """From now on; an installation that is not there yet is waited for."""
        self.task = asyncio.get_running_loop().create_task(self._run())
        return self

    async def _run(self) -> None:
        while not self.registers.members.epoch:
            members = await known_members(self.registers.stores)
            if members:
                self.registers.adopt(members)
                break
            if not self.said:
                self.said = "no store tells of an installation: brackenloft fleet init, once"
                log.warning("no installation", why=self.said)
            await asyncio.sleep(LOOK_FOR_S * self.registers.random.uniform(0.8, 1.2))
        self.said = ""
        log.info("in the fleet", who=self.me.who, epoch=self.registers.members.epoch)
        self.runner.start()
        if any(task.kind == "probe" for task in self.document.tasks):
            self.listener.start()
        await self._compare_clocks()

    async def _compare_clocks(self) -> None:
        """Look at the stores' clocks once a lease, also while we hold every task and look at none.

        Guards against a holder whose clock runs slow, and which nothing tells: it would act too long.
        """
        looks = -1
        while True:
            if self.runner.held and self.registers.counts["looks"] == looks:
                await self.registers.look([MEMBERS], self.leases.round_s)
            looks = self.registers.counts["looks"]
            await asyncio.sleep(self.terms.length_ms / 1000.0)

    async def close(self) -> None:
        """Hand on what is held, and end."""
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.listener.close()
        await self.runner.close()
        await self.registers.close()

    def figures(self) -> dict[str, Any]:
        """For people."""
        members = self.registers.members
        return {
            "who": self.me.who,
            "epoch": members.epoch,
            "waits_for": self.said,
            "stores": {
                name: {"counts": dict(store.counts), "no_vote": store.why}
                for name, store in self.registers.stores.items()
            },
            "rounds": dict(self.registers.counts),
            "clock_apart": {name: round(value, 4) for name, value in self.pace.apart.items()},
            "hints": {
                "bad": list(self.listener.hints.bad(self.listener.clock())),
                "told": self.listener.told,
            },
        } | self.runner.figures()
