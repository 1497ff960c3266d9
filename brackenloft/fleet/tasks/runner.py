"""Carries out what the book says: looks, leases, runs of jobs, each with its bound."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from brackenloft.fleet.leases import model
from brackenloft.fleet.leases.lease import Act, Holding, LeaseOver, Leases
from brackenloft.fleet.logs import logger
from brackenloft.fleet.registers.model import NonsenseError
from brackenloft.fleet.registers.registers import NoMajority, Unsure
from brackenloft.fleet.tasks.core import Book, Do, Order

log = logger(__name__)

LEAST_WAIT_S, MOST_WAIT_S = 0.005, 1.0  # between two steps; fitness is looked at as often
LEAVE_S = 2.0  # for handing on what is held when the process leaves
NAMES_SHOWN = 20


class Run(Protocol):
    """What a job is given."""

    act: Act
    checkpoint: str

    async def save(self, checkpoint: str) -> None:
        """How far it has come, for whoever goes on with it; LeaseOver if that can't be told."""


class Job(Protocol):
    """A task's work. ``run`` does one run and calls ``act.check()`` before each effect."""

    async def run(self, run: Run) -> None:
        """Returns when the run is over; whatever it raises is a failed run."""

    async def close(self) -> None:
        """The process ends."""


class Running:
    """One run of a job."""

    def __init__(self, holding: Holding, act: Act) -> None:
        self.holding, self.act = holding, act
        self.checkpoint = holding.lease.checkpoint

    async def save(self, checkpoint: str) -> None:
        """How far it has come."""
        self.act.check()
        if not await self.holding.save(checkpoint):
            raise LeaseOver(self.holding.name)
        self.checkpoint = checkpoint


class Runner:
    """The tasks of one gateway. ``fit``: whether it may hold any, and why not."""

    def __init__(
        self,
        leases: Leases,
        book: Book,
        jobs: Mapping[str, Job],
        fit: Callable[[], str],
    ) -> None:
        self.leases, self.book, self.jobs, self.fit = leases, book, jobs, fit
        self.held: dict[str, Holding] = {}
        self.runs: dict[str, asyncio.Task[None]] = {}
        self.orders: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        self.unfit = ""
        self.wakes = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.leaving = False

    def start(self) -> Runner:
        """From now on."""
        self.task = asyncio.get_running_loop().create_task(self._run())
        return self

    async def close(self) -> None:
        """Runs are cut off, leases handed on, as far as a majority of stores takes that in time."""
        self.leaving = True
        for task in (self.task, *self.runs.values(), *self.orders):
            if task:
                task.cancel()
        await asyncio.gather(
            *filter(None, (self.task, *self.runs.values(), *self.orders)), return_exceptions=True
        )
        try:
            async with asyncio.timeout(LEAVE_S):
                await asyncio.gather(*(holding.release() for holding in self.held.values()))
        except TimeoutError:
            self.counts["left without handing on"] += 1
        for job in self.jobs.values():
            await job.close()

    async def _run(self) -> None:
        while True:
            now = self.leases.clock()
            for name, holding in list(self.held.items()):
                if holding.lost and name not in self.runs:
                    self._drop(name, now)
            self.unfit = self.fit()
            looks = []
            for order in self.book.step(now, not self.unfit):
                if order.do is Do.LOOK:
                    looks.append(order.task)
                else:
                    self._order(order)
            if looks:
                self._start(self._look(looks), looks)
            wait_s = (self.book.next_at(now) - self.leases.clock()) / 1000.0 / self.leases.clock_rate
            self.wakes.clear()
            try:
                async with asyncio.timeout(min(MOST_WAIT_S, max(LEAST_WAIT_S, wait_s))):
                    await self.wakes.wait()
            except TimeoutError:
                pass

    def _start(self, work: Coroutine[Any, Any, None], names: list[str]) -> None:
        for name in names:
            self.book.entries[name].busy = True
        task = asyncio.get_running_loop().create_task(self._guarded(work, names))
        self.orders.add(task)
        task.add_done_callback(self.orders.discard)

    async def _guarded(self, work: Coroutine[Any, Any, None], names: list[str]) -> None:
        """Guards against one task's register that can't be read taking the other tasks along."""
        try:
            await work
        except (NoMajority, Unsure):
            self.counts["no majority"] += 1
        except NonsenseError as error:
            self.counts["nonsense"] += 1
            log.error("a register that can't be read", tasks=", ".join(names[:NAMES_SHOWN]), why=error)
        finally:
            now = self.leases.clock()
            for name in names:
                entry = self.book.entries[name]
                entry.busy = False
                if entry.looks_at <= now:  # nothing was told: the next look has its time all the same
                    self.book.looked(name, now)
            self.wakes.set()

    def _order(self, order: Order) -> None:
        steps = {Do.TAKE: self._take, Do.RENEW: self._renew, Do.WANT: self._want, Do.LIVE: self._live}
        if order.do is Do.RUN:
            self._begin(order.task)
        elif order.do is Do.RELEASE:
            self._start(self._release(order), [order.task])
        else:
            self._start(steps[order.do](order.task), [order.task])

    async def _look(self, names: list[str]) -> None:
        await self.leases.look(names)
        for name in names:
            self.book.looked(name, self.leases.clock())

    async def _take(self, name: str) -> None:
        holding = await self.leases.take(name)
        now = self.leases.clock()
        self.counts["taken" if holding else "not taken"] += 1
        if holding:
            self.held[name] = holding
            log.info("task taken", task=name, token=holding.token, paused=holding.lease.paused)
        self.book.took(name, holding.token if holding else None, now)

    async def _renew(self, name: str) -> None:
        holding = self.held[name]
        asked = self.leases.clock()
        good = await holding.renew()
        self.counts["renewed" if good else "not renewed"] += 1
        self.book.renewed(name, good, asked)
        if not good and holding.left_ms() <= 0.0:
            holding.lose("not renewed in time")

    async def _want(self, name: str) -> None:
        if await self.leases.tell(name, lambda lease: model.want(lease, self.leases.me)):
            log.info("task wanted", task=name)

    async def _live(self, name: str) -> None:
        if await self.leases.tell(name, lambda lease: model.lives(lease, self.leases.me)):
            log.info("lost within a run, and alive", task=name)

    async def _release(self, order: Order) -> None:
        holding = self.held[order.task]
        log.info("task handed on", task=order.task, token=holding.token, why=self.unfit)
        await holding.release(order.to)
        self.counts["handed on"] += 1

    def _drop(self, name: str, now: float) -> None:
        holding = self.held.pop(name)
        if holding.lost != "released":
            self.counts["lost"] += 1
            log.warning("task lost", task=name, token=holding.token, why=holding.lost)
        self.book.lost(name, now)
        if holding.lost == "not renewed in time":  # it may be ours still, by its register: nobody need wait
            self._start(self._give_up(name, holding.token), [name])

    async def _give_up(self, name: str, token: int) -> None:
        if await self.leases.tell(name, lambda lease: model.release(lease, self.leases.me, token)):
            self.counts["given up"] += 1

    # ---- Runs

    def _begin(self, name: str) -> None:
        self.book.entries[name].running = True
        task = asyncio.get_running_loop().create_task(self._one(name))
        self.runs[name] = task
        task.add_done_callback(lambda _: self._ended(name))

    def _ended(self, name: str) -> None:
        self.runs.pop(name, None)
        self.wakes.set()

    async def _one(self, name: str) -> None:
        holding, good = self.held[name], False
        try:
            if not await holding.begin():
                self.counts["not begun"] += 1
                return
            good = await self._within(name, holding)
        finally:
            self.counts["runs" if good else "failed runs"] += 1
            self.book.ended(name, good, self.leases.clock())

    async def _within(self, name: str, holding: Holding) -> bool:
        """One run; whether it was good. Its end is told, or the next holder takes us for lost within it."""
        good, checkpoint = False, holding.lease.checkpoint
        spec = self.book.entries[name].spec
        try:
            async with asyncio.timeout(spec.longest_ms / 1000.0), holding.act() as act:
                run = Running(holding, act)
                await self.jobs[name].run(run)
                checkpoint, good = run.checkpoint, True
        except LeaseOver:
            self.counts["cut off"] += 1
            holding.lose("not renewed in time")
        except TimeoutError:
            log.warning("run too long", task=name, token=holding.token, longest_ms=spec.longest_ms)
        except Exception:  # a job's own fault must not end the others
            log.exception("run failed", task=name, token=holding.token)
        if not holding.lost:
            await holding.end(good, checkpoint if good else holding.lease.checkpoint)
        return good

    # ---- For people

    def figures(self) -> dict[str, Any]:
        """What this gateway holds, and why nothing if it may not."""
        rows = {}
        for name, entry in self.book.entries.items():
            lease = entry.view.lease
            rows[name] = {
                "rank": entry.rank,
                "mine": name in self.held,
                "running": name in self.runs,
                "holder": lease.index if lease and lease.holder else None,
                "token": lease.token if lease else None,
                "runs": lease.runs if lease else 0,
                "paused": lease.paused if lease else "",
            }
        return {"unfit": self.unfit, "tasks": rows, "counts": dict(self.counts)}
