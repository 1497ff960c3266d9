"""Normal clients beside peers that read and write slowly, and a crowd; the same clients alone in one run.

Ten slow peers of each kind: clients that do not take their answers, clients whose commands trickle, nodes
that take nothing and nodes whose answers trickle. Rounds with and without them take turns. The last line is
JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import socket
import statistics
import sys
import time
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import replace
from typing import Any

import uvloop

from brackenloft import Contract, Effect, Limits, Plan, RequestClass, Settings
from brackenloft.edge import Edge, Node, Room
from brackenloft.net import clients as clients_module
from brackenloft.net import replies
from brackenloft.standins import Peer, ScriptedNode, array
from brackenloft.standins.load import Member, command

READ = RequestClass("read", 500.0, 1000.0, Effect.SAFE)
BUY = RequestClass("buy", 2000.0, 8000.0, Effect.UNSAFE, worth=3.0)
SETTINGS = Settings(
    gateways=1,
    index=0,
    zone="a",
    classes=(READ, BUY),
    plans=(Plan("plan"),),
    limits=Limits(max_attempts=3, can_cancel=True),
    contract=Contract(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    tick_ms=1.0,
)
MEMBER = Member(7, "plan", 1.0, (READ,))
SLOW, NORMAL, DESCRIPTORS = 10, 12, 256
LARGE = b"v" * 900_000
MEGABYTE = 1 << 20
SHORT_ROUNDS, LONG_ROUNDS = 4, 5
WARM_S = 1.0  # of each span, not counted: the timers of a deadline are in hand from then on
PACE_S = 0.02  # between two requests of a normal client


def answer(words: list[bytes]) -> bytes:
    """Large for those that will not take it, which have ids from 2**50 on."""
    return array(LARGE if int(words[2], 16) >> 50 else words[2])


async def normal(port: int, seconds: float, times: list[float], first: int) -> None:
    """A client that asks at a steady pace."""
    peer, end, number = await Peer().open(port), time.monotonic() + seconds, first
    counted = time.monotonic() + WARM_S
    while time.monotonic() < end:
        began = time.perf_counter()
        assert isinstance(await peer.ask(command(MEMBER, READ, number, 1)), bytes)
        if time.monotonic() >= counted:
            times.append((time.perf_counter() - began) * 1000.0)
        number += 1
        await asyncio.sleep(PACE_S)
    peer.writer.close()


async def deaf_client(port: int, number: int) -> None:
    """Asks for a large answer and takes a byte now and then, until it is cut off or nobody looks any more."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop, end = asyncio.get_running_loop(), time.monotonic() + replies.STALLED_S + 2.0
    await loop.sock_connect(sock, ("127.0.0.1", port))
    await loop.sock_sendall(sock, command(replace(MEMBER, classes=(BUY,)), BUY, (1 << 50) + number, 1))
    with suppress(OSError, TimeoutError):
        while time.monotonic() < end:
            async with asyncio.timeout(2.0):
                await loop.sock_recv(sock, 1)
            await asyncio.sleep(0.2)
    sock.close()


class Stays:
    """How long the gateway lets those be that do not take their answers: looked at from its own side."""

    def __init__(self, edge: Edge) -> None:
        self.edge, self.since, self.most = edge, dict[object, float](), 0.0

    async def look(self) -> None:
        """Until cancelled."""
        while True:
            now = time.monotonic()
            for client in self.edge.clients.stuck:
                self.most = max(self.most, now - self.since.setdefault(client, now))
            await asyncio.sleep(0.05)


async def peers(port: int, side: int, turn: int) -> dict[str, Any]:
    """All slow and honest clients of one round; in a process of their own, so that only the gateway's work
    for them is in the latency of the others."""
    cut, stays = list[int](), list[float]()
    slow = [trickling_client(port, turn * SLOW + n) for n in range(SLOW)]
    await asyncio.gather(
        *(deaf_client(port, turn * SLOW + n) for n in range(SLOW)),
        *(honest_client(port, turn * SLOW + n, cut) for n in range(2)),
        *(ask_slow_node(side, turn * 100 + n) for n in range(2 * SLOW)),
        _gather(slow, stays),
    )
    return {"cut": cut, "stays": stays}


async def _gather(parts: list[Coroutine[Any, Any, float]], into: list[float]) -> None:
    into += await asyncio.gather(*parts)


async def trickling_client(port: int, number: int) -> float:
    """Sends a command a byte at a time."""
    peer, began = await Peer().open(port), time.monotonic()
    ended = asyncio.ensure_future(peer.reply())
    for byte in command(MEMBER, READ, (1 << 40) + number, 1):
        if ended.done():
            break
        with suppress(RuntimeError, OSError):  # cut off just now
            peer.send(bytes([byte]))
        await asyncio.wait((ended,), timeout=0.2)
    with suppress(OSError):
        await ended
    peer.writer.close()
    return time.monotonic() - began


async def honest_client(port: int, number: int, cut: list[int]) -> None:
    """Sends a large command above the least rate, for longer than a short one is given."""
    peer = await Peer().open(port)
    body = b"$%d\r\n" % 150_000 + b"x" * 150_000
    text = command(MEMBER, BUY, (1 << 41) + number, 1).replace(b"$4\r\nbody", body)
    with suppress(RuntimeError, OSError):  # cut off: told below
        for place in range(0, len(text), 5000):
            peer.send(text[place : place + 5000])
            await asyncio.sleep(0.1)  # some 50 KB a second
    if not isinstance(await peer.reply(), bytes):
        cut.append(number)
    peer.writer.close()


async def trickling_node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers a byte at a time."""
    try:
        while await reader.read(65536):
            writer.write(b"*3\r\n$900000\r\n")
            while not reader.at_eof():
                writer.write(b"v")
                await writer.drain()
                await asyncio.sleep(0.2)
    except OSError:
        pass
    writer.close()


async def measure(seconds: float, rounds: int) -> dict[str, Any]:
    board = await ScriptedNode(answer).start()
    slow_nodes = [await asyncio.start_server(trickling_node, "127.0.0.1", 0) for _ in range(SLOW)]
    deaf = [socket.create_server(("127.0.0.1", 0)) for _ in range(SLOW)]
    room = Room(server_connections=28, client_connections=112, lent=84, held=8 * MEGABYTE)
    alone, beside, slow_stays, cut = list[float](), list[float](), list[float](), list[int]()
    ratios: list[tuple[float, float]] = []
    most_held = 0
    async with Edge(SETTINGS, room, seed=1) as edge, Edge(SETTINGS, room, seed=2) as other:
        edge.use([Node("good", "127.0.0.1", board.port)])
        # Slow nodes stand behind a second gateway in the same loop: what they cost must not reach the first.
        ports = [*(s.sockets[0].getsockname()[1] for s in slow_nodes), *(s.getsockname()[1] for s in deaf)]
        other.use(Node(f"slow-{port}", "127.0.0.1", port) for port in ports)
        port, side = edge.listen("127.0.0.1", 0)[1], other.listen("127.0.0.1", 0)[1]
        assert edge.clients.listener
        edge.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)

        async def span(times: list[float], first: int) -> None:
            await asyncio.gather(*(normal(port, seconds, times, first + n * 100_000) for n in range(NORMAL)))

        stays = Stays(edge)
        looking = asyncio.ensure_future(stays.look())
        await span([], 1 << 20)
        for turn in range(rounds):
            one, two = list[float](), list[float]()
            await span(one, (turn + 2) << 24)
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.slow_peers",
                "--peers",
                f"{port} {side} {turn}",
                *(["--long"] if rounds > SHORT_ROUNDS else []),
                stdout=asyncio.subprocess.PIPE,
            )
            told = asyncio.ensure_future(child.communicate())
            while len(edge.clients.stuck) < SLOW and not told.done():  # all are there and slow
                await asyncio.sleep(0.01)
            await span(two, (turn + 2) << 24 | 1 << 23)
            most_held = max(most_held, edge.clients.held + other.servers.held)
            found = json.loads((await told)[0])
            slow_stays, cut = slow_stays + found["stays"], cut + found["cut"]
            alone, beside = alone + one, beside + two
            ratios.append((statistics.median(two) / statistics.median(one), p99(two) / p99(one)))
        left = len(edge.clients.stuck) + len(edge.clients.slow) + len(other.servers.under_way)
        counted = edge.counters() | other.counters()
        bites = {name: count for name, count in counted.items() if name.startswith("bit")}
        looking.cancel()
        crowd = await crowds(board)
    for server in (*slow_nodes, board.server):
        server.close()
    for listener in deaf:
        listener.close()
    print(f"{'':24}{'p50 ms':>9}{'p99 ms':>9}")
    for name, times in (("normal clients alone", alone), ("beside slow peers", beside)):
        print(f"{name:24}{statistics.median(times):9.3f}{p99(times):9.3f}")
    print(
        f"who takes no answer stays {stays.most:.1f} s at most (limit {replies.STALLED_S:.0f} s), "
        f"whose command trickles {max(slow_stays):.1f} s (limit {clients_module.COMMAND_S:.0f} s)"
    )
    print(f"held at most {most_held / MEGABYTE:.1f} MB; limits that have bitten: {bites}")
    print(
        f"crowd of {crowd['asked']} over {DESCRIPTORS} descriptors: {crowd['answered']} answered, "
        f"{crowd['served']} served, connect to answer p99 {crowd['p99']:.0f} ms"
    )
    return {
        "p50_ratio": round(statistics.median(ratio for ratio, _ in ratios), 3),
        "p99_ratio": round(statistics.median(ratio for _, ratio in ratios), 3),
        "crowd_connect_p99_ms": round(crowd["p99"], 1),
        "slow_left": left,
        "fast_cut": len(cut),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1),
        "held_mb": round(most_held / MEGABYTE, 1),
        "crowd_unanswered": crowd["asked"] - crowd["answered"],
    }


async def ask_slow_node(port: int, number: int) -> None:
    """A request that a slow node gets; whatever comes of it."""
    peer = await Peer().open(port)
    text = command(MEMBER, BUY, (1 << 42) + number, 1)
    assert await peer.ask(text) is not None
    peer.writer.close()


async def crowds(board: ScriptedNode) -> dict[str, Any]:
    """Some hundreds that ask once and stay, as fast as they are taken in."""
    times, served, asked = list[float](), 0, 700
    room = Room(server_connections=28, client_connections=112, lent=84)
    async with Edge(SETTINGS, room, seed=3) as edge:
        edge.use([Node("good", "127.0.0.1", board.port)])
        port = edge.listen("127.0.0.1", 0)[1]

        async def one(number: int) -> None:
            nonlocal served
            began, peer = time.monotonic(), await Peer().open(port)
            reply = await peer.ask(command(MEMBER, READ if number % 2 else BUY, (1 << 44) + number, 1))
            times.append((time.monotonic() - began) * 1000.0)
            served += isinstance(reply, bytes)
            await peer.reply()
            peer.writer.close()

        tasks = []
        for number in range(asked):
            tasks.append(asyncio.ensure_future(one(number)))
            await asyncio.sleep(0.01)
        while len(times) < asked and not all(task.done() for task in tasks):
            await asyncio.sleep(0.05)
        await edge.close(1.0)
        await asyncio.gather(*tasks, return_exceptions=True)
    return {"asked": asked, "answered": len(times), "served": served, "p99": p99(times)}


def p99(times: list[float]) -> float:
    return sorted(times)[int(len(times) * 0.99)]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--peers", help=argparse.SUPPRESS)
    parser.add_argument("--long", action="store_true", help="the limits as they are, more rounds")
    options = parser.parse_args()
    if not options.long:
        replies.STALLED_S = 3.0  # as it is, a round takes half a minute
    if options.peers:
        print(json.dumps(uvloop.run(peers(*map(int, options.peers.split())))))
        return
    print(json.dumps(uvloop.run(measure(4.0, LONG_ROUNDS) if options.long else measure(2.5, SHORT_ROUNDS))))


if __name__ == "__main__":
    main()
