"""A registry of 10 to 10,000 instances, and one whose nodes flip under traffic: costs, and how late news is.

Costs: the registry is a process of its own; CPU is this process's, from the question until the decisions have
the answer, beside a whole list read at one go with the standard library (the baseline, which keeps nothing).
The longest hold of the loop is measured apart, by a task that turns all the time. Flips: states change at
random while clients ask; a request that a node begins later than 1 s after the decisions were told is late.

    python -m benchmarks.membership [--flips 3000] [--seed 1] [--only flips|costs]
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import gzip
import json
import random
import statistics
import subprocess
import sys
import time
import urllib.request
from typing import Any

import uvloop

from brackenloft import Contract, Effect, Limits, Plan, RequestClass, Settings
from brackenloft import interface as api
from brackenloft.answers import Served
from brackenloft.edge import Call, Edge, Room
from brackenloft.membership import config
from brackenloft.membership.eureka.client import Eureka
from brackenloft.membership.members import Members
from brackenloft.standins import BoardNode
from brackenloft.standins.eureka import Registry, RegistryServer

APP = "BOARD"
SIZES = (10, 1000, 10_000)
CHANGED, ROUNDS = 10, 4
INTERVAL_S = 0.1
GRACE_S = 1.0  # rule: no new work on a withdrawn node later than this after it was learned
NODES, STEADY, ASKERS = 16, 8, 24  # of the flips: those that flip and those that do not, clients
CACHE_S = 0.2  # how old the registry's lists may be: 30 s by the specification, scaled as the polls are
LONG_MS = 3_600_000.0
SETTINGS = Settings(
    gateways=1,
    index=0,
    zone="a",
    classes=(RequestClass("read", 2000.0, 4000.0, Effect.SAFE),),
    plans=(Plan("free"),),
    limits=Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=500.0),
    contract=Contract(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    load_fields=("utilisation", "queue"),
    meter_period_ms=1000.0,
    tick_ms=2.0,
)
READ = Call("read", "free", "00000000b4d65521")


def unix_ms() -> float:
    """The registry's clock."""
    return time.time() * 1000.0


def info(name: str, number: int, port: int) -> dict[str, Any]:
    """What an instance says of itself; as long as a usual one, with links and metadata."""
    return {
        "instanceId": name,
        "hostName": "localhost",
        "status": "UP",
        "vipAddress": "board",
        "ipAddr": f"127.1.{number // 256}.{number % 256}" if number else "127.0.0.1",
        "secureVipAddress": "board",
        "appGroupName": "UNKNOWN",
        "sid": "na",
        "port": {"$": port, "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "homePageUrl": f"http://localhost:{port}/",
        "statusPageUrl": f"http://localhost:{port}/info",
        "healthCheckUrl": f"http://localhost:{port}/health",
        "metadata": {
            "zone": "ab"[number % 2],
            "cell": str(number % 50),
            "machineType": "m3",
            "weight": "1",
            "management.port": str(port),
            "build": "2026.12.01",
        },
    }


def document(url: str, **more: Any) -> config.Document:
    """One registry as the only source."""
    return config.read(
        {
            "eureka": [
                {
                    "name": "registry",
                    "servers": [{"url": url}],
                    "apps": [APP],
                    "interval_s": INTERVAL_S,
                    **more,
                }
            ]
        }
    )


# ---- The registry in a process of its own


async def registry(size: int) -> None:
    """Lists ``size`` nodes; each line of standard input changes that many of them."""
    book = Registry(unix_ms, retention_ms=1.0)
    for number in range(1, size + 1):
        book.register(APP, info(f"node-{number:05d}", number, 7000 + number % 1000))
    for lease in book.leases.values():
        lease.up_since_ms -= LONG_MS
    server = await RegistryServer(book, cache_s=30.0).start()
    print(server.url, flush=True)
    draw, loop = random.Random(1), asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        await asyncio.sleep(0.005)  # the delta's window is shorter: each holds what has changed since
        for app, name in draw.sample(list(book.leases), min(int(line), size)):
            down = book.leases[app, name].override == "UNKNOWN"
            book.override(app, name, "OUT_OF_SERVICE" if down else None)
        book.retention_ms = 60_000.0
        server.cache["apps/delta"] = (loop.time(), book.delta())
        server.cache["apps"] = (loop.time(), book.whole())
        book.recent.clear()
        print("changed", flush=True)


class Away:
    """That process."""

    def __init__(self, size: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.membership", "--registry", str(size)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout and self.process.stdin
        self.out, self.into = self.process.stdout, self.process.stdin
        self.url = self.out.readline().strip()

    async def change(self, number: int) -> None:
        """Change so many nodes."""
        self.into.write(f"{number}\n")
        self.into.flush()
        await asyncio.to_thread(self.out.readline)

    def close(self) -> None:
        """End it."""
        self.into.close()
        self.process.wait(10)


# ---- Costs


class Followed:
    """An edge that follows a registry, asked by hand."""

    def __init__(self, edge: Edge, members: Members) -> None:
        self.edge, self.members = edge, members
        source = members.running[0]
        assert isinstance(source, Eureka)
        self.eureka = source
        source.task.cancel()  # asked by hand from here on

    async def ask(self, whole: bool) -> None:
        """One question, answered and taken by the decisions."""
        rounds = self.eureka.rounds
        rounds.at = 0.0
        if whole:
            rounds.whole_next()
        before = self.eureka.tally.whole, self.eureka.tally.deltas
        await self.eureka.once()
        counts = self.eureka.tally.whole - before[0], self.eureka.tally.deltas - before[1]
        assert counts == ((1, 0) if whole else (0, 1)), (counts, self.eureka.complained)
        await self.settled()

    async def settled(self) -> None:
        """Until the decisions know all of it."""
        merge = self.members.merge
        while self.members.pieces or merge.due(self.members.clock()) <= self.members.clock():
            await asyncio.sleep(0)


class Holds:
    """The longest time that the loop was held, seen by a task that turns all the time."""

    def __init__(self) -> None:
        self.longest, self.task = 0.0, asyncio.get_running_loop().create_task(self._turn())

    async def _turn(self) -> None:
        before = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest, before = max(self.longest, now - before), now

    def stop_ms(self) -> float:
        """The longest so far; it turns no more."""
        self.task.cancel()
        return self.longest * 1000.0


async def cost(followed: Followed, away: Away, whole: bool, changes: int) -> dict[str, float]:
    """Means of some questions: CPU and bytes; the longest hold, measured in rounds of their own."""
    cpu, size, holds = [], [], []
    for number in range(2 * ROUNDS):
        if changes:
            await away.change(changes)
        counted, before = number < ROUNDS, followed.eureka.tally.bytes
        watch = None if counted else Holds()
        began = time.process_time()
        await followed.ask(whole)
        if watch is None:
            cpu.append((time.process_time() - began) * 1000.0)
            size.append(followed.eureka.tally.bytes - before)
        else:
            holds.append(watch.stop_ms())
    return {
        "cpu_ms": statistics.median(cpu),
        "bytes": statistics.median(size),
        "hold_ms": statistics.median(holds),
        "hold_most_ms": max(holds),
    }


def baseline_ms(url: str) -> float:
    """The same list read at one go: unpacked, read, a dict of states kept. The loop is held all the time."""
    request = urllib.request.Request(
        url + "/apps", headers={"Accept": "application/json", "Accept-Encoding": "gzip"}
    )
    with urllib.request.urlopen(request) as answer:
        data = answer.read()
    began = time.process_time()
    read = json.loads(gzip.decompress(data))["applications"]
    states = {item["instanceId"]: item["status"] for app in read["application"] for item in app["instance"]}
    assert states
    return (time.process_time() - began) * 1000.0


def decisions_ms(edge: Edge, changes: int) -> float:
    """What a change of so many servers costs the decisions alone."""
    fleet = edge.driver.gateway.fleet
    entries = [
        api.ServerEntry(server.id, server.zone, started_ms=server.started)
        for server in list(fleet.servers.values())[:changes]
    ]
    began = time.process_time()
    for _ in range(ROUNDS):
        edge.driver.gateway.handle(edge.driver.clock(), api.ServerList(api.ListKind.CHANGES, tuple(entries)))
    return (time.process_time() - began) * 1000.0 / ROUNDS


async def costs(size: int) -> dict[str, Any]:
    """All of them at one size."""
    away = Away(size)
    try:
        async with Edge(SETTINGS, Room(64, 64), seed=1) as edge:
            watch = Holds()
            members = config.follow(document(away.url), edge)
            followed = Followed(edge, members)
            await followed.ask(whole=True)
            first_ms = watch.stop_ms()
            gc.freeze()  # as `serve` does: the list is there to stay
            whole = await cost(followed, away, True, 0)
            changed = await cost(followed, away, True, CHANGED)
            delta = await cost(followed, away, False, CHANGED)
            assert len(edge.driver.gateway.fleet.servers) == size
            result = {
                "whole": whole,
                "whole_ten_changed": changed,
                "delta": delta,
                "first_list_hold_ms": first_ms,
                "decisions_ms": decisions_ms(edge, CHANGED),
                "baseline_ms": await asyncio.to_thread(baseline_ms, away.url),
            }
            await members.close()
        return result
    finally:
        gc.unfreeze()
        away.close()


# ---- Flips


class Flips:
    """Nodes whose state in the registry changes at random while clients ask."""

    def __init__(
        self,
        edge: Edge,
        members: Members,
        book: Registry,
        boards: dict[str, BoardNode],
        seed: int,
    ) -> None:
        self.edge, self.members, self.book, self.boards = edge, members, book, boards
        self.draw = random.Random(seed)
        self.flipped: dict[str, tuple[float, bool]] = {name: (0.0, True) for name in boards}
        self.learned: dict[str, list[tuple[float, bool, float]]] = {name: [] for name in boards}
        self.answers: dict[str, int] = {}
        self.ended = False
        self.flips = 0
        self.take, edge.take = edge.take, self._take  # type: ignore[method-assign]

    def _take(self, news: api.ServerList, addresses: dict[int, Any]) -> None:
        """Note when the decisions learn of a node's state, and how long after it changed."""
        self.take(news, addresses)
        now = time.monotonic()
        for entry in news.entries:
            key = self.members.merge.keys.get(entry.server)
            if key:
                name = key[0].partition("/")[2]
                at, _ = self.flipped[name]
                self.learned[name].append((now, entry.state is api.ServerState.READY, now - at))

    def flip(self) -> None:
        """Change one node's state, by itself or by an operator."""
        name = self.draw.choice([name for name in self.boards if not name.startswith("steady")])
        lease = self.book.leases[APP, name]
        if lease.shown == "UP":
            if self.draw.random() < 0.5:
                self.book.override(APP, name, "OUT_OF_SERVICE")
            else:
                self.book.renew(APP, name, self.draw.choice(["DOWN", "STARTING", "UNKNOWN"]))
        else:
            self.book.override(APP, name, None)
            self.book.renew(APP, name, "UP")
        self.flipped[name] = (time.monotonic(), lease.shown == "UP")
        self.flips += 1

    async def ask(self) -> None:
        """A client that asks without end."""
        while not self.ended:
            word = type(await self.edge.call(READ)).__name__
            self.answers[word] = self.answers.get(word, 0) + 1
            await asyncio.sleep(0.004)

    def verdict(self) -> dict[str, Any]:
        """How late the last new request at each withdrawn node was, by when the decisions learned."""
        late, past_ms, learn_ms, withdrawals = 0, [0.0], [], 0
        for name, board in self.boards.items():
            begun = sorted(at for at, _ in board.begun)
            states = [*self.learned[name], (float("inf"), True, 0.0)]
            for (at, ready, after), (until, *_) in zip(states, states[1:], strict=False):
                if ready:
                    continue
                withdrawals += 1
                learn_ms.append(after * 1000.0)
                there = [when for when in begun if at < when < until]
                past_ms += [(when - at) * 1000.0 for when in there]
                late += sum(when > at + GRACE_S for when in there)
        return {
            "flips": self.flips,
            "withdrawals": withdrawals,
            "late_sends": late,
            "max_withdraw_ms": round(max(past_ms), 1),
            "learn_ms_median": round(statistics.median(learn_ms), 1),
            "learn_ms_most": round(max(learn_ms), 1),
            "answers": self.answers,
        }


async def flips(number: int, seed: int, pause_s: float = 0.006) -> dict[str, Any]:
    """So many flips, one each ``pause_s``, under traffic."""
    book = Registry(unix_ms)
    skin = await RegistryServer(book, cache_s=CACHE_S).start()
    names = [f"node-{n}" for n in range(NODES)] + [f"steady-{n}" for n in range(STEADY)]
    boards = {name: await BoardNode(name, work_s=0.002, seed=seed).start() for name in names}
    for name, board in boards.items():
        book.register(APP, info(name, 0, board.port))
        book.leases[APP, name].up_since_ms -= LONG_MS
    async with Edge(SETTINGS, Room(200, 64), seed=seed) as edge:
        members = config.follow(document(skin.url), edge)
        run = Flips(edge, members, book, boards, seed)
        await edge.wait_ready()
        askers = [asyncio.ensure_future(run.ask()) for _ in range(ASKERS)]
        for _ in range(number):
            run.flip()
            await asyncio.sleep(pause_s)
        run.ended = True
        await asyncio.gather(*askers)
        await members.close()
        result = run.verdict()
    await skin.close()
    for board in boards.values():
        board.close()
    return result


# ---- The program


async def main(options: argparse.Namespace) -> None:
    """Measure, print, and end with one line of JSON."""
    last: dict[str, Any] = {}
    if options.only != "flips":
        found = {}
        for size in SIZES:
            found[size] = await costs(size)
            for name, value in found[size].items():
                parts = value if isinstance(value, dict) else {"": value}
                print(f"{size:6d} {name:18s}", *(f"{key} {number:.3f}" for key, number in parts.items()))
        most = found[SIZES[-1]]
        last |= {
            "delta_over_full_cpu_10k": round(most["delta"]["cpu_ms"] / most["whole"]["cpu_ms"], 4),
            "apply_ms_10k": round(
                max(most[kind]["hold_most_ms"] for kind in ("whole", "whole_ten_changed", "delta")), 2
            ),
            "first_list_hold_ms_10k": round(most["first_list_hold_ms"], 2),
            "full_over_baseline_cpu_10k": round(most["whole"]["cpu_ms"] / most["baseline_ms"], 2),
            "delta_bytes_over_full_10k": round(most["delta"]["bytes"] / most["whole"]["bytes"], 5),
        }
    if options.only != "costs":
        print(f"flips with seed {options.seed}; lists up to {CACHE_S} s old, asked for each {INTERVAL_S} s")
        verdict = await flips(options.flips, options.seed)
        print(verdict)
        assert set(verdict["answers"]) == {Served.__name__}, verdict["answers"]
        last |= {
            "late_sends": verdict["late_sends"],
            "max_withdraw_ms": verdict["max_withdraw_ms"],
            "flips": verdict["flips"],
            "withdrawals": verdict["withdrawals"],
        }
    print(json.dumps(last))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--registry", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--flips", type=int, default=3000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=("flips", "costs"))
    words = parser.parse_args()
    uvloop.run(registry(words.registry) if words.registry else main(words))
