"""What happens to a fleet of processes, and when: a file, drawn from a seed or written by hand. Pure."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec

Kind = Literal[
    "cut",  # links of gateways (``on``: "0>s1", "0>place"): nothing goes ``ways`` any more
    "slow",  # the same links: each piece waits ``ms``
    "reset",  # the same links: connections break once
    "stop",  # gateways or stores: SIGSTOP, then SIGCONT
    "kill",  # gateways: SIGKILL, then a new process; stores: the same, and it is blank
    "end",  # gateways: SIGTERM, then a new process
    "mood",  # stores: they answer as ``mood`` says
    "wipe",  # stores: emptied while they run
    "back",  # stores: their content goes back to what it was half a second before, while they run
]
MOST_FAULTS = 200
STORES = ("kill", "wipe", "back")  # to a store, what takes its vote until it is taken back


class Fault(msgspec.Struct, frozen=True):
    """One of them; healed after ``for_ms``."""

    at_ms: float
    do: Kind
    on: tuple[str, ...]
    for_ms: float = 0.0
    ways: tuple[str, ...] = ("there", "back")
    ms: float = 0.0
    mood: str = "READONLY"

    def ends(self) -> float:
        """When it is over."""
        return self.at_ms + self.for_ms


class Schedule(msgspec.Struct, frozen=True):
    """A fleet and its faults. ``rates``: of the gateways' clocks, by number."""

    name: str = "drawn"
    seed: int = 1
    gateways: int = 5
    stores: int = 3
    tasks: int = 3
    clerks: int = 2
    length_ms: float = 8000.0
    lease_ms: float = 900.0
    drift: float = 0.01
    timeout_ms: float = 120.0
    every_ms: float = 60.0
    steps: int = 80  # of a run, 10 ms each: about as long as a lease
    rates: tuple[float, ...] = ()
    faults: tuple[Fault, ...] = ()
    fenced: bool = True
    mutant: str = ""  # a guard that is taken out, by name
    poison: bool = False
    real: bool = False  # also sweep a counter that all gateways write to, and probe

    def __post_init__(self) -> None:
        if len(self.faults) > MOST_FAULTS:
            raise ValueError(f"faults: {MOST_FAULTS} at most")
        for fault in self.faults:
            if not 0.0 <= fault.at_ms <= self.length_ms or fault.for_ms < 0.0:
                raise ValueError(f"faults: not within the run: {fault}")

    def rate(self, gateway: int) -> float:
        """How fast a gateway's clock runs."""
        return self.rates[gateway] if gateway < len(self.rates) else 1.0


def load(path: Path) -> Schedule:
    """From a TOML file."""
    return msgspec.convert(tomllib.loads(path.read_text()), Schedule)


def draw(seed: int, plain: Schedule | None = None) -> Schedule:
    """Faults by seed over a fleet, several at a time, but never two stores without a vote for good.

    (A second one would be lost for good: what is promised then is told by a schedule of its own.) Two of
    three seeds spare one gateway, and have one store at a time in trouble: there, tasks have to go on all
    along. The third knows no such mercy.
    """
    base = plain or Schedule()
    dice = random.Random(seed)
    rates = tuple(1.0 + dice.uniform(-0.5, 0.5) * base.drift for _ in range(base.gateways))
    spared = str(dice.randrange(base.gateways)) if seed % 3 else ""
    faults: list[Fault] = []
    at, store_free_at = 1200.0, 0.0
    while at < base.length_ms - 2500.0:
        fault = _one(dice, base, at, store_free_at)
        at += dice.expovariate(1.0 / 350.0)
        on_store = fault.on[0].startswith("s")
        if spared and (fault.on[0].partition(">")[0] == spared or on_store and fault.at_ms < store_free_at):
            continue
        faults.append(fault)
        if on_store and (spared or fault.do in STORES):
            store_free_at = fault.ends() + BACK_MS
    return msgspec.structs.replace(base, name=f"drawn-{seed}", seed=seed, rates=rates, faults=tuple(faults))


def _one(dice: random.Random, base: Schedule, at: float, store_free_at: float) -> Fault:
    lease = base.lease_ms
    gateway, store = str(dice.randrange(base.gateways)), f"s{dice.randrange(base.stores)}"
    all_stores = [f"s{number}" for number in range(base.stores)]
    span = dice.choice((0.3, 0.8, 1.3, 2.2)) * lease
    span = min(span, base.length_ms - 1500.0 - at)
    kind = dice.choice(
        (
            "cut",
            "cut",
            "cut one way",
            "cut one way",
            "cut off place",
            "slow",
            "reset",
            "stop",
            "stop",
            "stop store",
            "kill",
            "end",
            "mood",
            "store",
            "store",
        )
    )
    ways = ("there", "back")
    match kind:
        case "cut" | "cut one way":
            if kind == "cut one way":
                ways = (dice.choice(ways),)  # type: ignore[assignment]
            some = all_stores if dice.random() < 0.5 else dice.sample(all_stores, 1)
            return Fault(at, "cut", tuple(f"{gateway}>{name}" for name in some), span, ways)
        case "cut off place":  # effects come there late
            return Fault(at, "cut", (f"{gateway}>place",), span, ("there",))
        case "slow":
            some = all_stores if dice.random() < 0.5 else [store]
            return Fault(
                at,
                "slow",
                tuple(f"{gateway}>{name}" for name in some),
                span,
                ms=dice.choice((10.0, 25.0, 200.0)),
            )
        case "reset":
            return Fault(at, "reset", tuple(f"{gateway}>{name}" for name in all_stores))
        case "stop" | "kill" | "end":
            return Fault(at, kind, (gateway,), span)
        case "stop store":
            return Fault(at, "stop", (store,), span)
        case "store" if at >= store_free_at:
            return Fault(at, dice.choice(("kill", "kill", "wipe", "back")), (store,), min(span, 500.0))
        case _:
            mood = dice.choice(("READONLY", "LOADING", "GARBLED", "HUGE", "SILENT"))
            return Fault(at, "mood", (store,), span, mood=mood)


BACK_MS = 1500.0  # after its fault, until a store without a vote was taken back by the operator's command
AGAIN_MS = 1500.0  # until a gateway that was started again, or a link, is as good as before


def promised(schedule: Schedule) -> list[tuple[float, float]]:
    """Times in which one gateway at least is well throughout and reaches a majority of stores with a vote.

    Within each of them every task has to go on; from one to the next nothing is promised. A store is taken
    back by a majority of the others, so where two are in trouble at once nothing is until all is over.
    """
    if any(
        one != other
        and one.on[0].startswith("s")
        and other.on[0].startswith("s")
        and one.at_ms <= other.at_ms < _over(one)
        for one in schedule.faults
        for other in schedule.faults
    ):
        over = max(_over(fault) for fault in schedule.faults)
        return [(over, schedule.length_ms)] if over < schedule.length_ms else []
    marks = {0.0, schedule.length_ms}
    for fault in schedule.faults:
        marks |= {fault.at_ms, min(schedule.length_ms, _over(fault))}
    edges = sorted(marks)
    found = []
    for gateway in range(schedule.gateways):
        begin: float | None = None
        for first, last in zip(edges, edges[1:], strict=False):
            if _reaches(schedule, gateway, first, last):
                begin = first if begin is None else begin
            elif begin is not None:
                found.append((begin, first))
                begin = None
        if begin is not None:
            found.append((begin, schedule.length_ms))
    return sorted(found)


def _over(fault: Fault) -> float:
    """When nothing of a fault is left."""
    if fault.on[0].startswith("s"):
        return fault.ends() + (BACK_MS if fault.do in STORES else AGAIN_MS)
    return fault.ends() + AGAIN_MS


def _reaches(schedule: Schedule, gateway: int, begin: float, end: float) -> bool:
    """Whether nothing is wrong with a gateway between these, nor with most stores as it sees them."""
    lost: set[str] = set()
    for fault in schedule.faults:
        if fault.at_ms >= end or _over(fault) <= begin:
            continue
        for on in fault.on:
            place, _, store = on.partition(">")
            if place == str(gateway) and not store:
                return False
            if place == str(gateway) or place.startswith("s"):
                lost.add(store or place)
    return 2 * len(lost) < schedule.stores


def smaller(schedule: Schedule) -> Iterator[Schedule]:
    """Candidates for cutting a failing one down: fewer faults, the largest cut first, then shorter ones."""
    faults = schedule.faults
    size = len(faults)
    while size:
        for start in range(0, len(faults), size):
            yield msgspec.structs.replace(schedule, faults=faults[:start] + faults[start + size :])
        size //= 2
    last = max((fault.ends() for fault in faults), default=0.0) + 2.5 * schedule.lease_ms
    if last < schedule.length_ms:
        yield msgspec.structs.replace(schedule, length_ms=last)
