"""A planned restart while a server still gives a long value that is passed on."""

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
    main,
    read_board,
    signal,
    time,
)

SIZE = 2 * 1024 * 1024  # bytes of a value; up to 4 MiB occur
GIVEN_S = 3.45  # the time in which a server writes it
PIECES = 46
KILL_S = 3.7  # from SIGTERM to SIGKILL at the earliest: the longest deadline (3 s at most) and 0.7 s


async def behave(server: Server, conn: Conn) -> None:
    """A sound board node that writes a long value slowly and steadily, the first bytes at once."""
    while True:
        _, words = await conn.words()
        began = time.monotonic()
        server.record.note(f"{server.name} runs {words[2].decode()}")
        whole = answer(b"v" * SIZE)
        step = len(whole) // PIECES + 1
        for number, start in enumerate(range(0, len(whole), step)):
            await asyncio.sleep(max(0.0, began + number * GIVEN_S / PIECES - time.monotonic()))
            conn.writer.write(whole[start : start + step])
            await conn.writer.drain()
        server.record.note(f"{server.name} has given all of it")


async def play(record: Record, folder: Path) -> bool:
    """Three reads of long values, then SIGTERM; SIGKILL when it may come."""
    servers = [
        await Server(f"s-{number}", "sala-b" if number % 2 else "sala-a", behave, record).start()
        for number in range(4)
    ]
    gateway = await Gateway(folder, record, SETTINGS).start(servers)
    ends: list[bool] = []

    async def client(number: int) -> None:
        conn = await gateway.connect()
        request_id = b"%016x" % number
        conn.writer.write(read_board(request_id, customer=0x300 + number))
        record.note(f"client sends {request_id.decode()}")
        said = await asyncio.wait_for(conn.reply(), 12.0)
        record.note(f"client gets {'a value cut off' if said is None else f'{len(said) - 1} bytes'}")
        ends.append(said is not None)
        conn.close()

    async def end() -> None:
        gateway.signal(signal.SIGTERM)
        told = time.monotonic()
        try:
            await asyncio.wait_for(gateway.process.wait(), KILL_S)
            record.note(f"the gateway has ended by itself {time.monotonic() - told:.2f} s after SIGTERM")
        except TimeoutError:
            gateway.signal(signal.SIGKILL)

    try:
        clients = [asyncio.create_task(client(number)) for number in range(3)]
        await asyncio.sleep(0.05)
        if TROUBLE:
            await end()
        await asyncio.gather(*clients)
        return all(ends)
    finally:
        await gateway.stop()


main(play, __file__)
