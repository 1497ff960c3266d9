"""A crowd of bad clients, a process of its own: ``... bad_clients FILE PORT SEED SECONDS KIND COUNT``.

Each comes again the moment it is cut off. A line of JSON for each request that one left behind goes to
the file at the end.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import msgspec
import uvloop

from brackenloft.lab.overload.payload import Effect, Origin, command, request_id
from brackenloft.lab.overload.records import DepartureRecord
from brackenloft.lab.overload.scenario import ALL_KINDS, CrowdKind
from brackenloft.standins.peer import resp

LONG_BODY = b"b" * (4 * 1024 * 1024)
WAIT_S = 60.0
WRITE_BYTES, WRITE_EACH_S = 2048, 0.25
READ_BYTES, READ_EACH_S = 2048, 0.2
RECEIVE_BUFFER = 16 * 1024  # bytes, of those that read slowly
AGAIN_S = 0.01
WAVE_S = 0.5  # between two waves of those that send garbage
LONG_SIZES = (3, 4)  # indices of values that slow readers ask for
PIPELINED, PIPELINED_SIZES = 200, (0, 1)
LONGEST_STAY_S = 0.02  # of one that connects, asks and goes
MOST_FIELDS = 100


class BadClient:
    """One client; ``misbehave`` is one connection of its kind."""

    def __init__(self, number: int, port: int, kind: CrowdKind, chance: random.Random) -> None:
        self.port, self.kind, self.random = port, kind, chance
        self.numbers = itertools.count(number << 24)
        self.left: list[DepartureRecord] = []

    async def run(self) -> None:
        """Connect again and again until this is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            with socket.socket() as sock, suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
                await BEHAVIOURS[self.kind](self, sock)
            await asyncio.sleep(AGAIN_S)

    def identity(self, size_index: int = 0) -> int:
        """Of the next request."""
        return request_id(Origin.BAD, size_index, next(self.numbers))

    async def _until_closed(self, sock: socket.socket) -> None:
        while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
            pass

    async def write_slowly(self, sock: socket.socket) -> None:
        """A long post in small pieces."""
        data = memoryview(command(self.identity(), Effect.UNSAFE, WAIT_S, LONG_BODY))
        for start in range(0, len(data), WRITE_BYTES):
            await asyncio.get_running_loop().sock_sendall(sock, data[start : start + WRITE_BYTES])
            await asyncio.sleep(WRITE_EACH_S)
        await self._until_closed(sock)

    async def stop_half_way(self, sock: socket.socket) -> None:
        """Half of a long post."""
        data = command(self.identity(), Effect.UNSAFE, WAIT_S, LONG_BODY)[: len(LONG_BODY) // 2]
        await asyncio.get_running_loop().sock_sendall(sock, data)
        await self._until_closed(sock)

    async def send_heads(self, sock: socket.socket) -> None:
        """Unsound commands, then the head of a long post with as many short fields as may be."""
        fields = b",".join(b"%c%c=1" % (65 + place % 26, 65 + place // 26) for place in range(MOST_FIELDS))
        identity = f"{self.identity():016x}"
        head = resp("CALL.POST", identity, identity, fields).replace(b"*4", b"*5")
        data = resp("x") * 10 + head + b"$%d\r\n" % len(LONG_BODY) + LONG_BODY[:100_000]
        await asyncio.get_running_loop().sock_sendall(sock, data)
        await self._until_closed(sock)

    async def read_slowly(self, sock: socket.socket) -> None:
        """A long value."""
        identity = self.identity(self.random.choice(LONG_SIZES))
        await asyncio.get_running_loop().sock_sendall(sock, command(identity, Effect.SAFE, WAIT_S))
        await self._read_slowly(sock)

    async def _read_slowly(self, sock: socket.socket) -> None:
        while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
            await asyncio.sleep(READ_EACH_S)

    async def garble(self, sock: socket.socket) -> None:
        """What is no command, in waves."""
        await asyncio.sleep(WAVE_S - time.monotonic() % WAVE_S)
        data = self.random.randbytes(self.random.randrange(1, 3000))
        await asyncio.get_running_loop().sock_sendall(sock, self.random.choice((data, b"*9\r\n" + data)))
        await self._until_closed(sock)

    async def churn(self, sock: socket.socket) -> None:
        """Connect, ask and go."""
        identity = self.identity(self.random.choice(PIPELINED_SIZES))
        await asyncio.get_running_loop().sock_sendall(sock, command(identity, Effect.SAFE, WAIT_S))
        await asyncio.sleep(self.random.random() * LONGEST_STAY_S)
        sock.close()
        self.left.append(DepartureRecord(identity, time.monotonic()))

    async def rest(self, sock: socket.socket) -> None:
        """Ask once, then keep the connection until it is closed."""
        await asyncio.get_running_loop().sock_sendall(sock, command(self.identity(), Effect.SAFE, WAIT_S))
        await self._until_closed(sock)

    async def stay_silent(self, sock: socket.socket) -> None:
        """Say nothing until the connection is closed."""
        await self._until_closed(sock)

    async def pipeline(self, sock: socket.socket) -> None:
        """Many reads at once, whose answers are read slowly."""
        sizes = [self.random.choice(PIPELINED_SIZES) for _ in range(PIPELINED)]
        data = b"".join(command(self.identity(size), Effect.SAFE, WAIT_S) for size in sizes)
        await asyncio.get_running_loop().sock_sendall(sock, data)
        await self._read_slowly(sock)


BEHAVIOURS: dict[CrowdKind, Callable[[BadClient, socket.socket], Awaitable[None]]] = {
    CrowdKind.WRITE: BadClient.write_slowly,
    CrowdKind.HALF: BadClient.stop_half_way,
    CrowdKind.HEADS: BadClient.send_heads,
    CrowdKind.READERS: BadClient.read_slowly,
    CrowdKind.GARBLE: BadClient.garble,
    CrowdKind.CHURN: BadClient.churn,
    CrowdKind.PIPELINE: BadClient.pipeline,
    CrowdKind.REST: BadClient.rest,
    CrowdKind.SILENT: BadClient.stay_silent,
}


async def play(port: int, seed: int, seconds: float, kind: CrowdKind, count: int) -> list[DepartureRecord]:
    """All of them beside each other."""
    kinds = ALL_KINDS if kind is CrowdKind.ALL else (kind,)
    clients = [
        BadClient(number, port, kinds[number % len(kinds)], random.Random(f"bad {seed} {number}"))
        for number in range(count)
    ]
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(client.run() for client in clients))
    return [record for client in clients for record in client.left]


def main() -> None:
    """Play, then write what was left behind."""
    port, seed, seconds, kind, count = sys.argv[2:]
    left = uvloop.run(play(int(port), int(seed), float(seconds), CrowdKind(kind), int(count)))
    Path(sys.argv[1]).write_bytes(b"\n".join(map(msgspec.json.encode, left)))


if __name__ == "__main__":
    main()
