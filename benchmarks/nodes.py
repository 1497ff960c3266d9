"""Echoing board nodes in a process of their own, so that their CPU is not counted: prints their ports."""

from __future__ import annotations

import asyncio
import sys

import hiredis
import uvloop

from brackenloft.standins import array


class Echo(asyncio.Protocol):
    """Answers each command with its id, at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.reader = transport, hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            self.transport.write(array(words[2], b"used=10", b"queue=0,util=0.1"))  # type: ignore[attr-defined]


async def main(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Echo, "127.0.0.1", 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)  # until who started it ends


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1])))
