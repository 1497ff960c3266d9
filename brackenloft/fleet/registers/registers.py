"""Registers over stores: change and read, rounds repeated until they end, with back-off against duels."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from brackenloft.fleet.logs import logger
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers import model
from brackenloft.fleet.registers.marks import Marks
from brackenloft.fleet.registers.members import Member, Members
from brackenloft.fleet.registers.model import Ballot, Held, NonsenseError, Reply, Void, Why
from brackenloft.fleet.registers.rounds import Change, End, Lead, Result, Round, settled
from brackenloft.fleet.registers.store import Look, Lost, Store

log = logger(__name__)

BACKOFF_S = (0.01, 0.4)  # full jitter up to this, doubled each time, against two that outbid each other
LINGER_S = 0.02  # that a look waits for the last stores: a round on a near network, and some to spare
MOST_LEADS = 1024  # registers of which the next round may begin with its second phase


class NoMajority(Exception):  # noqa: N818
    """Too few stores have a vote or answer; nothing was changed."""


class Unsure(Exception):  # noqa: N818
    """The change may have been made, and may yet be."""


@dataclass(frozen=True, slots=True)
class Changed:
    """What came of a change. ``mine``: our own value stands (or did), else what stood was left.

    ``retried``: an attempt before this one was unsure, so that another ``op`` may have come on top of ours.
    """

    held: Held | None
    mine: bool
    retried: bool = False


class Registers:
    """The registers as one process sees them. ``who``: unique to this process among all, ever."""

    def __init__(
        self,
        stores: Mapping[str, Store],
        members: Members,
        who: str,
        seed: int | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        if not model.WHO.fullmatch(who):
            raise ValueError(f"who: {who!r:.70}")
        self.stores, self.members, self.who, self.now = dict(stores), members, who, now
        self.random = random.Random(seed)
        self.marks = Marks()
        self.leads: OrderedDict[str, Lead] = OrderedDict()
        self.turns: dict[str, asyncio.Lock] = {}
        self.counts: Counter[str] = Counter()
        self.highest: OrderedDict[str, int] = OrderedDict()
        self.ops = 0
        self.slow: set[asyncio.Task[Any]] = set()  # that were not waited for
        self.on_look: Callable[[str, Look], None] = lambda name, look: None

    async def close(self) -> None:
        """Speak to no store any more."""
        await asyncio.gather(*(store.close() for store in self.stores.values()))

    def adopt(self, members: Members) -> None:
        """Later members than those known so far."""
        if members.epoch > self.members.epoch:
            log.info(
                "stores of an epoch",
                epoch=members.epoch,
                stores=", ".join(member.identity for member in members.all()),
            )
            self.members = members
            self.leads.clear()

    # ---- Changing

    def next_op(self) -> str:
        """A name for a change, used by no other."""
        self.ops += 1
        return f"{self.who}.{self.ops}"[:64]

    async def change(self, name: str, change: Change, within_s: float, op: str = "") -> Changed:
        """Replace a register's value by ``change`` of it, once; NoMajority or Unsure if that can't be told.

        ``change`` may be called again for a later value, and must bear that its own result stands already.
        """
        if not model.NAME.fullmatch(name):
            raise ValueError(f"no register's name: {name!r:.140}")
        op, end = op or self.next_op(), self.now() + within_s
        lock = self.turns.setdefault(name, asyncio.Lock())
        try:
            async with lock:
                return await self._change(name, change, end, op)
        finally:
            if not lock.locked() and len(self.turns) > MOST_LEADS:
                self.turns.pop(name, None)

    async def _change(self, name: str, change: Change, end: float, op: str) -> Changed:
        tries, unsure = 0, False

        def once(held: Held | None) -> bytes | None:
            return None if held and held.op == op else change(held)

        while True:
            result = await self._round(name, once, op, end)
            if result.end is End.CHOSEN:
                return Changed(result.held, result.held is not None and result.held.op == op, unsure)
            unsure = unsure or result.end is End.UNSURE
            if result.members:
                self.adopt(result.members)
            tries += 1
            if result.end is not End.NEWER:
                await self._pause(tries, end)
            if self.now() >= end:
                if unsure:
                    raise Unsure(name)
                raise NoMajority(f"{name}: {result.end.value}")

    async def _pause(self, tries: int, end: float) -> None:
        longest = min(BACKOFF_S[1], BACKOFF_S[0] * 2.0 ** min(tries, 16))
        await asyncio.sleep(max(0.0, min(self.random.uniform(0.0, longest), end - self.now())))

    async def _round(self, name: str, change: Change, op: str, end: float) -> Result:
        """One round; what has not answered by ``end`` said nothing."""
        self.counts["rounds"] += 1
        lead = self.leads.pop(name, None)
        number = max(self.highest.get(name, 0), lead.ballot.number if lead else 0) + 1
        self.highest[name] = number
        self.highest.move_to_end(name)
        if len(self.highest) > MOST_LEADS:
            self.highest.popitem(last=False)
        step = Round(self.members, Ballot(number, self.who), op, change, lead)
        if step.result is None:
            await self._play(step, name, end)
        result = step.result
        assert result
        self.highest[name] = max(self.highest.get(name, 0), result.highest.number)
        if result.lead:
            self.leads[name] = result.lead
            if len(self.leads) > MOST_LEADS:
                self.leads.popitem(last=False)
        self.counts[result.end.value] += 1
        return result

    async def _play(self, step: Round, name: str, end: float) -> None:
        out: dict[asyncio.Task[Reply | None], tuple[Member, int]] = {}
        phase = 0

        def put() -> None:
            for member in step.to:
                task = asyncio.create_task(self._ask(member, step, name))
                out[task] = member, phase

        put()
        try:
            while step.result is None:
                done, _ = await asyncio.wait(
                    out, timeout=max(0.0, end - self.now()), return_when=asyncio.FIRST_COMPLETED
                )
                heard = [(out.pop(task), task.result()) for task in done]
                if not done:  # the time is up: who said nothing is silent
                    heard = [(place, None) for place in out.values()]
                for (member, asked), reply in heard:
                    if asked == phase and step.result is None and step.heard(member, reply):
                        phase += 1
                        put()
        finally:
            self._leave(out)

    def _leave(self, out: Iterable[asyncio.Task[Any]]) -> None:
        """Those that are slow go on in the background, within their own time: a cut line is a line lost."""
        for task in out:
            self.slow.add(task)
            task.add_done_callback(self.slow.discard)

    async def _ask(self, member: Member, step: Round, name: str) -> Reply | None:
        store = self.stores.get(member.name)
        if store is None:
            return None  # this process was not told where it is
        return await store.ask(member, step.members, name, step.ask, self.marks)

    # ---- Reading

    async def look(self, names: Sequence[str], within_s: float) -> dict[str, Held | None]:
        """What stands in these registers, mostly in one trip to each store; what can't be told is left out.

        Linearizable: what is told stood at some moment within the call.
        """
        members, end = self.members, self.now() + within_s
        tasks = {
            asyncio.create_task(self._look(member, members, names)): member
            for member in members.all()
            if member.name in self.stores
        }
        looks: dict[Member, Look] = {}
        found: dict[str, Held | None] = {}
        waiting = set(tasks)
        while waiting:
            left_s = max(0.0, end - self.now())
            left_s = min(left_s, LINGER_S) if len(found) == len(names) else left_s
            done, waiting = await asyncio.wait(waiting, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            for task in done:
                look = task.result()
                if isinstance(look, Look):
                    looks[tasks[task]] = look
                    self.on_look(tasks[task].name, look)
            for at, name in enumerate(names):
                known, held = settled(members, {who: look.slots[at] for who, look in looks.items()})
                found.pop(name, None)
                if known:
                    found[name] = held
        self._leave(waiting)
        self.counts["looks"] += 1
        if members.enough(looks):
            await self._settle([name for name in names if name not in found], found, end)
        return found

    async def _settle(self, names: Iterable[str], found: dict[str, Held | None], end: float) -> None:
        """Rounds for values that only some have, as their writer was lost within its own.

        Guards against a lease that nobody can see, as who would renew it is gone.
        """
        for name in names:
            self.counts["settled"] += 1
            try:
                found[name] = (await self.change(name, lambda held: None, max(0.0, end - self.now()))).held
            except (NoMajority, Unsure):
                return

    async def _look(self, member: Member, members: Members, names: Sequence[str]) -> Look | None:
        look = await self.stores[member.name].look(member, members, names, self.marks)
        if isinstance(look, Void):
            if look.why is Why.NEWER:
                try:
                    self.adopt(places.read(look.members))
                except NonsenseError:
                    self.counts["nonsense"] += 1
            return None
        return look

    async def read(self, name: str, within_s: float) -> Held | None:
        """What stands in one register; NoMajority if that can't be told."""
        found = await self.look([name], within_s)
        if name not in found:
            raise NoMajority(name)
        return found[name]


async def known_members(stores: Mapping[str, Store]) -> Members | None:
    """The latest members that any of these stores knows; None if none tells of any."""

    async def ask(store: Store) -> Members | None:
        try:
            _, known, _ = await store.own()
            return places.read(known) if known else None
        except (Lost, NonsenseError):
            return None

    found = [members for members in await asyncio.gather(*map(ask, stores.values())) if members]
    return max(found, key=lambda members: members.epoch, default=None)
