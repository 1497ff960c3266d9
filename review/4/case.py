"""Discovery is slow to answer, and a server leaves the list, and ends when nothing new may come any more."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from common import TROUBLE, Case, Gateway, Server, array, command, new_id, read_answer, run, settings

SLOW_S = 1.5  # that a call to discovery waits for the first byte of its answer
SERVERS, RATE = 4, 40.0
WORK_S = 0.3
GONE_AT_S, PLAYS_S = 3.0, 15.0
ENDS_S = 10.0  # after it has left the list: its process ends, which resets its connections
TOLD_S = 6.0  # STANDING: a change counts as told so long after discovery had it, at the latest
GRACE_S = 1.0 + 0.05  # BRIEF: the grace; PROTOCOL: each limit is 50 ms longer


class SlowAgent:
    """Stands before the agent and passes on both ways; the first byte of each answer is late."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.behind, self.calls, self.answered = case, port, 0, 0
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> SlowAgent:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.case.closers.append(self.server.close)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        number, began = self.calls, time.monotonic()
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.behind)
        asking = asyncio.create_task(self._pass(reader, up_writer))
        self.tasks.add(asking)
        with suppress(OSError):
            first = await up_reader.read(64 * 1024)
            if TROUBLE:
                await asyncio.sleep(SLOW_S)
            if asking.done():
                self.case.record.note(f"discovery: call {number} was given up before its answer")
            else:
                self.case.record.note(
                    f"discovery answers call {number} after {time.monotonic() - began:.3f} s"
                )
                self.answered += 1
            writer.write(first)
            while data := await up_reader.read(64 * 1024):
                writer.write(data)
                await writer.drain()
        self.tasks.discard(asking)
        asking.cancel()
        for one in (writer, up_writer):
            one.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(64 * 1024):
                writer.write(data)
        writer.close()


async def play(case: Case) -> bool:
    record, late, gone_at = case.record, {}, None
    failed: list[str] = []

    async def work(server: Server, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        name = words[2].decode()
        record.note(f"{server.name} is sent {name}")
        if server is servers[0] and gone_at is not None:
            since = time.monotonic() - gone_at
            if since > TOLD_S + GRACE_S:
                late[name] = since
                record.note(f"{name} came to a server that is gone, {since:.3f} s after discovery had it")
        await asyncio.sleep(WORK_S)
        writer.write(array(b"value of " + words[2]))

    servers = [await Server(f"s-{number}", work).start(case) for number in range(SERVERS)]
    gateway = Gateway(case, 0, settings())
    await gateway.agent.start()
    case.closers.append(gateway.agent.close)
    agent = await SlowAgent(case, gateway.agent.port).start()
    gateway.known = [server.row() for server in servers]
    await gateway.agent.put(*gateway.known)
    await gateway.spawn(EDGE_DISCOVERY=f"127.0.0.1:{agent.port}")

    async def client(number: int) -> None:
        name = new_id()
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        kind, body = ("read-board", None) if number % 2 else ("buy-highlight", b"highlight")
        writer.write(command(kind, request_id=name, customer=number, body=body))
        answer = await read_answer(reader)
        record.note(f"{name}, {kind}, got {answer!r:.40}")
        if body and name in late and answer != b"value of " + name.encode():
            failed.append(name)
        writer.close()

    clients, began = [], time.monotonic()
    while (now := time.monotonic() - began) < PLAYS_S:
        if gone_at is None and now >= GONE_AT_S:
            gone_at = time.monotonic()
            record.note(f"discovery has it that {servers[0].name} is gone; it still answers")
            await gateway.agent.gone(servers[0].name)
        if gone_at and time.monotonic() - gone_at >= ENDS_S and servers[0].server.is_serving():
            record.note(f"{servers[0].name} ends")
            servers[0].end()
        clients.append(asyncio.create_task(client(len(clients))))
        await asyncio.sleep(1.0 / RATE)
    await asyncio.gather(*clients)
    record.say(
        f"{len(clients)} requests; {agent.calls} calls to discovery, {agent.answered} of them heard; "
        f"{len(late)} attempts at the server that is gone, over {TOLD_S + GRACE_S:g} s after; of "
        f"these {len(failed)} buy-highlight were lost when it ended"
    )
    return bool(late)


run(__file__, play)
