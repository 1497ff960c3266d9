"""One store at the edge: a connection, two round trips to change a slot, one to look at some.

What a store says is checked here, once. Silence, whatever its cause, is None: what was asked may have been
done, and may yet. A refusal is a ``Void``: nothing was written.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import redis.asyncio as redis
from redis.exceptions import RedisError, ResponseError

from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers import model
from brackenloft.fleet.registers.marks import Marks
from brackenloft.fleet.registers.members import Member, Members, Running
from brackenloft.fleet.registers.model import NonsenseError, Reply, Slot, Void, Why

MOST_RACES = 4  # times that a slot changed under us before the store is taken for one that says nothing
MOST_REGISTERS = 1024  # looked at in one trip, or listed: a fleet has some tens
MOST_PAGES = 64  # of a list of registers
INFO = re.compile(rb"^(run_id|master_replid):([0-9a-zA-Z]{1,64})\r?$", re.MULTILINE)
PAUSE_S = (0.05, 1.0)  # before a store that could not be reached is tried again, first and at most
LONGEST_REPLY = model.MOST_SLOT * 4


@dataclass(frozen=True, slots=True)
class Look:
    """What one store showed in one trip: slots in the order of names, and its own clock."""

    slots: tuple[Slot, ...]
    clock_s: float
    asked_s: float
    heard_s: float


class Lost(Exception):  # noqa: N818
    """The store says nothing that can be used; what was asked may have been done."""


class Store:
    """A store's connection. Calls wait for each other; each ends within ``timeout_s`` a trip."""

    def __init__(
        self,
        url: str,
        prefix: str,
        timeout_s: float,
        durable: bool = False,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.prefix, self.timeout_s, self.durable, self.now = prefix, timeout_s, durable, now
        self.pool = redis.ConnectionPool.from_url(
            url,
            protocol=2,
            socket_timeout=None,
            socket_connect_timeout=timeout_s,
            retry=None,
            health_check_interval=0,
        )
        self.line: Any = None
        self.running: Running | None = None
        self.turn = asyncio.Lock()
        self.counts: Counter[str] = Counter()  # trips, changes, and what kept it from voting
        self.pause_s, self.again_at = PAUSE_S[0], 0.0
        self.why: str = ""  # it had no vote the last time

    def key(self, name: str) -> bytes:
        """Where a register, or one of the store's own two keys, stands."""
        return f"{self.prefix}:{name}".encode()

    # ---- The line

    async def _open(self) -> None:
        if self.line is not None:
            return
        if self.now() < self.again_at:
            raise Lost("not tried again yet")
        line = self.pool.make_connection()  # type: ignore[no-untyped-call]
        try:
            found: dict[bytes, bytes] = {}
            async with asyncio.timeout(self.timeout_s):
                await line.connect()
                self.line = line
                for text in await self._trip([("INFO", "server"), ("INFO", "replication")]):
                    if isinstance(text, bytes):
                        found.update(INFO.findall(text[:LONGEST_REPLY]))
            self.running = Running(
                found.get(b"run_id", b"").decode().lower() or "none",
                found.get(b"master_replid", b"").decode().lower() or "none",
            )
            self.pause_s = PAUSE_S[0]
        except BaseException:
            self.again_at = self.now() + self.pause_s
            self.pause_s = min(PAUSE_S[1], 2.0 * self.pause_s)
            await self._drop()
            raise

    async def _drop(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            await line.disconnect(nowait=True)

    async def close(self) -> None:
        """Speak to it no more."""
        await self._drop()

    async def _trip(self, commands: Sequence[tuple[Any, ...]]) -> list[object]:
        """Commands in one write; an answer for each, errors among them."""
        self.counts["trips"] += 1
        line = self.line
        await line.send_packed_command(line.pack_commands(commands), check_health=False)
        answers: list[object] = []
        for _ in commands:
            try:
                answers.append(await line.read_response())
            except ResponseError as error:
                answers.append(error)
        return answers

    async def _guarded(self, call: Callable[[], Any], trips: int) -> Any:
        """One call at a time, within its time; Lost for whatever goes wrong."""
        try:
            async with asyncio.timeout(self.timeout_s * (trips + 1)), self.turn:
                try:
                    await self._open()
                    return await call()
                except BaseException:  # also a cancelled one: what still comes would answer the next call
                    await self._drop()
                    raise
        except (RedisError, OSError, TimeoutError, Lost, UnicodeDecodeError) as error:
            self.counts["silent"] += 1
            self.why = f"no answer: {type(error).__name__}"
            raise Lost(str(error)) from error

    # ---- Slots

    async def ask(
        self,
        member: Member,
        members: Members,
        name: str,
        ask: model.Ask,
        marks: Marks,
    ) -> Reply | None:
        """Carry out a request to one register's slot."""
        try:
            reply: Reply | None = await self._guarded(
                lambda: self._ask(member, members, name, ask, marks), 2 * MOST_RACES
            )
        except Lost:
            return None
        return reply

    async def _ask(
        self,
        member: Member,
        members: Members,
        name: str,
        ask: model.Ask,
        marks: Marks,
    ) -> Reply | None:
        keys = self.key("self"), self.key("members"), self.key("r:" + name)
        for _ in range(MOST_RACES):
            async with asyncio.timeout(self.timeout_s):
                _, watched, found = await self._trip([("UNWATCH",), ("WATCH", *keys), ("MGET", *keys)])
            if isinstance(watched, ResponseError):
                return self._refused(watched)
            void, theirs, slots = self._judge(member, members, found, (name,), marks)
            if void:
                return void
            after, reply = model.answer(slots[0], ask)
            if after is None:
                return reply
            writes = [("SET", keys[2], model.write(after))]
            if theirs and theirs.epoch < members.epoch:  # it was not reached when members changed
                writes.append(("SET", keys[1], places.write(members)))
            async with asyncio.timeout(self.timeout_s):
                *_, done = await self._trip([("MULTI",), *writes, ("EXEC",)])
            if isinstance(done, ResponseError):
                return self._refused(done)
            if done is not None:
                marks.seen(member, name, after)
                self.counts["changes"] += 1
                return reply
            self.counts["races"] += 1
        return model.Refused(slots[0].promised)  # nothing of ours was written: others are at it

    def _judge(
        self,
        member: Member,
        members: Members,
        found: object,
        names: Sequence[str],
        marks: Marks,
    ) -> tuple[Void | None, Members | None, list[Slot]]:
        """Whether it has a vote, and its slots."""
        if isinstance(found, ResponseError):
            return self._refused(found), None, []
        if (
            not isinstance(found, list)
            or len(found) != len(names) + 2
            or not all(item is None or isinstance(item, bytes) for item in found)
        ):
            return self._void(Why.NONSENSE), None, []
        running = None if self.durable else self.running
        why, theirs = places.judge(member, running, found[0], found[1], members)
        if why:
            return self._void(why, found[1] if why is Why.NEWER else b""), theirs, []
        try:
            slots = [model.read(item) for item in found[2:]]
        except NonsenseError:
            return self._void(Why.NONSENSE), theirs, []
        if not all([marks.seen(member, name, slot) for name, slot in zip(names, slots, strict=True)]):
            return self._void(Why.OLDER), theirs, []
        self.why = ""
        return None, theirs, slots

    def _void(self, why: Why, members: bytes = b"", text: str = "") -> Void:
        self.counts[why.value] += 1
        self.why = text or why.value
        return Void(why, members)

    def _refused(self, error: ResponseError) -> Void:
        return self._void(Why.ERROR, text=f"refuses: {str(error).split(' ')[0][:20]}")

    async def look(
        self,
        member: Member,
        members: Members,
        names: Sequence[str],
        marks: Marks,
    ) -> Look | Void | None:
        """Slots as they are, in one trip, with the store's clock."""
        try:
            found: Look | Void = await self._guarded(lambda: self._look(member, members, names, marks), 1)
        except Lost:
            return None
        return found

    async def _look(
        self,
        member: Member,
        members: Members,
        names: Sequence[str],
        marks: Marks,
    ) -> Look | Void:
        keys = [self.key("self"), self.key("members"), *(self.key("r:" + name) for name in names)]
        asked = self.now()
        async with asyncio.timeout(self.timeout_s):
            found, clock = await self._trip([("MGET", *keys), ("TIME",)])
        heard = self.now()
        void, _, slots = self._judge(member, members, found, names, marks)
        if void:
            return void
        return Look(tuple(slots), _seconds(clock), asked, heard)

    # ---- For who enrols stores, and for people

    async def own(self) -> tuple[bytes | None, bytes | None, Running | None]:
        """Its identity, the members that it knows, its process; Lost if it says nothing."""

        async def read() -> list[object]:
            return await self._trip([("MGET", self.key("self"), self.key("members"))])

        try:
            (found,) = await self._guarded(read, 1)
        except Lost:  # maybe the line alone, of a process that is gone
            (found,) = await self._guarded(read, 1)
        if not isinstance(found, list) or len(found) != 2:
            raise Lost(f"it refuses: {found!r:.60}")
        return found[0], found[1], self.running

    async def enrol(self, member: Member, members: Members, fresh: bool) -> None:
        """Give it members, and an identity if ``fresh``: what it held before is left behind. Lost if not."""

        async def write() -> list[object]:
            assert self.running
            gone = await self._names() if fresh else []
            steps: list[tuple[Any, ...]] = [("MULTI",), ("SET", self.key("members"), places.write(members))]
            if fresh:
                steps.append(("SET", self.key("self"), places.write_self(member, self.running)))
            steps += [("DEL", self.key("r:" + name)) for name in gone]
            return await self._trip([*steps, ("EXEC",)])

        *_, done = await self._guarded(write, 2 + MOST_PAGES)
        if not isinstance(done, list):
            raise Lost(f"it refuses: {done!r:.60}")

    async def names(self) -> list[str]:
        """The registers that it knows; Lost if it says nothing."""
        found: list[str] = await self._guarded(self._names, MOST_PAGES)
        return found

    async def _names(self) -> list[str]:
        start, found, cursor = self.key("r:"), set[str](), b"0"
        pattern = re.sub(rb"([*?\[\]\\])", rb"\\\1", start) + b"*"
        for _ in range(MOST_PAGES):
            (page,) = await self._trip([("SCAN", cursor, "MATCH", pattern, "COUNT", MOST_REGISTERS)])
            if not isinstance(page, list) or len(page) != 2:
                raise Lost(f"no list of registers: {page!r:.60}")
            cursor = page[0]
            found.update(key.removeprefix(start).decode() for key in page[1])
            if cursor == b"0" and len(found) <= MOST_REGISTERS:
                return sorted(found)
        raise Lost("too many registers")


def _seconds(clock: object) -> float:
    """TIME's answer; not a number where it is none, which no comparison takes."""
    if isinstance(clock, list) and len(clock) == 2:
        try:
            return int(clock[0]) + int(clock[1]) / 1e6
        except (TypeError, ValueError):
            pass
    return float("nan")
