"""The changes that publishers of a trial make: a mixture of two revisions shows in any few lookups. Pure."""

from __future__ import annotations

import random

from brackenloft.configuration.model import Delta, Items, Names, Plan, Service, Tenant

MOST_MOVED = 0.3  # of the tenants, in an ordinary change
ALL_TENANTS = 0.15  # of the changes touch all of them
INVALID = 0.1  # of the changes are to be refused


def tenant_names(tenants: int) -> list[str]:
    """Tenants that every revision after the first holds, by their ids on the wire."""
    return [f"{number + 1:016x}" for number in range(tenants)]


def change(dice: random.Random, base: int, marker: str, rate: float, tenants: int, plans: int) -> Delta:
    """A valid change: each plan gets a rate of its own, unlike those of all other changes, and tenants move.

    ``rate`` is to be unique to the change, and a whole number.
    """
    found = tuple(Plan(f"p{number}", rate=rate + number / 1024.0, burst=1e6) for number in range(plans))
    names = tenant_names(tenants)
    if base and dice.random() >= ALL_TENANTS:
        names = dice.sample(names, max(1, round(MOST_MOVED * tenants)))
    moved = tuple(Tenant(name, f"p{dice.randrange(plans)}") for name in names)
    return Delta(base, Items(services=(Service(marker),), plans=found, tenants=moved))


def invalid(dice: random.Random, base: int, marker: str) -> Delta:
    """A change with a fault: a tenant of no plan, or plans taken out that tenants have."""
    if dice.random() < 0.5 or not base:
        return Delta(
            base, Items(services=(Service(marker),), tenants=(Tenant(tenant_names(1)[0], "no-such-plan"),))
        )
    gone = tuple(f"p{number}" for number in range(64))
    return Delta(base, Items(services=(Service(marker),)), Names(plans=gone))
