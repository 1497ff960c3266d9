"""Clients read a long value slowly and steadily, far above the gateway's least rate."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import time

from common import TROUBLE, Case, Gateway, Server, array, command, new_id, read_answer, run, settings

SIZE = 4 * 1024 * 1024  # DAYS: values of up to 4 MiB
PIECE = 64 * 1024
PACE = 30.0 * 1024.0  # bytes a second that a slow client reads, without a pause
SLOW_S = 30.0  # for so long; then it reads all that comes
RECEIVES = 64 * 1024  # that the client's machine takes in for a connection before it is read
CLIENTS = 6
END_S = 90.0


async def play(case: Case) -> bool:
    record, made, given = case.record, {}, {}

    async def work(server: Server, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        name = words[2].decode()
        record.note(f"{server.name} begins {name}")
        made[name] = hashlib.sha256(words[2]).hexdigest().encode() * (SIZE // 64)
        whole, given[name] = array(made[name]), 0
        for start in range(0, len(whole), PIECE):
            writer.write(whole[start : start + PIECE])
            await writer.drain()
            given[name] += PIECE
        record.note(f"{server.name} has given all of {name}")

    servers = [await Server(f"s-{number}", work).start(case) for number in range(3)]
    gateway = await Gateway(case, 0, settings()).start([server.row() for server in servers])

    async def client(number: int) -> bool:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", gateway.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=PIECE)
        name, sent = new_id(), time.monotonic()
        record.note(f"client {number} sends {name}")
        writer.write(command("read-board", request_id=name))
        answer = await read_answer(reader, PACE if TROUBLE else 0.0, SLOW_S)
        took = time.monotonic() - sent
        writer.close()
        if answer == made.get(name):
            record.note(f"client {number}: {name} got the whole value, after {took:.1f} s")
            return True
        record.note(f"client {number}: {name} got {answer!r:.40}, its connection ended after {took:.1f} s")
        return False

    async with asyncio.timeout(END_S):
        whole = await asyncio.gather(*map(client, range(CLIENTS)))
    record.say(f"{CLIENTS} long values, {whole.count(False)} of them not served whole")
    return not all(whole)


run(__file__, play)
