"""What is asked for and when: stages of a rate, a mix of classes and customers, drawn from one seed. Pure.

Open loop: the time of a request hangs on no answer. A process of many asks at its part of the rate, from a
stream of its own, so that all of them together are one Poisson stream of the whole rate.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import accumulate

from brackenloft.interface import Effect, Settings

MOST_RATE = 200_000.0  # requests a second over all processes: more than loopback carries
MOST_S = 3600.0  # of all stages
MOST_REQUESTS = 20_000_000  # some hours of results at hand; each process holds counts, not requests
MOST_PROCESSES = 64
MOST_CONNECTIONS = 10_000  # of one process: below the descriptors that a process may have
MOST_CUSTOMERS = 1_000_000


class LoadError(ValueError):
    """A load that can't be played; the text names the option."""


@dataclass(frozen=True, slots=True)
class Step:
    """A rate, in requests a second, and how long it is held."""

    rate: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Share:
    """A class or a plan, and its part of the requests or customers."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Load:
    """All that a run is told."""

    addresses: tuple[tuple[str, int], ...]
    steps: tuple[Step, ...]
    classes: tuple[Share, ...]
    plans: tuple[Share, ...]
    customers: int = 100
    processes: int = 1
    connections: int = 64  # of each process, over all addresses
    seed: int = 1
    even: bool = False  # equal gaps in place of a Poisson stream
    wait_ms: float = 0.0  # of each request, 0 for its class's deadline
    body: int = 64  # bytes of what is posted

    def seconds(self) -> float:
        """Of all steps."""
        return sum(step.seconds for step in self.steps)

    def expected(self) -> float:
        """Requests, about."""
        return sum(step.rate * step.seconds for step in self.steps)


@dataclass(frozen=True, slots=True)
class Due:
    """One request: when, in seconds from the start, by whom and for what."""

    at: float
    number: int
    customer: int
    plan: str
    kind: str
    first: int  # gateway of the customer's set


def check(load: Load, settings: Settings) -> Load:
    """The load, if it can be played against these settings; LoadError names the option."""
    limits = (
        ("stage", max(step.rate for step in load.steps) if load.steps else 0.0, 0.001, MOST_RATE),
        ("stage", load.seconds(), 0.001, MOST_S),
        ("stage", load.expected(), 0.001, float(MOST_REQUESTS)),
        ("processes", load.processes, 1, MOST_PROCESSES),
        ("connections", load.connections, 1, MOST_CONNECTIONS),
        ("customers", load.customers, 1, MOST_CUSTOMERS),
        ("at", len(load.addresses), 1, 1000),
        ("body", load.body, 0, 1 << 20),
        ("wait-ms", load.wait_ms, 0.0, 600_000.0),
    )
    for name, value, low, high in limits:
        if not low <= value <= high:
            raise LoadError(f"--{name}: {value:g} is not from {low:g} to {high:g}")
    if any(step.rate <= 0.0 or step.seconds <= 0.0 for step in load.steps):
        raise LoadError("--stage: a rate and seconds above 0 are wanted")
    _known("class", load.classes, [item.name for item in settings.classes])
    _known("plan", load.plans, [item.name for item in settings.plans])
    return load


def _known(option: str, shares: Sequence[Share], names: list[str]) -> None:
    for share in shares:
        if share.name not in names:
            raise LoadError(f"--{option}: {share.name!r} is none of {', '.join(names)}")
        if not share.weight > 0.0:
            raise LoadError(f"--{option}: {share.name}: a weight above 0 is wanted, not {share.weight:g}")
    if len({share.name for share in shares}) != len(shares) or not shares:
        raise LoadError(f"--{option}: each is to be named once, and one at least")


def part(load: Load, process: int) -> Load:
    """What one of the processes plays: its part of the rate."""
    return replace(load, steps=tuple(Step(step.rate / load.processes, step.seconds) for step in load.steps))


def _drawer(shares: Sequence[Share]) -> tuple[list[float], float]:
    bounds = list(accumulate(share.weight for share in shares))
    return bounds, bounds[-1]


def arrivals(load: Load, process: int, gateways: int) -> Iterator[Due]:
    """The requests of one process, in the order of their times; ``load`` is the whole of it."""
    own, draw = part(load, process), random.Random(f"{load.seed}/{process}")
    kinds, all_kinds = _drawer(load.classes)
    plans, all_plans = _drawer(load.plans)
    number, begins = process, 0.0
    for step in own.steps:
        at, ends = begins, begins + step.seconds
        if own.even:  # the processes take turns
            at += process / (step.rate * load.processes)
            at -= 1.0 / step.rate
        while True:
            at += 1.0 / step.rate if own.even else draw.expovariate(step.rate)
            if at >= ends:
                break
            customer = draw.randrange(load.customers)
            # A customer has one plan and one set of gateways, the same in each process.
            fate = random.Random(customer).random()
            yield Due(
                at,
                number,
                customer,
                load.plans[bisect_right(plans, fate * all_plans)].name,
                load.classes[bisect_right(kinds, draw.random() * all_kinds)].name,
                customer % gateways,
            )
            number += load.processes
        begins = ends


def writes(settings: Settings) -> dict[str, Effect]:
    """What each class does at a server."""
    return {kind.name: kind.effect for kind in settings.classes}
