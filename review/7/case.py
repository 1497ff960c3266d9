"""A planned restart while long purchases wait, on kept connections, for memory to be read whole."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rig_2 import (
    SETTINGS,
    TROUBLE,
    Conn,
    Gateway,
    Record,
    Server,
    answer,
    asyncio,
    buy_highlight,
    main,
    read_board,
    signal,
    socket,
    time,
)

MEMORY_MB, DESCRIPTORS = 64, 1024
SIZE = 512 * 1024  # bytes of a purchase; up to 4 MiB occur
EVERY_S, LASTS_S = 0.025, 4.0  # 40 purchases a second; a gateway gets up to 140 requests
SERVERS, WORK_S = 10, 0.2
PIECE, PIECE_S = 16 * 1024, 0.04  # how a server takes what is long: slowly, 0.4 MB a second
WAIT_S, SLACK_S = 8.0, 0.5  # what a client waits for its answer; up to half a second later it earns nothing
KILL_S = 3.7  # from SIGTERM to SIGKILL at the earliest: the longest deadline (3 s at most) and 0.7 s


async def behave(server: Server, conn: Conn) -> None:
    """A sound board node that reads long bodies slowly and steadily, and answers after its work."""
    while begun := await conn.reader.read(1):
        count = int((begun + await conn.header())[1:])
        words = [await conn.bulk() for _ in range(4)]
        if count > len(words):
            left, began, taken = int((await conn.header())[1:]) + 2, time.monotonic(), 0
            while left:
                data = await conn.reader.read(min(left, PIECE))
                if not data:
                    return
                left, taken = left - len(data), taken + len(data)
                await asyncio.sleep(max(0.0, began + PIECE_S * taken / PIECE - time.monotonic()))
        server.record.note(f"{server.name} runs {words[2].decode()}")
        await asyncio.sleep(WORK_S)
        conn.writer.write(answer(b"for:" + words[2]))


@dataclass
class Purchase:
    """What its client knows of one purchase; times by the clock of the case."""

    written: float | None = None  # when its last byte had been written to the connection
    ended: float | None = None
    got: bytes = b""  # of the answer


async def receive_line(sock: socket.socket) -> bytes:
    """What comes up to the end of an answer; nothing if the connection ends before."""
    loop, come = asyncio.get_running_loop(), b""
    while not come.endswith(b"\r\n"):
        try:
            data = await loop.sock_recv(sock, 65536)
        except OSError:
            return b""
        if not data:
            return b""
        come += data
    return come


async def client(gateway: Gateway, number: int, purchase: Purchase) -> None:
    """A read, and on the same connection a purchase."""
    loop, record = asyncio.get_running_loop(), gateway.record
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", gateway.port))
        await loop.sock_sendall(sock, read_board(b"read%012d" % number, customer=0x900 + number))
        if not await receive_line(sock):
            return
        name = b"buy%013d" % number
        record.note(f"client sends {name.decode()}")
        try:
            await loop.sock_sendall(sock, buy_highlight(name, b"b" * SIZE, customer=0x900 + number))
        except OSError:
            record.note(f"client could not write all of {name.decode()}")
            return
        purchase.written = time.monotonic()
        record.note(f"client has written the last byte of {name.decode()}")
        purchase.got = await receive_line(sock)
        purchase.ended = time.monotonic()
        said = repr(purchase.got[:12]) if purchase.got else "NO ANSWER, its connection ended"
        record.note(
            f"client gets {said} for {name.decode()}, {purchase.ended - purchase.written:.2f} s later"
        )


def is_lost(purchase: Purchase, told: float) -> bool:
    """Whether it was written whole before the process was told to end, and never answered in time."""
    if purchase.written is None or purchase.written >= told or purchase.got:
        return False
    return purchase.ended is None or purchase.ended < purchase.written + WAIT_S


async def play(record: Record, folder: Path) -> bool:
    """Purchases that together take more memory than there is, then SIGTERM; SIGKILL when it may come."""
    servers = [
        await Server(f"s-{number}", "sala-b" if number % 2 else "sala-a", behave, record).start()
        for number in range(SERVERS)
    ]
    gateway = Gateway(folder, record, SETTINGS, memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
    await gateway.start(servers)
    purchases: list[Purchase] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        until = time.monotonic() + LASTS_S
        while time.monotonic() < until:
            purchases.append(Purchase())
            tasks.append(asyncio.create_task(client(gateway, len(tasks), purchases[-1])))
            await asyncio.sleep(EVERY_S)
        told = time.monotonic()
        waiting = sum(one.written is not None and not one.got for one in purchases)
        record.note(f"{waiting} purchases are written whole and not answered yet")
        if TROUBLE:
            gateway.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(gateway.process.wait(), KILL_S)
                record.note(f"the gateway has ended by itself {time.monotonic() - told:.2f} s after SIGTERM")
            except TimeoutError:
                gateway.signal(signal.SIGKILL)
        await asyncio.wait(tasks, timeout=WAIT_S + SLACK_S)
        lost = sum(is_lost(one, told) for one in purchases)
        served = sum(one.got.startswith(b"$") for one in purchases)
        refused = sum(one.got.startswith(b"-BUSY") for one in purchases)
        record.note(f"of {len(purchases)} purchases {served} served, {refused} refused, {lost} LOST")
        return not lost
    finally:
        for task in tasks:
            task.cancel()
        await gateway.stop()


main(play, __file__)
