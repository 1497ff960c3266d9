"""Plays a schedule on processes with faults between them, and checks their history.

    python -m brackenloft.lab.configuration.trial --seed 3           a schedule drawn from the seed
    python -m brackenloft.lab.configuration.trial --seeds 20         many of them, one after the other
    python -m brackenloft.lab.configuration.trial --file FILE        a written one, as JSON

Exits 1 if a promise was broken, and says the seed. ``--keep`` keeps the histories of what broke,
``--small`` is the size that CI plays.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec

from brackenloft.configuration.model import Delta
from brackenloft.lab.configuration import changes, checkers
from brackenloft.lab.configuration import schedule as schedules
from brackenloft.lab.configuration.checkers import Breach, Promise
from brackenloft.lab.configuration.cluster import Cluster
from brackenloft.lab.configuration.events import (
    Event,
    EventWriter,
    FaultsOver,
    HistoryEnded,
    InForce,
    PublishAnswered,
    Served,
    StatusTold,
    now_ms,
    read_events,
)
from brackenloft.lab.configuration.nemesis import Nemesis
from brackenloft.lab.configuration.observer import Observer
from brackenloft.lab.configuration.schedule import Schedule
from brackenloft.lab.configuration.traffic import Traffic, open_node
from brackenloft.lab.fleet.control import die_with_parent

BEGIN_S = 40.0  # until every run has a first revision in force, on a machine with other work
LAST_PUBLISH_S = 30.0  # after the last fault, until a change is published
MARGIN_MS = 1000.0  # beyond the bound of ``checkers.late``: what comes late is seen to be late
LOOK_S = 0.2
SMALL = Schedule(
    control_servers=3,
    gateways=1,
    hollow_processes=2,
    hollow=4,
    length_ms=3000.0,
    tenants=24,
    plans=4,
    keep_records=12,
)


class Verdict(msgspec.Struct):
    """What came of a trial. ``counts``: of events and faults, to see that it was no empty one."""

    schedule: Schedule
    breaches: list[Breach]
    counts: dict[str, float]

    def promises(self) -> set[Promise]:
        """The promises that were broken."""
        return {breach.promise for breach in self.breaches}


class Trial:
    """One play of a schedule."""

    def __init__(
        self, schedule: Schedule, folder: Path, within_ms: float = checkers.IN_FORCE_WITHIN_MS
    ) -> None:
        self.schedule, self.folder, self.within_ms = schedule, folder, within_ms
        self.writer = EventWriter(folder / "trial.jsonl")
        self.tasks: list[asyncio.Task[None]] = []
        self.traffic: list[Traffic] = []
        self.cluster: Cluster
        self.observer: Observer
        self.nemesis: Nemesis

    async def play(self) -> Verdict:
        """Play it, and read the history."""
        node = await open_node()
        port = node.sockets[0].getsockname()[1]
        self.cluster = Cluster(self.schedule, self.folder, self.writer, port)
        self.nemesis = Nemesis(self.cluster, self.writer.write)
        try:
            await self._begin()
            await self.nemesis.play(self.schedule, now_ms())
            self.writer.write(FaultsOver(now_ms()))
            await self._settle()
            self.writer.write(HistoryEnded(now_ms()))
        finally:
            await self._end()
            node.close()
        return self._judge()

    # ---- Stages

    async def _begin(self) -> None:
        """Until each run that is there has a first revision in force."""
        plan = self.schedule
        await self.cluster.open()
        self.observer = Observer(self._urls, plan.control_servers // 2 + 1, plan.seed, self.writer)
        self.tasks.append(asyncio.create_task(self.observer.run()))
        await self._publish()
        await self.cluster.start_publishers()
        for name in plan.of_kind("g"):
            traffic = Traffic(self._port_of(name), plan.tenants, plan.gateways, f"{plan.seed}/{name}")
            self.traffic.append(traffic)
            self.tasks.append(asyncio.create_task(traffic.run()))
        runs = plan.gateways + plan.hollow_processes * plan.hollow
        async with asyncio.timeout(BEGIN_S):
            while len(self._following()) < runs:
                await asyncio.sleep(LOOK_S)

    def _port_of(self, name: str) -> Callable[[], int]:
        return lambda: self.cluster.port(name)

    def _urls(self) -> dict[str, str]:
        """Of control servers, without links."""
        return {name: f"http://127.0.0.1:{self.cluster.port(name)}" for name in self.schedule.of_kind("c")}

    def _following(self) -> set[str]:
        return {event.run for event in self._events() if isinstance(event, InForce)}

    async def _publish(self) -> None:
        """A change that stands; TimeoutError if none is answered so."""
        plan, dice = self.schedule, random.Random(self.schedule.seed)

        def make(base: int, marker: str) -> Delta:
            rate = float(10_000_000 + self.observer.published)
            return changes.change(dice, base, marker, rate, plan.tenants, plan.plans)

        async with asyncio.timeout(LAST_PUBLISH_S):
            while not await self.observer.publish(make):
                await asyncio.sleep(LOOK_S)

    async def _settle(self) -> None:
        """One more change after the last fault, until it is told to be everywhere or the bound is over."""
        await self.cluster.end_publishers()
        with suppress(TimeoutError):
            await self._publish()
        end_ms = now_ms() + self.within_ms + MARGIN_MS
        while now_ms() < end_ms and not self._is_settled():
            await asyncio.sleep(LOOK_S)

    def _is_settled(self) -> bool:
        events = self._events()
        told = self.observer.everywhere >= self.observer.standing
        return told and checkers.in_force_after_ms(events) is not None

    async def _end(self) -> None:
        await self.nemesis.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.cluster.close()

    # ---- Verdict

    def _events(self) -> list[Event]:
        return read_events(sorted(self.folder.glob("*.jsonl")))

    def _judge(self) -> Verdict:
        events = self._events()
        breaches = checkers.all_breaches(events, self.within_ms)
        return Verdict(self.schedule, breaches, self._counts(events, breaches))

    def _counts(self, events: list[Event], breaches: list[Breach]) -> dict[str, float]:
        broken = Counter(breach.promise for breach in breaches)
        answers = Counter(event.kind for event in events if isinstance(event, PublishAnswered))
        after_ms = checkers.in_force_after_ms(events)
        served = sum((traffic.answers for traffic in self.traffic), Counter[str]())
        return {
            **{promise.value: broken[promise] for promise in Promise},
            "in_force_after_ms": round(after_ms) if after_ms is not None else -1.0,
            "revisions": len(checkers.chain(events)),
            **{f"answered_{kind}": count for kind, count in sorted(answers.items())},
            "swaps": sum(isinstance(event, InForce) for event in events),
            "lookups": sum(isinstance(event, Served) for event in events),
            "told": self.observer.told,
            "told_everywhere": sum(isinstance(event, StatusTold) and event.everywhere for event in events),
            "requests_served": served["served"],
            "faults": sum(self.nemesis.counts.values()),
        }


async def play(
    schedule: Schedule, keep: Path | None = None, within_ms: float = checkers.IN_FORCE_WITHIN_MS
) -> Verdict:
    """One trial in a folder of its own; kept at ``keep`` if a promise was broken."""
    with tempfile.TemporaryDirectory() as folder:
        verdict = await Trial(schedule, Path(folder), within_ms).play()
        if verdict.breaches and keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
            (keep / "schedule.json").write_bytes(msgspec.json.encode(schedule))
    return verdict


async def _main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--file", type=Path)
    parser.add_argument("--mutant", default="")
    parser.add_argument("--length", type=float, help="seconds")
    parser.add_argument("--keep", type=Path, help="a folder for the histories of what broke")
    options = parser.parse_args()
    base = SMALL if options.small else Schedule()
    base = msgspec.structs.replace(base, mutant=options.mutant)
    if options.length:
        base = msgspec.structs.replace(base, length_ms=options.length * 1000.0)
    if options.file:
        todo = [msgspec.json.decode(options.file.read_bytes(), type=Schedule)]
    else:
        todo = [schedules.draw(seed, base) for seed in range(options.seed, options.seed + options.seeds)]
    broken = 0
    for schedule in todo:
        verdict = await play(schedule, options.keep and options.keep / schedule.name)
        broken += bool(verdict.breaches)
        print(json.dumps({"name": schedule.name} | verdict.counts), flush=True)
        for breach in verdict.breaches[:10]:
            print(f"  {breach.promise}: {breach.what}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    die_with_parent()
    sys.exit(asyncio.run(_main()))
