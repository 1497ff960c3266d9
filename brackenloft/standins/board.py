"""A board node that works, remembers and fails by a script."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict, deque
from contextlib import suppress
from typing import Any

import hiredis

from brackenloft.standins.call_fields import call_fields, is_call
from brackenloft.standins.discovery import row
from brackenloft.standins.faults import Fault, Script
from brackenloft.standins.meter import Meter
from brackenloft.standins.peer import array
from brackenloft.standins.ports import ReservedPort
from brackenloft.standins.scripted_node import read_some

KEY_MEMORY_S = 6.0  # for which a node drops repeats of a key
MOST_KEYS = 10_000  # keys remembered: the oldest go first
WARM_S = 16.0  # from a restart until a node has all of its cores
COLD_SHARE = 0.2  # of its cores, at a restart
SPOILT = (
    b"\xb4P\xff\r\n",
    b"*3\r\n$3000000000\r\n",
    b"*2000000000\r\n",
    b"-" + b"x" * 600,
    b"*3\r\n$1\r\nvv\r\n",
)


class BoardNode:
    """A node with some cores, a queue, a memory for keys, and faults by a script.

    A command is begun when its last byte has come, also behind another on the same connection; answers keep
    the order of the commands. A client that closes takes along what waits and what runs; a run has counted
    by then.
    """

    def __init__(
        self,
        name: str,
        zone: str = "a",
        work_s: float = 0.01,
        cores: int = 3,
        queue: int = 100,
        script: Script | None = None,
        slow_s: float = 0.5,
        meter: Meter | None = None,
        seed: int = 1,
    ) -> None:
        self.name, self.zone, self.work_s, self.cores, self.room = name, zone, work_s, cores, queue
        self.script, self.slow_s, self.meter = script, slow_s, meter
        self.random = random.Random(seed)
        self.begun: list[tuple[float, bytes]] = []  # when, by time.monotonic(), and the request's id
        self.runs: dict[bytes, int] = {}  # by request id, repeats that the key dropped not counted
        self.keys: OrderedDict[bytes, tuple[float, bytes]] = OrderedDict()
        self.most_at_once = self.turned_away = 0
        self.started_ms, self.draining, self.cut = 0, False, False
        self.busy = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.mended = asyncio.Event()
        self.mended.set()
        self.server: asyncio.Server | None = None
        self.reserved: ReservedPort | None = None
        self.port = 0

    # ---- What befalls the whole node

    async def start(self) -> BoardNode:
        """Listen; at the same port as before, if it has had one."""
        if not self.port:
            self.reserved = ReservedPort()
            self.port = self.reserved.number
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def refuse(self) -> None:
        """Refuse new connections; those that are open stay."""
        if self.server:
            self.server.close()
            self.server = None

    def drain(self) -> None:
        """Finish what is in hand, turn away the rest."""
        self.draining = True

    def cut_off(self, cut: bool = True) -> None:
        """The room is cut off, or back: open connections stay and are silent, new ones say nothing either.

        On loopback the system goes on accepting connections; a real cut would leave them coming up.
        """
        self.cut = cut
        (self.mended.clear if cut else self.mended.set)()

    async def restart(self) -> None:
        """The process dies and is back: connections reset, keys forgotten, cores cold."""
        self.close()
        self.keys.clear()
        self.draining, self.started_ms = False, int(time.time() * 1000.0)
        await self.start()

    def close(self) -> None:
        """Die: connections are reset, new ones refused, what ran is lost."""
        self.refuse()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def row(self) -> dict[str, Any]:
        """The entry of discovery's list."""
        state = "Terminating" if self.draining else "Ready"
        return row(self.name, self.port, state, self.started_ms, self.zone, "stand-in")

    def warm_cores(self) -> int:
        """Cores that work now: few after a restart, all a while later."""
        age_s = time.time() - self.started_ms / 1000.0
        share = COLD_SHARE + (1.0 - COLD_SHARE) * min(1.0, age_s / WARM_S)
        return max(1, round(self.cores * share))

    # ---- Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        self.writers.add(writer)
        turn: asyncio.Future[None] | None = None
        mine: set[asyncio.Task[None]] = set()
        while data := await read_some(reader):
            await self.mended.wait()
            try:
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    after, turn = turn, asyncio.get_running_loop().create_future()
                    self._task(self._answer(words, writer, after, turn), mine)
            except hiredis.ProtocolError:
                break
        for task in mine:
            task.cancel()
        self.writers.discard(writer)
        writer.close()

    def _task(self, coroutine: Any, mine: set[asyncio.Task[None]]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        for group in (self.tasks, mine):
            group.add(task)
            task.add_done_callback(group.discard)

    async def _answer(
        self,
        words: Any,
        writer: asyncio.StreamWriter,
        after: asyncio.Future[None] | None,
        turn: asyncio.Future[None],
    ) -> None:
        try:
            fault = self.script(words) if self.script and is_call(words) else None
            reply = await self._reply(words, fault)
            if after:
                await after
            await self.mended.wait()
            if fault is Fault.SILENT:
                await asyncio.Event().wait()  # until the connection ends
            if fault is Fault.RESET:
                writer.write(reply[: len(reply) // 2])
                writer.transport.abort()
            elif fault is Fault.HANG_UP:
                writer.close()
            else:
                writer.write(self.random.choice(SPOILT) if fault is Fault.SPOILT else reply)
            if not turn.done():
                turn.set_result(None)
        finally:
            turn.cancel()

    # ---- Commands

    async def _reply(self, words: Any, fault: Fault | None) -> bytes:
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            return b"-ERR not a command\r\n"
        name = words[0].upper()
        if is_call(words):
            return await self._call(words, fault)
        if name == b"PING":
            return b"+PONG\r\n"
        return b"+OK\r\n" if name in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n"

    async def _call(self, words: list[bytes], fault: Fault | None) -> bytes:
        fields = call_fields(words)
        if fields is None:
            return b"-SYNTAX not of the protocol's form\r\n"
        if (
            fault in (Fault.HANG_UP, Fault.BUSY)
            or self.draining
            or (self.busy >= self.warm_cores() and len(self.waiting) >= self.room)
        ):
            self.turned_away += 1
            return b"-BUSY\r\n"
        plan, customer = fields["t"], words[1].decode()
        if self.meter:
            self.meter.count(words[2], plan, customer, float(fields["units"]))
        await self._core()
        try:
            value = await self._work(words, fields.get("k", ""), fault)
        finally:
            self._core_free()
        if fault is Fault.ERROR:
            return b"-ERR failed\r\n"
        used = self.meter.used(plan, customer) if self.meter else None
        load = f"util={min(1.0, self.busy / self.cores):.2f},queue={len(self.waiting)}"
        return array(value, None if used is None else b"used=%d" % used, load.encode())

    async def _work(self, words: list[bytes], key: str, fault: Fault | None) -> bytes:
        now = time.monotonic()
        self.begun.append((now, words[2]))
        memory = words[1] + key.encode() if key else b""
        if memory in self.keys and now - self.keys[memory][0] < KEY_MEMORY_S:
            return self.keys[memory][1]  # a repeat: dropped, and answered as the first one was
        value = b"%b:%b:%d" % (words[0].lower(), words[2], len(words[4]) if len(words) > 4 else 0)
        self.runs[words[2]] = self.runs.get(words[2], 0) + 1
        if memory:
            self.keys[memory] = (now, value)
            if len(self.keys) > MOST_KEYS:
                self.keys.popitem(last=False)
        await asyncio.sleep(self.work_s + (self.slow_s if fault is Fault.SLOW else 0.0))
        return value

    async def _core(self) -> None:
        if self.busy >= self.warm_cores() or self.waiting:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                with suppress(ValueError):
                    self.waiting.remove(turn)
                if turn.done() and not turn.cancelled():
                    self._core_free()
                raise
        else:
            self.busy += 1
        self.most_at_once = max(self.most_at_once, self.busy)

    def _core_free(self) -> None:
        self.busy -= 1
        while self.waiting and self.busy < self.warm_cores():
            turn = self.waiting.popleft()
            if not turn.done():
                self.busy += 1
                turn.set_result(None)
