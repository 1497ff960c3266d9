"""A server is slow, a second copy of a read goes out, and both copies' long values begin to come."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

from rig_2 import (
    SETTINGS,
    TROUBLE,
    Conn,
    Gateway,
    Record,
    Server,
    answer,
    asyncio,
    command,
    main,
    time,
)

ROOMS = ("room-a", "room-b", "room-c")
SERVERS = 10  # one of them is slow
SIZE = 256 * 1024  # bytes of a value; up to 4 MiB occur
WORK_S = 0.17
SLOW_S = 1.3  # until the slow server's answer begins: still within the aim of 1.5 s
GIVEN_S, PIECES = 1.2, 12  # the time in which a server writes a value, and in how many pieces
READS, EVERY_S = 100, 0.125
WAIT_MS = 4000


def guild() -> dict[str, Any]:
    """The settings of the second deployment, as far as they matter here."""
    settings = copy.deepcopy(SETTINGS)
    read, _, publish = settings["services"]
    read |= {"name": "profile-read", "slo_ms": 1500.0, "hard_limit_ms": 4000.0}
    publish |= {"name": "route-publish", "slo_ms": 3000.0, "hard_limit_ms": 12000.0, "value": 2.0}
    settings["services"] = [read, publish]
    settings["limits"] |= {"may_duplicate": True, "probes": False, "conn_idle_ms": 15000.0}
    settings["limits"] |= {"max_retry_after_ms": 500.0, "cpu_us_per_s": 400000}
    settings["contract"] |= {"fall_ms": 3000.0, "start_capacity": 0.22, "tip_multiple": 3.0}
    settings["load_info"] = {"how": "answers", "names": ["rif", "rate", "q"]}
    settings["tariffs"][0] |= {"name": "standard", "refill": 6.0, "most_at_once": 28.0}
    settings["tariffs"][0] |= {"value_factor": 1.1, "excess_worth": 0.1, "overrun_cost": 0.0}
    settings |= {"balancers": 3, "kinds": ["large", "small"], "locality": ROOMS[0], "zones": list(ROOMS)}
    settings |= {"tiers": ["profile-fleet"], "weight_kind": "none", "tick_ms": 4.0}
    return settings


async def behave(server: Server, conn: Conn) -> None:
    """A sound profile server that writes long values steadily; the first one may be slow to begin."""
    while True:
        _, words = await conn.words()
        name = words[2].decode()
        server.record.note(f"{server.name} begins {name}")
        await asyncio.sleep(SLOW_S if TROUBLE and server.name == "s-0" else WORK_S)
        whole = answer(words[2] * (SIZE // len(words[2])))
        began, step = time.monotonic(), len(whole) // PIECES + 1
        for number, start in enumerate(range(0, len(whole), step)):
            await asyncio.sleep(max(0.0, began + number * GIVEN_S / PIECES - time.monotonic()))
            try:
                conn.writer.write(whole[start : start + step])
                await conn.writer.drain()
            except OSError:
                server.record.note(f"{server.name}: its connection ended within the value of {name}")
                raise
        server.record.note(f"{server.name} has given all of {name}")


async def play(record: Record, folder: Path) -> bool:
    """Reads of long values at a steady pace, each by a client of its own."""
    servers = [
        await Server(f"s-{number}", ROOMS[number % 3], behave, record).start() for number in range(SERVERS)
    ]
    gateway = await Gateway(folder, record, guild()).start(servers)
    ends: list[str] = []

    async def client(number: int) -> None:
        conn = await gateway.connect()
        request_id = b"%016x" % (0x9B1F0000 + number)
        named = f"c=profile-read,t=standard,d={WAIT_MS},units=1,spread=2,first=0".encode()
        conn.writer.write(command(b"CALL.GET", b"%016x" % (0x300 + number), request_id, named))
        record.note(f"client sends {request_id.decode()}")
        try:
            head = await conn.header()
        except (EOFError, OSError):
            record.note(f"client: CLOSED with no answer to {request_id.decode()}")
            ends.append("closed unanswered")
            return
        if not head.startswith(b"$"):
            record.note(f"client gets {head!r} for {request_id.decode()}")
            ends.append("no value")
            conn.close()
            return
        record.note(f"client gets the first bytes for {request_id.decode()}")
        try:
            value = await conn.reader.readexactly(int(head[1:]) + 2)
        except (OSError, asyncio.IncompleteReadError) as error:
            got = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else 0
            record.note(f"client: CUT OFF within the value of {request_id.decode()}, after {got} bytes")
            ends.append("cut off")
            return
        same = value[:-2] == request_id * (SIZE // len(request_id))
        record.note(f"client has all of {request_id.decode()}{'' if same else ': ANOTHER VALUE'}")
        ends.append("whole" if same else "another value")
        conn.close()

    try:
        tasks = []
        for number in range(READS):
            tasks.append(asyncio.create_task(asyncio.wait_for(client(number), 20.0)))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*tasks)
        record.note(
            f"of {READS} reads: " + ", ".join(f"{ends.count(kind)} {kind}" for kind in sorted({*ends}))
        )
        return not {"cut off", "closed unanswered", "another value"} & {*ends}
    finally:
        await gateway.stop()


main(play, __file__)
