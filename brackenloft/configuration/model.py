"""The configuration document: services, routes, plans and tenants, and typed changes of it.

A document is four sections of named items. A revision is the document after one more change; revision 0 is
empty. Items are immutable, so that revisions can share them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

import msgspec

FIRST_REVISION = 0  # the empty document


class Section(StrEnum):
    """A part of the document, in the order in which it is checked, encoded and digested."""

    SERVICES = "services"
    ROUTES = "routes"
    PLANS = "plans"
    TENANTS = "tenants"


class Service(msgspec.Struct, frozen=True, gc=False):
    """A group of servers that routes lead to."""

    name: str
    description: str = ""


class Match(msgspec.Struct, frozen=True, gc=False):
    """Which requests a route takes; an empty field matches anything."""

    request_class: str = ""
    operation: str = ""
    key_prefix: str = ""
    tenant: str = ""


class Target(msgspec.Struct, frozen=True, gc=False):
    """A service that a route leads to, with its share of the route's requests by weight."""

    service: str
    weight: int = 1


class Route(msgspec.Struct, frozen=True):
    """Requests that match go to one of the targets."""

    name: str
    match: Match
    targets: tuple[Target, ...]


class Plan(msgspec.Struct, frozen=True, gc=False):
    """A plan's quota per tenant over all gateways, with the fields of ``interface.Plan``.

    Rates are units a second; 0 for a rate, an in-flight limit or a ceiling means that there is none.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


class Tenant(msgspec.Struct, frozen=True, gc=False):
    """A customer and its plan; ``name`` is the customer's id on the wire."""

    name: str
    plan: str


Item: TypeAlias = Service | Route | Plan | Tenant
ITEM_TYPES: dict[Section, type[Item]] = {
    Section.SERVICES: Service,
    Section.ROUTES: Route,
    Section.PLANS: Plan,
    Section.TENANTS: Tenant,
}


class Items(msgspec.Struct, frozen=True):
    """Items to be put in, by section; one of the same name is replaced."""

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    plans: tuple[Plan, ...] = ()
    tenants: tuple[Tenant, ...] = ()


class Names(msgspec.Struct, frozen=True):
    """Names of items to be taken out, by section."""

    services: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    plans: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()


class Delta(msgspec.Struct, frozen=True):
    """A change of the revision ``base``; removals come before what is put in."""

    base: int
    put: Items = Items()
    remove: Names = Names()


class Record(msgspec.Struct, frozen=True):
    """A published revision: ``delta.base + 1`` is its number, ``digest`` that of the document after it.

    ``author`` and ``note`` are for people; ``published_at_s`` is the publisher's wall clock.
    """

    revision: int
    digest: bytes
    delta: Delta
    author: str = ""
    note: str = ""
    published_at_s: float = 0.0


class Standing(msgspec.Struct, frozen=True):
    """The value of the register that says which revision stands."""

    revision: int
    digest: bytes
