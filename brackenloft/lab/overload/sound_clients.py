"""Sound clients, a process of their own: ``... sound_clients FILE PORT SEED SECONDS RATE USAGE``.

They keep connections and open more when all are busy, ask for values of all sizes, read at full speed, and
some send several requests at once; ``scenario.Usage`` has what they may ask for
instead. A line of JSON for
each request goes to the file at the end.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import sys
import time
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import Any, cast

import hiredis
import msgspec
import uvloop

from brackenloft.lab.overload.payload import VALUE_BYTES, Effect, Origin, command, request_id, value_of
from brackenloft.lab.overload.records import Outcome, RequestRecord
from brackenloft.lab.overload.scenario import PURCHASE_WAIT_S, Usage
from brackenloft.net.lag import Lag

EFFECT_SHARES = (0.6, 0.25, 0.15)
SIZE_SHARES = (0.5, 0.3, 0.12, 0.08)
SEVERAL_SHARE, SEVERAL = 0.1, 3  # of the turns, and the requests that are sent at once in those
WAITS_S = (0.9, 1.5, 3.0, 4.9)
BODY_BYTES = (10, 1_000, 30_000)
PURCHASE_BYTES = 512 * 1024
LINGER_S = 1.0  # behind the end of a connection, until which a reset says that something was not read
CONNECT_AGAIN_S = 0.02
GIVE_UP_S = 1.0  # past its time
LONGEST_STAY_S = 0.2  # behind the answer, of a connection that has one request
TCP_ESTABLISHED, TCP_CLOSED = 1, 7  # tcpi_state of struct tcp_info, tcp(7)
CROSSING_S = 0.005  # for which an end and a request may be under way at once; as long as a loop turns here


def tcp_state(sock: socket.socket) -> int:
    """The state of a connection, by the kernel."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


class SoundConnection(asyncio.Protocol):
    """One connection, with the requests that are out on it in their order."""

    def __init__(self) -> None:
        self.parser: Any = hiredis.Reader()
        self.out: deque[tuple[RequestRecord, asyncio.Future[None]]] = deque()
        self.ended = False
        self.answered_at = 0.0
        self.writable, self.settled = asyncio.Event(), asyncio.Event()
        self.was_reset = False  # by the peer's machine, as it does when something was not read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)
        self.socket: socket.socket = transport.get_extra_info("socket")
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.local_port: int = transport.get_extra_info("sockname")[1]
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    async def send(self, records: list[RequestRecord], data: bytes) -> list[asyncio.Future[None]]:
        """Write the requests; what is done when each of them is answered, or the connection has ended."""
        done = [asyncio.get_running_loop().create_future() for _ in records]
        for record, future in zip(records, done, strict=True):
            record.local_port, record.received_bytes = self.local_port, 0
            self.out.append((record, future))
        self.transport.write(data)
        await self.writable.wait()
        now = time.monotonic()
        was_open = not self.ended and tcp_state(self.socket) == TCP_ESTABLISHED
        for record in records:
            record.sent_at, record.was_open = now, was_open
        return done

    def data_received(self, data: bytes) -> None:
        now = time.monotonic()
        if self.out:
            self.out[0][0].first_byte_at = min(self.out[0][0].first_byte_at, now)
            self.out[0][0].received_bytes += len(data)
        self.parser.feed(data)
        while self.out and (reply := self.parser.gets()) is not False:
            self._take(reply, now)

    def _take(self, reply: Any, now: float) -> None:
        record, future = self.out.popleft()
        record.turn_at, self.answered_at = self.answered_at, now
        record.ended_at, record.outcome = now, understood(reply, record)
        if not future.done():
            future.set_result(None)
        if self.out and self.parser.has_data():
            self.out[0][0].first_byte_at = now

    def eof_received(self) -> bool:
        self._end()
        asyncio.get_running_loop().call_later(LINGER_S, self._settle)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.was_reset = self.was_reset or (exc is not None and not self.settled.is_set())
        self.settled.set()
        self._end()

    def _settle(self) -> None:
        """The peer has had its time to reset the connection."""
        if not self.settled.is_set():
            self.was_reset = tcp_state(self.socket) == TCP_CLOSED
            self.settled.set()
            self.transport.abort()

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.writable.set()
        now, cut = time.monotonic(), self.parser.has_data()
        for record, future in self.out:
            record.ended_at = now
            if cut:
                record.outcome, cut = Outcome.CUT, False
            if not future.done():
                future.set_result(None)


def understood(reply: Any, record: RequestRecord) -> Outcome:
    """What a whole reply says."""
    if isinstance(reply, hiredis.ReplyError):
        text = str(reply)
        if text.startswith("BUSY"):
            return Outcome.REFUSED
        return Outcome.OUT_OF_MEMORY if "out of memory" in text else Outcome.FAILED
    return Outcome.SERVED if reply == value_of(record.identity) else Outcome.FOREIGN


class SoundClients:
    """All of them, with the connections that they keep."""

    def __init__(self, port: int, seed: int, seconds: float, rate_per_s: float, usage: Usage) -> None:
        self.port, self.seconds, self.rate_per_s = port, seconds, rate_per_s
        self.usage = usage
        self.random = random.Random(f"sound {seed}")
        first = int(time.monotonic() * 1000.0) << 20  # ids are new over the plays of one machine
        self.numbers = itertools.count(first & ((1 << 48) - 1))
        self.idle: list[SoundConnection] = []
        self.records: list[RequestRecord] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> list[RequestRecord]:
        """Ask at a steady rate, whatever becomes of it."""
        loop = asyncio.get_running_loop()
        self.lag = Lag(loop, CROSSING_S * 1000.0, lambda seconds: None, lambda: True)
        self.lag.watch()
        due = began = loop.time()
        while due < began + self.seconds:
            await asyncio.sleep(due - loop.time())
            several = self.usage is Usage.MIXED and self.random.random() < SEVERAL_SHARE
            count = SEVERAL if several else 1
            self.tasks.add(loop.create_task(self._ask([self._draw() for _ in range(count)])))
            due += count * self.random.expovariate(self.rate_per_s)
        await asyncio.gather(*self.tasks)
        self.lag.stop()
        return self.records

    def _draw(self) -> tuple[RequestRecord, bytes]:
        chance = self.random
        (effect,) = chance.choices(list(Effect), EFFECT_SHARES)
        size_index, wait_s, size = 0, chance.choice(WAITS_S), BODY_BYTES[0]
        if self.usage is Usage.MIXED:
            (size_index,) = chance.choices(range(len(SIZE_SHARES)), SIZE_SHARES)
            size = chance.choice(BODY_BYTES)
        elif self.usage is Usage.PURCHASES:
            effect, wait_s, size = Effect.UNSAFE, PURCHASE_WAIT_S, PURCHASE_BYTES
        identity = request_id(Origin.SOUND, size_index, next(self.numbers))
        body = b"" if effect is Effect.SAFE else b"b" * size
        record = RequestRecord(identity, effect, VALUE_BYTES[size_index], len(body), wait_s)
        self.records.append(record)
        return record, command(identity, effect, wait_s, body)

    async def _ask(self, drawn: list[tuple[RequestRecord, bytes]]) -> None:
        patience_s = max(record.wait_s for record, _ in drawn) + GIVE_UP_S
        with suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                await self._ask_on(drawn, again=True)

    async def _ask_on(self, drawn: list[tuple[RequestRecord, bytes]], again: bool) -> None:
        records = [record for record, _ in drawn]
        connection = await self._connection(kept=again)
        if connection is None:
            for record in records:
                record.outcome = Outcome.NOT_CONNECTED
            return
        done = await connection.send(records, b"".join(data for _, data in drawn))
        await asyncio.gather(*done)
        if not connection.ended:
            self._keep_or_close(connection)
            return
        unanswered = [pair for pair in drawn if pair[0].outcome is Outcome.PENDING]
        if unanswered:
            await self._closed_over(connection, unanswered, again)

    def _keep_or_close(self, connection: SoundConnection) -> None:
        if self.usage is Usage.ONE_EACH:
            stay_s = self.random.random() * LONGEST_STAY_S
            asyncio.get_running_loop().call_later(stay_s, connection.transport.close)
        else:
            self.idle.append(connection)

    async def _closed_over(
        self, connection: SoundConnection, unanswered: list[tuple[RequestRecord, bytes]], again: bool
    ) -> None:
        """The connection ended with no byte of these answers: asked once more, unless they had been read."""
        await connection.settled.wait()
        if not connection.was_reset:
            outcome = Outcome.READ_AND_CLOSED
        elif not again:
            outcome = Outcome.CLOSED_TWICE
        elif any(self._ended_under(record) for record, _ in unanswered):
            outcome = Outcome.ENDED_UNDER
        else:
            for record, _ in unanswered:
                record.turned_back += 1
            await self._ask_on(unanswered, again=False)
            return
        for record, _ in unanswered:
            record.outcome = outcome

    def _ended_under(self, record: RequestRecord) -> bool:
        """Whether the request had come when its connection was ended: it did not cross the end."""
        ours_s = self.lag.stalls.within(record.sent_at, record.ended_at)
        return record.was_open and record.ended_at - record.sent_at - ours_s >= CROSSING_S

    async def _connection(self, kept: bool) -> SoundConnection | None:
        """One that is ``kept``, or a new one; None where nobody listens for long."""
        while kept and self.idle:
            connection = self.idle.pop()
            if not connection.ended:
                return connection
        loop = asyncio.get_running_loop()
        for _ in range(round(GIVE_UP_S / CONNECT_AGAIN_S)):
            with suppress(OSError):
                _, opened = await loop.create_connection(SoundConnection, "127.0.0.1", self.port)
                return opened
            await asyncio.sleep(CONNECT_AGAIN_S)
        return None


def main() -> None:
    """Play, then write the records."""
    port, seed, seconds, rate_per_s = int(sys.argv[2]), int(sys.argv[3]), *map(float, sys.argv[4:6])
    records = uvloop.run(SoundClients(port, seed, seconds, rate_per_s, Usage(sys.argv[6])).run())
    Path(sys.argv[1]).write_bytes(b"\n".join(map(msgspec.json.encode, records)))


if __name__ == "__main__":
    main()
