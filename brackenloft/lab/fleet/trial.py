"""Plays a schedule on processes: gateways, stores, a place for effects, links, clerks; reads their histories.

    python -m brackenloft.lab.fleet.trial --seed 3          a schedule drawn from the seed
    python -m brackenloft.lab.fleet.trial --file FILE       a written one
    python -m brackenloft.lab.fleet.trial --seeds 200       many of them, --at-once at a time

Exits 1 if a promise was broken; says the seed, and with --shrink the smallest schedule found that breaks it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import signal
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from brackenloft.fleet.leases.model import MOST_LOST
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.registers import NoMajority, Registers, Unsure, known_members
from brackenloft.fleet.registers.store import Store
from brackenloft.lab.fleet import check, history
from brackenloft.lab.fleet import schedule as schedules
from brackenloft.lab.fleet.control import Helper, die_with_parent
from brackenloft.lab.fleet.gateway_process import GatewayProcess
from brackenloft.lab.fleet.schedule import Fault, Schedule

STARTS_S = 0.02  # between two looks whether tasks have begun
BEGIN_S = 20.0  # until each task is done by somebody for the first time
BOUND = 2.0  # lease times, and a round, until a task goes on
OPERATOR_S = 5.0
EXTRA_MS = 400.0  # a round and a run's beginning, on a machine with other work
FLOOR = 1_000_000


@dataclass(slots=True)
class Verdict:
    """What came of a trial."""

    schedule: Schedule
    broken: list[str] = field(default_factory=list)
    counts: dict[str, float] = field(default_factory=dict)


class Trial:
    """One play of a schedule."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.folder = schedule, folder
        self.stores = {
            f"s{number}": Helper("brackenloft.lab.fleet.store") for number in range(schedule.stores)
        }
        self.place = Helper("brackenloft.lab.fleet.store")
        self.gateways = [GatewayProcess(schedule, folder, number) for number in range(schedule.gateways)]
        self.clerks: list[asyncio.subprocess.Process] = []
        self.ports: dict[str, int] = {}
        self.registers: Registers
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()

    # ---- Start and end

    async def play(self) -> Verdict:
        """Play it, and read the histories."""
        try:
            await self._start()
            begin = history.now_ms()
            for fault in sorted(self.schedule.faults, key=lambda fault: fault.at_ms):
                await asyncio.sleep(max(0.0, (begin + fault.at_ms - history.now_ms()) / 1000.0))
                self._spawn(self._fault(fault))
            await asyncio.sleep(max(0.0, (begin + self.schedule.length_ms - history.now_ms()) / 1000.0))
            end = history.now_ms()
            if self.tasks:
                await asyncio.wait(self.tasks, timeout=OPERATOR_S)
        finally:
            await self._end()
        return self._judge(begin, end)

    async def _start(self) -> None:
        for name, store in self.stores.items():
            self.ports[name] = (await store.start())["port"]
        hello = await self.place.start("--history", str(self.folder / "place.jsonl"))
        self.ports["place"] = hello["port"]
        direct = {
            name: Store(f"redis://127.0.0.1:{port}", "fleet", 0.5)
            for name, port in self.ports.items()
            if name != "place"
        }
        members = places.first(direct, FLOOR, "a")
        self.registers = Registers(direct, members, "operator", self.schedule.seed)
        await enrol.found(self.registers, members)
        await asyncio.gather(*(gateway.prepare(self.ports) for gateway in self.gateways))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        for number in range(self.schedule.clerks):
            await self._clerk(number)
        async with asyncio.timeout(BEGIN_S):
            while len(self._begun()) < self.schedule.tasks - self.schedule.poison:
                await asyncio.sleep(STARTS_S)

    def _begun(self) -> set[str]:
        return {event["task"] for event in self._events() if event["kind"] == "acts"}

    async def _clerk(self, number: int) -> None:
        stores = {
            name: f"redis://127.0.0.1:{port}"
            for name, port in self.gateways[number].links.hello.items()
            if name != "place"
        }
        path = self.folder / f"clerk-{number}.json"
        path.write_text(
            json.dumps(
                {
                    "who": f"clerk-{number}",
                    "seed": self.schedule.seed * 100 + number,
                    "stores": stores,
                    "registers": ["x0", "x1", "x2"],
                    "history": str(self.folder / f"ops-{number}.jsonl"),
                    "timeout_ms": self.schedule.timeout_ms,
                }
            )
        )
        self.clerks.append(
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brackenloft.lab.fleet.clerk", str(path)
            )
        )

    async def _end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for clerk in self.clerks:
            if clerk.returncode is None:
                clerk.kill()
            await clerk.wait()
        for gateway in self.gateways:
            await gateway.end()
            await gateway.links.end()
        for helper in (*self.stores.values(), self.place):
            await helper.end()
        if hasattr(self, "registers"):
            await self.registers.close()

    # ---- Faults

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fault(self, fault: Fault) -> None:
        self.counts[fault.do] += 1
        seconds = fault.for_ms / 1000.0
        if fault.do in ("cut", "slow", "reset"):
            await self._links(fault)
            await asyncio.sleep(seconds)
            await self._each_link(fault, "heal")
        elif fault.on[0].startswith("s"):
            await self._store(fault)
        elif fault.do == "stop":
            gateway = self.gateways[int(fault.on[0])]
            gateway.tell(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            gateway.tell(signal.SIGCONT)
        else:
            gateway = self.gateways[int(fault.on[0])]
            gateway.tell(signal.SIGCONT)
            await gateway.end(signal.SIGKILL if fault.do == "kill" else signal.SIGTERM)
            await asyncio.sleep(seconds)
            await gateway.start()

    async def _links(self, fault: Fault) -> None:
        await self._each_link(fault, fault.do, ways=fault.ways, ms=fault.ms)

    async def _each_link(self, fault: Fault, do: str, **more: Any) -> None:
        for on in fault.on:
            gateway, _, name = on.partition(">")
            await self.gateways[int(gateway)].links.ask(do=do, on=[name], **more)

    async def _store(self, fault: Fault) -> None:
        name = fault.on[0]
        store, seconds = self.stores[name], fault.for_ms / 1000.0
        match fault.do:
            case "stop":
                store.signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                store.signal(signal.SIGCONT)
                return
            case "mood":
                with suppress(RuntimeError):  # it was killed meanwhile: a new one is well
                    await store.ask(do="mood", mood=fault.mood)
                    await asyncio.sleep(seconds)
                    await store.ask(do="mood", mood="WELL")
                return
            case "kill":
                await store.end()
                await asyncio.sleep(seconds)
                await store.start("--port", str(self.ports[name]))
            case "wipe":
                await store.ask(do="wipe")
                await asyncio.sleep(seconds)
            case "back":
                await store.ask(do="save")
                await asyncio.sleep(0.5)
                await store.ask(do="go back")
                await asyncio.sleep(seconds)
        await self._take_back(name)

    async def _take_back(self, name: str) -> None:
        """As an operator does who was told: the command, again until it has gone through."""
        for turn in range(40):
            with suppress(enrol.EnrolError, NoMajority, Unsure, ValueError):
                members = await known_members(self.registers.stores)
                if members:
                    self.registers.adopt(members)
                await enrol.replace(self.registers, name, name, f"b{self.counts['replaced']}t{turn}", 2.0)
                self.counts["replaced"] += 1
                return
            await asyncio.sleep(0.2)
        self.counts["not replaced"] += 1

    # ---- Verdict

    def _events(self) -> list[dict[str, Any]]:
        return history.read(sorted(self.folder.glob("*.jsonl")))

    def _judge(self, begin: float, end: float) -> Verdict:
        plan, events = self.schedule, self._events()
        names = [f"t{task}" for task in range(plan.poison, plan.tasks)]
        bound = BOUND * plan.lease_ms * (1.0 + plan.drift) + plan.every_ms + EXTRA_MS
        well = [(begin + first, begin + last) for first, last in schedules.promised(plan)]
        two, stale = check.holders(events), check.tokens(events)
        lines, stands = check.lines_up(events), check.goes_on(events, well, names, bound)
        killed = {event["token"] for event in events if event["kind"] == "acts" and event["task"] == "t0"}
        if plan.poison:  # each that it kills had other tasks as well
            stands = check.goes_on(events, well, names, bound * MOST_LOST)
            if len(killed) != MOST_LOST:
                stands.append(f"t0: killed {len(killed)} holders, {MOST_LOST} at most, and so many are there")
        longest = max(check.gaps(events, begin, end, names).values(), default=0.0)
        counts = {
            "two_holders": len(two),
            "stale_effects": len(stale),
            "not_linearizable": len(lines),
            "stood_still": len(stands),
            "promised": sum(last - first > bound for first, last in well),
            "longest_gap_ms": round(longest, 1),
            "acts": sum(event["kind"] == "acts" for event in events),
            "effects": sum(event["kind"] == "effect" for event in events),
            "refused": sum(event["kind"] == "stale" for event in events),
            "ops": sum(event["kind"] == "op" for event in events),
            "swept": sum(len(event["runs"]) for event in events if event["kind"] == "swept"),
            "sweepers": len(
                {
                    event["token"]
                    for event in events
                    if event["kind"] == "effect" and event["place"] == "quota:sweep"
                }
            ),
            "holders": len({(event["task"], event["token"]) for event in events if event["kind"] == "acts"}),
        }
        return Verdict(plan, [*two, *stale, *lines, *stands], counts | dict(self.counts))


async def play(schedule: Schedule, keep: Path | None = None) -> Verdict:
    """One trial in a folder of its own; kept at ``keep`` if a promise was broken."""
    with tempfile.TemporaryDirectory() as folder:
        verdict = await Trial(schedule, Path(folder)).play()
        if verdict.broken and keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
            (keep / "schedule.json").write_bytes(msgspec.json.encode(schedule))
    return verdict


async def shrink(schedule: Schedule, most: int = 40) -> Schedule:
    """The smallest schedule found that still breaks a promise."""
    tries, going = 0, True
    while going and tries < most:
        going = False
        for candidate in schedules.smaller(schedule):
            tries += 1
            if (await play(candidate)).broken:
                schedule, going = candidate, True
                break
            if tries >= most:
                break
    return schedule


async def _main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--file", type=Path)
    parser.add_argument("--mutant", default="")
    parser.add_argument("--length", type=float, default=8.0, help="seconds")
    parser.add_argument("--keep", type=Path, help="a folder for the histories of what broke")
    parser.add_argument("--shrink", action="store_true")
    options = parser.parse_args()
    base = Schedule(length_ms=options.length * 1000.0, mutant=options.mutant)
    if options.file:
        todo = [msgspec.structs.replace(schedules.load(options.file), mutant=options.mutant)]
    else:
        todo = [schedules.draw(seed, base) for seed in range(options.seed, options.seed + options.seeds)]
    gate, bad = asyncio.Semaphore(options.at_once), 0

    async def one(schedule: Schedule) -> None:
        nonlocal bad
        async with gate:
            verdict = await play(schedule, options.keep and options.keep / schedule.name)
        bad += bool(verdict.broken)
        line = json.dumps({"name": schedule.name} | verdict.counts)
        print(line, *verdict.broken[:5], sep="\n  ", flush=True)

    await asyncio.gather(*map(one, todo))
    if bad and options.shrink and len(todo) == 1:
        print(msgspec.json.encode(await shrink(todo[0])).decode())
    return 1 if bad else 0


if __name__ == "__main__":
    die_with_parent()
    sys.exit(asyncio.run(_main()))
