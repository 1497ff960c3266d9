"""What happens to the processes of a trial, and when: drawn from a seed or written by hand. Pure.

Processes are named by kind and number: ``s`` stores, ``c`` control servers, ``g`` gateways with traffic,
``h`` processes with hollow followers, ``p`` publishers. Links are named ``FROM>TO``: ``g0>c1``, ``c1>s0``.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Literal

import msgspec

Kind = Literal[
    "cut",  # links: nothing goes ``ways`` any more
    "slow",  # links: each piece waits ``delay_ms``
    "reset",  # links: connections break once
    "choke",  # links: after ``size_bytes`` more on the way back, nothing goes there any more
    "truncate",  # links: after ``size_bytes`` more on the way back, the connection breaks
    "garble",  # links: one byte in each piece on the way back is changed
    "stop",  # processes: SIGSTOP, then SIGCONT
    "kill",  # processes: SIGKILL, then a new process
    "damage",  # control servers: the records that they hand to gateways lack an item, under their old digest
    "lag",  # control servers: they learn of no newer revision, and offer gateways the old one as verified
]
ON_LINKS = ("cut", "slow", "reset", "choke", "truncate", "garble")
MOST_FAULTS = 200
REGIONS = ("north", "south", "west")
WAYS = ("there", "back")
FIRST_FAULT_MS = 800.0
QUIET_MS = 300.0  # at the end of a run: no fault lasts into it
SPANS_MS = (150.0, 400.0, 900.0, 1800.0)  # of one fault
BETWEEN_MS = 320.0  # from one fault to the next, on average
SLOW_MS = (10.0, 60.0, 300.0)
SIZES_BYTES = (40, 300, 2000)  # in the middle of a head, of a small answer, of a snapshot


class Fault(msgspec.Struct, frozen=True):
    """One thing that goes wrong, at ``at_ms`` of the run and for ``for_ms``."""

    at_ms: float
    do: Kind
    on: tuple[str, ...]
    for_ms: float = 0.0
    ways: tuple[str, ...] = WAYS
    delay_ms: float = 0.0
    size_bytes: int = 0

    def ends_ms(self) -> float:
        """When it is over."""
        return self.at_ms + self.for_ms


class Schedule(msgspec.Struct, frozen=True):
    """Processes of a trial, what is published, the faults. Each ``h`` process has ``hollow`` followers."""

    name: str = "drawn"
    seed: int = 1
    stores: int = 3
    control_servers: int = 6
    gateways: int = 3
    hollow_processes: int = 3
    hollow: int = 6
    publishers: int = 2
    length_ms: float = 8000.0
    publish_every_ms: float = 150.0
    tenants: int = 60
    plans: int = 8
    keep_records: int = 0  # that a control server's log holds at most; 0: as many as by default
    mutant: str = ""  # a guard that is taken out, by name
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        if len(self.faults) > MOST_FAULTS:
            raise ValueError(f"faults: {MOST_FAULTS} at most")
        known = set(self.processes()) | set(self.links())
        for fault in self.faults:
            if not 0.0 <= fault.at_ms <= self.length_ms or fault.for_ms < 0.0:
                raise ValueError(f"faults: not within the run: {fault}")
            if not fault.on or not known.issuperset(fault.on):
                raise ValueError(f"faults: on something that is not there: {fault}")

    def of_kind(self, kind: str) -> tuple[str, ...]:
        """Names of the processes of one kind, by its letter."""
        counts = {
            "s": self.stores,
            "c": self.control_servers,
            "g": self.gateways,
            "h": self.hollow_processes,
            "p": self.publishers,
        }
        return tuple(f"{kind}{number}" for number in range(counts[kind]))

    def processes(self) -> tuple[str, ...]:
        """Names of all processes."""
        return tuple(name for kind in "scghp" for name in self.of_kind(kind))

    def links(self) -> tuple[str, ...]:
        """Names of all links between them."""
        control, found = self.of_kind("c"), []
        for name in (*self.of_kind("g"), *self.of_kind("h"), *self.of_kind("p")):
            found += [f"{name}>{server}" for server in control]
        for name in control:
            found += [f"{name}>{store}" for store in self.of_kind("s")]
            found += [f"{name}>{peer}" for peer in control if peer != name]
        return tuple(found)

    def region(self, process: str) -> str:
        """The region of a process: control servers in pairs, all else in turn."""
        number = int(process[1:])
        if process.startswith("c"):
            return REGIONS[number * len(REGIONS) // max(self.control_servers, len(REGIONS))]
        return REGIONS[number % len(REGIONS)]


def draw(seed: int, plain: Schedule | None = None) -> Schedule:
    """Faults by seed, several at a time. No store loses what it holds: that takes an operator's command."""
    base = plain or Schedule()
    dice = random.Random(seed)
    faults: list[Fault] = []
    at_ms = FIRST_FAULT_MS
    while at_ms < base.length_ms - 2.0 * QUIET_MS and len(faults) < MOST_FAULTS:
        for_ms = min(dice.choice(SPANS_MS), base.length_ms - QUIET_MS - at_ms)
        faults.append(dice.choice(DRAWS)(dice, base, at_ms, for_ms))
        at_ms += dice.expovariate(1.0 / BETWEEN_MS)
    return msgspec.structs.replace(base, name=f"drawn-{seed}", seed=seed, faults=tuple(faults))


def _ways(dice: random.Random) -> tuple[str, ...]:
    return dice.choice((WAYS, WAYS[:1], WAYS[1:]))


def _pick(dice: random.Random, base: Schedule, kinds: str) -> str:
    """A process of one of the kinds that there are, each letter as likely as another."""
    return dice.choice(base.of_kind(dice.choice([kind for kind in kinds if base.of_kind(kind)])))


def _cut_follower(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    """A gateway and some or all control servers."""
    name, control = dice.choice((*base.of_kind("g"), *base.of_kind("h"))), base.of_kind("c")
    some = dice.choice((control, dice.sample(control, max(1, len(control) // 2))))
    return Fault(at_ms, "cut", tuple(f"{name}>{server}" for server in some), for_ms, _ways(dice))


def _cut_store(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    """A control server and some or all stores."""
    name, stores = dice.choice(base.of_kind("c")), base.of_kind("s")
    some = dice.choice((stores, (dice.choice(stores),)))
    return Fault(at_ms, "cut", tuple(f"{name}>{store}" for store in some), for_ms, _ways(dice))


def _cut_peers(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    """Some control servers and the others."""
    control = base.of_kind("c")
    apart = set(dice.sample(control, dice.randint(1, max(1, len(control) // 2))))
    links = [f"{name}>{peer}" for name in control for peer in control if name in apart and peer not in apart]
    back = [f"{name}>{peer}" for name in control for peer in control if name not in apart and peer in apart]
    return Fault(at_ms, "cut", tuple(links + dice.choice(([], back))), for_ms, _ways(dice))


def _cut_region(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    """All links between one region and the others; stores count as outside."""
    region = dice.choice(REGIONS)
    inside = {name for name in base.processes() if name[0] != "s" and base.region(name) == region}
    links = [
        link for link in base.links() if (link.split(">")[0] in inside) != (link.split(">")[1] in inside)
    ]
    return Fault(at_ms, "cut", tuple(links), for_ms)


def _spoil_link(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    """Answers of control servers to a gateway, or of peers to a control server."""
    control = base.of_kind("c")
    name = dice.choice((*base.of_kind("g"), *base.of_kind("h"), *base.of_kind("h"), *control))
    do: Kind = dice.choice(("slow", "reset", "choke", "choke", "truncate", "garble"))
    links = tuple(f"{name}>{server}" for server in control if server != name)
    delay_ms, size_bytes = dice.choice(SLOW_MS), dice.choice(SIZES_BYTES)
    return Fault(at_ms, do, links, for_ms, delay_ms=delay_ms, size_bytes=size_bytes)


def _stop(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    return Fault(at_ms, "stop", (_pick(dice, base, "cccgghhs"),), for_ms)


def _kill(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    return Fault(at_ms, "kill", (_pick(dice, base, "cccghpp"),), for_ms)


def _kill_all_control_servers(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    return Fault(at_ms, "kill", base.of_kind("c"), min(for_ms, SPANS_MS[1]))


def _spoil_server(dice: random.Random, base: Schedule, at_ms: float, for_ms: float) -> Fault:
    do: Kind = dice.choice(("damage", "lag"))
    return Fault(at_ms, do, (dice.choice(base.of_kind("c")),), for_ms)


DRAWS: tuple[Callable[[random.Random, Schedule, float, float], Fault], ...] = (
    _cut_follower,
    _cut_follower,
    _cut_store,
    _cut_store,
    _cut_peers,
    _cut_region,
    _spoil_link,
    _spoil_link,
    _stop,
    _stop,
    _kill,
    _kill,
    _kill,
    _kill_all_control_servers,
    _spoil_server,
)


def smaller(schedule: Schedule) -> Iterator[Schedule]:
    """Candidates for cutting a failing one down: fewer faults, the largest cut first."""
    faults = schedule.faults
    size = len(faults)
    while size:
        for start in range(0, len(faults), size):
            yield msgspec.structs.replace(schedule, faults=faults[:start] + faults[start + size :])
        size //= 2
