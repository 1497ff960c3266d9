"""Who asks for what and when: open loop, independent of answers, but for clients that try again.

Each customer asks by a Poisson process of its own whose rate goes up in spikes; each has its own stream of
randomness, so that a change at one leaves all others as they were.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from brackenloft.lab.spec import Class, Experiment, PlanSpec

LEAST_WEIGHT = 0.02  # of a gateway of the set: a front sends everybody a little


@dataclass(frozen=True, slots=True)
class Kind:
    """How a customer asks: multiples of its plan's rate, and spikes."""

    usual: float
    spike: float = 0.0


@dataclass(slots=True, eq=False)
class Customer:
    """One member of a plan."""

    number: int
    plan: PlanSpec
    kind: Kind
    first: int  # gateway of its set
    stream: random.Random
    spike_from: float
    pressed: float = 1.0  # by a fault: times as much

    def name(self) -> str:
        """As requests carry it."""
        return f"{self.plan.name}-{self.number}"


def _kind(plan: PlanSpec, draw: float, amount: float) -> Kind:
    """By shares, in a stated order: heavy, full, spiky, calm."""
    if draw < plan.heavy:
        return Kind(plan.heavy_x * (0.7 + 0.6 * amount))
    if draw < plan.heavy + plan.full:
        return Kind(0.85 + 0.13 * amount)
    calm = plan.calm * (0.5 + amount)
    return Kind(calm, plan.spike_x if draw < plan.heavy + plan.full + plan.spiky else 0.0)


def make(experiment: Experiment, streams: Callable[[], random.Random]) -> list[Customer]:
    """All customers; ``streams`` gives a new independent stream each time."""
    made: list[Customer] = []
    for plan in experiment.plans:
        for _ in range(plan.customers):
            own = streams()
            made.append(
                Customer(
                    len(made),
                    plan,
                    _kind(plan, own.random(), own.random()),
                    own.randrange(experiment.gateways.count),
                    own,
                    own.random() * plan.spike_every_ms,
                )
            )
    return made


def rate_at(customer: Customer, at: float, load: float) -> float:
    """Units a second that it asks for now."""
    plan, factor = customer.plan, customer.kind.usual
    if customer.kind.spike and (at + customer.spike_from) % plan.spike_every_ms < plan.spike_ms:
        factor = customer.kind.spike
    return plan.rate * factor * load * customer.pressed


def next_after(customer: Customer, at: float, experiment: Experiment, mean_units: float) -> float:
    """When it asks next: thinning against the highest rate that it may have meanwhile."""
    most = customer.plan.rate * experiment.load * customer.pressed / mean_units / 1000.0
    most *= max(customer.kind.usual, customer.kind.spike)
    while True:
        at += customer.stream.expovariate(most)
        now = rate_at(customer, at, experiment.load) / mean_units / 1000.0
        if at > experiment.length_ms or customer.stream.random() * most <= now:
            return at


def classes_of(experiment: Experiment) -> Callable[[random.Random], Class]:
    """Draws a class by its share."""
    kinds = experiment.classes
    total, bounds = sum(kind.share for kind in kinds), list[float]()
    for kind in kinds:
        bounds.append((bounds[-1] if bounds else 0.0) + kind.share / total)

    def draw(stream: random.Random) -> Class:
        value = stream.random()
        return next((kind for kind, bound in zip(kinds, bounds, strict=True) if value < bound), kinds[-1])

    return draw


class Front:
    """Deals a customer's requests out over its set, unevenly; the busiest ones change now and then.

    It notices late that a gateway died: requests that it sends there until then have no answer.
    """

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.spec, self.seed = experiment.gateways, seed
        self.down: set[int] = set()  # as far as it knows
        self.weights: dict[tuple[int, int], list[float]] = {}

    def set_of(self, customer: Customer) -> Iterator[int]:
        """The gateways of a customer's set."""
        return ((customer.first + step) % self.spec.count for step in range(self.spec.width))

    def choose(self, customer: Customer, at: float, stream: random.Random) -> int | None:
        """A gateway that it believes to be up, by the weights of this span of time."""
        span = int(at // self.spec.shift_ms)
        weights = self.weights.get((customer.number, span))
        if weights is None:
            own = random.Random(f"{self.seed}/{customer.number}/{span}")
            weights = [
                LEAST_WEIGHT + own.random() ** (1.0 + 2.0 * self.spec.skew) for _ in range(self.spec.width)
            ]
            self.weights.pop((customer.number, span - 1), None)
            self.weights[customer.number, span] = weights
        there = [
            (one, weight)
            for one, weight in zip(self.set_of(customer), weights, strict=True)
            if one not in self.down
        ]
        if not there:
            return None
        value = stream.random() * sum(weight for _, weight in there)
        for one, weight in there:
            value -= weight
            if value <= 0.0:
                return one
        return there[-1][0]
