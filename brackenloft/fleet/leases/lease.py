"""A lease that this process holds: renewed, acted under, handed on.

    lease = await leases.take("billing", view)
    async with lease.act() as act:
        act.check()            # before each effect; raises LeaseOver once it may be another's
        await place.store(row, token=act.token)

An act ends before the lease can be another's, or is cut off there. What holds for a process that is stopped
in the middle of an act and goes on a minute later: ``check`` raises, the act is cut off at its next wait, and
whatever it had sent already carries its token, which the place it goes to refuses once it has seen a larger.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from types import TracebackType

from brackenloft.fleet.leases import model
from brackenloft.fleet.leases.model import Lease, Me
from brackenloft.fleet.leases.terms import Terms, View
from brackenloft.fleet.registers.model import Held
from brackenloft.fleet.registers.registers import NoMajority, Registers, Unsure

PREFIX = "lease:"
STOP_SHARE = 0.02  # of its length, before its end, in which no step begins: what a step needs to be sent


class LeaseOver(Exception):  # noqa: N818
    """The lease may be another's from now on."""


class SystemClock:
    """Milliseconds that never go back and count while the machine sleeps. ``rate``: of a clock made wrong."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate
        self.kind = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def __call__(self) -> float:
        return time.clock_gettime(self.kind) * 1000.0 * self.rate


class Act:
    """A step under a lease, with an end."""

    def __init__(self, lease: Holding) -> None:
        self.lease = lease
        self.limit: asyncio.Timeout | None = None

    @property
    def token(self) -> int:
        """What each effect outside carries."""
        return self.lease.token

    def left_ms(self) -> float:
        """Until the lease may be another's, by what is known now."""
        return self.lease.left_ms()

    def check(self) -> None:
        """Before each effect."""
        if self.left_ms() <= 0.0:
            raise LeaseOver(self.lease.name)

    def follow(self) -> None:
        """The lease's end has moved."""
        if self.limit and not self.limit.expired():
            self.limit.reschedule(self._when())

    def _when(self) -> float:
        leases = self.lease.leases
        return asyncio.get_running_loop().time() + max(0.0, self.left_ms()) / 1000.0 / leases.clock_rate

    async def __aenter__(self) -> Act:
        self.check()
        self.limit = asyncio.timeout_at(self._when())
        await self.limit.__aenter__()
        self.lease.acts.add(self)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.lease.acts.discard(self)
        assert self.limit
        try:
            await self.limit.__aexit__(kind, error, trace)
        except TimeoutError:
            raise LeaseOver(self.lease.name) from error


class Holding:
    """A lease that is ours until ``until_ms`` of our clock."""

    def __init__(self, leases: Leases, name: str, lease: Lease, until_ms: float) -> None:
        self.leases, self.name, self.lease, self.until_ms = leases, name, lease, until_ms
        self.token = lease.token
        self.acts: set[Act] = set()
        self.lost = ""  # why it is ours no more

    def left_ms(self) -> float:
        """Time in which an effect may still be sent."""
        if self.lost:
            return 0.0
        return self.until_ms - STOP_SHARE * self.lease.length_ms - self.leases.clock()

    def act(self) -> Act:
        """``async with``: a step that is cut off where the lease may be another's."""
        return Act(self)

    async def renew(self) -> bool:
        """Ours for its length from now on. False if that could not be told; ``lost`` if it is another's."""
        return await self._change(lambda lease: model.renew(lease, self.leases.me, self.token))

    async def begin(self) -> bool:
        """A run begins."""
        return await self._change(lambda lease: model.begin(lease, self.leases.me, self.token))

    async def save(self, checkpoint: str) -> bool:
        """How far the run has come, for whoever goes on with it."""
        return await self._change(lambda lease: model.save(lease, self.leases.me, self.token, checkpoint))

    async def end(self, good: bool, checkpoint: str) -> bool:
        """The run has ended."""
        me, token = self.leases.me, self.token
        return await self._change(lambda lease: model.end(lease, me, token, good, checkpoint))

    async def release(self, to: int = model.ANYBODY) -> bool:
        """Ours no more, as nothing is done under it; ``to`` may have it first."""
        assert not self.acts, "a lease is handed on after its acts"
        self.lose("released")
        return await self._change(lambda lease: model.release(lease, self.leases.me, self.token, to))

    async def _change(self, step: Callable[[Lease | None], Lease | None]) -> bool:
        """One change; each that is made tells all others anew that we live. Counted from before we asked."""
        leases = self.leases
        asked, stays = leases.clock(), False

        def change(held: Held | None) -> bytes | None:
            nonlocal stays
            lease = model.read(held)
            after = step(lease)
            stays = lease is not None and lease.holder == leases.me.who and lease.token == self.token
            return None if after is None else model.write(model.beats(after))

        try:
            done = await leases.registers.change(PREFIX + self.name, change, leases.round_s)
        except (NoMajority, Unsure):
            return False
        if not done.mine:
            if not stays:
                self.lose("another's")
            return False
        assert done.held
        lease = model.read(done.held)
        assert lease
        self.lease = lease
        leases.views(self.name).saw(done.held.version, lease, leases.clock())
        if lease.holder == leases.me.who and not self.lost:
            self.until_ms = max(self.until_ms, leases.terms.until(asked, lease.length_ms))
            for act in self.acts:
                act.follow()
        return True

    def lose(self, why: str) -> None:
        """It is not ours any more, or not used by us any more."""
        self.lost = self.lost or why
        for act in self.acts:
            act.follow()


class Leases:
    """The leases as one process sees them. ``clock``: milliseconds, at ``clock_rate`` of the loop's."""

    def __init__(
        self,
        registers: Registers,
        me: Me,
        terms: Terms,
        clock: Callable[[], float],
        clock_rate: float = 1.0,
    ) -> None:
        self.registers, self.me, self.terms = registers, me, terms
        self.clock, self.clock_rate = clock, clock_rate
        # A round that takes longer than this leaves no time to act, whatever comes of it.
        self.round_s = terms.length_ms / 3.0 / 1000.0
        self.seen: dict[str, View] = {}

    def views(self, name: str) -> View:
        """What was seen of a lease."""
        return self.seen.setdefault(name, View())

    async def look(self, names: list[str]) -> None:
        """See how these stand, in one trip to each store."""
        found = await self.registers.look([PREFIX + name for name in names], self.round_s)
        heard = self.clock()
        for name in names:
            if PREFIX + name in found:
                held = found[PREFIX + name]
                self.views(name).saw(held.version if held else 0, model.read(held), heard)

    async def take(self, name: str) -> Holding | None:
        """Hold it from now on; None unless it stands as it was seen last, and is free by that."""
        view, me = self.views(name), self.me
        asked = self.clock()
        if asked < view.free_at(self.terms):
            return None
        seen, floor = model.stands(view.lease), self.registers.members.floor

        def change(held: Held | None) -> bytes | None:
            lease = model.read(held)
            if model.stands(lease) != seen:
                return None  # somebody was faster, or its holder has given a sign
            return model.write(model.take(lease, me, self.terms.length_ms, floor))

        try:
            done = await self.registers.change(PREFIX + name, change, self.round_s)
        except (NoMajority, Unsure):
            return None
        if done.held is None:
            return None
        lease = model.read(done.held)
        assert lease
        view.saw(done.held.version, lease, self.clock())
        if not done.mine or lease.holder != me.who:
            return None
        holding = Holding(self, name, lease, self.terms.until(asked, lease.length_ms))
        return holding if holding.left_ms() > 0.0 else None

    async def tell(self, name: str, step: Callable[[Lease | None], Lease | None]) -> bool:
        """A change by who does not hold it: a wish, or an operator's word."""

        def change(held: Held | None) -> bytes | None:
            after = step(model.read(held))
            return None if after is None else model.write(after)

        done = await self.registers.change(PREFIX + name, change, self.round_s)
        if done.held:
            self.views(name).saw(done.held.version, model.read(done.held), self.clock())
        return done.mine
