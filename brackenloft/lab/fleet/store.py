"""A store, or a place for effects, as a process of its own.

    python -m brackenloft.lab.fleet.store --port 7000 [--history FILE]

A new process is a blank one, with another identity. It can be told to forget all, to go back to an earlier
content while it runs, and to answer badly. What is written under ``place:`` is told in the history.
"""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path
from typing import Any

from brackenloft.lab.fleet import control
from brackenloft.lab.fleet.history import Writer
from brackenloft.standins.counter import Counter, Mood, Store

PLACE, SAID, SWEEP = b"place:", b":said", b"quota:sweep"


class Place(Store):
    """Tells of each effect, in the order in which they are taken."""

    writer: Writer | None = None

    def run(self, words: list[bytes], copied: bool = False) -> bytes | None:
        reply = super().run(words, copied)
        if self.writer and words[0].upper() == b"SET" and reply == b"+OK\r\n" and _is_token(words[1]):
            self.writer.write("effect", place=words[1].decode(), token=int(words[2]))
        if self.writer and words[0].upper() == b"HDEL" and words[1].endswith(b":gateways"):
            self.writer.write("swept", runs=[word.decode() for word in words[2:]])
        return reply


def _is_token(key: bytes) -> bool:
    return key == SWEEP or key.startswith(PLACE) and not key.endswith(SAID)


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--history", type=Path)
    options = parser.parse_args()
    counter = Counter(Place())
    counter.port = options.port
    if options.history:
        counter.store.writer = Writer(options.history)  # type: ignore[attr-defined]
    await counter.start()
    saved: dict[bytes, Any] = {}

    def answer(order: dict[str, Any]) -> dict[str, Any]:
        nonlocal saved
        match order["do"]:
            case "mood":
                counter.store.mood = Mood[order["mood"]]
            case "wipe":
                counter.store.wipe()
            case "save":
                saved = counter.store.snapshot()
            case "go back":
                counter.store.restore(saved)
        return {"commands": counter.store.commands, "trips": counter.trips}

    await control.serve({"port": counter.port}, answer)


if __name__ == "__main__":
    control.die_with_parent()
    asyncio.run(main())
