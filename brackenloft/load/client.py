"""One process of clients: it sends each request when it is due, on a connection that is free.

A request that finds no free connection waits for one, and its time goes on; beyond ``MOST_WAITING`` it is
not sent at all, and counted so. Nothing that is answered late holds up what is due.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, cast

import hiredis

from brackenloft.interface import Effect, Settings
from brackenloft.load.plan import Due, Load, arrivals
from brackenloft.load.tally import Tally
from brackenloft.standins.peer import Line as ErrorLine
from brackenloft.standins.peer import resp

MOST_WAITING = 100_000  # requests that wait for a connection: some MB
LOST_S = 1.0  # beyond a request's time an answer is not waited for
AGAIN_S = 0.1  # after a connect that failed, before the next one to that address


class Lane(asyncio.Protocol):
    """One connection, one request at a time."""

    def __init__(self, crowd: Crowd, place: int) -> None:
        self.crowd, self.place = crowd, place
        self.parser = hiredis.Reader(replyError=ErrorLine)
        self.due: Due | None = None
        self.sent = 0.0
        self.alarm: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """An answer, whole or in part."""
        try:
            self.parser.feed(data)
            while (answer := self.parser.gets()) is not False:
                if self.due is None:
                    raise hiredis.ProtocolError("an answer that nobody asked for")
                self._end(word(answer))
                self.crowd.free(self)
        except hiredis.ProtocolError:
            self._end("broken")
            if self.transport:
                self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has closed it, or is gone."""
        self.transport = None
        self._end("broken")
        self.crowd.lost(self)

    def ask(self, due: Due, text: bytes, wait_s: float) -> None:
        """Send a request."""
        assert self.transport
        self.due, self.sent = due, self.crowd.now()
        self.transport.write(text)
        self.alarm = self.crowd.loop.call_later(wait_s + LOST_S, self._missing)
        self.crowd.tally.sent(due.at, self.sent, due.kind)

    def _missing(self) -> None:
        self._end("missing")
        if self.transport:
            self.transport.abort()  # its answer may still come, and would be taken for the next one's

    def stop(self) -> None:
        """At the end: what it still waits for is not waited for any more."""
        self._end("broken")
        if self.transport:
            self.transport.abort()

    def _end(self, end: str) -> None:
        due, self.due = self.due, None
        if self.alarm:
            self.alarm.cancel()
            self.alarm = None
        if due:
            self.crowd.end(due, self.sent, end)


def word(answer: Any) -> str:
    """An answer in one word."""
    if isinstance(answer, ErrorLine):
        return "refused" if str(answer).startswith("BUSY") else "failed"
    return "served"


class Crowd:
    """All clients of one process."""

    def __init__(self, load: Load, process: int, settings: Settings, began: float) -> None:
        self.load, self.process, self.settings, self.began = load, process, settings, began
        self.loop = asyncio.get_running_loop()
        self.tally = Tally()
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.body = b"x" * load.body
        self.idle: deque[Lane] = deque()
        self.waiting: deque[Due] = deque()
        self.open = 0  # connections, and those that come up
        self.turn = process  # of the addresses
        self.blocked = [0.0] * len(load.addresses)  # until when no connect is tried
        self.due: Iterator[Due] = iter(())
        self.next: Due | None = None
        self.over = False
        self.out = 0  # requests that were due and have no end yet
        self.ended = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.lanes: set[Lane] = set()

    def now(self) -> float:
        """Seconds from the start, which is the same moment in all processes."""
        return time.monotonic() - self.began

    async def run(self, stop: asyncio.Event) -> Tally:
        """Until the last answer, or ``stop``."""
        self.due = arrivals(self.load, self.process, self.settings.gateways)
        self.next = next(self.due, None)
        self._pace()
        stopping = self.loop.create_task(stop.wait())
        ending = self.loop.create_task(self.ended.wait())
        await asyncio.wait((stopping, ending), return_when=asyncio.FIRST_COMPLETED)
        for task in (stopping, ending):
            task.cancel()
        self._close()
        return self.tally

    def _pace(self) -> None:
        """Take all that are due, then come back for the next one.

        Each turn takes what was due when it began: a rate beyond what this process can send starves nobody.
        """
        if self.over:
            return
        now = self.now()
        while self.next and self.next.at <= now:
            self._take(self.next)
            self.next = next(self.due, None)
        if self.next and not self.over:
            self.loop.call_later(max(0.0, self.next.at - self.now()), self._pace)
        self._look()

    def _look(self) -> None:
        """Whether all is over."""
        if self.next is None and not self.out:
            self.ended.set()

    def _take(self, due: Due) -> None:
        self.tally.due(due.at, due.kind)
        self.out += 1
        while self.idle:
            lane = self.idle.pop()
            if lane.transport:
                self._ask(lane, due)
                return
        if len(self.waiting) >= MOST_WAITING:
            self.end(due, 0.0, "not_sent")
            return
        self.waiting.append(due)
        self._connect()
        coming = self.open - len(self.lanes)  # connections that will take one each
        self.tally.most_waiting = max(self.tally.most_waiting, len(self.waiting) - coming)

    def _ask(self, lane: Lane, due: Due) -> None:
        kind = self.kinds[due.kind]
        wait_ms = self.load.wait_ms or kind.deadline_ms
        lane.ask(due, self._command(due, kind.effect, wait_ms), wait_ms / 1000.0)

    def _command(self, due: Due, effect: Effect, wait_ms: float) -> bytes:
        number = f"{self.load.seed & 0xFFFFFF:06x}{due.number:010x}"
        key = f"k={number}," if effect is Effect.KEYED else ""
        listed = (
            f"c={due.kind},t={due.plan},d={wait_ms:.0f},{key}units=1,"
            f"spread={self.settings.gateways},first={due.first}"
        )
        words = [f"{due.customer:016x}", number, listed]
        if effect is Effect.SAFE:
            return resp("CALL.GET", *words)
        return resp("CALL.POST", *words, self.body)

    # ---- Connections

    def _connect(self) -> None:
        if self.open >= self.load.connections:
            return
        for _ in self.load.addresses:
            self.turn = (self.turn + 1) % len(self.load.addresses)
            if self.blocked[self.turn] <= self.now():
                self.open += 1
                task = self.loop.create_task(self._open(self.turn))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                return
        self.loop.call_later(AGAIN_S, self._serve_waiting)

    async def _open(self, place: int) -> None:
        host, port = self.load.addresses[place]
        try:
            _, lane = await self.loop.create_connection(lambda: Lane(self, place), host, port)
        except OSError:
            self.open -= 1
            self.blocked[place] = self.now() + AGAIN_S
            self._give_up_late()
            self._serve_waiting()
            return
        self.tally.connects += 1
        self.lanes.add(lane)
        self.free(lane)

    def free(self, lane: Lane) -> None:
        """A connection has nothing to do."""
        if self.over:
            lane.stop()
            return
        self._give_up_late()
        if self.waiting and lane.transport:
            self._ask(lane, self.waiting.popleft())
        else:
            self.idle.append(lane)

    def lost(self, lane: Lane) -> None:
        """A connection has ended."""
        self.lanes.discard(lane)
        self.open -= 1
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        self._give_up_late()
        for _ in range(min(len(self.waiting), self.load.connections - self.open)):
            self._connect()

    def _give_up_late(self) -> None:
        """Guards against a backlog that is worked off long after anybody would still wait for it."""
        now = self.now()
        while self.waiting:
            due = self.waiting[0]
            if now - due.at <= (self.load.wait_ms or self.kinds[due.kind].deadline_ms) / 1000.0:
                return
            self.waiting.popleft()
            self.end(due, 0.0, "not_sent")

    def end(self, due: Due, sent: float, end: str) -> None:
        """A request is over."""
        self.out -= 1
        self.tally.ended(due.at, sent, self.now(), due.kind, end)
        self._look()

    def _close(self) -> None:
        self.over = True
        for task in self.tasks:
            task.cancel()
        while self.waiting:
            self.end(self.waiting.popleft(), 0.0, "not_sent")
        for lane in list(self.lanes):
            lane.stop()
