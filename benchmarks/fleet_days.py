"""Days of the lab by restarts, classes and tenants: figures of the last line of ``benchmarks.fleet``.

Restarts (``restart_lost``, ``restart_unsent_share``) are counted over the tries that a restarted gateway
takes in the first ``RESTARTING_MS`` of its new process. Its predecessor is killed in the lab: what that had
in hand is not promised an answer and is not counted.

- *lost*: no final answer in the client's time, or an attempt sent on after the final answer.
- *unsent share*: the tries that were failed, or refused for another reason than their quota, without any
  attempt, over all tries counted. A refusal for the quota is a right answer, whoever gives it. A refusal at
  a ceiling does not say so and is counted; ``unsent_share_elsewhere`` is the same share of the other tries
  of these days.

Margins (``class_margin_min``, ``tenant_margin_min``) compare two runs of the same day and seed: ours, and
``LateSeeing``. The share of worth that is served is worth answered well within its latency target over worth
offered, within the quotas, after the warm-up.

- *class margin*: share served by ours less half of the share served by the other policy, for each class with
  at least ``LEAST_PART`` of the requests or of the worth.
- *tenant margin*: the same with a third, for each customer with at least ``LEAST_PART`` of the worth within
  the quotas, and for each plan with as much, whose customers are often too small one by one.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from brackenloft import interface as api
from brackenloft.lab import spec, textbook
from brackenloft.lab.client_try import ClientTry, Seat
from brackenloft.lab.customers import Customer
from brackenloft.lab.spec import Class
from brackenloft.lab.world import Desk, Make, World

RESTARTING_MS = 2000.0  # from a new process's start; fronts come back to it within that time
LEAST_PART = 1 / 20  # of requests or worth, from which a class, customer or plan is looked at
CLASS_PART = 1 / 2  # of what the other policy serves
TENANT_PART = 1 / 3
LATE_MS = 1700.0  # one period of the meter and its delay, as the lab's gateways are told (``spec.Told``)


class LateSeeing(textbook.TwoChoices):
    """Sees the true use of all gateways, ``LATE_MS`` late, at no cost; of two nodes the one with less out."""

    seen: dict[str, textbook.Bucket]
    unseen: dict[str, deque[tuple[float, float]]]  # by customer: when and how many units, oldest first

    def admits(self, request: api.Request) -> bool:
        """While the bucket that it sees holds the units; what is let in leaves it ``LATE_MS`` later."""
        plan = self.plans[request.plan]
        bucket = self.seen.setdefault(
            request.customer, textbook.Bucket(plan.rate, plan.burst, plan.burst, 0.0)
        )
        unseen = self.unseen.setdefault(request.customer, deque())
        while unseen and unseen[0][0] <= self.now - LATE_MS:
            at, units = unseen.popleft()
            _refill(bucket, at)
            bucket.left -= units
        _refill(bucket, self.now - LATE_MS)
        if bucket.left < request.units:
            return False
        unseen.append((self.now, request.units))
        return True


def _refill(bucket: textbook.Bucket, at: float) -> None:
    if at > bucket.at:
        bucket.left = min(bucket.burst, bucket.left + bucket.rate * (at - bucket.at) / 1000.0)
        bucket.at = at


def late_seeing() -> Make:
    """A policy whose gateways share one true state, for one run."""
    kind = type("LateSeeing", (LateSeeing,), {"seen": {}, "unseen": {}})
    return lambda settings, seed: kind(settings, seed)


@dataclass(slots=True)
class Part:
    """What one class, customer or plan asked for and had served."""

    requests: int = 0
    offered: float = 0.0
    served: float = 0.0

    def share_served(self) -> float:
        """Of the worth that it offered."""
        return self.served / self.offered if self.offered else 0.0


class Place(Enum):
    """Where a try was taken."""

    RESTARTED = "at a gateway in the first ``RESTARTING_MS`` of a new process"
    ELSEWHERE = "elsewhere"


@dataclass(slots=True)
class Day:
    """One run of a day, in numbers."""

    classes: dict[str, Part] = field(default_factory=dict)
    plans: dict[str, Part] = field(default_factory=dict)
    customers: dict[str, Part] = field(default_factory=dict)
    restarts: Counter[tuple[str, Place]] = field(default_factory=Counter)  # see ``figures``

    def parts_of(self, customer: Customer, kind: Class) -> tuple[Part, Part, Part]:
        """Where a request of this customer and class is counted."""
        return (
            self.classes.setdefault(kind.name, Part()),
            self.plans.setdefault(customer.plan.name, Part()),
            self.customers.setdefault(customer.name(), Part()),
        )


class DayWorld(World):
    """A run that also counts by class, customer and plan, and the tries at restarted gateways."""

    def __init__(self, experiment: spec.Experiment, make: Make, seed: int) -> None:
        self.day = Day()
        self.rose_at: dict[int, float] = {}  # by gateway: when it was last restarted
        self.tries_after_restart: set[str] = set()
        super().__init__(experiment, make, seed)

    def rise(self, index: int) -> None:
        """A new process starts; its first tries are counted."""
        super().rise(index)
        self.rose_at[index] = self.now

    def taken(self, seat: Desk, ask: ClientTry) -> None:
        """A try has reached a gateway."""
        if self.now - self.rose_at.get(seat.index, -RESTARTING_MS) < RESTARTING_MS:
            self.tries_after_restart.add(ask.name)
        self.day.restarts["tries", self._place(ask.name)] += 1
        super().taken(seat, ask)

    def settle(
        self,
        seat: Seat,
        ask: ClientTry,
        what: str,
        advice_ms: float = 0.0,
        over_quota: bool | None = None,
    ) -> None:
        """A try has its final answer."""
        super().settle(seat, ask, what, advice_ms, over_quota)
        in_vain = what == "failed" or (what == "refused" and not over_quota)
        self.day.restarts["unsent", self._place(ask.name)] += in_vain and not ask.sends
        in_time = self.now - ask.first_at <= ask.kind.aim_ms
        if what == "served" and in_time and ask.first_at >= self.spec.warm_ms and ask.inside:
            for part in self.day.parts_of(ask.customer, ask.kind):
                part.served += worth(ask.customer, ask.kind)

    def _try(self, customer: Customer, kind: Class, first_at: float, tries: int, inside: bool) -> None:
        if tries == 1 and first_at >= self.spec.warm_ms:
            for part in self.day.parts_of(customer, kind):
                part.requests += 1
                part.offered += worth(customer, kind) if inside else 0.0
        super()._try(customer, kind, first_at, tries, inside)

    def _given_up(self, which: tuple[Desk, ClientTry]) -> None:
        seat, ask = which
        if not ask.ended and seat.up:
            self.day.restarts["lost", self._place(ask.name)] += 1
        super()._given_up(which)

    def _send(self, seat: Desk, action: api.Send) -> None:
        if action.request_id not in seat.asks:
            self.day.restarts["lost", self._place(action.request_id)] += 1
        super()._send(seat, action)

    def _place(self, name: str) -> Place:
        return Place.RESTARTED if name in self.tries_after_restart else Place.ELSEWHERE


def worth(customer: Customer, kind: Class) -> float:
    """Of one request, as the oracle has it."""
    return kind.worth * customer.plan.price * kind.units


def late_seeing_day(name: str, seed: int) -> Day:
    """A day under the other policy, played to its end."""
    world = DayWorld(spec.load(Path(name))[0], late_seeing(), seed)
    world.run()
    return world.day


def margins(
    ours: dict[str, Part],
    other: dict[str, Part],
    part: float,
    by_requests: bool,
) -> dict[str, float]:
    """Share served less ``part`` of the other's, by name, of those that are large enough."""
    requests = sum(each.requests for each in ours.values()) or 1
    offered = sum(each.offered for each in ours.values()) or 1.0
    return {
        name: each.share_served() - part * other[name].share_served()
        for name, each in ours.items()
        if each.offered / offered >= LEAST_PART
        or (by_requests and each.offered and each.requests / requests >= LEAST_PART)
    }


def figures(days: list[tuple[Day, Day]]) -> dict[str, Any]:
    """Of pairs of the same day, ours and the other policy's, in the benchmark's names."""
    restarts = Counter[tuple[str, Place]]()
    for ours, _ in days:
        if ours.restarts["tries", Place.RESTARTED]:
            restarts.update(ours.restarts)
    unsent = {place: restarts["unsent", place] / max(1, restarts["tries", place]) for place in Place}
    classes = [margins(ours.classes, other.classes, CLASS_PART, True) for ours, other in days]
    tenants = [
        margins(ours.plans, other.plans, TENANT_PART, False)
        | margins(ours.customers, other.customers, TENANT_PART, False)
        for ours, other in days
    ]
    return {
        "restart_tries": restarts["tries", Place.RESTARTED],
        "restart_lost": restarts["lost", Place.RESTARTED],
        "restart_unsent_share": round(unsent[Place.RESTARTED], 4),
        "unsent_share_elsewhere": round(unsent[Place.ELSEWHERE], 4),
        "class_margin_min": round(min(value for each in classes for value in each.values()), 3),
        "tenant_margin_min": round(min(value for each in tenants for value in each.values()), 3),
    }
