"""Links between processes that can be cut, one way or both, slowed and reset: one process for each gateway.

    python -m brackenloft.lab.fleet.links NAME=PORT ...

A link listens for the gateway and goes on to a port. What is cut is kept, as the network's senders keep it,
and goes on when the cut is healed, unless the link is reset. Nothing is ever doubled. What comes back can
also stop or break off after a number of bytes, or be changed on its way.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from typing import Any

from brackenloft.lab.fleet import control

WAYS = ("there", "back")
READ = 65536
SPOILS = ("choke", "truncate", "garble")


class Link:
    """One of them."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.open = {way: asyncio.Event() for way in WAYS}
        self.delay_s = 0.0
        self.spoil = ""  # one of ``SPOILS``, of what comes back
        self.size_bytes = self.left_bytes = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.heal()

    def heal(self) -> None:
        """Both ways are open, at once."""
        self.delay_s = 0.0
        self.spoil = ""
        for gate in self.open.values():
            gate.set()

    def cut(self, ways: list[str]) -> None:
        """Nothing goes these ways any more."""
        for way in ways:
            self.open[way].clear()

    def spoil_answers(self, spoil: str, size_bytes: int) -> None:
        """What comes back stops for good (``choke``) or breaks off each time (``truncate``) after so many
        bytes, or has a byte changed in each piece (``garble``).
        """
        self.spoil = spoil
        self.size_bytes = self.left_bytes = size_bytes

    def reset(self) -> None:
        """All connections break, with what was kept on them."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection of the gateway."""
        self.writers.add(writer)
        other: asyncio.StreamWriter | None = None
        with suppress(OSError, asyncio.CancelledError):
            await self.open["there"].wait()
            back, other = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(other)
            pumps = {
                asyncio.create_task(self._pump("there", reader, other)),
                asyncio.create_task(self._pump("back", back, writer)),
            }
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        for each in (writer, other):
            if each:
                self.writers.discard(each)
                each.transport.abort()

    async def _pump(self, way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(READ):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.open[way].wait()
                if way == "back" and self.spoil:
                    data = await self._spoilt(data, writer)
                writer.write(data)
                await writer.drain()

    async def _spoilt(self, data: bytes, writer: asyncio.StreamWriter) -> bytes:
        """What is left to be passed on of a piece that comes back."""
        if self.spoil == "garble":
            middle = len(data) // 2
            return data[:middle] + bytes([data[middle] ^ 0x55]) + data[middle + 1 :]
        if len(data) <= self.left_bytes:
            self.left_bytes -= len(data)
            return data
        writer.write(data[: self.left_bytes])
        await writer.drain()
        if self.spoil == "truncate":
            self.left_bytes = self.size_bytes
            raise ConnectionAbortedError
        rest, self.left_bytes = data[self.left_bytes :], 0
        self.open["back"].clear()
        await self.open["back"].wait()
        return rest


async def main(words: list[str]) -> None:
    links = {name: Link(int(port)) for name, port in (word.split("=") for word in words)}
    ports = {}
    for name, link in links.items():
        server = await asyncio.start_server(link.serve, "127.0.0.1", 0)
        ports[name] = server.sockets[0].getsockname()[1]

    def answer(order: dict[str, Any]) -> dict[str, Any]:
        for name in order["on"]:
            link = links[name]
            match order["do"]:
                case "cut":
                    link.cut(order.get("ways", list(WAYS)))
                case "slow":
                    link.delay_s = order["ms"] / 1000.0
                case "heal":
                    link.heal()
                case "reset":
                    link.reset()
                case "choke" | "truncate" | "garble":
                    link.spoil_answers(order["do"], order["size_bytes"])
                case "aim":
                    link.target = order["port"]
        return {}

    await control.serve(ports, answer)


if __name__ == "__main__":
    control.die_with_parent()
    asyncio.run(main(sys.argv[1:]))
