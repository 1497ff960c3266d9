"""What a call costs: direct, through the library, through the daemon; what the middleware adds to a route.

CPU of the host's side alone: nodes run in a process of their own. For the daemon that is the daemon's process
and its client's, which is what a host without the library has to pay. All in one run, in rounds one after the
other; medians over rounds. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop
from fastapi import FastAPI
from limits import RateLimitItemPerMinute, RateLimitItemPerSecond
from limits.aio.storage import MemoryStorage
from limits.aio.strategies import MovingWindowRateLimiter

from brackenloft import Contract, Effect, Limits, Plan, RequestClass, Settings
from brackenloft.asgi import Admit, QuotaMiddleware
from brackenloft.edge import Call, Edge, Node
from brackenloft.net.lag import Lag
from brackenloft.net.timers import Timers
from brackenloft.standins import BoardNode, Peer
from brackenloft.standins.load import Member, command

ROOT = Path(__file__).parent.parent
NODES, WORKERS = 4, 16
READ = RequestClass("read", 2000.0, 4000.0, Effect.SAFE)
SETTINGS = Settings(
    gateways=1,
    index=0,
    zone="a",
    classes=(READ, RequestClass("buy", 2000.0, 4000.0, Effect.UNSAFE)),
    plans=(Plan("plan", rate=1e6, burst=1e6),),
    limits=Limits(max_attempts=3, can_cancel=True),
    contract=Contract(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    load_fields=("utilisation", "queue"),
    meter_period_ms=1000.0,
)
CONFIG = {
    "listen": "127.0.0.1:0",
    "site": {"zone": "a", "load_fields": ["utilisation", "queue"], "meter_period_ms": 1000.0},
    "attempts": {"max_attempts": 3, "can_cancel": True},
    "rules": {
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 1000.0,
        "cold_share": 0.2,
        "warm_up_ms": 10000.0,
        "tip_multiple": 3.0,
        "tip_window_ms": 2000.0,
        "ask_within_ms": 10000.0,
    },
    "classes": [{"name": "read", "aim_ms": 2000.0, "deadline_ms": 4000.0, "effect": "safe"}],
    "plans": [{"name": "plan", "rate": 1e6, "burst": 1e6}],
}
MEMBER = Member(7, "plan", 1.0, (READ,))
CALL = Call("read", "plan", f"{7:016x}")
MOST_OPEN = 1000
WHOLE = Plan("plan", rate=1e6, burst=1e6, max_in_flight=MOST_OPEN, ceiling_rate=1e6, ceiling_burst=1e6)
TICKS = os.sysconf("SC_CLK_TCK")


def process_cpu(pid: int) -> float:
    """Seconds of CPU of another process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def spread(count: int, ask: Callable[[int], Awaitable[Any]]) -> None:
    """So many calls by some workers, each one after the other."""

    async def work(first: int) -> None:
        for number in range(first, count, WORKERS):
            assert await ask(number) is not None

    await asyncio.gather(*(work(first) for first in range(WORKERS)))


class Direct:
    """A plain asyncio client: streams, one connection a worker."""

    def __init__(self, ports: list[int]) -> None:
        self.ports, self.free = ports, list[Peer]()

    async def ask(self, number: int) -> Any:
        peer = self.free.pop() if self.free else await Peer().open(random.choice(self.ports))
        answer = await peer.ask(command(MEMBER, READ, number + (1 << 40), 1))
        self.free.append(peer)
        return answer


async def calls(rounds: int, count: int, ports: list[int], daemon: Daemon) -> dict[str, list[float]]:
    """Microseconds of CPU a call, by way and round."""
    direct, through = Direct(ports), Direct([daemon.port])
    found: dict[str, list[float]] = {"direct": [], "library": [], "daemon": [], "daemon's client": []}
    async with Edge(SETTINGS) as edge:
        edge.use([Node(f"n{n}", "127.0.0.1", port) for n, port in enumerate(ports)])
        ways = {"direct": direct.ask, "library": lambda _: edge.call(CALL), "daemon": through.ask}
        for _ in range(rounds):
            for name, ask in ways.items():
                began, daemons = time.process_time(), process_cpu(daemon.process.pid)
                await spread(count, ask)
                own, its = time.process_time() - began, process_cpu(daemon.process.pid) - daemons
                if name == "daemon":
                    found["daemon's client"].append(own / count * 1e6)
                    own += its
                found[name].append(own / count * 1e6)
        counted = edge.counters()
        assert counted["served"] == rounds * count, counted
    return found


class Daemon:
    """The daemon as a process, before the same nodes."""

    def __init__(self, ports: list[int], folder: str) -> None:
        path = Path(folder) / "config.json"
        nodes = [{"name": f"n{n}", "host": "127.0.0.1", "port": port} for n, port in enumerate(ports)]
        path.write_text(json.dumps({**CONFIG, "nodes": nodes}))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brackenloft.cli", "serve", "--config", str(path)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )
        assert self.process.stderr
        while b"listening on" not in (line := self.process.stderr.readline()):
            assert line, "the daemon did not start"
        self.port = int(line.rpartition(b":")[2])

    def close(self) -> None:
        self.process.terminate()
        self.process.wait()


# ---- Middleware


class LimitsMiddleware:
    """The same guard made of another package, with the same header fields.

    A moving window for each customer's quota; ``whole``: one for its ceiling too, and a count of open ones.
    """

    def __init__(self, app: Any, whole: bool) -> None:
        self.app, self.limiter, self.whole = app, MovingWindowRateLimiter(MemoryStorage()), whole
        self.item, self.ceiling = RateLimitItemPerMinute(1_000_000), RateLimitItemPerSecond(100_000)
        self.open: dict[str, int] = {}

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        customer = next(value for name, value in scope["headers"] if name == b"x-customer").decode()
        capped = self.whole and self.open.get(customer, 0) >= MOST_OPEN
        capped = capped or self.whole and not await self.limiter.hit(self.ceiling, "c", customer)
        if capped or not await self.limiter.hit(self.item, customer):
            await send({"type": "http.response.start", "status": 429, "headers": []})
            await send({"type": "http.response.body", "body": b""})
            return
        reset, left = await self.limiter.get_window_stats(self.item, customer)
        headers = [
            (b"ratelimit-policy", b'"plan";q=1000000;w=60'),
            (b"ratelimit", b'"plan";r=%d;t=%d' % (left, max(0, int(reset - time.time())))),
        ]

        async def send_with_headers(message: Any) -> None:
            if message["type"] == "http.response.start":
                message = {**message, "headers": [*message["headers"], *headers]}
            await send(message)

        self.open[customer] = self.open.get(customer, 0) + 1
        try:
            await self.app(scope, receive, send_with_headers)
        finally:
            self.open[customer] -= 1


async def routes(rounds: int, count: int) -> dict[str, list[float]]:
    """Microseconds of CPU a request of a bare route and the same behind each guard, without a server."""
    app = FastAPI()

    @app.get("/board")
    async def board() -> dict[str, int]:
        return {"board": 7}

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": b"", "more_body": False}

    answers = []

    async def send(message: Any) -> None:
        if message["type"] == "http.response.start":
            answers.append(message["status"])

    def scope(number: int) -> dict[str, Any]:
        customer = b"%016x" % (number % 100)
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": "GET",
            "path": "/board",
            "raw_path": b"/board",
            "root_path": "",
            "scheme": "http",
            "query_string": b"",
            "headers": [(b"host", b"a"), (b"x-customer", customer)],
            "client": ("127.0.0.1", 1),
            "server": ("127.0.0.1", 2),
        }

    def mapper(scope: Any) -> Admit:
        customer = next(value for name, value in scope["headers"] if name == b"x-customer").decode()
        return Admit(Call("read", "plan", customer))

    found: dict[str, list[float]] = {"bare": [], "brackenloft": [], "limits": [], "limits, quota only": []}
    async with Edge(replace(SETTINGS, plans=(WHOLE,))) as edge:
        apps = {
            "bare": app,
            "brackenloft": QuotaMiddleware(app, edge, mapper),
            "limits": LimitsMiddleware(app, True),
            "limits, quota only": LimitsMiddleware(app, False),
        }
        for _ in range(rounds):
            for name, guarded in apps.items():
                began = time.process_time()
                for number in range(count):
                    await guarded(scope(number), receive, send)
                found[name].append((time.process_time() - began) / count * 1e6)
    assert set(answers) == {200} and len(answers) == len(found) * rounds * count
    return found


# ---- Cancellation, and a loop that is held up


async def cancelled_leaks(count: int) -> int:
    """What is left of calls that were cancelled at random moments."""
    draw = random.Random(1)
    board = await BoardNode("b", work_s=0.002, cores=64).start()
    async with Edge(SETTINGS) as edge:
        edge.use([Node("b", "127.0.0.1", board.port)])
        for _ in range(count // WORKERS):
            tasks = [asyncio.ensure_future(edge.call(CALL)) for _ in range(WORKERS)]
            await asyncio.sleep(draw.random() * 0.006)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.05)
        gateway = edge.driver.gateway
        left = len(edge.driver.calls) + len(gateway.flights) + len(gateway.parked) + len(edge._own)
        left += sum(customer.out for customer in gateway.meter.customers.values())
        left += sum(len(server.out) for server in gateway.fleet.servers.values())
        assert edge.counters()["gone"] > 0
    board.close()
    return left


async def stalls(seconds: float, excused: bool) -> tuple[int, float, float]:
    """Two alike nodes and a host that blocks the loop: failures noted, spread of their figures, the pool."""
    kind = replace(READ, aim_ms=300.0, deadline_ms=1000.0)
    settings = replace(SETTINGS, classes=(kind,))
    boards = [await BoardNode(f"b{n}", work_s=0.01, cores=64).start() for n in range(2)]
    draw, noted = random.Random(2), 0
    plain_excuse, plain_late = Lag.excuse, Timers._fire
    if not excused:
        Lag.excuse = lambda *_: 0.0  # type: ignore[method-assign]
        Timers._fire = fire_at_once  # type: ignore[method-assign]
    try:
        async with Edge(settings, seed=3) as edge:
            edge.use([Node(board.name, "127.0.0.1", board.port) for board in boards])
            mark = edge.driver.gateway.fleet.mark

            def count_failed(server: Any, key: str, failed: bool, why: str = "") -> None:
                nonlocal noted
                noted += failed
                mark(server, key, failed, why)

            edge.driver.gateway.fleet.mark = count_failed  # type: ignore[method-assign]
            end, tasks, spreads = time.monotonic() + seconds, set[asyncio.Future[Any]](), []
            while time.monotonic() < end:
                for _ in range(4):
                    tasks.add(asyncio.ensure_future(edge.call(CALL)))
                await asyncio.sleep(0.005)
                if draw.random() < 0.15:
                    time.sleep(draw.choice((0.05, 0.2, 0.5)))
                known = list(edge.driver.gateway.fleet.servers.values())
                spreads.append(abs(known[0].ratio - known[1].ratio))
            await asyncio.gather(*tasks)
            return noted, statistics.mean(spreads), edge.driver.gateway.fleet.pool
    finally:
        Lag.excuse, Timers._fire = plain_excuse, plain_late  # type: ignore[method-assign]
        for board in boards:
            board.close()


def fire_at_once(timers: Timers) -> None:
    """Timers as they were: called up before what has come is read."""
    timers.reading_first = True
    PLAIN_FIRE(timers)


PLAIN_FIRE = Timers._fire


async def measure(long: bool) -> dict[str, Any]:
    rounds, count = (9, 6000) if long else (5, 3000)
    nodes = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.nodes", str(NODES)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert nodes.stdout
        ports = [int(port) for port in nodes.stdout.readline().split()]
        with tempfile.TemporaryDirectory() as folder:
            daemon = Daemon(ports, folder)
            try:
                by_call = await calls(rounds, count, ports, daemon)
            finally:
                daemon.close()
    finally:
        nodes.kill()
        nodes.wait()
    by_route = await routes(rounds, count)
    leaks = await cancelled_leaks(4 * count)
    span = 8.0 if long else 4.0
    with_excuse, without = await stalls(span, True), await stalls(span, False)
    middle = {name: statistics.median(values) for name, values in (by_call | by_route).items()}
    print(f"{'CPU a call':28}{'µs':>9}{'of direct':>12}")
    for name in by_call:
        print(f"{name:28}{middle[name]:9.1f}{middle[name] / middle['direct']:12.2f}")
    print(f"{'CPU a request of a route':28}{'µs':>9}{'added':>12}")
    for name in by_route:
        print(f"{name:28}{middle[name]:9.1f}{middle[name] - middle['bare']:12.1f}")
    print(f"{'a loop held up':28}{'failures':>9}{'spread':>12}{'pool':>9}")
    for name, row in (("delays excused", with_excuse), ("delays blamed on servers", without)):
        print(f"{name:28}{row[0]:9d}{row[1]:12.2f}{row[2]:9.1f}")
    return {
        "library_cpu_ratio": round(middle["library"] / middle["daemon"], 3),
        "middleware_added_us": round(middle["brackenloft"] - middle["bare"], 1),
        "peer_middleware_added_us": round(middle["limits"] - middle["bare"], 1),
        "peer_quota_only_added_us": round(middle["limits, quota only"] - middle["bare"], 1),
        "cancelled_leaks": leaks,
        "stall_failures_excused": with_excuse[0],
        "stall_failures_blamed": without[0],
        "stall_pool_excused": round(with_excuse[2], 1),
        "stall_pool_blamed": round(without[2], 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--long", action="store_true", help="more rounds")
    print(json.dumps(uvloop.run(measure(parser.parse_args().long))))


if __name__ == "__main__":
    main()
