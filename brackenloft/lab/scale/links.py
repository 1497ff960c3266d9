"""Links that count: those of ``lab.fleet.links``, with the bytes that went each way.

    python -m brackenloft.lab.scale.links NAME=PORT ...

Bytes are those of the stream, without the headers of TCP and IP. An order ``{"do": "count"}`` is answered by
the counts of each link; the other orders are those of ``lab.fleet.links``.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from typing import Any

from brackenloft.lab.fleet import control
from brackenloft.lab.fleet.links import Link


class CountingReader:
    """A stream's reader that counts what it gives."""

    def __init__(self, reader: asyncio.StreamReader, counts: Counter[str], way: str) -> None:
        self.reader, self.counts, self.way = reader, counts, way

    async def read(self, most: int) -> bytes:
        """As the stream's own."""
        data = await self.reader.read(most)
        self.counts[self.way] += len(data)
        return data


class CountingLink(Link):
    """A link with the bytes that went each way, and how many connections were made."""

    def __init__(self, target: int) -> None:
        super().__init__(target)
        self.counts: Counter[str] = Counter()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counts["connections"] += 1
        await super().serve(reader, writer)

    async def _pump(self, way: str, reader: Any, writer: asyncio.StreamWriter) -> None:
        await super()._pump(way, CountingReader(reader, self.counts, way), writer)  # type: ignore[arg-type]


def carry_out(links: dict[str, CountingLink], order: dict[str, Any]) -> dict[str, Any]:
    """One order of the driver."""
    if order["do"] == "count":
        return {name: dict(link.counts) for name, link in links.items()}
    for name in order.get("on", list(links)):
        match order["do"]:
            case "cut":
                links[name].cut(order.get("ways", ["there", "back"]))
            case "heal":
                links[name].heal()
            case "reset":
                links[name].reset()
            case "aim":
                links[name].target = order["port"]
    return {}


async def main(words: list[str]) -> None:
    """Until the driver closes the input."""
    links = {name: CountingLink(int(port)) for name, port in (word.split("=") for word in words)}
    ports = {}
    for name, link in links.items():
        server = await asyncio.start_server(link.serve, "127.0.0.1", 0)
        ports[name] = server.sockets[0].getsockname()[1]
    await control.serve(ports, lambda order: carry_out(links, order))


if __name__ == "__main__":
    control.die_with_parent()
    asyncio.run(main(sys.argv[1:]))
