"""What one gateway does about the fleet's tasks, from what it has seen of their leases. Pure.

``Book.step`` is asked again and again; it says whom to look at, what to take, renew, hand on, run. Nothing
here knows how that is done, and no time passes in it: the caller tells it, in milliseconds of one clock.

  A gateway that is not fit (it drains, has no nodes, its clock is beyond the bound) takes nothing and hands
  on what it has, once no run is under way.
  Who may take a free lease: the first by rendezvous at once, each one after it a step later, so that 200
  gateways do not all ask; after a hand-over, whom it was handed to first.
  A task that is paused is kept by its holder and not run.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from brackenloft.fleet.leases.model import ANYBODY, Me
from brackenloft.fleet.leases.terms import Terms, View
from brackenloft.fleet.tasks.spread import STANDBYS

# All shares of a lease's length.
LOOK = 0.6  # between two looks of who stands by: with the length itself, under two lengths until it goes on
SELDOM = 4.0  # the same for all others, spread by their numbers: guards against a crowd that starts at once
STEP = 0.05  # by which each one that comes later waits for those before it
PREFERS = 0.5  # that whom a lease was handed to has before the others
RENEW = 1 / 3  # after which it is renewed: two may fail
TOGETHER = 0.15  # that fall due within this are looked at in one trip
SETTLED = 2.0  # that we have been fit before we ask a worse one to hand on
WANTS = 4.0  # between two times that we ask
RESTS = 0.25  # after an attempt to take one that failed, before the next look
MOST_FAILURES = 3  # runs in a row that fail at one holder before it hands the task on
FAILED_PACE = 2.0  # by which the pause before the next run grows with each run that fails
MOST_PACE = 32.0


class Do(Enum):
    """What is to be done."""

    LOOK = "look"
    TAKE = "take"
    RENEW = "renew"
    RELEASE = "release"  # ``to``: whom it is handed to
    RUN = "run"
    WANT = "want"  # ask its holder to hand it on to us
    LIVE = "live"  # tell that we were lost within a run and live


@dataclass(frozen=True, slots=True)
class Order:
    """One of them, for one task."""

    do: Do
    task: str
    to: int = ANYBODY


@dataclass(frozen=True, slots=True)
class Spec:
    """A task: ``every_ms`` from the end of a run to the next, ``longest_ms`` for a run."""

    name: str
    every_ms: float = 10_000.0
    longest_ms: float = 60_000.0


@dataclass(slots=True)
class Entry:
    """One task at this gateway."""

    spec: Spec
    rank: int
    view: View
    looks_at: float = -math.inf
    token: int | None = None  # held with this token
    renewed_at: float = -math.inf
    running: bool = False
    runs_at: float = -math.inf
    failures: int = 0
    wants_at: float = -math.inf
    busy: bool = False  # an order of ours is under way


@dataclass(slots=True)
class Book:
    """All tasks at one gateway."""

    me: Me
    terms: Terms
    entries: dict[str, Entry]
    spread: float = 0.0  # our place among all gateways, from 0 to 1
    fit_since: float = math.inf

    @classmethod
    def of(
        cls,
        me: Me,
        terms: Terms,
        specs: Iterable[Spec],
        ranks: Mapping[str, int],
        views: Callable[[str], View],
        gateways: int,
    ) -> Book:
        """A book of these tasks, nothing of which is known yet."""
        entries = {spec.name: Entry(spec, ranks[spec.name], views(spec.name)) for spec in specs}
        return cls(me, terms, entries, me.index / gateways)

    # ---- What has come about

    def looked(self, task: str, now: float) -> None:
        """It was looked at; nothing is said of whether that told anything."""
        entry = self.entries[task]
        entry.looks_at = now + self._interval(entry)
        free = entry.view.free_at(self.terms) + self._turn(entry)
        if entry.token is None and entry.rank < STANDBYS and now < free < entry.looks_at:
            entry.looks_at = free

    def took(self, task: str, token: int | None, now: float) -> None:
        """We hold it, or an attempt to has failed."""
        entry = self.entries[task]
        if token is None:
            entry.looks_at = min(entry.looks_at, now + RESTS * self.terms.length_ms)
            return
        entry.token, entry.renewed_at = token, now
        entry.failures = 0
        if entry.runs_at == -math.inf or entry.runs_at < now:
            entry.runs_at = now

    def renewed(self, task: str, good: bool, now: float) -> None:
        """It was renewed; if not, it is tried again soon."""
        entry = self.entries[task]
        if good:
            entry.renewed_at = now

    def lost(self, task: str, now: float) -> None:
        """It is ours no more."""
        entry = self.entries[task]
        entry.token = None
        entry.looks_at = now + RESTS * self.terms.length_ms

    def ended(self, task: str, good: bool, now: float) -> None:
        """A run has ended."""
        entry = self.entries[task]
        entry.running = False
        entry.failures = 0 if good else entry.failures + 1
        pace = min(MOST_PACE, FAILED_PACE**entry.failures)
        entry.runs_at = now + entry.spec.every_ms * pace

    # ---- What is to be done

    def step(self, now: float, fit: bool) -> list[Order]:
        """Everything that is due now. What is under way (``busy``) is left alone."""
        self.fit_since = min(self.fit_since, now) if fit else math.inf
        orders = []
        for entry in self.entries.values():
            if entry.looks_at == -math.inf and entry.rank >= STANDBYS:
                entry.looks_at = now + self.spread * SELDOM * self.terms.length_ms
            if entry.busy:
                continue
            does = self._stands_by if entry.token is None else self._holds
            order = does(entry, now, fit)
            if order:
                orders.append(order)
        looks = [order for order in orders if order.do is Do.LOOK]
        if looks:  # one trip for all that fall due soon
            soon = now + TOGETHER * self.terms.length_ms
            named = {order.task for order in looks}
            orders += [
                Order(Do.LOOK, name)
                for name, entry in self.entries.items()
                if name not in named
                and entry.token is None
                and not entry.busy
                and entry.looks_at <= soon
                and not any(order.task == name for order in orders)
            ]
        return orders

    def _holds(self, entry: Entry, now: float, fit: bool) -> Order | None:
        lease = entry.view.lease
        if not entry.running:
            if not fit or (lease and lease.leave):
                return Order(Do.RELEASE, entry.spec.name)
            if lease and self.me.who in lease.lost:
                return Order(Do.LIVE, entry.spec.name)
            if lease and lease.next not in (ANYBODY, self.me.index):
                return Order(Do.RELEASE, entry.spec.name, lease.next)
            if entry.failures >= MOST_FAILURES and entry.runs_at <= now:
                return Order(Do.RELEASE, entry.spec.name)
            if entry.runs_at <= now and not (lease and lease.paused):
                return Order(Do.RUN, entry.spec.name)
        if now >= entry.renewed_at + RENEW * self.terms.length_ms:
            return Order(Do.RENEW, entry.spec.name)
        return None

    def _stands_by(self, entry: Entry, now: float, fit: bool) -> Order | None:
        length, view, name = self.terms.length_ms, entry.view, entry.spec.name
        if now >= entry.looks_at:
            return Order(Do.LOOK, name)
        if view.lease and self.me.who in view.lease.lost:
            return Order(Do.LIVE, name)
        if not fit:
            return None
        if now >= view.free_at(self.terms) + self._turn(entry):
            # Guards against a stampede on what was seen long ago: looked at first, then taken.
            if now - view.looked_ms <= STEP * length:
                return Order(Do.TAKE, name)
            if entry.rank < STANDBYS:
                return Order(Do.LOOK, name)
        lease = view.lease
        if (
            entry.rank == 0
            and lease
            and lease.holder
            and lease.next == ANYBODY
            and now >= entry.wants_at
            and now - self.fit_since >= SETTLED * length
        ):
            entry.wants_at = now + WANTS * length
            return Order(Do.WANT, name)
        return None

    def _interval(self, entry: Entry) -> float:
        share = LOOK if entry.rank < STANDBYS else SELDOM
        return share * self.terms.length_ms

    def _turn(self, entry: Entry) -> float:
        """How long we leave a free lease to those before us."""
        length, lease = self.terms.length_ms, entry.view.lease
        wait = STEP * entry.rank * length
        if lease and lease.next not in (ANYBODY, self.me.index):
            wait += PREFERS * length
        return 0.0 if lease and lease.next == self.me.index else wait

    def next_at(self, now: float) -> float:
        """When ``step`` has something to say again at the earliest, if nothing is told meanwhile."""
        due = now + SELDOM * self.terms.length_ms
        for entry in self.entries.values():
            if entry.busy:
                continue
            if entry.token is None:
                due = min(due, entry.looks_at)
                free = entry.view.free_at(self.terms) + self._turn(entry)
                if free > now and entry.rank < STANDBYS:
                    due = min(due, free)
            else:
                due = min(due, entry.renewed_at + RENEW * self.terms.length_ms)
                lease = entry.view.lease
                if not entry.running and not (lease and lease.paused):
                    due = min(due, max(now, entry.runs_at))
        return max(now, due)
