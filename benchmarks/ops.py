"""The operators' days on loopback: real processes replaced, drained, read and loaded.

The cost of a small call stands beside that of the program before, the commit BEFORE, laid out from the
project's history; where there is none it is null. The last line is JSON.
"""

from __future__ import annotations

import asyncio
import io
import json
import socket
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import uvloop

from brackenloft.standins import Peer, ScriptedNode, array, resp
from brackenloft.standins.platform import Platform, Process, ask_on

ROOT = Path(__file__).parent.parent
BEFORE = "2d22425"
CUSTOMER = 0xB4D65521
RUN = f"exec {sys.executable} -m brackenloft"
DEADLINE_MS, CLIENTS, UPGRADES, MEGABYTE = 20_000, 48, 3, 1 << 20
PAUSE_S = 0.03  # of a client between two requests
CEILING_RATE, CEILING_BURST, WINDOWS_S = 40.0, 60.0, (0.25, 0.5, 1.0, 2.0, 4.0)
STREAMS, VALUE, MEMORY_MB = 100, 4 * MEGABYTE, 64
HOLDERS, LOAD_S, ROUND_S, ROUNDS = 50, 4.0, 1.0, 6


def settings() -> dict[str, Any]:
    """A site of one gateway: a safe and an unsafe class, a free plan and one under a ceiling."""
    kind = {
        "slo_ms": 5000.0,
        "hard_limit_ms": DEADLINE_MS,
        "value": 1.0,
        "late_share": 0.0,
        "key_scope": "all",
        "memory_span_ms": 0.0,
        "stream": False,
    }
    plan = {
        "refill": 0.0,
        "most_at_once": 0.0,
        "parallel": 0,
        "value_factor": 1.0,
        "excess_worth": 0.0,
        "overrun_cost": 0.0,
        "cap_rate": 0.0,
        "cap_depth": 0.0,
        "hard_slack": 0.0,
    }
    return {
        "balancers": 1,
        "slot_no": 0,
        "locality": "a",
        "discovery": "automatic",
        "tick_ms": 2.0,
        "services": [{**kind, "name": "read", "effect": "safe"}, {**kind, "name": "buy", "effect": "unsafe"}],
        "tariffs": [
            {**plan, "name": "free"},
            {
                **plan,
                "name": "roof",
                "refill": 1000.0,
                "most_at_once": 1000.0,
                "cap_rate": CEILING_RATE,
                "cap_depth": CEILING_BURST,
            },
        ],
        "limits": {
            "attempts_cap": 3,
            "may_duplicate": False,
            "cancelling": True,
            "probes": False,
            "peers": False,
            "retry_after": False,
            "open_cap": 1000,
            "connect_timeout_ms": 500.0,
            "max_retry_after_ms": 0.0,
            "conn_idle_ms": 30_000.0,
        },
        "contract": {
            "answer_slack_ms": 8.0,
            "drain_grace_ms": 1000.0,
            "start_capacity": 0.2,
            "warm_up_ms": 10_000.0,
            "tip_multiple": 3.0,
            "fall_ms": 2000.0,
            "must_ask_in_ms": 10_000.0,
        },
        "family_info": {
            "meter_ms": 1000.0,
            "largest": 1.0,
            "settles": False,
            "has_counter": False,
            "count_limit_ms": 0.0,
        },
        "load_info": {"names": []},
        "deductions": {"cross_zone": 0.0},
    }


def command(number: int, plan: str = "free", kind: str = "buy", customer: int = CUSTOMER) -> bytes:
    """A request; its number is its id."""
    fields = f"c={kind},t={plan},d={DEADLINE_MS},units=1,spread=1,first=0"
    words = [f"{customer:016x}", f"{number:016x}", fields]
    return resp("CALL.GET", *words) if kind == "read" else resp("CALL.POST", *words, b"body")


async def world(answer: Callable[[list[bytes]], bytes | None], root: Path = ROOT, **limits: Any) -> Platform:
    """A server that answers like this, and the platform before it."""
    server = await ScriptedNode(answer).start()
    directory = Path(tempfile.mkdtemp())
    return Platform(directory, RUN, root, settings(), {"s-1": server.port}, limits)


class Load:
    """Clients that ask one thing after the other, with a pause between, until they are told to stop."""

    def __init__(
        self,
        platform: Platform,
        first: int = 1,
        plan: str = "free",
        clients: int = CLIENTS,
        pause_s: float = 0.0,
        strangers: bool = False,
    ) -> None:
        self.platform, self.plan, self.next, self.pause_s = platform, plan, first, pause_s
        self.strangers = strangers  # each request is of another customer
        self.answers: dict[int, Any] = {}
        self.turned_back, self.stopped = 0, False
        self.tasks = [asyncio.ensure_future(self._client()) for _ in range(clients)]

    async def _client(self) -> None:
        peer = None
        while not self.stopped:
            number, self.next = self.next, self.next + 1
            text = command(number, self.plan, customer=number & 0xFFFFFFFF if self.strangers else CUSTOMER)
            answer, peer, turned_back = await ask_on(self.platform, text, peer)
            self.answers[number] = answer
            self.turned_back += turned_back
            if self.pause_s:
                await asyncio.sleep(self.pause_s)

    async def stop(self) -> None:
        """After the answers that are owed."""
        self.stopped = True
        await asyncio.gather(*self.tasks)


def ceiling_over(times: list[float]) -> float:
    """Units beyond the ceiling in any window of these lengths, with the burst that it allows."""
    worst = 0.0
    for window in WINDOWS_S:
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - window:
                first += 1
            worst = max(worst, last - first + 1 - CEILING_BURST - CEILING_RATE * (window + 0.15))
    return worst


async def upgrades() -> dict[str, Any]:
    """Processes replaced under traffic, free and under a ceiling."""
    runs: dict[bytes, int] = {}
    roof: list[float] = []

    def answer(words: list[bytes]) -> bytes:
        runs[words[2]] = runs.get(words[2], 0) + 1
        if b"t=roof" in words[3]:
            roof.append(time.monotonic())
        return array(words[2])

    platform = await world(answer)
    try:
        process = await platform.start()
        free, capped = Load(platform, pause_s=PAUSE_S), Load(platform, 1 << 40, "roof", 3, PAUSE_S)
        for _ in range(UPGRADES):
            await asyncio.sleep(1.0)
            process = await process.replace()
        await asyncio.sleep(0.5)
        await free.stop()
        await capped.stop()
    finally:
        await platform.close()
    wrong = sum(answer != b"%016x" % number for number, answer in free.answers.items())
    return {
        "upgrade_lost": wrong + sum(count > 1 for count in runs.values()),
        "upgrade_turned_back": free.turned_back + capped.turned_back,
        "upgrade_requests": len(free.answers),
        "ceiling_over": round(max(0.0, ceiling_over(roof)), 2),
        "ceiling_sent": len(roof),
    }


async def drained() -> dict[str, Any]:
    """A drain and its end: within 4 s nothing idle is held, within 2 s of the end it says yes."""
    platform = await world(lambda words: array(words[2]))
    try:
        process = await platform.start()
        idle = [await platform.connect() for _ in range(8)]
        assert all([isinstance(await peer.ask(command(n + 1)), bytes) for n, peer in enumerate(idle)])
        await process.call("POST", "/-/drain")
        began = time.monotonic()
        said_no = str(await (await platform.connect()).ask(resp("PING"))).startswith("-")
        async with asyncio.timeout(10.0):
            ended = [await peer.reply() for peer in idle]
        emptied_s = time.monotonic() - began
        await process.call("POST", "/-/resume")
        began = time.monotonic()
        said_yes = await (await platform.connect()).ask(resp("PING")) == b"PONG"
        yes_s = time.monotonic() - began
    finally:
        await platform.close()
    good = said_no and said_yes and ended == [None] * 8 and emptied_s < 4.0 and yes_s < 2.0
    return {"drain_yes_after_s_ok": good, "drain_emptied_s": round(emptied_s, 2)}


async def loaded() -> dict[str, Any]:
    """The second address under full load and beside holders; figures beside what the clients counted."""
    platform = await world(lambda words: array(words[2]))
    slowest, off = 0.0, 0.0
    try:
        process = await platform.start()
        load = Load(platform, clients=48)
        holders = [await asyncio.open_connection("127.0.0.1", process.admin) for _ in range(HOLDERS)]
        end = time.monotonic() + LOAD_S
        while time.monotonic() < end:
            asked, began = len(load.answers), time.monotonic()
            status, figures = await process.call("GET", "/-/metrics")
            slowest = max(slowest, time.monotonic() - began)
            assert status == 200
            passed = figures["handled"]["buy"]["passed"]
            between = max(asked - passed, passed - len(load.answers) - len(load.tasks), 0)
            off = max(off, between / max(3.0, 0.01 * passed))
            await asyncio.sleep(0.1)
        await load.stop()
        figures = (await process.call("GET", "/-/metrics"))[1]
        for name, counted in (
            ("passed", figures["handled"]["buy"]["passed"]),
            ("tries", figures["upstream_tries"]),
        ):
            share = 0.01 if name == "passed" else 0.02
            off = max(off, abs(counted - len(load.answers)) / max(3.0, share * len(load.answers)))
        off = max(off, figures["in_progress"] / 3.0)
        for _, writer in holders:
            writer.close()
    finally:
        await platform.close()
    return {
        "figures_off_max": round(off, 3),
        "admin_slowest_share_of_1s": round(slowest, 3),
        "loaded_requests": len(load.answers),
    }


async def streams() -> dict[str, Any]:
    """Long values to slow clients, together far over the memory limit."""
    value = array(b"v" * VALUE)
    platform = await world(lambda words: value, memory_mb=MEMORY_MB)
    peak = 0.0

    async def slow(number: int) -> int:
        sock, loop, got = socket.socket(), asyncio.get_running_loop(), 0
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", platform.port))
        await loop.sock_sendall(sock, command(number, kind="read"))
        with suppress(OSError):
            while got < VALUE:
                data = await loop.sock_recv(sock, 256 * 1024)
                if not data or data.startswith(b"-"):
                    break
                got += len(data)
                await asyncio.sleep(0.05)
        sock.close()
        return got

    async def watch(process: Process) -> None:
        nonlocal peak
        while True:
            peak = max(peak, process.memory_mb())
            await asyncio.sleep(0.02)

    try:
        process = await platform.start()
        watching = asyncio.ensure_future(watch(process))
        got = await asyncio.gather(*(slow(number) for number in range(1, STREAMS + 1)))
        watching.cancel()
    finally:
        await platform.close()
    return {
        "stream_peak_mb_over_bound": round(max(0.0, peak - MEMORY_MB), 1),
        "stream_peak_mb": round(peak, 1),
        "streams": STREAMS,
        "streams_whole": sum(size >= VALUE for size in got),
    }


def before(directory: Path) -> Path | None:
    """The program before, out of the project's history."""
    done = subprocess.run(["git", "archive", BEFORE], cwd=ROOT, capture_output=True)
    if done.returncode:
        return None
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(directory, filter="data")
    return directory


async def small_calls(old: Path | None) -> dict[str, Any]:
    """Processor time of a small call, here and in the program before, in turns."""
    if old is None:
        return {"small_call_cpu_ratio": None}
    costs: dict[Path, list[float]] = {ROOT: [], old: []}
    for turn in range(2 * ROUNDS):
        root = (ROOT, old)[turn % 2]
        costs[root].append(await one_round(root))
    here, there = (sorted(costs[root])[ROUNDS // 2] for root in (ROOT, old))
    return {
        "small_call_cpu_ratio": round(here / there, 3),
        "small_call_us": round(here * 1e6, 1),
        "small_call_us_before": round(there * 1e6, 1),
    }


async def by_itself(platform: Platform, root: Path, **environment: str) -> Process:
    """A process that listens by itself, as it did before, without a second address; ready."""
    process = Process(platform, 0)
    platform.started.append(process)
    platform.held = socket.socket()
    await process.start({"EDGE_ADMIN": "", "EDGE_ACCEPT_FD": "", "PYTHONPATH": str(root), **environment})
    while True:
        with suppress(OSError):
            peer = await Peer().open(platform.port)
            if await peer.ask(resp("PING")) == b"PONG":
                return process
        await asyncio.sleep(0.01)


async def one_round(root: Path) -> float:
    """CPU seconds of one small call, in a process without a second address."""
    platform = await world(lambda words: array(words[2]), root)
    platform.held.close()
    try:
        process = await by_itself(platform, root)
        load = Load(platform, clients=8)
        await asyncio.sleep(0.5)
        asked, spent = len(load.answers), process.cpu_s()
        await asyncio.sleep(ROUND_S)
        asked, spent = len(load.answers) - asked, process.cpu_s() - spent
        await load.stop()
    finally:
        await platform.close()
    return spent / asked


async def main() -> None:
    """All parts, then the line."""
    with tempfile.TemporaryDirectory() as directory:
        result: dict[str, Any] = {}
        for part in (upgrades(), drained(), loaded(), streams(), small_calls(before(Path(directory)))):
            result |= await part
            print(list(result.items())[-1], flush=True)
    print(json.dumps(result))


if __name__ == "__main__":
    uvloop.run(main())
