"""A process that reads and changes a few registers, and writes what it saw into a history.

python -m brackenloft.lab.fleet.clerk FILE      FILE: JSON, see ``Order``
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

import msgspec

from brackenloft.fleet.registers.model import Held
from brackenloft.fleet.registers.registers import NoMajority, Registers, Unsure, known_members
from brackenloft.fleet.registers.store import Store
from brackenloft.lab.fleet import control
from brackenloft.lab.fleet.history import Writer, now_ms

WITHIN_S = 0.6
LOOK_S = 0.1


class Order(msgspec.Struct):
    """What it is told."""

    who: str
    seed: int
    stores: dict[str, str]
    registers: list[str]
    history: str
    timeout_ms: float = 150.0
    pause_ms: float = 20.0
    most: int = 60  # operations on a register: what the search for their order bears


class Clerk:
    """Its work."""

    def __init__(self, order: Order) -> None:
        self.order, self.random = order, random.Random(order.seed)
        self.writer = Writer(Path(order.history))
        self.stores = {
            name: Store(url, "fleet", order.timeout_ms / 1000.0) for name, url in order.stores.items()
        }
        self.known: dict[str, int] = {}
        self.left = {name: order.most for name in order.registers}

    async def run(self) -> None:
        """Until each register has had its number of operations."""
        while not (members := await known_members(self.stores)):
            await asyncio.sleep(LOOK_S)
        self.registers = Registers(self.stores, members, self.order.who, self.order.seed)
        while names := [name for name, left in self.left.items() if left]:
            name = self.random.choice(names)
            self.left[name] -= 1
            await (self._read if self.random.random() < 0.4 else self._cas)(name)
            await asyncio.sleep(self.random.expovariate(1000.0 / self.order.pause_ms))

    async def _read(self, name: str) -> None:
        begin = now_ms()
        try:
            held = await self.registers.read(name, WITHIN_S)
        except NoMajority:
            return  # a read that told nothing proves nothing
        version, data = (held.version, held.data.decode()) if held else (0, "")
        self.known[name] = version
        self._note(name, begin, "read", version, data, True)

    async def _cas(self, name: str) -> None:
        begin, version, data = now_ms(), self.known.get(name, 0), self.registers.next_op()
        found = version

        def change(held: Held | None) -> bytes | None:
            nonlocal found
            found = held.version if held else 0
            return data.encode() if found == version else None

        took: bool | None
        try:
            done = await self.registers.change(name, change, WITHIN_S)
            took = True if done.mine else None if done.retried else False
        except Unsure:
            took = None
        except NoMajority:
            return  # nothing was changed, and nothing was told
        self.known[name] = version + 1 if took else found
        self._note(name, begin, "cas", version, data, took)

    def _note(self, name: str, begin: float, does: str, version: int, data: str, took: bool | None) -> None:
        self.writer.write(
            "op",
            register=name,
            who=self.order.who,
            begin=begin,
            does=does,
            version=version,
            data=data,
            took=took,
        )


if __name__ == "__main__":
    control.die_with_parent()
    asyncio.run(Clerk(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Order)).run())
