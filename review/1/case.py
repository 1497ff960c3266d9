"""Clients post long values, few at a time, beside the usual reads; the gateway's memory is watched."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from common import TROUBLE, Case, Gateway, Server, array, command, new_id, read_answer, run, settings

MEMORY_MB, DESCRIPTORS = 192, 1024  # the highest limits of the days that are scored
LONG, USUAL = 4 * 1024 * 1024, 16 * 1024  # bytes of a body: DAYS, up to 4 MiB; PROTOCOL, at most 64 KiB
POSTS, READS = 25.0, 50.0  # a second; a gateway gets up to 140
PLAYS_S = 20.0
SERVERS, WORK_S = 9, (0.15, 0.26)
LOOK_S = 0.02


class Watcher:
    """The platform's watch on memory: over its limit the gateway is killed."""

    def __init__(self, case: Case, process: asyncio.subprocess.Process) -> None:
        self.record, self.process = case.record, process
        self.status = Path(f"/proc/{process.pid}/status")
        self.peak, self.killed = 0.0, False

    def anonymous_mb(self) -> float:
        """Memory that is the process's alone: no measure of the platform's can be less."""
        return int(self.status.read_text().split("RssAnon:")[1].split()[0]) / 1024.0

    async def watch(self) -> None:
        """Look until it is over its limit."""
        while self.process.returncode is None:
            self.peak = max(self.peak, self.anonymous_mb())
            if self.peak > MEMORY_MB:
                self.killed = True
                self.process.kill()
                self.record.note(f"{self.peak:.1f} MB of anonymous memory: the gateway is killed")
                return
            await asyncio.sleep(LOOK_S)


class Clients:
    """All clients: each asks once, on a connection of its own."""

    def __init__(self, case: Case, gateway: Gateway, watcher: Watcher) -> None:
        self.record, self.port, self.watcher = case.record, gateway.port, watcher
        self.tasks: list[asyncio.Task[str]] = []
        self.unanswered, self.most = 0, 0  # bytes of bodies

    def send(self, body: bytes | None) -> None:
        """One more request."""
        self.tasks.append(asyncio.create_task(self._ask(len(self.tasks), body)))

    async def _ask(self, number: int, body: bytes | None) -> str:
        name, kind, size = new_id(), "read-board" if body is None else "buy-highlight", len(body or b"")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return "no connection"
        self.record.note(f"{name} is sent, {kind}, {size} bytes")
        self.unanswered += size
        self.most = max(self.most, self.unanswered)
        writer.write(command(kind, request_id=name, customer=number, body=body))
        answer = await read_answer(reader)
        self.unanswered -= size
        writer.close()
        got = "no answer" if answer is None else "a refusal" if answer.startswith(b"-BUSY") else "a failure"
        got = "the value" if answer == b"value of " + name.encode() else got
        self.record.note(f"{name} got {got}; {self.watcher.peak:.1f} MB so far")
        return got


async def play(case: Case) -> bool:
    async def work(server: Server, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        case.record.note(f"{server.name} begins {words[2].decode()}")
        await asyncio.sleep(random.uniform(*WORK_S))
        writer.write(array(b"value of " + words[2]))

    servers = [await Server(f"s-{number}", work).start(case) for number in range(SERVERS)]
    gateway = Gateway(case, 0, settings(), memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
    await gateway.start([server.row() for server in servers])
    assert gateway.process
    watcher = Watcher(case, gateway.process)
    case.record.note(f"{watcher.anonymous_mb():.1f} MB of anonymous memory before the first request")
    watching = asyncio.create_task(watcher.watch())
    clients, body, posts, reads = Clients(case, gateway, watcher), b"b" * (LONG if TROUBLE else USUAL), 0, 0
    loop = asyncio.get_running_loop()
    began = loop.time()
    while (now := loop.time() - began) < PLAYS_S and not watcher.killed:
        if posts < now * POSTS:
            posts += 1
            clients.send(body)
        if reads < now * READS:
            reads += 1
            clients.send(None)
        await asyncio.sleep(0.002)
    got = await asyncio.gather(*clients.tasks)
    watching.cancel()
    counts = ", ".join(f"{got.count(what)} got {what}" for what in sorted(set(got)))
    case.record.say(
        f"{posts} posts and {reads} reads in {now:.1f} s: {counts}; at most {clients.most / 2**20:.0f} MB of "
        f"bodies without an answer; anonymous memory rose to {watcher.peak:.1f} of {MEMORY_MB} MB"
        + (", and the gateway was killed" if watcher.killed else "")
    )
    return watcher.killed


run(__file__, play)
