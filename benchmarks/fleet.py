"""A large fleet: forty gateways over sixty nodes, two hundred over a hundred and twenty, one that is idle.

python -m benchmarks.fleet            one seed of each experiment; the last line is JSON
python -m benchmarks.fleet --long     five seeds

As they stood: the even part alone under late readings, six out at a node at first, a pool that no slow
attempt cuts, no free attempt after a failed connect, cold nodes at 0.825 of their even share times warmth.
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
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from math import sqrt
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import uvloop

from benchmarks import ops
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
    self: Gateway, flight: attempts.Flight, status: Status, attempt: tuple[servers.Server, float],
) -> None:
    if status is Status.CONNECT_FAILED:
        self.retries -= 1.0  # takes back what is given there
    _again(self, flight, status, attempt)


@contextlib.contextmanager
def as_it_stood() -> Iterator[None]:
    """The rules before the large fleet, within this block."""
    with contextlib.ExitStack() as stack:
        for place, name, value in (
            (meter, "FEW", 0.0), (servers, "FIRST_LIMIT", 6.0), (servers, "COLD_PULL", 1.0),
            (servers.Fleet, "cut", lambda self: None), (servers.Fleet, "_share_out", _old_shares),
            (servers.Fleet, "_cold_turn", _old_turn), (Gateway, "_again", _old_again),
        ):
            stack.enter_context(mock.patch.object(place, name, value))
        yield


def play(name: str, seed: int) -> dict[str, float]:
    """One run: its figures, failed answers, and the most that a cold node was sent of its tipping budget."""
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
        world = World(spec.load(Path(name))[0], Counted, seed).run()
    figures = world.oracle.figures()
    return {key: figures[key] for key in MEANS} | {
        "rules": float(sum(world.oracle.rules.values())), "cold": worst[0], "errors": float(count["error"]),
        "attempts": float(sum(count.values())),
        "connects": float(max(world.connects.values())), "lists": float(max(world.list_reads.values())),
    }


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
        experiment.gateways, count=gateways, width=min(experiment.gateways.width, gateways))
    faults = [
        *experiment.faults, spec.Fault(kind="late_lists", at_ms=2000, for_ms=8000, size=3000),
        spec.Fault(kind="gateway_crash", at_ms=9000, on=tuple(range(gateways * 7 // 10)))]
    with mock.patch.object(nodes.Node, "_count", counted):
        World(msgspec.structs.replace(experiment, gateways=fleet, faults=faults), Gateway, seed).run()
    return len(fallen), most[0]


def many_cold(seeds: int) -> None:
    """Cold nodes over many seeds, on all cores; a line of figures each."""
    with ProcessPoolExecutor() as pool:
        for gateways in COLD_FLEETS:
            played = list(pool.map(cold_falls, [gateways] * seeds, range(1, seeds + 1)))
            print(f"{gateways} gateways, {seeds} seeds: {sum(falls for falls, _ in played)} cold nodes fell, "
                  f"the most that one was sent is {max(most for _, most in played):.3f} of its allowance")


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
        now = await idle_ms(ops.ROOT)
        ratio = None if old is None else round(now / await idle_ms(old), 3)
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


def watched() -> dict[str, float]:
    """Who is sent on for nobody, beside a program that is blind to who is not read; how late lists may be."""
    logging.disable(logging.CRITICAL)  # each call that fails is a line
    try:
        late = max(watches.told_s(chain) for length in (1, 2) for chain in watches.chains(length))
    finally:
        logging.disable(logging.NOTSET)
    return {
        "sent_for_gone_late": uvloop.run(sent_for_gone(True)),
        "sent_for_gone_late_unwatched": uvloop.run(sent_for_gone(False)), "told_s_max": round(late, 2)}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--cold", type=int, metavar="SEEDS", help="cold nodes alone, over so many seeds")
    options = parser.parse_args()
    if options.cold:
        many_cold(options.cold)
        return
    seeds = range(1, 6 if options.long else 2)
    rows: dict[bool, list[dict[str, float]]] = {True: [], False: []}
    print(f"{'':12}{'':9}" + "".join(f"{key:>19}" for key in SHOWN))
    for name in EVENTS:
        for ours in (False, True):
            with contextlib.nullcontext() if ours else as_it_stood():
                played = [play(name, seed) for seed in seeds]
            rows[ours] += played
            mean = {key: sum(row[key] for row in played) / len(played) for key in played[0]}
            print(f"{name:12}{'ours' if ours else 'as stood':9}"
                  + "".join(f"{mean[key]:19.3f}" for key in SHOWN))

    mass = [(name, play(name, 1)) for name in MASS]
    for name, row in mass:
        print(f"{name:12}{'ours':9}" + "".join(f"{row[key]:19.3f}" for key in SHOWN))
    with as_it_stood():
        stood = play("mass_herd", 1)

    def ratio(key: str) -> float:
        return round(sum(row[key] for row in rows[True]) / max(1e-9, sum(row[key] for row in rows[False])), 3)

    print(json.dumps({
        "served_ratio": ratio("served_share"), "net_ratio": ratio("net"),
        "cold_overload_max": round(max(row["cold"] for row in rows[True]), 3),
        "bad_server_attempts_ratio": round(ratio("errors") / ratio("attempts"), 3),
        "rules_broken": int(sum(row["rules"] for row in rows[True] + [row for _, row in mass])),
        "peak_connects_ratio": ratio("connects"), "peak_list_reads_ratio": ratio("lists"),
        "peak_connects_ratio_200": round(dict(mass)["mass_herd"]["connects"] / stood["connects"], 3),
        "peak_list_reads_ratio_200": round(dict(mass)["mass_herd"]["lists"] / stood["lists"], 3),
        "beyond_quota_200": round(sum(row["beyond_quota"] for _, row in mass) / len(mass), 3),
        **{f"cold_falls_{count}": sum(cold_falls(count, seed)[0] for seed in seeds) for count in COLD_FLEETS},
    } | watched() | uvloop.run(processes())))


if __name__ == "__main__":
    main()
