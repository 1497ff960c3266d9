"""Board nodes: one that says what a test tells it to, and one that works, remembers and fails by a script."""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import Any

import hiredis

from brackenloft.interface import ServerEntry
from brackenloft.standins.discovery import row
from brackenloft.standins.peer import READ, array

KEY_MEMORY_S = 6.0  # for which a node drops repeats of a key
MOST_KEYS = 10_000  # keys remembered: the oldest go first
WARM_S = 16.0  # from a restart until a node has all of its cores
COLD_SHARE = 0.2  # of its cores, at a restart
METER_S = 1.0
SPOILT = (b"\xb4P\xff\r\n", b"*3\r\n$3000000000\r\n", b"*2000000000\r\n", b"-" + b"x" * 600,
          b"*3\r\n$1\r\nvv\r\n")


class ScriptedNode:
    """Answers each command as ``answer`` says: bytes, or None to stay silent, or b"" to hang up."""

    def __init__(self, answer: Callable[[list[bytes]], bytes | None] = lambda words: array(words[2])) -> None:
        self.answer = answer
        self.commands: list[list[bytes]] = []
        self.by: list[int] = []  # the number of the connection of each command
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = 0
        self.news = asyncio.Event()

    async def start(self) -> ScriptedNode:
        """Listen on a port of the system's choice."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, parser = len(self.writers), hiredis.Reader()
        self.writers.append(writer)
        while data := await _read(reader):
            parser.feed(data)
            while (words := parser.gets()) is not False:
                self.commands.append(words)
                self.by.append(number)
                reply = self.answer(words)
                if reply == b"":
                    writer.close()
                elif reply:
                    writer.write(reply)
                self.news.set()
        self.ended += 1
        self.news.set()
        writer.close()

    async def until(self, true: Callable[[], bool]) -> None:
        """Wait for something to have come about here."""
        while not true():
            self.news.clear()
            await self.news.wait()

    def entry(self, number: int, **more: Any) -> tuple[ServerEntry, tuple[str, int]]:
        """An entry of a list for this one, and its address."""
        return ServerEntry(number, more.pop("zone", "a"), **more), ("127.0.0.1", self.port)


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(READ)
    except OSError:
        return b""


class Fault(Enum):
    """What goes wrong with one command. All but BUSY and HANG_UP have run."""

    SLOW = "slow"  # it takes ``slow_s`` longer
    SILENT = "silent"  # it runs, and no answer comes
    RESET = "reset"  # it runs, and the connection is reset in the middle of the answer
    SPOILT = "spoilt"  # it runs, and what comes can't be read
    ERROR = "error"
    BUSY = "busy"
    HANG_UP = "hang up"  # the connection ends before it is begun


Script = Callable[[list[bytes]], Fault | None]


def at_random(seed: int, shares: Mapping[Fault, float]) -> Script:
    """Faults drawn for each command, with these shares; the same seed gives the same faults."""
    draw = random.Random(seed)

    def script(_: list[bytes]) -> Fault | None:
        place = draw.random()
        for fault, share in shares.items():
            place -= share
            if place < 0.0:
                return fault
        return None

    return script


def in_order(faults: Iterable[Fault | None]) -> Script:
    """These faults one after the other, then none."""
    rest = iter(faults)
    return lambda _: next(rest, None)


@dataclass(frozen=True, slots=True)
class Quota:
    """Units a second."""

    rate: float


class Meter:
    """A customer's use over all nodes, in percent of its quota, in the last finished period."""

    def __init__(self, quotas: Mapping[str, Quota]) -> None:
        self.quotas = quotas
        self.period = 0
        self.now: dict[tuple[str, str], float] = {}
        self.last: dict[tuple[str, str], float] = {}
        self.total: dict[tuple[str, str], float] = {}
        self.seen: OrderedDict[bytes, None] = OrderedDict()

    def _turn(self) -> None:
        period = int(time.monotonic() / METER_S)
        if period != self.period:
            self.last = self.now if period == self.period + 1 else {}
            self.now, self.period = {}, period

    def count(self, request_id: bytes, plan: str, customer: str, units: float) -> None:
        """A request has come whole to a node; the first time counts."""
        self._turn()
        if request_id in self.seen:
            return
        self.seen[request_id] = None
        if len(self.seen) > MOST_KEYS:
            self.seen.popitem(last=False)
        key = (plan, customer)
        self.now[key] = self.now.get(key, 0.0) + units
        self.total[key] = self.total.get(key, 0.0) + units

    def used(self, plan: str, customer: str) -> int | None:
        """Percent of the quota, or None where the plan has none."""
        self._turn()
        quota = self.quotas.get(plan)
        if quota is None or quota.rate <= 0.0:
            return None
        return int(100.0 * self.last.get((plan, customer), 0.0) / METER_S / quota.rate)


class BoardNode:
    """A node with some cores, a queue, a memory for keys, and faults by a script.

    A command is begun when its last byte has come, also behind another on the same connection; answers keep
    the order of the commands. A client that closes takes along what waits and what runs; a run has counted
    by then.
    """

    def __init__(
        self, name: str, zone: str = "a", work_s: float = 0.01, cores: int = 3, queue: int = 100,
        script: Script | None = None, slow_s: float = 0.5, meter: Meter | None = None, seed: int = 1,
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
        self.port = 0

    # ---- What befalls the whole node

    async def start(self) -> BoardNode:
        """Listen; at the same port as before, if it has had one."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
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
        while data := await _read(reader):
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
        self, words: Any, writer: asyncio.StreamWriter, after: asyncio.Future[None] | None,
        turn: asyncio.Future[None],
    ) -> None:
        try:
            fault = self.script(words) if self.script and _is_call(words) else None
            reply = await self._reply(words, fault)
            if after:
                await after
            await self.mended.wait()
            if fault is Fault.SILENT:
                await asyncio.Event().wait()  # until the connection ends
            if fault is Fault.RESET:
                writer.write(reply[:len(reply) // 2])
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
        if _is_call(words):
            return await self._call(words, fault)
        if name == b"PING":
            return b"+PONG\r\n"
        return b"+OK\r\n" if name in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n"

    async def _call(self, words: list[bytes], fault: Fault | None) -> bytes:
        fields = _fields(words)
        if fields is None:
            return b"-SYNTAX not of the protocol's form\r\n"
        if fault in (Fault.HANG_UP, Fault.BUSY) or self.draining or (
                self.busy >= self.warm_cores() and len(self.waiting) >= self.room):
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


NEEDED = {"c": r".+", "t": r".+", "d": r"[0-9]+(\.[0-9]+)?", "units": r"[0-9]+(\.[0-9]+)?",
          "spread": r"[1-9][0-9]*",
          "first": r"[0-9]+"}


def _is_call(words: Any) -> bool:
    return isinstance(words, list) and bool(words) and words[0] in (b"CALL.GET", b"CALL.POST")


def _fields(words: list[bytes]) -> dict[str, str] | None:
    """The list of names and values, or None where the command is not of the protocol's form."""
    if len(words) != (5 if words[0] == b"CALL.POST" else 4) or not re.fullmatch(b"[0-9a-fA-F]{16}", words[1]):
        return None
    try:
        pairs = [part.partition("=") for part in words[3].decode("ascii").split(",")]
    except UnicodeDecodeError:
        return None
    fields = {name: value for name, _, value in pairs}
    good = len(fields) == len(pairs) and all(
        re.fullmatch(form, fields.get(name, "")) for name, form in NEEDED.items())
    return fields if good and re.fullmatch(b"[0-9A-Za-z]{1,64}", words[2]) else None
