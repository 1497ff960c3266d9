"""How late a list of servers may be: the real watch on discovery, in virtual time, against calls that fail.

The loop's clock jumps to the next timer whenever nothing is ready, so that every chain of failures takes no
time and the same figure comes out each time. What discovery does on each call is a ``Fault``; after those
named it answers at once, with the list as it is then.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Iterator, Sequence
from enum import StrEnum
from itertools import product
from typing import Any

from brackenloft import interface as api
from brackenloft.net.discovery import Discovery

BEAT_S = 2.0  # an empty line so often while nothing changes, by the protocol
LIMIT_S = 60.0  # virtual; a chain that takes so long never ends
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST = b'{"generation":%d,"reset":true,"instances":[]}\n'


class Fault(StrEnum):
    """What becomes of a call, or of a watch that was open."""

    SILENT = "silent"  # it says nothing more, or nothing at all
    RESET = "reset"
    ENDED = "ended"  # the answer is complete
    MALFORMED = "malformed"
    HALF = "half an object, then beats"
    REFUSED = "refused"
    NOT_UP = "the connection does not come up"
    STATUS = "an error status"
    HEAD = "a head and no body"


BREAKS = (Fault.SILENT, Fault.RESET, Fault.ENDED, Fault.MALFORMED, Fault.HALF)  # of a watch that was open


class Jumping(asyncio.SelectorEventLoop):
    """A loop whose clock jumps over the time in which nothing happens."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(_Selector(self))

    def time(self) -> float:
        """Virtual seconds."""
        return self.now


class _Selector(selectors.SelectSelector):
    def __init__(self, loop: Jumping) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """What is ready; where nothing is, the clock has moved on."""
        ready = super().select(0.0)
        if not ready and timeout:
            self.loop.now += timeout
        return ready


class Line:
    """A transport of which the other end is a script."""

    def __init__(self, loop: Jumping, protocol: asyncio.Protocol) -> None:
        self.loop, self.protocol, self.closed = loop, protocol, False

    def write(self, data: bytes) -> None:
        """The call; who answers it knows already."""

    def abort(self) -> None:
        """End it, from either side."""
        if not self.closed:
            self.closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def says(self, body: bytes) -> None:
        """A chunk of the answer."""
        if not self.closed:
            self.protocol.data_received(b"%x\r\n%b\r\n" % (len(body), body) if body else b"0\r\n\r\n")

    def beats(self) -> None:
        """An empty line, and one more after a while."""
        self.says(b"\n")
        if not self.closed:
            self.loop.call_later(BEAT_S, self.beats)


class Agent:
    """Discovery on the gateway's machine; the first of ``faults`` breaks an open watch, others are calls."""

    def __init__(self, loop: Jumping, faults: Sequence[Fault]) -> None:
        self.loop, self.faults, self.calls, self.generation = loop, list(faults), 0, 1
        loop.create_connection = self.connect  # type: ignore[method-assign,assignment]

    async def connect(self, made: Any, *_: Any) -> tuple[Any, Any]:
        """A call."""
        fault = self.faults[self.calls] if 0 < self.calls < len(self.faults) else None
        self.calls += 1
        if fault is Fault.REFUSED:
            raise ConnectionRefusedError
        if fault is Fault.NOT_UP:
            await asyncio.sleep(LIMIT_S)
        protocol = made()
        line = Line(self.loop, protocol)
        protocol.connection_made(line)
        if fault is None:
            self.answer(line)
        else:
            self.loop.call_soon(self.goes_wrong, line, fault)
        return line, protocol

    def answer(self, line: Line) -> None:
        """The list as it is, and for the first call what breaks it right behind."""
        line.protocol.data_received(HEAD)
        line.says(LIST % self.generation)
        if self.calls == 1:
            self.generation = 2
            self.goes_wrong(line, self.faults[0], open_already=True)

    def goes_wrong(self, line: Line, fault: Fault, open_already: bool = False) -> None:
        """It does not tell what has changed."""
        if fault is Fault.STATUS:
            line.protocol.data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}")
        elif fault is Fault.RESET:
            line.abort()
        elif fault is not Fault.SILENT:
            if not open_already:
                line.protocol.data_received(HEAD)
            if fault is Fault.ENDED:
                line.says(b"")
            elif fault is Fault.MALFORMED:
                line.says(b"{nothing of use}\n")
            elif fault is Fault.HALF:
                line.says((LIST % 2)[:-4])
                self.loop.call_later(BEAT_S, line.beats)


def told_s(faults: Sequence[Fault]) -> float:
    """Seconds from a change, at which an open watch breaks, until it is told; ``faults`` come one by one."""
    loop = Jumping()
    agent, told = Agent(loop, faults), []

    def news(listing: api.ServerList, _: dict[int, tuple[str, int]]) -> None:
        told.append((listing.version, loop.now))

    async def follow() -> None:
        discovery = Discovery(news)
        discovery.watch(("127.0.0.1", 1))
        while (not told or told[-1][0] != agent.generation) and loop.now < LIMIT_S:
            await asyncio.sleep(0.01)
        discovery.end()

    try:
        loop.run_until_complete(follow())
    finally:
        loop.close()
    return told[-1][1] if told and told[-1][0] == agent.generation else LIMIT_S


def chains(length: int) -> Iterator[tuple[Fault, ...]]:
    """An open watch that breaks in each way, and so many calls less one that fail after it, in each way."""
    yield from product(BREAKS, *([tuple(Fault)] * (length - 1)))
