"""A client pipelines, and the server's connection is reset within the long answer before."""

from __future__ import annotations

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
)

SIZE = 400 * 1024  # bytes of a long value; up to 4 MiB occur
PIECE, PIECE_S = 16 * 1024, 0.04  # how it is written: 400 KB a second
RESET_AFTER = 256 * 1024  # bytes of it


def board(ran: set[bytes]):
    """A sound board node; with trouble, a connection is reset within a long answer."""

    async def behave(server: Server, conn: Conn) -> None:
        while True:
            _, words = await conn.words()
            request_id = words[2]
            ran.add(request_id)
            server.record.note(f"{server.name} runs {request_id.decode()}")
            if not request_id.startswith(b"long"):
                await asyncio.sleep(0.2)
                conn.writer.write(answer(b"for:" + request_id))
                continue
            whole = answer(b"v" * SIZE)
            for start in range(0, len(whole), PIECE):
                if TROUBLE and start >= RESET_AFTER:
                    server.record.note(f"{server.name} resets the connection within {request_id.decode()}")
                    conn.reset()
                    return
                conn.writer.write(whole[start : start + PIECE])
                await conn.writer.drain()
                await asyncio.sleep(PIECE_S)

    return behave


async def play(record: Record, folder: Path) -> bool:
    """Four clients, each with a read of a long value and a purchase right behind it."""
    ran: set[bytes] = set()
    servers = [
        await Server(f"s-{number}", "sala-b" if number % 2 else "sala-a", board(ran), record).start()
        for number in range(9)
    ]
    gateway = await Gateway(folder, record, SETTINGS).start(servers)
    lost: list[str] = []

    async def client(number: int) -> None:
        conn = await gateway.connect()
        long, buy = b"long%012d" % number, b"buy%013d" % number
        first = read_board(long, customer=0x100 + number)
        conn.writer.write(first + buy_highlight(buy, customer=0x200 + number))
        record.note(f"client {number} sends {long.decode()} and {buy.decode()}")
        for request_id in (long, buy):
            said = await asyncio.wait_for(conn.reply(), 15.0)
            size = "the connection ended" if said is None else f"{len(said)} bytes {said[:24]!r}"
            record.note(f"client {number} gets for {request_id.decode()}: {size}")
        if said is None:
            lost.append(buy.decode() + (", which has run" if buy in ran else ""))
        conn.close()

    try:
        await asyncio.gather(*(client(number) for number in range(4)))
        record.note(f"taken and never answered: {lost}")
        for line in gateway.log_lines():
            if "obligation not kept" in line:
                record.note(f"the gateway's log: {line}")
        return not lost
    finally:
        await gateway.stop()


main(play, __file__)
