"""Leases: who acts, how soon a task goes on, what the stores pay, what probing for all saves.

python -m benchmarks.leases            some schedules on processes; the last line is JSON
python -m benchmarks.leases --long     many of them
python -m benchmarks.leases --smoke    one short one, and a little of the rest

Trials: five gateways, three stores, faults by seed. Takeovers: gateways killed in virtual time, from the kill
to the next holder, in lease times. Beside them the plain way: an end of the lease by wall clocks that are
apart by up to 0.15 s, no time left between two holders. Probes: twenty gateways before four nodes, one of
which goes silent; each finds out by its own requests, or reads what one asked. Idle: a process of ``serve``
that stands by for five tasks of another one, beside one without any.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import sys
import tempfile
from collections import Counter as Counts
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from brackenloft import Effect, Plan, RequestClass, Settings
from brackenloft.edge import Call, Edge, Node, Room
from brackenloft.fleet.config import Document, Place, Task
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.fleet.service import Fleet
from brackenloft.fleet.tasks.spread import order
from brackenloft.lab.fleet import explore, schedule, trial, virtual
from brackenloft.lab.fleet.explore import Guards
from brackenloft.lab.fleet.schedule import Schedule
from brackenloft.standins import BoardNode, ScriptedNode, array
from brackenloft.standins.counter import Counter

SHELF = Path(schedule.__file__).parent / "shelf"
MUTANTS = (
    ("no_check", "stopped_holder"),
    ("token_not_compared", "late_effects"),
    ("short_guard", "cut_holders"),
)
AT_ONCE = 4  # trials beside each other: sixteen processes each
READ = RequestClass("read", 400.0, 800.0, Effect.SAFE)
GATEWAYS, NODES = 20, 8
CUSTOMER_S, SPAN_S = 0.1, 9.0  # between two requests of a gateway; the time that is counted
IDLE_S = 5.0


def fleet_settings(index: int) -> Settings:
    """Of one of twenty."""
    return Settings(
        gateways=GATEWAYS, index=index, zone="a", classes=(READ,), plans=(Plan("p", rate=1e6, burst=1e6),)
    )


# ---- Trials


async def trials(seeds: list[int], mutants: bool, length_ms: float) -> dict[str, Any]:
    """Schedules by seed, and the guards that are taken out."""
    gate, total = asyncio.Semaphore(AT_ONCE), Counts[str]()

    async def one(plan: Schedule) -> trial.Verdict:
        async with gate:
            return await trial.play(plan)

    base = Schedule(length_ms=length_ms)
    verdicts = await asyncio.gather(*(one(schedule.draw(seed, base)) for seed in seeds))
    for verdict in verdicts:
        total.update({name: int(value) for name, value in verdict.counts.items()})
        for line in verdict.broken[:3]:
            print(f"{verdict.schedule.name}: {line}")
    found = []
    if mutants:
        plans = [
            msgspec.structs.replace(schedule.load(SHELF / f"{name}.toml"), mutant=mutant)
            for mutant, name in MUTANTS
        ]
        for (mutant, name), verdict in zip(MUTANTS, await asyncio.gather(*map(one, plans)), strict=True):
            caught = verdict.counts["two_holders"] + verdict.counts["stale_effects"] > 0
            print(f"{mutant:20} on processes, {name}: {'found' if caught else 'NOT FOUND'}")
            found += [mutant] if caught else []
    return {
        "trials": len(seeds),
        "acts": total["acts"],
        "holders": total["holders"],
        "two_holders": total["two_holders"],
        "stale_effects": total["stale_effects"],
        "not_linearizable": total["not_linearizable"],
        "stood_still": total["stood_still"],
        "by_process": found,
    }


def searched(most: int) -> tuple[int, list[str]]:
    """States looked at without a broken promise, and the mutants that the search finds."""
    found, states = [], 0
    for mutant, (gateways, budget, depth, begin) in explore.PLACES.items():
        count, path = explore.run(gateways, Guards(**{mutant: True}), budget, depth, 60_000, begin)
        print(f"{mutant:20} by the search: {'found' if path else 'NOT FOUND'} after {count} states")
        found += [mutant] if path else []
    for gateways, budget, depth, begin in explore.WHOLE:
        count, path = explore.run(gateways, Guards(), budget, depth, most, begin)
        states += count
        if path:
            print(f"BROKEN without a mutant: {path}")
            found = []
    return states, found


# ---- Virtual time


def in_virtual_time(seeds: int) -> dict[str, float]:
    """Two hundred gateways and ten tasks at rest and started at once; holders lost at twelve gateways."""
    rest = virtual.figures(virtual.Fleet(virtual.Plan(seconds=40.0), 1).run())
    start = virtual.figures(virtual.Fleet(virtual.Plan(seconds=40.0, all_at=10.0), 2).run())
    two, took = 0, []
    for seed in range(seeds):
        plan = virtual.Plan(gateways=12, tasks=4, length_ms=1000.0, every_ms=300.0, seconds=30.0, lost=0.01)
        fleet = virtual.Fleet(plan, seed).run()
        two += fleet.two_holders
        took += [one / plan.length_ms for one in fleet.takeovers]
    naive = sum(plain_lease(seed) for seed in range(seeds))
    print(
        f"virtual: {seeds} seeds, {len(took)} takeovers, {two} with two holders; "
        f"a plain lease by wall clocks: {naive} with two holders"
    )
    return {
        "two": two,
        "p99": round(virtual.percentile(took, 0.99), 3),
        "plain": naive,
        "rounds": rest["trips_s"],
        "worst": max(rest["trips_s_worst"], start["trips_s_worst"]),
    }


def plain_lease(seed: int) -> int:
    """The baseline: a store keeps the lease's end by its holder's wall clock, others compare it with theirs.

    Each of twelve renews when it has been 0.6 s; the holder is stopped now and then. How often a second one
    took it while the first, by its own clock, still held it.
    """
    dice, two, holder, end = random.Random(seed), 0, 0, 0.0
    apart = [dice.uniform(-150.0, 150.0) for _ in range(12)]
    stopped_until = 0.0
    for now in range(0, 30_000, 10):
        own = now + apart[holder]
        if now >= stopped_until:
            if dice.random() < 0.001:
                stopped_until = now + dice.uniform(500.0, 3000.0)
            elif own > end - 400.0:
                end = own + 1000.0
        other = dice.randrange(12)
        if other != holder and now + apart[other] >= end:
            two += own < end
            holder, end = other, now + apart[other] + 1000.0
    return two


# ---- Probes


async def probes(probing: bool, span_s: float) -> int:
    """Commands that a silent node gets of twenty gateways, from when it falls silent on."""
    silent, seen = False, 0

    def answer(words: list[bytes]) -> bytes | None:
        nonlocal seen
        seen += silent
        return None if silent else b"+PONG\r\n" if words[0] == b"PING" else array(words[2])

    first = await ScriptedNode(answer).start()
    boards = [await BoardNode(f"n{number}", work_s=0.002, cores=64).start() for number in range(1, NODES)]
    counters = [await Counter().start() for _ in range(3)]
    async with contextlib.AsyncExitStack() as stack:
        document = Document(
            stores=tuple(
                Place(f"s{number}", f"redis://127.0.0.1:{counter.port}")
                for number, counter in enumerate(counters)
            ),
            tasks=(Task("probe", "probe", every_ms=500.0),) if probing else (),
            lease_ms=2000.0,
        )
        registers = Registers(
            {place.name: Store(place.url, "fleet", 1.0) for place in document.stores},
            places.first(["s0", "s1", "s2"], 1, "a"),
            "operator",
            1,
        )
        await enrol.found(registers, registers.members)
        nodes = [
            Node("n0", "127.0.0.1", first.port),
            *(Node(board.name, "127.0.0.1", board.port) for board in boards),
        ]
        edges = []
        for index in range(GATEWAYS):
            edge = await stack.enter_async_context(Edge(fleet_settings(index), Room(64, 64), seed=index))
            edge.use(nodes)
            edges.append(edge)
            fleet = Fleet(edge, document).start()
            stack.push_async_callback(fleet.close)
        tasks = [asyncio.create_task(load(edge, number)) for number, edge in enumerate(edges)]
        await asyncio.sleep(2.0)
        silent = True
        await asyncio.sleep(span_s)
        counted = seen
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await registers.close()
    for each in (*counters, *boards):
        each.kill() if isinstance(each, Counter) else each.close()
    first.server.close()
    return counted


async def load(edge: Edge, number: int) -> None:
    """One gateway's clients, who see little of each node."""
    dice, customer, open_ = random.Random(number), 0, set[asyncio.Future[Any]]()
    while True:
        customer += 1
        call = Call("read", "p", f"{number * 1000 + customer % 50:016x}")
        open_.add(asyncio.ensure_future(edge.call(call)))
        open_ = {one for one in open_ if not one.done()}
        await asyncio.sleep(dice.expovariate(1.0 / CUSTOMER_S))


# ---- Idle


async def idle_percent(folder: Path, with_fleet: bool) -> float:
    """Processor time of a gateway that stands by for five tasks of another one, in percent."""
    counters = [await Counter().start() for _ in range(3)]
    listed = [
        {"name": f"s{number}", "url": f"redis://127.0.0.1:{counter.port}"}
        for number, counter in enumerate(counters)
    ]
    registers = Registers(
        {row["name"]: Store(row["url"], "fleet", 1.0) for row in listed},
        places.first(["s0", "s1", "s2"], 1, "a"),
        "operator",
        1,
    )
    await enrol.found(registers, registers.members)
    theirs = [name for name in (f"t{number}" for number in range(40)) if order(name, 2)[0] == 1][:5]
    tasks = [{"name": name, "kind": "probe", "every_ms": 60_000.0} for name in theirs]
    (folder / "fleet.json").write_text(json.dumps({"stores": listed, "tasks": tasks}))
    processes = []
    for index in (1, 0):
        path = folder / f"gateway-{index}.json"
        path.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "seed": 1,
                    "site": {"gateways": 2, "index": index},
                    "nodes": [{"name": "n1", "host": "127.0.0.1", "port": 9}],
                    "classes": [{"name": "read", "aim_ms": 1000.0, "deadline_ms": 2000.0, "effect": "safe"}],
                    "plans": [{"name": "p", "rate": 10.0, "burst": 10.0}],
                }
                | ({"fleet": "fleet.json"} if with_fleet else {})
            )
        )
        processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "brackenloft.lab.fleet.gateway",
                "serve",
                "--config",
                str(path),
                stderr=asyncio.subprocess.DEVNULL,
            )
        )
        await asyncio.sleep(2.0)  # the one whose tasks they are comes first
    try:
        before = ran_s(processes[-1].pid)
        await asyncio.sleep(IDLE_S)
        return (ran_s(processes[-1].pid) - before) / IDLE_S * 100.0
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        await registers.close()
        for counter in counters:
            counter.kill()


def ran_s(pid: int) -> float:
    """Time on a processor so far."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


@contextlib.contextmanager
def quiet() -> Iterator[None]:
    """What processes that are ended say goes nowhere."""
    with open(os.devnull, "w") as nowhere, contextlib.redirect_stderr(nowhere):
        yield


async def both_probes() -> tuple[int, int]:
    """Without the task, and with it."""
    return await probes(False, SPAN_S), await probes(True, SPAN_S)


async def both_idle() -> tuple[float, float]:
    """Without a fleet, and standing by in one."""
    with tempfile.TemporaryDirectory() as folder:
        return await idle_percent(Path(folder), False), await idle_percent(Path(folder), True)


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    seeds = [1] if options.smoke else list(range(1, 41 if options.long else 4))
    loop, many, most = asyncio.get_running_loop(), *((200, 100_000) if options.long else (30, 8_000))
    with ProcessPoolExecutor(2) as others:  # beside the trials, on processors of their own
        (states, found), whole, shown = await asyncio.gather(
            loop.run_in_executor(others, searched, 2_000 if options.smoke else most),
            loop.run_in_executor(others, in_virtual_time, 3 if options.smoke else many),
            trials(seeds, not options.smoke, 4500.0 if options.smoke else 8000.0),
        )
    result = {
        "two_holders": shown["two_holders"] + whole["two"],
        "stale_effects": shown["stale_effects"],
        "not_linearizable": shown["not_linearizable"],
        "stood_still": shown["stood_still"],
        "trials": shown["trials"],
        "takeover_s_p99_over_lease": whole["p99"],
        "plain_lease_two_holders": whole["plain"],
        "rounds_s_per_store_200": whole["rounds"],
        "rounds_worst_second_200": whole["worst"],
        "states_searched": states,
        "mutants_found": len(set(found) | set(shown["by_process"])),
        "mutants": len(set(explore.PLACES) | {name for name, _ in MUTANTS}),
    }
    if not options.smoke:
        with quiet():
            (without, told), (alone, standing) = await asyncio.gather(both_probes(), both_idle())
        print(
            f"a silent node was asked {without} times, {told} with one that asks for all; "
            f"a process that stands by takes {standing:.2f}% of a processor, {alone:.2f}% without"
        )
        result |= {
            "probes_ratio": round(told / max(1, without), 3),
            "idle_cpu_percent": round(standing - alone, 3),
        }
    return result


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--smoke", action="store_true")
    print(json.dumps(uvloop.run(measure(parser.parse_args()))))


if __name__ == "__main__":
    main()
