"""What a control server's processor and memory do: idle, polled, and with changes. Last line JSON.

    python -m benchmarks.control_server [--followers 95] [--seconds 8] [--tenants 55000]

One control server and three stores, each a process of its own; the followers are long polls of this one.
The server's processor time is what the kernel counts for its process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from brackenloft.configuration import codec
from brackenloft.configuration.messages import (
    FOLLOW_PATH,
    PUBLISH_PATH,
    Changes,
    FollowAnswer,
    Follower,
    FollowRequest,
    PublishAnswer,
    Published,
    PublishRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.model import Delta, Items, Plan, Standing, Tenant
from brackenloft.configuration.standing_register import NOTHING_STANDS
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.members import Members
from brackenloft.fleet.registers.registers import Registers
from brackenloft.fleet.registers.store import Store
from brackenloft.lab.fleet.control import Helper
from brackenloft.standins.ports import free_port

SHORT_WAIT_MS, LONG_WAIT_MS = 200, 20_000
SETTLE_S = 4.0  # a new server waits this long for what its disk does not tell
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Bench:
    """The server, and calls to it."""

    def __init__(self, url: str, pid: int, session: aiohttp.ClientSession) -> None:
        self.url, self.pid, self.session = url, pid, session
        self.standing: Standing = NOTHING_STANDS
        self.polls = self.changes = 0
        self.wait_ms = SHORT_WAIT_MS
        self.delays_ms: list[float] = []
        self.published_at_s = 0.0

    async def post(self, path: str, message: object, kind: object) -> object:
        """One call."""
        async with self.session.post(self.url + path, data=codec.encode(message)) as answer:
            return codec.decode(await answer.read(), kind)

    async def publish(self, items: Items) -> None:
        """One change on what stands."""
        self.published_at_s = time.monotonic()
        answer = await self.post(
            PUBLISH_PATH, PublishRequest(Delta(self.standing.revision, items)), PublishAnswer
        )
        if not isinstance(answer, Published):
            raise RuntimeError(f"not published: {answer!r:.200}")
        self.standing = Standing(answer.revision, answer.digest)

    async def follow(self, number: int) -> None:
        """One follower, for ever."""
        me = Follower(f"g{number}", secrets.token_hex(4), 1, "north")
        revision, digest = self.standing.revision, self.standing.digest
        while True:
            request = FollowRequest(me, revision, digest, self.wait_ms)
            answer = await self.post(FOLLOW_PATH, request, FollowAnswer)
            self.polls += 1
            if isinstance(answer, Changes):
                self.changes += 1
                self.delays_ms.append((time.monotonic() - self.published_at_s) * 1000.0)
                revision, digest = answer.records[-1].revision, answer.records[-1].digest
            elif isinstance(answer, SnapshotOffer):
                revision, digest = answer.revision, answer.digest
            elif not isinstance(answer, Unchanged):
                await asyncio.sleep(0.2)


async def measure(bench: Bench, followers: int, seconds: float, tenants: int) -> dict[str, float]:
    """All figures."""
    names = [f"{number:016x}" for number in range(tenants)]
    await bench.publish(Items(plans=(Plan("gold"), Plan("lead"))))
    begun, at = cpu_s(bench.pid), time.monotonic()
    await bench.publish(Items(tenants=tuple(Tenant(name, "gold") for name in names)))
    whole_s, whole_cpu_s = time.monotonic() - at, cpu_s(bench.pid) - begun
    begun, at = cpu_s(bench.pid), time.monotonic()
    await asyncio.sleep(seconds)
    idle = (cpu_s(bench.pid) - begun) / (time.monotonic() - at)

    tasks = [asyncio.create_task(bench.follow(number)) for number in range(followers)]
    while bench.polls < 2 * followers:
        await asyncio.sleep(0.1)
    begun, at, polls = cpu_s(bench.pid), time.monotonic(), bench.polls
    await asyncio.sleep(seconds)
    spent_s, passed_s = cpu_s(bench.pid) - begun, time.monotonic() - at
    polls = bench.polls - polls
    poll_ms = (spent_s - idle * passed_s) * 1000.0 / polls

    bench.wait_ms = LONG_WAIT_MS
    await asyncio.sleep(1.0)
    bench.delays_ms.clear()
    begun, changes, count = cpu_s(bench.pid), bench.changes, 40
    for number in range(count):
        await bench.publish(Items(tenants=(Tenant(names[number], "lead"),)))
        while bench.changes < changes + followers * (number + 1):
            await asyncio.sleep(0.005)
    change_ms = (cpu_s(bench.pid) - begun) * 1000.0 / count
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    delays = sorted(bench.delays_ms)
    return {
        "followers": followers,
        "idle_cpu_percent": round(100.0 * idle, 3),
        "cpu_ms_per_poll": round(poll_ms, 4),
        "polls_per_s": round(polls / passed_s, 1),
        "cpu_ms_per_change": round(change_ms, 3),
        "cpu_ms_per_change_and_follower": round(change_ms / followers, 4),
        "cpu_percent_at_4_s_polls": round(100.0 * idle + followers / 4.0 * poll_ms / 10.0, 3),
        "published_to_answered_ms_p50": round(delays[len(delays) // 2], 1),
        "published_to_answered_ms_max": round(delays[-1], 1),
        "whole_change_tenants": tenants,
        "whole_change_s": round(whole_s, 3),
        "whole_change_cpu_s": round(whole_cpu_s, 3),
        "memory_mb": round(memory_mb(bench.pid), 1),
    }


async def run(options: argparse.Namespace, folder: Path) -> dict[str, float]:
    """Processes around the measurement."""
    helpers = [Helper("brackenloft.lab.fleet.store") for _ in range(3)]
    process = None
    try:
        urls = {
            f"s{n}": f"redis://127.0.0.1:{(await each.start())['port']}" for n, each in enumerate(helpers)
        }
        stores = {name: Store(url, "fleet", 1.0) for name, url in urls.items()}
        registers = Registers(stores, Members(0, 0, ()), "bench.1")
        await enrol.found(registers, places.first(urls, 0, "a"))
        await registers.close()
        port = free_port()
        config = {
            "name": "c0", "region": "north", "listen": f"127.0.0.1:{port}", "data": str(folder / "c0"),
            "stores": [{"name": name, "url": url} for name, url in urls.items()],
        }  # fmt: skip
        path = folder / "c0.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "brackenloft.cli", "control", "--config", str(path)]
        process = await asyncio.create_subprocess_exec(*command, stderr=asyncio.subprocess.DEVNULL)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.sleep(SETTLE_S)
            bench = Bench(f"http://127.0.0.1:{port}", process.pid, session)
            return await measure(bench, options.followers, options.seconds, options.tenants)
    finally:
        if process:
            process.send_signal(signal.SIGTERM)
            await process.wait()
        for helper in helpers:
            await helper.end()


def main() -> None:
    """Measure once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", type=int, default=95)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--tenants", type=int, default=55_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(run(options, Path(folder)))))


if __name__ == "__main__":
    main()
