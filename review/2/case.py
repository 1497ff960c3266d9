"""A keyed request is sent again over a connection that comes up late, when its first run is forgotten."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress

from common import (
    TROUBLE,
    Case,
    Gateway,
    Server,
    array,
    command,
    fields_of,
    new_id,
    read_answer,
    run,
    service,
    settings,
)

WINDOW_S = 1.5  # for which the servers of a room drop a repeat: STANDING, a shorter window
SLACK_S = 0.05 + 0.15  # PROTOCOL: each limit is 50 ms longer; STANDING: held up for up to 0.15 s
CONNECT_MS = 2000.0  # connections that come up 1.5 s late do come up
SERVERS, RATE, LASTS_S = 4, 20.0, 45.0
WORK_S = 0.03
# STANDING, zone+brink: a third of the connections come up late (up to 1.5 s), idle ones are closed early,
# some are reset under requests, also long after.
CYCLE_S, SHUT_S = 1.5, 0.45  # a server takes no connection for so long of so long: they come up 1 s late
RESET_SHARE, RESET_S = 0.15, (0.8, 1.4)  # of the requests that have begun, and how long after
IDLE_S = 0.05  # after which a server closes a connection
BACKLOG = 4

KINDS = (
    service("route-publish", "keyed", 3000.0, 12000.0, key_scope="zone", memory_span_ms=WINDOW_S * 1000.0),
)


class LateServer(Server):
    """A server whose accept queue is full now and then: who connects meanwhile comes up a second later."""

    async def start(self, case: Case) -> LateServer:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.tasks: set[asyncio.Task] = set()
        self.fillers: list[socket.socket] = []
        asyncio.get_running_loop().add_reader(self.socket, self._accept)
        case.closers.append(self._close)
        if TROUBLE:
            self._task(self._be_late())
        return self

    def _close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket)
        for one in (self.socket, *self.fillers):
            one.close()

    def _task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            self._task(self._take(sock))

    async def _take(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sock)
        await self._serve(reader, writer)

    async def _be_late(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0 + random.random() * CYCLE_S)
        while True:
            loop.remove_reader(self.socket)
            for _ in range(BACKLOG + 2):
                filler = socket.socket()
                filler.setblocking(False)
                with suppress(OSError):
                    filler.connect(("127.0.0.1", self.port))
                self.fillers.append(filler)
            await asyncio.sleep(SHUT_S)
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            self._accept()
            loop.add_reader(self.socket, self._accept)
            await asyncio.sleep(CYCLE_S - SHUT_S)


async def play(case: Case) -> bool:
    record = case.record
    memory: dict[str, float] = {}  # of the room: when a key's first run began
    runs: dict[str, list[str]] = {}
    resets = 0

    async def work(server: Server, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        nonlocal resets
        now, key, name = time.monotonic(), fields_of(words)["k"], words[2].decode()
        known = memory.get(key)
        if known is not None and now - known <= WINDOW_S + SLACK_S:
            record.note(f"{server.name} drops a repeat of {name}, {now - known:.3f} s after the first")
            writer.write(array(b"value of " + words[2]))
            return
        again = "" if known is None else f", AGAIN, {now - known:.3f} s after the first"
        memory[key] = now
        runs.setdefault(name, []).append(server.name)
        record.note(f"{server.name} runs {name}{again}")
        if TROUBLE and known is None and random.random() < RESET_SHARE:
            resets += 1
            await asyncio.sleep(random.uniform(*RESET_S))
            record.note(f"{server.name} resets the connection of {name}")
            writer.transport.abort()
            return
        await asyncio.sleep(WORK_S)
        writer.write(array(b"value of " + words[2]))
        await writer.drain()
        if TROUBLE:
            asyncio.get_running_loop().call_later(IDLE_S, writer.close)

    servers = [await LateServer(f"s-{number}", work).start(case) for number in range(SERVERS)]
    gateway = await Gateway(
        case, 0, settings(KINDS, connect_timeout_ms=CONNECT_MS, may_duplicate=True)
    ).start([server.row() for server in servers])

    async def client(number: int) -> None:
        name = new_id()
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(
            command(
                "route-publish", request_id=name, customer=number, wait_ms=12000, key=new_id(), body=b"route"
            )
        )
        record.note(f"{name} is sent")
        answer = await read_answer(reader)
        record.note(f"{name} got {answer!r:.50}")
        writer.close()

    clients = []
    for number in range(int(RATE * LASTS_S)):
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(1.0 / RATE)
    await asyncio.gather(*clients)
    await asyncio.sleep(3.0)
    twice = [name for name, at in runs.items() if len(at) > 1]
    record.say(f"{len(clients)} requests, {resets} reset when they had begun, {len(twice)} run twice")
    return bool(twice)


run(__file__, play)
