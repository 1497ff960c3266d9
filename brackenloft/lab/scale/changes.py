"""The changes of a scale run: small ones that can be told apart, and one that touches every tenant. Pure."""

from __future__ import annotations

import random

from brackenloft.configuration.builder import apply
from brackenloft.configuration.model import Delta, Items, Plan, Service, Tenant
from brackenloft.configuration.tree import Tree
from brackenloft.lab.scale import samples

MOST_MOVED = 20  # tenants of a small change
BURST = 1e6  # of each plan: no request of a run is refused for its quota
RATE = 1e5


class Document:
    """The document as the publisher has made it, revision by revision."""

    def __init__(self, services: int, routes: int, tenants: int, seed: int) -> None:
        self.first = samples.configuration(services, routes, tenants, seed)
        self.dice = random.Random(seed)
        self.tree = Tree.empty()
        self.plans = [plan.name for plan in self.first.plans]
        self.tenants = [tenant.name for tenant in self.first.tenants]

    def take(self, delta: Delta) -> Tree:
        """A change stands."""
        self.tree = apply(self.tree, delta)
        return self.tree

    def whole(self, base: int, marker: str) -> Delta:
        """Everything, at the beginning."""
        services = (*self.first.services, Service(marker))
        items = Items(services, self.first.routes, self._plans(0), self.first.tenants)
        return Delta(base, items)

    def small(self, base: int, marker: str) -> Delta:
        """All plans get a rate of their own and some tenants another plan: a mixture of revisions shows."""
        moved = self.dice.sample(self.tenants, min(MOST_MOVED, len(self.tenants)))
        return Delta(base, Items((Service(marker),), (), self._plans(base), self._tenants(moved)))

    def large(self, base: int, marker: str) -> Delta:
        """Every tenant gets a plan anew."""
        return Delta(base, Items((Service(marker),), (), self._plans(base), self._tenants(self.tenants)))

    def _plans(self, base: int) -> tuple[Plan, ...]:
        return tuple(
            Plan(name, rate=RATE + base + number / 1024.0, burst=BURST)
            for number, name in enumerate(self.plans)
        )

    def _tenants(self, names: list[str]) -> tuple[Tenant, ...]:
        return tuple(Tenant(name, self.dice.choice(self.plans)) for name in names)
