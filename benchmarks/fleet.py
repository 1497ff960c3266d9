"""A large fleet: forty gateways over sixty nodes, two hundred over a hundred and twenty, one that is idle.

python -m benchmarks.fleet            one seed of each experiment; the last line is JSON
python -m benchmarks.fleet --long     five seeds

As they stood: the even part alone under late readings, six out at a node at first, a pool that no slow
attempt cuts, no free attempt after a failed connect, cold nodes at 0.825 of their even share times warmth.
Classes, tenants and the tries at restarted gateways are those of ``benchmarks.fleet_days``, which
defines ``restart_lost``, ``restart_unsent_share``, ``class_margin_min`` and ``tenant_margin_min``. Runs in
virtual time are spread over ``WORKERS`` processes; what is measured on real processes comes after them.
The doubt after a single slow attempt is not taken back here. Connects and reads of whole lists are counted
over the fleet, in the worst second. A real process without traffic stands beside the program before (the
commit of ``benchmarks.ops``), and one that meets new customers all along says how it grows.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import logging
import tempfile
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, replace
from math import sqrt
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import uvloop

from benchmarks import fleet_days, ops
from brackenloft import Gateway, Outcome, Status
from brackenloft import interface as api
from brackenloft.edge import Edge
from brackenloft.lab import nodes, spec, watches
from brackenloft.lab.world import World
from brackenloft.net.departures import Departures
from brackenloft.policy import attempts, meter, servers
from brackenloft.standins import Peer, ScriptedNode, array, demo

EVENTS = ("fleet_herd", "fleet_zone", "fleet_join")
MASS = ("mass_calm", "mass_roll", "mass_herd", "mass_zone", "mass_split", "mass_join")
IDLE_S, KEPT = 2.5, 6  # a span without traffic, and connections that rest meanwhile
SOAK_S, STRANGERS = 3.0, 1 << 40  # half of a soak, and the first of its customers
LEAVERS, LEFT_S = 20, 0.2  # clients that leave while their requests wait, and a span in which that is noticed
COLD_FLEETS = (20, 30)  # gateways that find out for themselves how much a cold node bears
OLD_COLD = 0.33  # of the tipping budget that a full fleet's even share could use
SHOWN = ("service", "net", "served_share", "refused_with_room", "beyond_quota", "cold", "errors")
MEANS = SHOWN[:5]
WORKERS = 4  # runs in virtual time beside each other

_again = Gateway._again


def _old_shares(self: servers.Fleet) -> None:
    self.cold = [server for server in self.ready if self.warmth(server) < 1.0]
    most = min(1.0, OLD_COLD * self.settings.contract.tip_multiple)
    for server in self.ready:
        server.share = 1.0
    for server in self.cold:
        server.share = most * self.warmth(server) / len(self.ready)
    self.shared_at = self.now


def _old_turn(self: servers.Fleet, flight: attempts.Flight, server: servers.Server) -> bool:
    spread = server.id * 0.6180339887498949  # each server's turns begin elsewhere
    return server.share >= 1.0 or (flight.turn + spread) % 1.0 < server.share


def _old_again(
    self: Gateway,
    flight: attempts.Flight,
    status: Status,
    attempt: tuple[servers.Server, float],
) -> None:
    if status is Status.CONNECT_FAILED:
        self.retries -= 1.0  # takes back what is given there
    _again(self, flight, status, attempt)


@contextlib.contextmanager
def as_it_stood() -> Iterator[None]:
    """The rules before the large fleet, within this block."""
    with contextlib.ExitStack() as stack:
        for place, name, value in (
            (meter, "FEW", 0.0),
            (servers, "FIRST_LIMIT", 6.0),
            (servers, "COLD_PULL", 1.0),
            (servers.Fleet, "cut", lambda self: None),
            (servers.Fleet, "_share_out", _old_shares),
            (servers.Fleet, "_cold_turn", _old_turn),
            (Gateway, "_again", _old_again),
        ):
            stack.enter_context(mock.patch.object(place, name, value))
        yield


@dataclass(frozen=True, slots=True)
class Played:
    """One run: its figures, and what it was by class, tenant and restart."""

    row: dict[str, float]
    day: fleet_days.Day


def play(name: str, seed: int, ours: bool = True) -> Played:
    """One run, by the rules of today or as they stood."""
    with contextlib.nullcontext() if ours else as_it_stood():
        return _play(name, seed)


def _play(name: str, seed: int) -> Played:
    """Its figures, failed answers, and the most that a cold node was sent of its tipping budget."""
    count: Counter[str] = Counter()
    worst = [0.0]

    class Counted(Gateway):
        def handle(self, now_ms: float, event: Any) -> list[Any]:
            if isinstance(event, Outcome):
                count[event.status.value] += 1
            return super().handle(now_ms, event)

    def counted(self: nodes.Node, work_ms: float) -> None:
        counting(self, work_ms)
        if self.warmth(self.now()) < 1.0:
            could = self.warmth(self.now()) * self.spec.places * self.speed * self.spec.tip_window_ms
            worst[0] = max(worst[0], self.recent_work / (self.spec.tip_multiple * could))

    counting = nodes.Node._count
    with mock.patch.object(nodes.Node, "_count", counted):
        world = fleet_days.DayWorld(spec.load(Path(name))[0], Counted, seed)
        world.run()
    figures = world.oracle.figures()
    row = {key: figures[key] for key in MEANS} | {
        "rules": float(sum(world.oracle.rules.values())),
        "cold": worst[0],
        "errors": float(count["error"]),
        "attempts": float(sum(count.values())),
        "connects": float(max(world.connects.values())),
        "lists": float(max(world.list_reads.values())),
    }
    return Played(row, world.day)


def cold_falls(gateways: int, seed: int) -> tuple[int, float]:
    """Cold nodes that fall under the sum of what so many gateways send, and the most that one was sent of its
    allowance: N requests of mean work in the window, and 2 x root of N + 2 for chance. Six in ten nodes are
    replaced while lists come late, and seven in ten gateways begin anew.
    """
    experiment = spec.load(Path("fleet_join"))[0]
    kinds = experiment.classes
    mean_ms = sum(kind.share * kind.work_ms for kind in kinds) / sum(kind.share for kind in kinds)
    fallen: set[tuple[int, int]] = set()
    most = [0.0]

    def counted(self: nodes.Node, work_ms: float) -> None:
        counting(self, work_ms)
        warmth = self.warmth(self.now())
        if warmth < 1.0:
            could_ms = warmth * self.spec.places * self.speed * self.spec.tip_window_ms
            budget = self.spec.tip_multiple * could_ms / mean_ms
            share = self.recent_work / mean_ms / (budget + 2.0 * sqrt(budget) + 2.0)
            most[0] = max(most[0], share)
            if share > 1.0:
                fallen.add((self.number, self.epoch))

    counting = nodes.Node._count
    fleet = msgspec.structs.replace(
        experiment.gateways, count=gateways, width=min(experiment.gateways.width, gateways)
    )
    faults = [
        *experiment.faults,
        spec.Fault(kind="late_lists", at_ms=2000, for_ms=8000, size=3000),
        spec.Fault(kind="gateway_crash", at_ms=9000, on=tuple(range(gateways * 7 // 10))),
    ]
    with mock.patch.object(nodes.Node, "_count", counted):
        World(msgspec.structs.replace(experiment, gateways=fleet, faults=faults), Gateway, seed).run()
    return len(fallen), most[0]


def many_cold(seeds: int) -> None:
    """Cold nodes over many seeds, on all cores; a line of figures each."""
    with ProcessPoolExecutor() as pool:
        for gateways in COLD_FLEETS:
            played = list(pool.map(cold_falls, [gateways] * seeds, range(1, seeds + 1)))
            print(
                f"{gateways} gateways, {seeds} seeds: {sum(falls for falls, _ in played)} cold nodes fell, "
                f"the most that one was sent is {max(most for _, most in played):.3f} of its allowance"
            )


async def idle_ms(root: Path) -> float:
    """Processor milliseconds a second of a process on whose connections nothing happens."""
    platform = await ops.world(lambda words: array(words[2]), root)
    platform.held.close()
    try:
        process = await ops.by_itself(platform, root)
        kept = [await platform.connect() for _ in range(KEPT)]
        for number, peer in enumerate(kept):
            await peer.ask(ops.command(number))
        await asyncio.sleep(1.0)
        before = process.ran_s()
        await asyncio.sleep(IDLE_S)
        return (process.ran_s() - before) / IDLE_S * 1000.0
    finally:
        await platform.close()


async def growth_mb() -> dict[str, float]:
    """How a process grows in the second half of a time in which all customers are new."""
    platform = await ops.world(lambda words: array(words[2]))
    try:
        process = await platform.start()
        load = ops.Load(platform, STRANGERS, clients=16, strangers=True)
        await asyncio.sleep(SOAK_S)
        half = process.memory_mb()
        await asyncio.sleep(SOAK_S)
        whole = process.memory_mb()
        await load.stop()
    finally:
        await platform.close()
    return {"soak_growth_mb": round(whole - half, 1), "soak_customers": len(load.answers)}


async def processes() -> dict[str, float | None]:
    """What real processes cost: idle, beside the program before, and growing."""
    with tempfile.TemporaryDirectory() as directory:
        old = ops.before(Path(directory))
        idle = [idle_ms(root) for root in (ops.ROOT, old) if root]
        now, *before = await asyncio.gather(*idle)  # beside each other: both only wait
        ratio = round(now / before[0], 3) if before else None
    return {"idle_cpu_ratio": ratio, "idle_cpu_ms_a_s": round(now, 3)} | await growth_mb()


async def sent_for_gone(watching: bool) -> int:
    """Requests that are sent on for clients that left while these waited and nobody read them."""

    def silent(words: list[bytes]) -> bytes | None:
        return None if len(node.commands) == 1 else array(words[2])

    kind = api.RequestClass("buy", 60_000.0, 60_000.0, api.Effect.UNSAFE)
    settings = replace(demo.SETTINGS, classes=(kind,), plans=(api.Plan("one", max_in_flight=1),))
    node = await ScriptedNode(silent).start()
    with contextlib.nullcontext() if watching else mock.patch.object(Departures, "watch", lambda *_: None):
        async with Edge(settings, seed=1) as edge:
            edge.told(api.ServerList(api.ListKind.FULL, (node.entry(1)[0],)), {1: node.entry(1)[1]})
            _, port = edge.listen("127.0.0.1", 0)
            first, *others = [await Peer().open(port) for _ in range(LEAVERS + 1)]
            first.send(ops.command(1, "one"))
            await node.until(lambda: len(node.commands) == 1)
            for number, peer in enumerate(others, 2):
                peer.send(ops.command(number, "one"))
                while len(edge.driver.calls) < number:
                    await asyncio.sleep(0)
            for peer in others:
                peer.writer.close()
            await asyncio.sleep(LEFT_S)
            node.writers[0].write(array(b"v"))
            await first.reply()
            await asyncio.sleep(LEFT_S)
            return len(node.commands) - 1


def told_s_max() -> float:
    """How late a change of the list may be told, behind any two calls that fail."""
    logging.disable(logging.CRITICAL)  # each call that fails is a line
    try:
        return max(watches.told_s(chain) for length in (1, 2) for chain in watches.chains(length))
    finally:
        logging.disable(logging.NOTSET)


def watched() -> dict[str, float]:
    """Who is sent on for nobody, beside a program that is blind to who is not read."""
    return {
        "sent_for_gone_late": uvloop.run(sent_for_gone(True)),
        "sent_for_gone_late_unwatched": uvloop.run(sent_for_gone(False)),
    }


class Runs:
    """All runs in virtual time, beside each other."""

    def __init__(self, seeds: range) -> None:
        self.seeds = seeds
        with ProcessPoolExecutor(WORKERS) as pool:
            mass = {name: pool.submit(play, name, 1) for name in MASS}  # the longest first
            late_seeing = {name: pool.submit(fleet_days.late_seeing_day, name, 1) for name in MASS}
            mass_stood = pool.submit(play, "mass_herd", 1, False)
            events = {
                (name, ours): [pool.submit(play, name, seed, ours) for seed in seeds]
                for name in EVENTS
                for ours in (False, True)
            }
            falls = {count: [pool.submit(cold_falls, count, seed) for seed in seeds] for count in COLD_FLEETS}
            told = pool.submit(told_s_max)
        self.mass = {name: each.result() for name, each in mass.items()}
        self.late_seeing = {name: each.result() for name, each in late_seeing.items()}
        self.mass_stood = mass_stood.result().row
        self.events = {key: _rows(played) for key, played in events.items()}
        self.cold_falls = {count: sum(each.result()[0] for each in fell) for count, fell in falls.items()}
        self.told_s_max = told.result()

    def rows(self, ours: bool) -> list[dict[str, float]]:
        """Of all events."""
        return [row for name in EVENTS for row in self.events[name, ours]]

    def days(self) -> list[tuple[fleet_days.Day, fleet_days.Day]]:
        """Ours, and the same day under the policy that sees late."""
        return [(played.day, self.late_seeing[name]) for name, played in self.mass.items()]


def _rows(played: list[Future[Played]]) -> list[dict[str, float]]:
    return [each.result().row for each in played]


def show(runs: Runs) -> None:
    """A line of figures for each event and day."""
    print(f"{'':12}{'':9}" + "".join(f"{key:>19}" for key in SHOWN))
    for (name, ours), rows in runs.events.items():
        mean = {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}
        print(f"{name:12}{'ours' if ours else 'as stood':9}" + "".join(f"{mean[key]:19.3f}" for key in SHOWN))
    for name, played in runs.mass.items():
        print(f"{name:12}{'ours':9}" + "".join(f"{played.row[key]:19.3f}" for key in SHOWN))


def virtual(runs: Runs) -> dict[str, Any]:
    """The last line's figures of virtual time."""
    ours, stood, mass = runs.rows(True), runs.rows(False), [played.row for played in runs.mass.values()]
    herd = runs.mass["mass_herd"].row

    def ratio(key: str) -> float:
        return round(sum(row[key] for row in ours) / max(1e-9, sum(row[key] for row in stood)), 3)

    return {
        "served_ratio": ratio("served_share"),
        "net_ratio": ratio("net"),
        "cold_overload_max": round(max(row["cold"] for row in ours), 3),
        "bad_server_attempts_ratio": round(ratio("errors") / ratio("attempts"), 3),
        "rules_broken": int(sum(row["rules"] for row in ours + mass)),
        "peak_connects_ratio": ratio("connects"),
        "peak_list_reads_ratio": ratio("lists"),
        "peak_connects_ratio_200": round(herd["connects"] / runs.mass_stood["connects"], 3),
        "peak_list_reads_ratio_200": round(herd["lists"] / runs.mass_stood["lists"], 3),
        "beyond_quota_200": round(sum(row["beyond_quota"] for row in mass) / len(mass), 3),
        **fleet_days.figures(runs.days()),
        **{f"cold_falls_{count}": fell for count, fell in runs.cold_falls.items()},
        "told_s_max": round(runs.told_s_max, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--cold", type=int, metavar="SEEDS", help="cold nodes alone, over so many seeds")
    options = parser.parse_args()
    if options.cold:
        many_cold(options.cold)
        return
    runs = Runs(range(1, 6 if options.long else 2))
    show(runs)
    print(json.dumps(virtual(runs) | watched() | uvloop.run(processes())))


if __name__ == "__main__":
    main()
