"""A publisher of a trial: changes one after the other, each on what it last heard to stand.

    python -m brackenloft.lab.configuration.publisher FILE      FILE: JSON, see ``PublisherOrder``

It may be killed at any moment; what it asked is in its history before it is sent.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

import aiohttp
import msgspec

from brackenloft.configuration import codec
from brackenloft.configuration.messages import (
    PUBLISH_PATH,
    Conflict,
    PublishAnswer,
    Published,
    PublishRequest,
    Unavailable,
)
from brackenloft.configuration.model import Delta
from brackenloft.lab.configuration import changes
from brackenloft.lab.configuration.events import EventWriter, PublishAnswered, PublishAsked, log_to, now_ms
from brackenloft.lab.fleet import control

TIMEOUT_S = 3.0  # of one publish


class PublisherOrder(msgspec.Struct):
    """What it is told. ``number``: its own of ``publishers``; ``start``: how often it was started before."""

    name: str
    seed: int
    number: int
    publishers: int
    start: int
    urls: list[str]
    history: str
    every_ms: float
    tenants: int
    plans: int


class Publisher:
    """Its work."""

    def __init__(self, order: PublisherOrder) -> None:
        self.order = order
        self.dice = random.Random(f"{order.seed}/{order.name}/{order.start}")
        self.writer = EventWriter(Path(order.history))
        self.base = 0
        self.asked = 0

    async def run(self) -> None:
        """Until it is killed."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self.publish(session)
                await asyncio.sleep(self.dice.expovariate(1000.0 / self.order.every_ms))

    async def publish(self, session: aiohttp.ClientSession) -> None:
        """One change, and what came of it."""
        marker = f"m-{self.order.name}-{self.order.start}-{self.asked}"
        delta = self._delta(marker)
        self.asked += 1
        self.writer.write(PublishAsked(now_ms(), marker, delta))
        url = self.dice.choice(self.order.urls) + PUBLISH_PATH
        body = codec.encode(PublishRequest(delta, author=self.order.name))
        try:
            async with session.post(url, data=body) as response:
                answer: PublishAnswer = codec.decode(await response.read(), PublishAnswer)
        except (aiohttp.ClientError, TimeoutError, codec.CodecError):
            return  # nothing was said: it may stand or not
        self._take(marker, answer)

    def _delta(self, marker: str) -> Delta:
        order = self.order
        if self.dice.random() < changes.INVALID:
            return changes.invalid(self.dice, self.base, marker)
        rate = float(1 + order.number + order.publishers * (self.asked + 10_000 * order.start))
        return changes.change(self.dice, self.base, marker, rate, order.tenants, order.plans)

    def _take(self, marker: str, answer: PublishAnswer) -> None:
        kind, at_ms = type(answer).__name__, now_ms()
        match answer:
            case Published():
                self.base = answer.revision
                told = PublishAnswered(at_ms, marker, kind, answer.revision, answer.digest)
            case Conflict():
                self.base = answer.standing
                told = PublishAnswered(at_ms, marker, kind)
            case Unavailable():
                told = PublishAnswered(at_ms, marker, kind, may_stand=answer.may_stand)
            case _:
                told = PublishAnswered(at_ms, marker, kind)
        self.writer.write(told)


async def main(path: Path) -> None:
    """Publish until the input ends."""
    order = msgspec.json.decode(path.read_bytes(), type=PublisherOrder)
    log_to(path.with_suffix(".log"))
    publishing = asyncio.create_task(Publisher(order).run())
    serving = asyncio.create_task(control.serve({}, lambda _: {}))
    await asyncio.wait([publishing, serving], return_when=asyncio.FIRST_COMPLETED)
    publishing.cancel()


if __name__ == "__main__":
    control.die_with_parent()
    asyncio.run(main(Path(sys.argv[1])))
