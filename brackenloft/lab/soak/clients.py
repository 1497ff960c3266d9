"""Clients of a run: each goes on sending while its connection is open, and writes down what it saw."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import hiredis

from brackenloft.lab.soak.history import Answer, Effect, History, RequestRecord
from brackenloft.standins.peer import READ, resp

CONNECT_AGAIN_S = 0.1
LINGER_S = 0.45  # behind the end of a connection, in which the gateway may still read what crossed it
MOST_CUT_S = 0.05  # between two pieces of a command
WAITS_S = {Effect.SAFE: (0.3, 0.8, 3.0), Effect.KEYED: (0.8, 3.0), Effect.UNSAFE: (1.0, 3.0)}
CLASS = {Effect.SAFE: "read", Effect.KEYED: "post", Effect.UNSAFE: "buy"}
SHARES = (0.6, 0.25, 0.15)  # of the effects, in their order
CUSTOMERS = 50


@dataclass(frozen=True, slots=True)
class Habit:
    """How a client sends: so many requests out at once, with a pause between two; some leave early."""

    name: str
    at_once: int
    longest_pause_s: float
    in_pieces: bool = False
    leaves_after_s: float = 0.0


HABITS = (
    Habit("one by one", 1, 0.06),
    Habit("pipelined", 8, 0.5),
    Habit("in pieces", 2, 0.2, in_pieces=True),
    Habit("with pauses", 1, 0.5),
    Habit("deep pipeline", 80, 6.0),
    Habit("leaves", 2, 0.2, leaves_after_s=0.6),
)
HASTY_PAUSE_S = 0.008
HASTY_HABITS = (
    Habit("one by one", 1, HASTY_PAUSE_S),
    Habit("pipelined", 8, HASTY_PAUSE_S),
    Habit("in pieces", 2, HASTY_PAUSE_S, in_pieces=True),
    Habit("with pauses", 1, 0.5),
)
CROWD = Habit("crowd", 1, 1.5)
QUIET = Habit("quiet", 0, 1.0)


def command(request: RequestRecord, customer: int, wait_s: float) -> bytes:
    """A request as it is written."""
    key = f"k={request.number:016x}," if request.effect is Effect.KEYED else ""
    wait_ms = round(wait_s * 1000.0)
    listed = f"c={CLASS[request.effect]},t=free,d={wait_ms},{key}units=1,spread=1,first={request.gateway}"
    words = [f"{customer:016x}", f"{request.number:016x}", listed]
    return resp("CALL.GET", *words) if request.effect is Effect.SAFE else resp("CALL.POST", *words, b"body")


class Numbers:
    """Request numbers, unique in a run."""

    def __init__(self) -> None:
        self.next = itertools.count(1).__next__


class SoakClient:
    """One client of one gateway. ``bytes_read`` tells what the gateway has read of a local port."""

    def __init__(
        self,
        history: History,
        numbers: Numbers,
        gateway: int,
        port: int,
        habit: Habit,
        seed: str,
        bytes_read: Callable[[int], int],
    ) -> None:
        self.history, self.numbers, self.gateway, self.port = history, numbers, gateway, port
        self.habit, self.random, self.bytes_read = habit, random.Random(seed), bytes_read
        self.out: deque[tuple[RequestRecord, int]] = deque()  # unanswered, and the byte that each ends at
        self.sent_bytes = 0
        self.answered_at = 0.0
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.left = False

    async def run(self) -> None:
        """Connect again and again until this is cancelled."""
        while True:
            try:
                reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(CONNECT_AGAIN_S)
                continue
            await self._connection(reader, self.writer)

    def leave(self) -> None:
        """Close the connection now, whatever is out on it."""
        if self.writer and not self.writer.is_closing():
            now = time.monotonic()
            self.left = True
            for request, _ in self.out:
                request.left_at = min(request.left_at, now)
            self.writer.transport.abort()

    def stop(self) -> None:
        """Do nothing more."""
        if self.task:
            self.task.cancel()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.out, self.sent_bytes, self.left = deque(), 0, False
        local_port = writer.get_extra_info("sockname")[1]
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sending = asyncio.create_task(self._send(writer))
        leaving = None
        if self.habit.leaves_after_s:
            delay_s = self.random.random() * self.habit.leaves_after_s
            leaving = asyncio.get_running_loop().call_later(delay_s, self.leave)
        try:
            await self._receive(reader)
        finally:
            sending.cancel()
            if leaving:
                leaving.cancel()
        await self._ended(writer, local_port)

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        while True:
            while len(self.out) < self.habit.at_once and not writer.is_closing():
                await self._send_one(writer)
            await asyncio.sleep(self.random.random() * self.habit.longest_pause_s)

    async def _send_one(self, writer: asyncio.StreamWriter) -> None:
        (effect,) = self.random.choices(list(Effect), SHARES)
        wait_s = self.random.choice(WAITS_S[effect])
        request = RequestRecord(self.numbers.next(), effect, self.gateway, wait_s, 0.0)
        data = command(request, self.random.randrange(CUSTOMERS), wait_s)
        if self.habit.in_pieces:
            cut = self.random.randrange(1, len(data))
            writer.write(data[:cut])
            self.sent_bytes += cut
            await asyncio.sleep(self.random.random() * MOST_CUT_S)
            data = data[cut:]
        if writer.is_closing():
            return
        request.sent_at = time.monotonic()
        self.history.requests[request.number] = request
        self.sent_bytes += len(data)
        self.out.append((request, self.sent_bytes))
        writer.write(data)

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        replies: Any = hiredis.Reader()
        with suppress(OSError):
            while data := await reader.read(READ):
                replies.feed(data)
                now = time.monotonic()
                while (reply := replies.gets()) is not False:
                    self._take(reply, now)
        if self.out and replies.has_data():  # a value that is not whole, as can be told: it has failed
            request, _ = self.out.popleft()
            request.answered_at, request.answer = time.monotonic(), Answer.FAILED

    def _take(self, reply: Any, now: float) -> None:
        if not self.out:
            if not isinstance(reply, hiredis.ReplyError):  # an error for who asks nothing may come unasked
                self.history.crashes.append(f"gateway {self.gateway}: answers nothing: {reply!r:.60}")
            return
        request, _ = self.out.popleft()
        request.turn_at, self.answered_at = self.answered_at, now
        request.answered_at, request.answer = now, understood(reply, request)

    async def _ended(self, writer: asyncio.StreamWriter, local_port: int) -> None:
        """The connection has ended: what the gateway had read whole of it was owed an answer."""
        ended_at = time.monotonic()
        for request, _ in self.out:
            request.ended_at = ended_at
        if self.left:
            return
        await asyncio.sleep(LINGER_S)
        read = self.bytes_read(local_port)
        for request, end in self.out:
            request.was_read = end <= read
        writer.transport.abort()


def understood(reply: Any, request: RequestRecord) -> Answer:
    """What a reply says; a value that is not this request's own is no answer to it."""
    if isinstance(reply, hiredis.ReplyError):
        return Answer.REFUSED if str(reply).startswith("BUSY") else Answer.FAILED
    if not isinstance(reply, bytes) or not reply.startswith(f"{request.number:016x}".encode()):
        raise ValueError(f"request {request.number} was answered {reply!r:.60}")
    return Answer.SERVED
