"""Hundreds of gateways and their tasks in virtual time: book, views, terms as they are, round them a model.

The model's registers change at one instant between the question and its answer; what a question costs at each
store is counted as trips. Gateways are lost, stopped and cut off by seed; a lost question may have been
carried out. No sockets, no clock: a run of a minute with 200 gateways takes some seconds.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgspec

from brackenloft.fleet.leases import model
from brackenloft.fleet.leases.model import Lease, Me
from brackenloft.fleet.leases.terms import Terms, View
from brackenloft.fleet.tasks.core import Book, Do, Order, Spec
from brackenloft.fleet.tasks.spread import ranks

TRIP_MS = (0.4, 3.0)  # to a store and back
TIMEOUT_MS = 300.0
LOOK_TRIPS, TAKE_TRIPS, CHANGE_TRIPS = 1, 4, 2  # a change of the same leader has no first phase
STEP_MS = 5.0  # a gateway's loop is back at its book so soon at the earliest
MOST_MS = 1000.0  # and at the latest
RUN_MS = (5.0, 400.0)


class Plan(msgspec.Struct, frozen=True):
    """A fleet in virtual time. Chances are of each gateway, a second."""

    gateways: int = 200
    tasks: int = 10
    length_ms: float = 5000.0
    drift: float = 0.01
    seconds: float = 60.0
    every_ms: float = 2000.0
    lost: float = 0.0
    cut: float = 0.0
    stopped: float = 0.0
    all_at: float = 0.0  # all gateways start anew at that second
    skew: float = 0.01  # how far clocks run apart: half of it each way
    short_guard: bool = False


class Hasty(Terms):
    """A mutant's: others take a lease before its holder has let go of it."""

    def free_at(self, seen_ms: float, length_ms: float) -> float:
        return seen_ms + 0.5 * length_ms


@dataclass
class Register:
    """One lease."""

    version: int = 0
    lease: Lease | None = None


@dataclass
class Gateway:
    """One of them, at one of its lives."""

    number: int
    life: int
    rate: float
    book: Book
    views: dict[str, View]
    until: dict[str, float] = field(default_factory=dict)  # by its own clock
    tokens: dict[str, int] = field(default_factory=dict)
    cut_until: float = 0.0
    stopped_until: float = 0.0
    alive: bool = True
    turn: int = 0  # the one that is set; others that were set before it are void


class Fleet:
    """A run; what it shows is in ``two_holders``, ``takeovers`` and ``trips``."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.dice, self.now = plan, random.Random(seed), 0.0
        self.terms = (Hasty if plan.short_guard else Terms)(plan.length_ms, plan.drift)
        self.names = [f"t{number}" for number in range(plan.tasks)]
        self.registers = {name: Register() for name in self.names}
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.trips: Counter[int] = Counter()  # by second, at each store
        self.acting: dict[str, tuple[float, Gateway]] = {}  # until when the last holder may act, by true time
        self.lost_at: dict[str, float] = {}
        self.takeovers: list[float] = []
        self.two_holders = self.taken = 0
        self.places = [ranks(self.names, plan.gateways, number) for number in range(plan.gateways)]
        self.gateways = [self._new(number, 0) for number in range(plan.gateways)]

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Do it then."""
        heapq.heappush(self.heap, (when, next(self.order), call))

    def run(self) -> Fleet:
        """To the end of the plan's time."""
        if self.plan.all_at:
            self.at(self.plan.all_at * 1000.0, self._all)
        end = self.plan.seconds * 1000.0
        while self.heap and self.heap[0][0] < end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        return self

    # ---- Gateways

    def _new(self, number: int, life: int) -> Gateway:
        me, views = Me(f"g{number}.{life}", number), {name: View() for name in self.names}
        specs = [Spec(name, self.plan.every_ms) for name in self.names]
        book = Book.of(me, self.terms, specs, self.places[number], views.__getitem__, self.plan.gateways)
        rate = 1.0 + self.plan.skew * self.dice.uniform(-0.5, 0.5)
        gateway = Gateway(number, life, rate, book, views)
        self._set(gateway, self.now + self.dice.uniform(0.0, 50.0))
        self._misfortune(gateway)
        return gateway

    def _misfortune(self, gateway: Gateway) -> None:
        plan = self.plan
        for chance, what in ((plan.lost, self._lose), (plan.cut, self._cut), (plan.stopped, self._stop)):
            if chance:
                self._after(chance, gateway, what)

    def _after(self, chance: float, gateway: Gateway, what: Callable[[Gateway], None]) -> None:
        def happens() -> None:
            if gateway.alive:
                what(gateway)
                self._after(chance, gateway, what)

        self.at(self.now + self.dice.expovariate(chance) * 1000.0, happens)

    def _lose(self, gateway: Gateway) -> None:
        gateway.alive = False
        for name in gateway.tokens:
            self.lost_at.setdefault(name, self.now)
        number, life = gateway.number, gateway.life + 1

        def again() -> None:
            self.gateways[number] = self._new(number, life)

        self.at(self.now + self.dice.uniform(100.0, 5000.0), again)

    def _all(self) -> None:
        for gateway in self.gateways:
            if gateway.alive:
                self._lose(gateway)

    def _cut(self, gateway: Gateway) -> None:
        gateway.cut_until = self.now + self.dice.uniform(0.2, 3.0) * self.plan.length_ms

    def _stop(self, gateway: Gateway) -> None:
        gateway.stopped_until = self.now + self.dice.uniform(0.2, 3.0) * self.plan.length_ms

    def _set(self, gateway: Gateway, when: float) -> None:
        """When its loop comes round, in place of when it would have."""
        gateway.turn += 1
        turn = gateway.turn
        self.at(when, lambda: self._turn(gateway, turn))

    def _turn(self, gateway: Gateway, turn: int) -> None:
        if not gateway.alive or turn != gateway.turn:
            return
        if self.now < gateway.stopped_until:
            self._set(gateway, gateway.stopped_until)
            return
        own = self.now * gateway.rate
        self._lapse(gateway, own)
        looks = []
        for order in gateway.book.step(own, True):
            if order.do is Do.LOOK:
                looks.append(order.task)
            else:
                self._order(gateway, order)
        if looks:
            self._ask(gateway, looks, LOOK_TRIPS, lambda: self._looked(gateway, looks))
        wait = (gateway.book.next_at(own) - own) / gateway.rate
        self._set(gateway, self.now + min(MOST_MS, max(STEP_MS, wait)))

    def _lapse(self, gateway: Gateway, own: float) -> None:
        for name, until in list(gateway.until.items()):
            if own >= until and name in gateway.tokens:
                self._forget(gateway, name, own)

    def _forget(self, gateway: Gateway, name: str, own: float) -> None:
        del gateway.tokens[name], gateway.until[name]
        if name in self.acting and self.acting[name][1] is gateway:
            del self.acting[name]
        self.lost_at.setdefault(name, self.now)
        gateway.book.lost(name, own)

    # ---- Questions

    def _ask(self, gateway: Gateway, names: list[str], trips: int, carry_out: Callable[[], Any]) -> None:
        """Carried out in the middle of the way, unless it is cut off; a lost answer is told as nothing."""
        for name in names:
            gateway.book.entries[name].busy = True
        self.trips[int(self.now / 1000.0)] += trips
        took = sum(self.dice.uniform(*TRIP_MS) for _ in range(trips))
        cut = self.now < gateway.cut_until
        lost = cut and self.dice.random() < 0.5  # it came there, and its answer does not come back
        half = self.now + took * self.dice.uniform(0.3, 0.9)
        done: list[Any] = []
        if not cut or lost:
            self.at(half, lambda: done.append(carry_out()))
        self.at(self.now + (TIMEOUT_MS if cut else took), lambda: self._told(gateway, names, done, cut))

    def _told(self, gateway: Gateway, names: list[str], done: list[Any], cut: bool) -> None:
        if self.now < gateway.stopped_until:
            self.at(gateway.stopped_until, lambda: self._told(gateway, names, done, cut))
            return
        if not gateway.alive:
            return
        own = self.now * gateway.rate
        for name in names:
            entry = gateway.book.entries[name]
            entry.busy = False
            if entry.looks_at <= own:
                gateway.book.looked(name, own)
        if done and not cut and callable(done[0]):
            done[0]()
        self._set(gateway, self.now)

    def _looked(self, gateway: Gateway, names: list[str]) -> Callable[[], None]:
        found = {name: (self.registers[name].version, self.registers[name].lease) for name in names}

        def told() -> None:
            own = self.now * gateway.rate
            for name, (version, lease) in found.items():
                gateway.views[name].saw(version, lease, own)
                gateway.book.looked(name, own)

        return told

    def _change(self, name: str, step: Callable[[Lease | None], Lease | None]) -> tuple[int, Lease] | None:
        register = self.registers[name]
        after = step(register.lease)
        if after is None:
            return None
        register.version, register.lease = register.version + 1, after
        return register.version, after

    def _order(self, gateway: Gateway, order: Order) -> None:
        name = order.task
        if order.do is Do.TAKE:
            self._take(gateway, name)
        elif order.do is Do.RUN:
            self._run_task(gateway, name)
        elif order.do is Do.RENEW:
            self._hold(gateway, name, lambda lease, me, token: model.renew(lease, me, token))
        elif order.do is Do.RELEASE:
            token, me = gateway.tokens.pop(name), gateway.book.me
            gateway.until.pop(name)
            gateway.book.lost(name, self.now * gateway.rate)
            self.acting.pop(name, None)
            self._ask(
                gateway,
                [name],
                CHANGE_TRIPS,
                lambda: self._change(name, lambda lease: model.release(lease, me, token, order.to)),
            )
        else:
            step = model.want if order.do is Do.WANT else model.lives
            self._ask(
                gateway,
                [name],
                TAKE_TRIPS,
                lambda: self._change(name, lambda lease: step(lease, gateway.book.me)),
            )

    def _take(self, gateway: Gateway, name: str) -> None:
        view, asked, me = gateway.views[name], self.now * gateway.rate, gateway.book.me
        seen = model.stands(view.lease)

        def step(lease: Lease | None) -> Lease | None:
            return model.take(lease, me, self.plan.length_ms, 0) if model.stands(lease) == seen else None

        def carry_out() -> Callable[[], None]:
            done = self._change(name, step)

            def told() -> None:
                own = self.now * gateway.rate
                until = self.terms.until(asked, self.plan.length_ms)
                if done and own < until:
                    gateway.tokens[name], gateway.until[name] = done[1].token, until
                    view.saw(*done, own)
                    self.taken += 1
                    if name in self.lost_at:
                        self.takeovers.append(self.now - self.lost_at.pop(name))
                    self._acts(gateway, name)
                gateway.book.took(name, gateway.tokens.get(name), own)

            return told

        self._ask(gateway, [name], TAKE_TRIPS, carry_out)

    def _hold(
        self,
        gateway: Gateway,
        name: str,
        step: Callable[[Lease | None, Me, int], Lease | None],
        then: Callable[[], None] = lambda: None,
    ) -> None:
        token, asked = gateway.tokens[name], self.now * gateway.rate

        def beats(lease: Lease | None) -> Lease | None:
            after = step(lease, gateway.book.me, token)
            return None if after is None else model.beats(after)

        def carry_out() -> Callable[[], None]:
            done = self._change(name, beats)

            def told() -> None:
                own = self.now * gateway.rate
                if gateway.tokens.get(name) != token:
                    return
                gateway.book.renewed(name, done is not None, asked)
                if done is None:
                    self._forget(gateway, name, own)
                    return
                gateway.views[name].saw(*done, own)
                gateway.until[name] = max(gateway.until[name], self.terms.until(asked, done[1].length_ms))
                self._acts(gateway, name)
                then()

            return told

        self._ask(gateway, [name], CHANGE_TRIPS, carry_out)

    def _run_task(self, gateway: Gateway, name: str) -> None:
        entry = gateway.book.entries[name]
        entry.running = True

        def begun() -> None:
            self.at(self.now + self.dice.uniform(*RUN_MS), ends)

        def ends() -> None:
            own = self.now * gateway.rate
            stopped = self.now < gateway.stopped_until
            if gateway.alive and name in gateway.tokens and not entry.busy and not stopped:
                self._hold(gateway, name, lambda lease, me, token: model.end(lease, me, token, True, ""))
            gateway.book.ended(name, True, own)

        self._hold(gateway, name, model.begin, begun)

    # ---- The promise

    def _acts(self, gateway: Gateway, name: str) -> None:
        """It may act until its lease's end, by true time: nobody else may before that."""
        end = gateway.until[name] / gateway.rate
        if end <= self.now:  # it was stopped, and hears an old answer
            return
        before = self.acting.get(name)
        if before and before[1] is not gateway and before[1].alive and before[0] > self.now:
            self.two_holders += 1
        self.acting[name] = end, gateway


def percentile(values: list[float], share: float) -> float:
    """Of some values; 0 of none."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(share * len(rows)))] if rows else 0.0


def figures(fleet: Fleet) -> dict[str, float]:
    """What a run showed. Trips: the mean a second at each store, after the first lease length."""
    settled = fleet.plan.length_ms / 1000.0
    later = [number for second, number in fleet.trips.items() if second >= settled]
    return {
        "two_holders": fleet.two_holders,
        "taken": fleet.taken,
        "trips_s": round(sum(later) / max(1.0, fleet.plan.seconds - settled), 1),
        "trips_s_worst": max(fleet.trips.values()),
        "takeover_p99": round(percentile(fleet.takeovers, 0.99) / fleet.plan.length_ms, 3),
        "takeovers": len(fleet.takeovers),
    }
