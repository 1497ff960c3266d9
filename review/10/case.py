"""A gateway is drained, and ended by SIGTERM some seconds later: does it go on saying no?"""

from __future__ import annotations

import contextlib
from pathlib import Path

from rig_2 import (
    SETTINGS,
    TROUBLE,
    Conn,
    Gateway,
    NotRunError,
    Record,
    Server,
    answer,
    asyncio,
    command,
    main,
    read_board,
    signal,
    time,
)

ASKS_S = 0.1  # the front asks PING so often
DRAINED_S = 4.0  # after the call, a yes breaks the rule on lost requests
TERM_S = 5.0  # after the call: the planned restart
WATCHED_S = 6.5


async def behave(server: Server, conn: Conn) -> None:
    """A sound board node."""
    while True:
        _, words = await conn.words()
        server.record.note(f"{server.name} runs {words[2].decode()}")
        await asyncio.sleep(0.15)
        conn.writer.write(answer(b"for:" + words[2]))


async def drain(gateway: Gateway) -> bytes:
    """``POST /-/drain`` at the second address; the status line."""
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.admin)
    writer.write(b"POST /-/drain HTTP/1.1\r\nHost: gateway\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return line.strip()


async def play(record: Record, folder: Path) -> bool:
    """Ask as the front does, drain, end; a yes after the drain takes the gateway in again."""
    servers = [
        await Server(f"s-{number}", "sala-b" if number % 2 else "sala-a", behave, record).start()
        for number in range(4)
    ]
    gateway = await Gateway(folder, record, SETTINGS).start(servers)
    late_yes = 0
    try:
        status = await drain(gateway)
        called = time.monotonic()
        record.note(f"POST /-/drain: {status.decode()}")
        if b" 200 " not in status + b" ":
            raise NotRunError("the drain was refused")
        ended = False
        while (since := time.monotonic() - called) < WATCHED_S:
            if TROUBLE and since >= TERM_S and not ended:
                ended = True
                gateway.signal(signal.SIGTERM)
            said = None
            with contextlib.suppress(OSError, TimeoutError):
                conn = await gateway.connect()
                conn.writer.write(command(b"PING"))
                said = await asyncio.wait_for(conn.reply(), 1.0)
                if said == b"+PONG" and since > DRAINED_S:
                    late_yes += 1
                    request_id = b"%016x" % late_yes
                    conn.writer.write(read_board(request_id))  # the front has taken it in
                    got = await asyncio.wait_for(conn.reply(), 6.0)
                    record.note(f"the front deals it {request_id.decode()}, answered {got!r:.40}")
                conn.close()
            record.note(f"{since:.2f} s after the call, PING: {said!r}")
            await asyncio.sleep(ASKS_S)
        record.note(f"yes said {late_yes} times more than {DRAINED_S:g} s after the call")
        return not late_yes
    finally:
        await gateway.stop()


main(play, __file__)
