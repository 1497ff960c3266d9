"""A process with 32 MB: 102,000 commands in hand or on their way, and a million customers that come once.

Commands come on 600 connections at once, 170 on each, before a node that answers nothing: parked, held in
the band or refused. Customers come at 5,000 a second of virtual time to the decisions alone, a part of them
through whole requests, beside the same without a bound. ``--root`` measures another version for the first
part, as the baseline. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import ops
from brackenloft import (
    Effect,
    Limits,
    Outcome,
    Plan,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    Settings,
    Status,
)
from brackenloft.interface import ListKind
from brackenloft.policy import Gateway
from brackenloft.standins import Peer, ScriptedDiscovery, chunk, listing, resp, row

LIMIT_MB = 32
CONNECTIONS, COMMANDS = 600, 170
ANSWERED_S = 6.0  # what has been answered by then counts: the rest waits for a node that says nothing
RATE = 5000.0  # customers a second
CUSTOMERS, WHOLE, UNBOUNDED = 1_000_000, 60_000, 200_000
ROWS = 4194  # what a process with 32 MB has room for (``__main__``)
CLASS = RequestClass("read", 500.0, 1000.0, Effect.SAFE)
SLOW = Plan("slow", rate=0.001, burst=2.0)  # drains in a quarter of an hour


def anonymous_mb(process: int | str) -> float:
    """What a process has for itself now."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("RssAnon"):
            return int(line.split()[1]) / 1024.0
    raise RuntimeError("no RssAnon")


def command(number: int, customer: int) -> bytes:
    """A read that waits for a minute."""
    fields = "c=read,t=free,d=60000,units=1,spread=1,first=0"
    return resp("CALL.GET", f"{customer:016x}", f"{number:016x}", fields)


async def crowd(port: int, each: int, answers: Counter[str]) -> None:
    """One client that sends all its commands at once; customers have three each."""
    first = 1000 * each
    with suppress(OSError):
        peer = await Peer().open(port)
        peer.send(*(command(first + n, (first + n) // 3) for n in range(COMMANDS)))
        while (reply := await peer.reply()) is not None:
            if str(reply).startswith("-ERR") and reply != "-ERR timeout":  # that one is for who came too late
                raise RuntimeError(f"the load is wrong: {reply}")
            answers[str(reply)] += 1


async def in_hand(root: Path, rate: float) -> dict[str, float]:
    """The first part; ``rate``: of the plan, or none."""
    platform = await ops.world(lambda words: None, root, memory_mb=LIMIT_MB)
    plan: dict[str, Any] = {"refill": rate, "most_at_once": 2.0 if rate else 0.0}
    kind: dict[str, Any] = {"hard_limit_ms": 60_000.0, "slo_ms": 30_000.0}
    given = ops.settings()
    platform.settings = {
        **given,
        "tariffs": [{**one, **plan} for one in given["tariffs"]],
        "services": [{**one, **kind} for one in given["services"]],
    }
    platform.held.close()
    tasks: list[asyncio.Task[None]] = []
    discovery = await ScriptedDiscovery().start()
    try:
        process = await ops.by_itself(platform, root, EDGE_DISCOVERY=f"127.0.0.1:{discovery.port}")
        _, watch = await discovery.watch()
        watch.write(chunk(listing(2, row("s-1", platform.ports["s-1"]), reset=True)))
        began, most, answers = time.monotonic(), 0.0, Counter[str]()
        start = anonymous_mb(process.process.pid)
        tasks = [asyncio.ensure_future(crowd(platform.port, n + 1, answers)) for n in range(CONNECTIONS)]
        while time.monotonic() < began + ANSWERED_S:
            await asyncio.sleep(0.05)
            for task in tasks:
                if task.done():
                    task.result()  # a load that is wrong ends here
            most = max(most, anonymous_mb(process.process.pid))
        return {"start_mb": start, "peak_mb": most, "answered": sum(answers.values())}
    finally:
        for task in tasks:
            task.cancel()
        await platform.close()


def strangers(count: int, whole: int, most: int) -> dict[str, float]:
    """Customers that come once, ``whole`` of them through a request that is served; alone in a process."""
    limits = Limits(max_customers=most)
    gateway = Gateway(Settings(2, 0, "a", (CLASS,), (SLOW,), limits, meter_period_ms=1000.0), 1)
    gateway.handle(0.0, ServerList(ListKind.FULL, (ServerEntry(1, "a"), ServerEntry(2, "a"))))
    start, rows = anonymous_mb("self"), 0
    for number in range(count):
        now = number * 1000.0 / RATE
        request = Request(f"{number:x}", "read", "slow", f"{number:016x}", 1000.0, width=2)
        if number < whole:
            for action in gateway.handle(now, request):
                if isinstance(action, Send):
                    gateway.handle(now, Outcome(request.request_id, 0, action.server, Status.OK, 5.0, True))
        else:
            customer = gateway.meter.customer(request, SLOW, now)
            gateway.meter.hold_ms(customer, SLOW, CLASS, 1.0, now)
        rows = max(rows, len(gateway.meter.customers))
    return {"rows": rows, "grown_mb": anonymous_mb("self") - start}


def apart(count: int, whole: int, most: int) -> subprocess.Popen[str]:
    """``strangers`` in a process of its own."""
    words = [sys.executable, "-m", "benchmarks.memory", "--strangers", str(count), str(whole), str(most)]
    return subprocess.Popen(words, stdout=subprocess.PIPE, text=True)


def figures(process: subprocess.Popen[str]) -> dict[str, float]:
    """Its last line."""
    found: dict[str, float] = json.loads(process.communicate()[0].splitlines()[-1])
    return found


def main() -> None:
    """All parts, one after the other but for the decisions' own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=ops.ROOT)
    parser.add_argument("--strangers", nargs=3, type=int)
    given = parser.parse_args()
    if given.strangers:
        print(json.dumps(strangers(*given.strangers)))
        return
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    bounded, unbounded = apart(CUSTOMERS, WHOLE, ROWS), apart(UNBOUNDED, 0, CUSTOMERS)
    parked, held = (uvloop.run(in_hand(given.root, rate)) for rate in (0.0, 0.2))
    for name, found in (("parked", parked), ("held in the band", held)):
        print(
            f"{name}: {found['start_mb']:.1f} MB at the start, {found['peak_mb']:.1f} at most,"
            f" {found['answered']:.0f} of {CONNECTIONS * COMMANDS} answered in {ANSWERED_S:.0f} s"
        )
    few, many = figures(bounded), figures(unbounded)
    print(
        f"customers: {few['rows']:.0f} rows of {CUSTOMERS}, {few['grown_mb']:.1f} MB;"
        f" without a bound {many['rows']:.0f} of {UNBOUNDED}, {many['grown_mb']:.1f} MB"
    )
    print(
        json.dumps(
            {
                "limit_mb": LIMIT_MB,
                "peak_mb_parked": round(parked["peak_mb"], 1),
                "peak_mb_held": round(held["peak_mb"], 1),
                "customer_rows_million": few["rows"],
                "customer_mb_million": round(few["grown_mb"], 1),
                "unbounded_mb_200000": round(many["grown_mb"], 1),
            }
        )
    )


if __name__ == "__main__":
    main()
