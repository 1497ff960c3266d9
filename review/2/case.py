"""A server gives a long value slowly, and the client has a second request behind it on its connection."""

from __future__ import annotations

import asyncio
import hashlib
import time

from common import TROUBLE, Case, Gateway, Server, array, command, new_id, read_answer, run, settings

SIZE = 4 * 1024 * 1024  # of a long value, DAYS: up to 4 MiB
PIECE = 32 * 1024
GIVES_S = 8.0  # in which the server gives a long value, where it is slow
WAIT_MS = 5000  # that the client waits for the answer, the class's deadline
CLIENTS = 6
END_S = 30.0


async def play(case: Case) -> bool:
    record, made, cut = case.record, {}, {}

    async def work(server: Server, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        name = words[2].decode()
        record.note(f"{server.name} begins {name}")
        if not name.startswith("a"):
            writer.write(array(b"short " + words[2]))
            return
        value = hashlib.sha256(words[2]).hexdigest().encode() * (SIZE // 64)
        made[name] = value
        whole, given = array(value), 0
        for start in range(0, len(whole), PIECE):
            if writer.is_closing():
                break
            writer.write(whole[start : start + PIECE])
            given += PIECE
            try:
                await writer.drain()
            except OSError:
                break
            if TROUBLE:
                await asyncio.sleep(GIVES_S * PIECE / SIZE)
        if given < len(whole):
            cut[name] = given
            record.note(f"{server.name} could not go on with {name} after {given} bytes: it was cut off")
        else:
            record.note(f"{server.name} has given all of {name}")

    servers = [await Server(f"s-{number}", work).start(case) for number in range(3)]
    gateway = await Gateway(case, 0, settings()).start([server.row() for server in servers])

    async def client(number: int) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=SIZE)
        long, short = "a" + new_id()[1:], "b" + new_id()[1:]
        sent = time.monotonic()
        record.note(f"client {number} sends {long}, a long value, and {short} behind it")
        writer.write(command("read-board", request_id=long, wait_ms=WAIT_MS))
        writer.write(command("read-board", request_id=short, wait_ms=WAIT_MS))
        first = await read_answer(reader)
        second = await read_answer(reader) if first is not None else None
        took = time.monotonic() - sent
        writer.close()
        heard = "the whole value" if first == made.get(long) else f"{first!r:.40}"
        record.note(f"client {number}: {long} got {heard}, {short} got {second!r:.40}, after {took:.3f} s")
        return long if first != made.get(long) else ""

    async with asyncio.timeout(END_S):
        lost = [name for name in await asyncio.gather(*map(client, range(CLIENTS))) if name]
    await asyncio.sleep(0.5)
    losses = [name for name in lost if name in cut]
    record.say(
        f"{CLIENTS} long values asked for, {len(lost)} not served whole, {len(losses)} of them cut off"
    )
    return bool(losses)


run(__file__, play)
