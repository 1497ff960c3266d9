"""Clients on real sockets: each customer asks at its own rate, bounded in time and number."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from brackenloft.interface import Effect, RequestClass
from brackenloft.standins.peer import Peer, resp

CONNECTIONS = 8  # of each customer: as many of its requests are open at once
LATE_S = 5.0  # beyond a request's deadline an answer is given up here, and counted as missing


@dataclass(frozen=True, slots=True)
class Member:
    """A customer and what it asks for: requests a second, of these classes alike."""

    customer: int
    plan: str
    rate: float
    classes: tuple[RequestClass, ...]


@dataclass(slots=True)
class Tally:
    """What came back, over all and by plan; times in milliseconds."""

    answers: Counter[str] = field(default_factory=Counter)
    by_plan: Counter[tuple[str, str]] = field(default_factory=Counter)
    times: list[float] = field(default_factory=list)
    asked: int = 0

    def note(self, plan: str, word: str, ms: float) -> None:
        """One answer."""
        self.answers[word] += 1
        self.by_plan[plan, word] += 1
        if word == "served":
            self.times.append(ms)


def command(member: Member, kind: RequestClass, number: int, gateways: int) -> bytes:
    """A request; ``number`` makes its id and key."""
    posts, key = kind.effect is not Effect.SAFE, kind.effect is Effect.KEYED
    listed = (
        f"c={kind.name},t={member.plan},d={kind.deadline_ms:.0f},{f'k={number:016x},' if key else ''}"
        f"units=1,spread={gateways},first=0"
    )
    words = [f"{member.customer:016x}", f"{number:016x}", listed]
    return resp("CALL.POST", *words, b"body") if posts else resp("CALL.GET", *words)


def word(answer: object) -> str:
    """An answer in one word."""
    if isinstance(answer, bytes):
        return "served"
    if isinstance(answer, str):
        return "refused" if answer.startswith("-BUSY") else "failed"
    return "missing"


async def exchange(port: int, peer: Peer | None, text: bytes) -> tuple[Peer | None, object]:
    """The answer; once more on a new connection where an old one was closed between requests."""
    for old in (True, False) if peer else (False,):
        try:
            peer = peer if old and peer else await Peer().open(port)
            answer = await peer.ask(text)
        except OSError:
            answer = None
        if answer is not None:
            return peer, answer
    return None, None


async def drive(
    port: int,
    members: list[Member],
    seconds: float,
    tally: Tally,
    seed: int = 1,
    gateways: int = 1,
) -> None:
    """Ask for so many seconds and wait for the last answer."""
    draw = random.Random(seed)
    numbers = iter(range(draw.getrandbits(62), 1 << 63))
    loop = asyncio.get_running_loop()

    async def ask(member: Member, free: asyncio.Queue[Peer | None]) -> None:
        kind = draw.choice(member.classes)
        text = command(member, kind, next(numbers), gateways)
        peer, began = await free.get(), loop.time()
        answer: object = None
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000.0 + LATE_S):
                peer, answer = await exchange(port, peer, text)
        except TimeoutError:
            peer = None
        free.put_nowait(peer)
        tally.note(member.plan, word(answer), (loop.time() - began) * 1000.0)

    async def live(member: Member) -> None:
        free: asyncio.Queue[Peer | None] = asyncio.Queue()
        for _ in range(CONNECTIONS):
            free.put_nowait(None)  # opened when it is needed: who says nothing is turned away
        end, tasks = loop.time() + seconds, set[asyncio.Task[None]]()
        while loop.time() < end:
            await asyncio.sleep(draw.expovariate(member.rate))
            tally.asked += 1
            task = loop.create_task(ask(member, free))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        while not free.empty():
            if peer := free.get_nowait():
                peer.writer.close()

    await asyncio.gather(*(live(member) for member in members))
