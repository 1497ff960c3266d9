"""Some good answers come twice, the second time some milliseconds late: whose answers do clients get?"""

from __future__ import annotations

from pathlib import Path

from rig_2 import SETTINGS, TROUBLE, Conn, Gateway, Record, Server, answer, asyncio, main, read_board

LATE_S = 0.012  # the second answer behind the first
ONE_IN = 10  # answers that come twice
AWAY_S = 0.001  # one way between the gateway and a server: 0.7 to 1.3 ms between rooms
CLIENTS, ASKED = 40, 70
WORK_S = 0.15


class Board:
    """A sound board node; some answers come twice, if nothing else waits on the connection by then."""

    def __init__(self) -> None:
        self.answered = self.twice = 0

    async def __call__(self, server: Server, conn: Conn) -> None:
        """Serve a connection; what is read and written takes its way."""
        loop, commands = asyncio.get_running_loop(), asyncio.Queue[bytes]()
        seen = [0]  # commands that have come here

        def come(request_id: bytes) -> None:
            seen[0] += 1
            commands.put_nowait(request_id)

        def write(value: bytes) -> None:
            loop.call_later(AWAY_S, conn.writer.write, value)

        def again(value: bytes, before: int, request_id: bytes) -> None:
            if seen[0] == before:
                self.twice += 1
                server.record.note(f"{server.name}/{conn.number} answers {request_id.decode()} once more")
                write(value)

        async def serve() -> None:
            while True:
                request_id = await commands.get()
                await asyncio.sleep(WORK_S)
                value = answer(b"for:" + request_id)
                write(value)
                self.answered += 1
                if TROUBLE and self.answered % ONE_IN == 0:
                    loop.call_later(LATE_S, again, value, seen[0], request_id)

        serving = asyncio.create_task(serve())
        try:
            while True:
                _, words = await conn.words()
                loop.call_later(AWAY_S, come, words[2])
        finally:
            serving.cancel()


async def play(record: Record, folder: Path) -> bool:
    """Ask on many connections and compare each value with the one that was made for the request."""
    board = Board()
    counts = {"right": 0, "wrong": 0, "other": 0}
    servers = [
        await Server(f"s-{number}", "sala-b" if number % 2 else "sala-a", board, record).start()
        for number in range(9)
    ]
    gateway = await Gateway(folder, record, SETTINGS).start(servers)

    async def client(number: int) -> None:
        conn = await gateway.connect()
        for turn in range(ASKED):
            request_id = b"%08x%08x" % (number, turn)
            conn.writer.write(read_board(request_id, customer=number * 1000 + turn))
            said = await asyncio.wait_for(conn.reply(), 8.0)
            if said == b"$for:" + request_id:
                counts["right"] += 1
            elif said and said.startswith(b"$"):
                counts["wrong"] += 1
                record.note(f"client {number} gets {said!r} for {request_id.decode()}: ANOTHER'S")
            else:
                counts["other"] += 1
            if said is None:
                conn = await gateway.connect()
            await asyncio.sleep(0.01 * (number % 7))
        conn.close()

    try:
        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        record.note(f"answers {counts}, of {board.answered} given {board.twice} came twice")
        return not counts["wrong"]
    finally:
        await gateway.stop()


main(play, __file__)
