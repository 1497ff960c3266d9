"""Clients read long values slowly and steadily while idle clients fill the descriptors."""

from __future__ import annotations

import contextlib
import socket
from pathlib import Path

from rig_2 import SETTINGS, TROUBLE, Conn, Gateway, Record, Server, answer, asyncio, main, read_board, time

SIZE = 256 * 1024  # bytes of a value; up to 4 MiB occur
READERS = 6
PIECE, PIECE_S = 1200, 0.1  # how a client reads: 12,000 bytes a second, without a pause
RECEIVE = 64 * 1024  # bytes of a slow client's receive buffer
DESCRIPTORS = 256  # of the gateway: 256 to 1,024 on the days that are scored
IDLERS, WAVE_S = (
    500,
    1.0,
)  # clients that connect and say nothing, and come again in the next second when they are shut
CROWD_AFTER_S = 2.0


async def behave(server: Server, conn: Conn) -> None:
    """A sound board node that writes each value at once."""
    while True:
        _, words = await conn.words()
        server.record.note(f"{server.name} gives all of {words[2].decode()}")
        conn.writer.write(answer(b"v" * SIZE))
        await conn.writer.drain()


async def read_slowly(conn: Conn, record: Record, name: str) -> bool:
    """Read a value steadily; whether it came whole."""
    head = await conn.header()
    left, began, read = int(head[1:]) + 2, time.monotonic(), 0
    while left:
        data = await conn.reader.read(min(PIECE, left))
        if not data:
            record.note(f"{name} reads the end of the connection, {left} bytes before the value's end")
            return False
        left -= len(data)
        read += len(data)
        await asyncio.sleep(max(0.0, began + read * PIECE_S / PIECE - time.monotonic()))
    record.note(f"{name} has all of its value, after {time.monotonic() - began:.1f} s")
    return True


async def play(record: Record, folder: Path) -> bool:
    """Six slow readers; then a crowd that says nothing, for as long as they read."""
    servers = [
        await Server(f"s-{number}", "sala-b" if number % 2 else "sala-a", behave, record).start()
        for number in range(9)
    ]
    gateway = await Gateway(folder, record, SETTINGS, sockets=DESCRIPTORS).start(servers)
    shut = [0]

    async def reader(number: int) -> bool:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE // 2)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", gateway.port))
        conn = Conn(*await asyncio.open_connection(sock=sock, limit=PIECE))
        request_id = b"%016x" % number
        conn.writer.write(read_board(request_id, customer=0x400 + number))
        record.note(f"client {number} sends {request_id.decode()}")
        whole = await asyncio.wait_for(read_slowly(conn, record, f"client {number}"), 60.0)
        conn.close()
        return whole

    async def idler(began: float) -> None:
        while True:
            with contextlib.suppress(OSError):
                conn = await gateway.connect()
                await conn.reader.read(1)
                shut[0] += 1
                conn.close()
            await asyncio.sleep(WAVE_S - (time.monotonic() - began) % WAVE_S)

    crowd: list[asyncio.Task[None]] = []
    try:
        readers = [asyncio.create_task(reader(number)) for number in range(READERS)]
        await asyncio.sleep(CROWD_AFTER_S)
        if TROUBLE:
            record.note(f"{IDLERS} clients connect and say nothing")
            crowd = [asyncio.create_task(idler(time.monotonic())) for _ in range(IDLERS)]
        ends = await asyncio.gather(*readers)
        record.note(f"whole: {sum(ends)} of {len(ends)}; idle clients were shut {shut[0]} times")
        for line in gateway.log_lines():
            if "takes nothing" in line or "takes too little" in line:
                record.note(f"the gateway's log: {line[:200]}")
        return all(ends)
    finally:
        for task in crowd:
            task.cancel()
        await gateway.stop()


main(play, __file__)
