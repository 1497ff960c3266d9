"""Gateways, customers and a counter in virtual time, with faults; for tests and the benchmark.

The gateways are ``Meter`` and ``Core`` as they are; the counter is a model of two rooms. Plain ways of doing
it stand beside, as ``Way``. A customer asks at random (or regularly, far over its quota), through one gateway
of its set, or moving from one to the next. The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import count
from typing import Any

from brackenloft.interface import Effect, Plan, Request, RequestClass, Settings
from brackenloft.policy.meter import Meter
from brackenloft.quota.account import RATE_MS
from brackenloft.quota.core import REPORT_MS, Core
from brackenloft.quota.model import Figures, Reply, Report, Run

KIND = RequestClass("read", 500.0, 1000.0, Effect.SAFE)
WINDOW_MS = 1000.0  # of plain window counters
TIMEOUT_MS = 500.0


class Way(StrEnum):
    """How quotas are kept."""

    OURS = "ours"
    FLOOR = "even floor alone"
    OPEN = "windows, open when the counter fails"
    CLOSED = "windows, closed when the counter fails"


class Fault(StrEnum):
    """What happens to the counter or the gateways."""

    DEAD = "dead"  # connections are refused
    HANGS = "hangs"  # nothing is answered
    SPLIT = "split"  # its two rooms do not hear of each other
    BLANK = "blank"  # at the start of it another one takes its place, with nothing
    FORGETS = "forgets"  # it acknowledges and keeps nothing
    LATE = "late"  # it answers after 0.4 s
    NONSENSE = "nonsense"  # figures that no gateway writes
    RESTART = "restart"  # a third of the gateways begin anew at the start of it


@dataclass(frozen=True, slots=True)
class Trouble:
    """One of these, for a while."""

    fault: Fault
    at_ms: float
    for_ms: float


@dataclass(frozen=True, slots=True)
class Asker:
    """A customer: how much it asks, of its quota, and where."""

    name: str
    load: float  # times its rate
    regular: bool = False
    moves_ms: float = 0.0  # to the next gateway of its set after so long; 0: it asks at random
    at: int | None = None  # always there
    first: int = 0


@dataclass(frozen=True, slots=True)
class Play:
    """What is played."""

    gateways: int = 4
    width: int = 4
    plan: Plan = Plan("plan", rate=10.0, burst=10.0)
    askers: tuple[Asker, ...] = ()
    troubles: tuple[Trouble, ...] = ()
    length_ms: float = 60_000.0
    counted_ms: float = 0.0  # from when tries count as lost
    rooms: tuple[int, ...] = (0, 1, 0, 1)  # of each gateway, repeated
    way: Way = Way.OURS
    seed: int = 1


@dataclass(slots=True)
class Tried:
    """What became of one customer."""

    tries: int = 0
    let_in: float = 0.0
    refused: int = 0
    inside: int = 0  # tries that count and for which the quota, seen as one, had room
    lost: int = 0  # of those
    bucket: float = 0.0
    bucket_at: float = 0.0
    most: float = 0.0  # let in beyond what the quota has, at any moment
    over: float = 0.0
    over_at: float = 0.0

    def takes(self, plan: Plan, now: float, let_in: bool, counts: bool) -> None:
        """A try of one unit, and whether it was let in; ``counts``: as lost, if it should have been."""
        self.tries += 1
        self.bucket = max(0.0, self.bucket - plan.rate * (now - self.bucket_at) / 1000.0)
        self.bucket_at = now
        inside = self.bucket + 1.0 <= plan.burst
        self.bucket += inside
        self.inside += inside and counts
        if let_in:
            self.let_in += 1.0
            self.over = max(0.0, self.over - plan.rate * (now - self.over_at) / 1000.0) + 1.0
            self.over_at = now
            self.most = max(self.most, self.over - plan.burst)
        else:
            self.refused += 1
            self.lost += inside and counts


@dataclass(slots=True)
class Room:
    """One side of the counter."""

    epoch: str = ""
    beats: dict[Run, int] = field(default_factory=dict)
    rows: dict[tuple[str, str], dict[Run, Figures]] = field(default_factory=dict)
    windows: Counter[tuple[str, int]] = field(default_factory=Counter)


class Rig:
    """One play."""

    def __init__(self, play: Play) -> None:
        self.play, self.now = play, 0.0
        self.random = random.Random(play.seed)
        self.settings = Settings(play.gateways, 0, "a", (KIND,), (play.plan,), meter_period_ms=0.0)
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order, self.starts = count(), count()
        self.rooms = (Room(), Room())
        self.told: list[tuple[int, Report]] = []  # written while the rooms were apart
        self.meters: list[Meter] = []
        self.cores: list[Core] = []
        for index in range(play.gateways):
            self.meters.append(self._meter())
            self.cores.append(self._core(index))
            self.later(self.random.random() * REPORT_MS, self._report, index, self.cores[index])
        self.tried = {asker.name: Tried() for asker in play.askers}
        self.states: Counter[str] = Counter()
        self.trips = 0
        for asker in play.askers:
            self.later(self._gap(asker), self._ask, asker)
        for trouble in play.troubles:
            self.later(trouble.at_ms, self._begin, trouble)

    def _meter(self) -> Meter:
        meter = Meter(self.settings)
        meter.started_at = self.now
        return meter

    def _core(self, index: int) -> Core:
        return Core((self.play.plan,), self.play.gateways, Run(index, f"r{next(self.starts)}"), 100_000)

    def later(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call it up after so many milliseconds."""
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call, arguments))

    def run(self) -> Rig:
        """To its end."""
        while self.heap and self.heap[0][0] <= self.play.length_ms:
            self.now, _, call, arguments = heapq.heappop(self.heap)
            call(*arguments)
        return self

    # ---- Troubles

    def suffers(self, fault: Fault) -> bool:
        """Whether it holds now."""
        return any(t.fault is fault and t.at_ms <= self.now < t.at_ms + t.for_ms for t in self.play.troubles)

    def _begin(self, trouble: Trouble) -> None:
        if trouble.fault is Fault.BLANK:
            self.rooms = (Room(), Room())
        elif trouble.fault is Fault.RESTART:
            for index in self.random.sample(range(self.play.gateways), max(1, self.play.gateways // 3)):
                self.meters[index], self.cores[index] = self._meter(), self._core(index)
                self.later(0.0, self._report, index, self.cores[index])
        elif trouble.fault is Fault.SPLIT:
            self.later(trouble.for_ms, self._heal)

    def _heal(self) -> None:
        """What was written on one side goes over to the other."""
        told, self.told = self.told, []
        for side, report in told:
            self._keep(self.rooms[1 - side], report)

    # ---- Customers

    def _gap(self, asker: Asker) -> float:
        mean = 1000.0 / (asker.load * self.play.plan.rate)
        return mean if asker.regular else self.random.expovariate(1.0 / mean)

    def _ask(self, asker: Asker) -> None:
        self.later(self._gap(asker), self._ask, asker)
        width = self.play.width
        if asker.at is not None:
            place = asker.at
        elif asker.moves_ms:
            place = int(self.now / asker.moves_ms) % width
        else:
            place = self.random.randrange(width)
        gateway = (asker.first + place) % self.play.gateways
        let_in = self._lets_in(gateway, asker)
        self.tried[asker.name].takes(self.play.plan, self.now, let_in, self.now >= self.play.counted_ms)
        if not let_in and self.play.way is Way.OURS:
            self.cores[gateway].refuses((self.play.plan.name, asker.name), 1.0, self.now)

    def _lets_in(self, gateway: int, asker: Asker) -> bool:
        if self.play.way in (Way.OPEN, Way.CLOSED):
            return self._window(gateway, asker)
        meter, plan = self.meters[gateway], self.play.plan
        request = Request("", "read", plan.name, asker.name, 1000.0, 1.0, self.play.width, asker.first)
        customer = meter.customer(request, plan, self.now)
        before = customer.excess, customer.touched
        hold = meter.hold_ms(customer, plan, KIND, 1.0, self.now)
        if hold >= meter.useful_ms(KIND, 0.0):
            customer.excess, customer.touched = before
            return False
        if self.play.way is Way.OURS:
            key = plan.name, asker.name
            self.cores[gateway].uses(key, 1.0, self.play.width, asker.first, self.now)
        return True

    def _window(self, gateway: int, asker: Asker) -> bool:
        """One command for each request, to a count for each window."""
        if self.suffers(Fault.DEAD) or self.suffers(Fault.HANGS):
            return self.play.way is Way.OPEN
        key, side = (asker.name, int(self.now / WINDOW_MS)), self._side(gateway)
        self.trips += 1
        most = self.play.plan.rate * WINDOW_MS / 1000.0
        if self.suffers(Fault.NONSENSE):
            return self.play.way is Way.OPEN
        for number, room in enumerate(self.rooms):
            if number == side or not self.suffers(Fault.SPLIT):
                room.windows[key] += not self.suffers(Fault.FORGETS)
        return self.rooms[side].windows[key] <= most

    # ---- The counter

    def _side(self, gateway: int) -> int:
        return self.play.rooms[gateway % len(self.play.rooms)]

    def _report(self, index: int, core: Core) -> None:
        if self.cores[index] is not core or self.play.way is not Way.OURS:
            return  # it was started anew
        report = core.due(self.now, f"e{index}.{self.now:.0f}")
        if report is None:
            self.later(REPORT_MS / 8.0, self._report, index, core)
            return
        self.trips += 1
        self.states[core.state.value] += 1
        if self.suffers(Fault.DEAD):
            self._failed(index, core, report, "refused")
        elif self.suffers(Fault.HANGS):
            self.later(TIMEOUT_MS, self._failed, index, core, report, "timeout")
        else:
            delay = 400.0 if self.suffers(Fault.LATE) else 2.0 * self.random.random()
            self.later(delay, self._arrives, index, core, report, self.now)

    def _failed(self, index: int, core: Core, report: Report, why: str) -> None:
        if self.cores[index] is core:
            self._tell(index, core.failed(report, why, self.now))
            self.later(REPORT_MS, self._report, index, core)

    def _keep(self, room: Room, report: Report) -> None:
        room.epoch = room.epoch or report.epoch
        room.beats[report.run] = max(report.beat, room.beats.get(report.run, 0))
        for row in report.rows:
            room.rows.setdefault((row.plan, row.customer), {})[report.run] = row.figures

    def _arrives(self, index: int, core: Core, report: Report, asked: float) -> None:
        if self.cores[index] is not core:
            return
        self.later(REPORT_MS, self._report, index, core)
        if self.suffers(Fault.NONSENSE):
            self._tell(index, core.nonsense(report, "no figures", self.now))
            return
        side = self._side(index)
        if not self.suffers(Fault.FORGETS):
            self._keep(self.rooms[side], report)
            if self.suffers(Fault.SPLIT):
                self.told.append((side, report))
            else:
                self._keep(self.rooms[1 - side], report)
        room = self.rooms[side]
        for each in self.rooms:
            each.epoch = each.epoch or room.epoch or report.epoch
        rows = tuple(dict(room.rows.get((row.plan, row.customer), {})) for row in report.rows)
        reply = Reply(room.epoch, dict(room.beats), rows)
        self._tell(index, core.answered(report, reply, asked, self.now))

    def _tell(self, index: int, readings: Sequence[Any]) -> None:
        for reading in readings:
            self.meters[index].grant(reading, self.now)

    # ---- What was seen

    def overshoot(self, name: str) -> float:
        """What a customer was let in beyond its quota and burst, as a share of the play's quota."""
        return max(0.0, self.tried[name].most) / (self.play.plan.rate * self.play.length_ms / 1000.0)

    def lost(self, name: str) -> float:
        """Tries that were refused though the quota, seen as one, had room."""
        tried = self.tried[name]
        return tried.lost / max(1, tried.inside)


def troubles(seed: int, length_ms: float = 60_000.0) -> tuple[Trouble, ...]:
    """One to four at random, some at once."""
    draw = random.Random(seed)
    return tuple(
        Trouble(
            draw.choice(list(Fault)),
            draw.uniform(5000.0, length_ms - 25_000.0),
            draw.uniform(500.0, 20_000.0),
        )
        for _ in range(draw.randint(1, 4))
    )


def allowed(play: Play) -> float:
    """Units that a customer may be let in beyond its quota and burst, at any moment of a play.

    Each gateway holds what is beyond its burst for half an aim, and counts it as let in when it is held.
    One that is started anew has an empty bucket of its slice. At the start, and as a trouble begins or ends,
    which each gateway notices at a report of its own, the others' use is known after a report, and a rate
    that faded after its time constant: until then each may use what it takes for free, beyond its floor.
    """
    plan, width = play.plan, play.width
    band = plan.rate * KIND.aim_ms / 1000.0
    restarts = sum(t.fault is Fault.RESTART for t in play.troubles) * max(1, play.gateways // 3)
    growth = (width - 1) / width * plan.rate * (RATE_MS + 2.0 * REPORT_MS) / 1000.0
    return band + restarts * (plan.burst + band) / width + (1 + 2 * len(play.troubles)) * growth


def customers(width: int) -> tuple[Asker, ...]:
    """Some of each kind: within the quota at one gateway, over all, moving; and far over it."""
    return (
        Asker("one", 0.6, at=0),
        Asker("spread", 0.6),
        Asker("moving", 0.6, moves_ms=20_000.0),
        Asker("low", 0.2),
        Asker("far over, spread", 5.0),
        Asker("far over, shifting", 5.0, moves_ms=5000.0),
        Asker("far over, at one", 5.0, at=width - 1),
    )


def played(way: Way, troubles: Sequence[Trouble], seed: int = 1, **changes: Any) -> Rig:
    """One play of the usual customers."""
    play = replace(Play(), way=way, troubles=tuple(troubles), seed=seed, **changes)
    return Rig(replace(play, askers=play.askers or customers(play.width))).run()


def main() -> int:
    """``SEED`` plays one again and says what it saw; ``FIRST LAST`` plays many; 1 if a bound was passed."""
    numbers = [int(word) for word in sys.argv[1:]]
    if not 1 <= len(numbers) <= 2:
        print("usage: python -m brackenloft.quota.simulate SEED [LAST]", file=sys.stderr)
        return 2
    passed = 0
    for seed in range(numbers[0], numbers[-1] + 1):
        rig = played(Way.OURS, troubles(seed), seed)
        most = allowed(rig.play)
        over = [name for name, tried in rig.tried.items() if tried.most > most]
        passed += bool(over)
        if over or len(numbers) == 1:
            print(f"seed {seed}: beyond its bound of {most:.1f}: {', '.join(over) or 'nobody'}")
            for trouble in rig.play.troubles:
                print(f"  {trouble.at_ms:6.0f} ms: {trouble.fault.value} for {trouble.for_ms:.0f}")
            for name, tried in rig.tried.items():
                print(
                    f"  {name:20} {tried.tries} tries, {tried.let_in:.0f} let in,"
                    f" {max(0.0, tried.most):.1f} beyond, {tried.lost} lost of {tried.inside}"
                )
    print(f"{passed} of {numbers[-1] - numbers[0] + 1} seeds beyond their bounds")
    return 1 if passed else 0


__all__ = ["Asker", "Fault", "Play", "Rig", "Trouble", "Way", "allowed", "customers", "played", "troubles"]


if __name__ == "__main__":
    sys.exit(main())
