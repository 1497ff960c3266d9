"""Overshoot and undershoot by what happens to a shared counter, beside plain ways; and what counting costs.

In virtual time: four gateways, customers far over their quota (spread over all, shifting each 5 s, at one)
and within it (at one, spread, moving), one fault of 20 s each in a minute, five seeds. On loopback: a gateway
that grants admissions as fast as it can, with a counter in another process and without, in turns. The last
line is JSON; overshoot is what a customer was let in beyond quota and burst, in percent of a minute's quota.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable

import uvloop

from brackenloft import Effect, ListKind, Plan, RequestClass, ServerEntry, ServerList, Settings
from brackenloft.edge import Call, Edge, Room
from brackenloft.quota.client import Where, follow
from brackenloft.quota.simulate import Fault, Rig, Tried, Trouble, Way, played
from brackenloft.standins.counter import Counter, Mood, rooms

SEEDS = range(1, 6)
WARM_MS = 5000.0  # gateways that have just started know nothing: not counted as lost
STAY = ("one", "spread", "low")  # within the quota, and at the same gateways throughout
FAR = ("far over, spread", "far over, shifting", "far over, at one")
AT, FOR = 20_000.0, 20_000.0
EVENTS: dict[str, tuple[Trouble, ...]] = {
    "none": (),
    **{fault.value: (Trouble(fault, AT, FOR),) for fault in Fault},
    "blank twice": (Trouble(Fault.BLANK, AT, 0.0), Trouble(Fault.BLANK, AT + 15_000.0, 0.0)),
    "split, restart": (Trouble(Fault.SPLIT, AT, FOR), Trouble(Fault.RESTART, AT + 8000.0, 0.0)),
}
CUSTOMERS, CLIENTS = 200, 32
ROUND_S, ROUNDS = 1.5, 6
MINUTE_S = 60.0


def percent(rig: Rig) -> tuple[float, float, float]:
    """Overshoot, and the lost of who stays and of who moves."""
    return (
        100.0 * max(rig.overshoot(name) for name in FAR),
        100.0 * max(rig.lost(name) for name in STAY),
        100.0 * rig.lost("moving"),
    )


def one(what: tuple[str, Way, int]) -> tuple[str, Way, tuple[float, float, float]]:
    """One play."""
    event, way, seed = what
    return event, way, percent(played(way, EVENTS[event], seed, counted_ms=WARM_MS))


def table() -> dict[tuple[str, Way], tuple[float, float, float]]:
    """The worst of the seeds for each event and way."""
    plays = [(event, way, seed) for event in EVENTS for way in Way for seed in SEEDS]
    worst: dict[tuple[str, Way], tuple[float, float, float]] = {}
    with multiprocessing.get_context("spawn").Pool() as pool:
        for event, way, found in pool.imap_unordered(one, plays, chunksize=8):
            before = worst.get((event, way), (0.0, 0.0, 0.0))
            worst[event, way] = (max(before[0], found[0]), max(before[1], found[1]), max(before[2], found[2]))
    return worst


async def load(port: int | None, seconds: float) -> tuple[float, int, int]:
    """CPU seconds of this process, requests and round trips of one gateway under load."""
    kind = RequestClass("read", 500.0, 1000.0, Effect.SAFE)
    plan = Plan("plan", rate=1_000_000.0, burst=1_000_000.0)
    settings = Settings(2, 0, "a", (kind,), (plan,))
    done = 0
    async with Edge(settings, Room(in_hand=1000), seed=1) as edge:
        edge.told(ServerList(ListKind.FULL, (ServerEntry(1, "a"),)), {1: ("127.0.0.1", 1)})
        counting = follow(edge, Where(f"redis://127.0.0.1:{port}/0")) if port else None
        end, began = time.monotonic() + seconds, time.process_time()

        async def client(number: int) -> None:
            nonlocal done
            while time.monotonic() < end:
                customer = f"{(number * 7919 + done) % CUSTOMERS:016x}"
                async with edge.admit(Call("read", "plan", customer, width=2)) as admission:
                    assert admission.granted
                    await asyncio.sleep(0)
                done += 1

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        used = time.process_time() - began
        trips = counting.trips if counting else 0
        if counting:
            await counting.close()
    return used, done, trips


async def serve() -> None:
    """The counter, in a process of its own; its port on the first line."""
    counter = await Counter().start()
    print(counter.port, flush=True)
    await asyncio.to_thread(sys.stdin.read)


def costs() -> tuple[float, float]:
    """CPU per request with the counter over without, and round trips per request."""
    child = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.counter", "--serve"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdout and child.stdin
    port = int(child.stdout.readline())
    ratios, requests, trips = [], 0, 0
    for turn in range(ROUNDS):
        each: dict[bool, float] = {}
        for with_it in (True, False) if turn % 2 else (False, True):
            used, done, made = uvloop.run(load(port if with_it else None, ROUND_S))
            each[with_it] = used / done
            requests, trips = requests + done * with_it, trips + made
        ratios.append(each[True] / each[False])
    child.stdin.close()
    child.wait()
    return statistics.median(ratios), trips / requests


async def minute(event: str) -> dict[str, float]:
    """A minute on sockets: three gateways, two rooms of a counter, 20 s of one fault; percent by customer.

    Each try is granted or refused at once; what the quota, seen as one, had room for is reckoned by the clock
    of this process, as in virtual time.
    """
    counters = [await one.start() for one in rooms()]
    kind, plan = RequestClass("read", 500.0, 1000.0, Effect.SAFE), Plan("plan", rate=10.0, burst=10.0)
    edges = [Edge(Settings(3, n, "a", (kind,), (plan,)), Room(), seed=n + 1).open() for n in range(3)]
    counting = []
    for edge, counter in zip(edges, (counters[0], counters[0], counters[1]), strict=True):
        edge.told(ServerList(ListKind.FULL, (ServerEntry(1, "a"),)), {1: ("127.0.0.1", 1)})
        counting.append(follow(edge, Where(f"redis://127.0.0.1:{counter.port}/0")))
    began, tried = time.monotonic(), {name: Tried() for name in ("far", "shifting", "one", "spread")}

    async def client(name: str, rate: float, place: Callable[[float], int]) -> None:
        draw, key = random.Random(name), f"{1 + list(tried).index(name):016x}"
        while (now := time.monotonic() - began) < MINUTE_S:
            edge = edges[place(now)]
            call = Call("read", "plan", key, width=3, patience_ms=100.0)
            async with edge.admit(call) as admission:
                tried[name].takes(plan, now * 1000.0, admission.granted, now * 1000.0 >= WARM_MS)
            await asyncio.sleep(draw.expovariate(rate))

    asking = [
        client("far", 40.0, lambda now: random.randrange(3)),
        client("shifting", 40.0, lambda now: int(now / 5.0) % 3),
        client("one", 6.0, lambda now: 0),
        client("spread", 6.0, lambda now: random.randrange(3)),
    ]
    await asyncio.gather(*asking, befalls(event, counters))
    for each in counting:
        await each.close()
    for edge in edges:
        await edge.close(0.0)
    for counter in counters:
        counter.kill()
    whole = plan.rate * MINUTE_S
    return {
        name: 100.0 * (one.most / whole if name in ("far", "shifting") else one.lost / max(1, one.inside))
        for name, one in tried.items()
    }


async def befalls(event: str, counters: list[Counter]) -> None:
    """What happens to the counter."""
    await asyncio.sleep(AT / 1000.0)
    for counter in counters:
        if event == "killed":
            counter.kill()
        elif event == "hangs":
            counter.store.mood = Mood.SILENT
        elif event == "split":
            counter.store.cut = True
        elif event == "swapped":
            counter.store.wipe()
    await asyncio.sleep(FOR / 1000.0)
    for counter in counters:
        if event == "killed":
            await counter.start()
        elif event == "split":
            counter.store.mend()
        elif event == "swapped":
            counter.store.wipe()
        counter.store.mood = Mood.WELL


def sockets() -> None:
    """A minute of each event, beside each other; the last line is JSON."""
    events = ("none", "killed", "hangs", "split", "swapped")
    words = [sys.executable, "-m", "benchmarks.counter", "--minute"]
    children = {
        event: subprocess.Popen([*words, event], stdout=subprocess.PIPE, text=True) for event in events
    }
    found = {event: json.loads(child.communicate()[0].splitlines()[-1]) for event, child in children.items()}
    for event, each in found.items():
        print(f"{event:8} " + "  ".join(f"{name} {value:5.1f}" for name, value in each.items()))
    print(
        json.dumps(
            {
                "overshoot_percent_max": round(max(max(e["far"], e["shifting"]) for e in found.values()), 1),
                "within_quota_lost_percent_max": round(
                    max(max(e["one"], e["spread"]) for e in found.values()), 1
                ),
            }
        )
    )


def main() -> None:
    """Both parts; ``--sockets``: a minute of real gateways through each event."""
    if "--serve" in sys.argv:
        uvloop.run(serve())
        return
    if "--minute" in sys.argv:
        print(json.dumps(uvloop.run(minute(sys.argv[-1]))))
        return
    if "--sockets" in sys.argv:
        sockets()
        return
    worst = table()
    print(f"{'':16} overshoot, lost by who stays, by who moves: percent, the worst of {len(SEEDS)} seeds")
    print(f"{'':16} " + "  ".join(f"{way.value[:21]:>21}" for way in Way))
    for event in EVENTS:
        cells = (worst[event, way] for way in Way)
        print(f"{event:16} " + "  ".join(f"{a:6.1f} {b:6.1f} {c:6.1f} " for a, b, c in cells))
    cpu, trips = costs()
    ours = [worst[event, Way.OURS] for event in EVENTS]
    print(
        json.dumps(
            {
                "overshoot_percent_max": round(max(cell[0] for cell in ours), 1),
                "within_quota_lost_percent_max": round(max(cell[1] for cell in ours), 1),
                "moving_lost_percent_max": round(max(cell[2] for cell in ours), 1),
                "plain_overshoot_percent": round(max(worst[event, Way.OPEN][0] for event in EVENTS), 1),
                "plain_lost_percent": round(max(worst[event, Way.CLOSED][1] for event in EVENTS), 1),
                "floor_lost_percent": round(max(worst[event, Way.FLOOR][1] for event in EVENTS), 1),
                "round_trips_per_request": round(trips, 5),
                "added_cpu_ratio": round(cpu, 3),
            }
        )
    )


if __name__ == "__main__":
    main()
