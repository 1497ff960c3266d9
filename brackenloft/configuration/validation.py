"""Checks a change against the document it is for. Nothing is published that has a fault.

All faults are found at once, each with the path of what is wrong: ``SECTION.NAME.FIELD`` of an item that is
put in, ``remove.SECTION.NAME`` of one that is taken out, ``SECTION`` for what concerns the whole section.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator, Sequence
from math import isfinite

from brackenloft.checks import LAST_CUSTOMER
from brackenloft.configuration.messages import Fault
from brackenloft.configuration.model import (
    FIRST_REVISION,
    Delta,
    Item,
    Items,
    Match,
    Plan,
    Route,
    Section,
    Tenant,
)
from brackenloft.configuration.tree import Tree, bucket_index

LONGEST_NAME_CHARS = 64
LONGEST_DESCRIPTION_CHARS = 256
LONGEST_MATCH_CHARS = 128  # of each field
MOST_TARGETS = 32  # of a route
MOST_WEIGHT = 1_000_000
MOST_FIGURE = 1e12  # of any rate, burst, price or cost
MOST_IN_FLIGHT = 1_000_000
MOST_ITEMS = {
    Section.SERVICES: 2_000,
    Section.ROUTES: 20_000,
    Section.PLANS: 1_000,
    Section.TENANTS: 200_000,
}
MOST_BUCKET_ITEMS = 600  # bounds the time of one step of ``builder.Builder``; chance alone does not reach it
MOST_REVISION = 2**62
MOST_FAULTS = 10_000  # that are told; the answer stays within ``messages.LONGEST_ANSWER_BYTES``
NAME = re.compile(rf"[^\s,=]{{1,{LONGEST_NAME_CHARS}}}")  # of a plan, on the wire: neither "," nor "="
TENANT_NAME = re.compile(r"[0-9a-f]{16}")  # as ``checks.Checks.customer`` gives a customer on

_PLAN_FIGURES = (
    "rate",
    "burst",
    "price",
    "over_worth",
    "over_cost",
    "ceiling_rate",
    "ceiling_burst",
    "ceiling_slack",
)
_SINGULAR = {
    Section.SERVICES: "service",
    Section.ROUTES: "route",
    Section.PLANS: "plan",
    Section.TENANTS: "tenant",
}


def faults(tree_before: Tree, delta: Delta) -> tuple[Fault, ...]:
    """Every fault of a change of ``tree_before``, in the order of the document; none if it may be published.

    Beyond ``MOST_FAULTS`` only the number of the others is told.
    """
    found = list(_Check(tree_before, delta).run())
    if len(found) <= MOST_FAULTS:
        return tuple(found)
    rest = Fault("", f"{len(found) - MOST_FAULTS} more faults")
    return (*found[:MOST_FAULTS], rest)


def document_faults(document: Items) -> tuple[Fault, ...]:
    """Every fault of a whole document."""
    return faults(Tree.empty(), Delta(FIRST_REVISION, document))


def is_name(section: Section, name: str) -> bool:
    """Whether an item may have this name."""
    if section is Section.TENANTS:
        return bool(TENANT_NAME.fullmatch(name)) and int(name, 16) < LAST_CUSTOMER
    return name.isprintable() and bool(NAME.fullmatch(name))


class _Check:
    """One check of a change; methods yield the faults that they find."""

    def __init__(self, tree: Tree, delta: Delta) -> None:
        self.tree = tree
        self.delta = delta
        self.put: dict[Section, dict[str, Item]] = {
            section: {item.name: item for item in self._put(section)} for section in Section
        }
        self.removed: dict[Section, set[str]] = {section: set(self._removed(section)) for section in Section}
        self.named: dict[Section, set[str]] = {section: self._usable_names(section) for section in Section}
        self.stood: dict[Section, set[str]] = {section: self._standing_names(section) for section in Section}

    def run(self) -> Iterator[Fault]:
        if not FIRST_REVISION <= self.delta.base <= MOST_REVISION:
            yield Fault("base", f"not a revision from {FIRST_REVISION} to {MOST_REVISION}: {self.delta.base}")
        for section in Section:
            yield from self._removals(section)
            yield from self._names(section)
            yield from self._counts(section)
        yield from self._services()
        yield from self._routes()
        yield from self._plans()
        yield from self._tenants()
        yield from self._still_used()

    # ---- The document after the change

    def _put(self, section: Section) -> Sequence[Item]:
        items: Sequence[Item] = getattr(self.delta.put, section)
        return items

    def _removed(self, section: Section) -> Sequence[str]:
        names: Sequence[str] = getattr(self.delta.remove, section)
        return names

    def _usable_names(self, section: Section) -> set[str]:
        """The names of a section in this change that items may have."""
        names = self.put[section].keys() | self.removed[section]
        return {name for name in names if is_name(section, name)}

    def _standing_names(self, section: Section) -> set[str]:
        """The names of a section in this change that items of the document have."""
        return {name for name in self.named[section] if self.tree.get(section, name) is not None}

    def _stands(self, section: Section, name: str) -> bool:
        if name in self.put[section]:
            return True
        if name in self.removed[section] or not is_name(section, name):
            return False
        return self.tree.get(section, name) is not None

    def _unchanged(self, section: Section) -> Iterator[Item]:
        """The items of a section that the change neither replaces nor takes out."""
        put, removed = self.put[section], self.removed[section]
        return (
            item for item in self.tree.items(section) if item.name not in put and item.name not in removed
        )

    # ---- Any section

    def _removals(self, section: Section) -> Iterator[Fault]:
        for name, times in Counter(self._removed(section)).items():
            path = f"remove.{section}.{_shown(name)}"
            if times > 1:
                yield Fault(path, f"named {times} times")
            if name not in self.stood[section]:
                yield Fault(path, f"no such {_SINGULAR[section]}")

    def _names(self, section: Section) -> Iterator[Fault]:
        for name, times in Counter(item.name for item in self._put(section)).items():
            path = f"{section}.{_shown(name)}"
            if name not in self.named[section]:
                yield Fault(f"{path}.name", _name_rule(section))
            if times > 1:
                yield Fault(path, f"defined {times} times")

    def _counts(self, section: Section) -> Iterator[Fault]:
        put = self.put[section].keys()
        new = (put & self.named[section]) - self.stood[section]
        gone = (self.removed[section] & self.stood[section]) - put
        count = self.tree.count(section) + len(new) - len(gone)
        if count > MOST_ITEMS[section]:
            yield Fault(str(section), f"{count} of them are more than {MOST_ITEMS[section]}")
        yield from self._full_buckets(section, new, gone)

    def _full_buckets(self, section: Section, new: set[str], gone: set[str]) -> Iterator[Fault]:
        added = Counter(bucket_index(section, name) for name in new)
        added.subtract(bucket_index(section, name) for name in gone)
        for index, more in sorted(added.items()):
            size = len(self.tree.buckets[index].items) + more
            if more > 0 and size > MOST_BUCKET_ITEMS:
                yield Fault(
                    str(section), f"{size} names with the same checksum: more than {MOST_BUCKET_ITEMS}"
                )

    # ---- Each section's own

    def _services(self) -> Iterator[Fault]:
        for item in self.delta.put.services:
            yield from _text(
                f"services.{_shown(item.name)}.description", item.description, LONGEST_DESCRIPTION_CHARS
            )

    def _routes(self) -> Iterator[Fault]:
        for route in self.delta.put.routes:
            path = f"routes.{_shown(route.name)}"
            yield from _match(f"{path}.match", route.match)
            yield from _weights(f"{path}.targets", route)
            yield from self._target_services(f"{path}.targets", route)
        if self.delta.put.routes:
            yield from self._duplicate_matches()

    def _target_services(self, path: str, route: Route) -> Iterator[Fault]:
        seen: set[str] = set()
        for number, target in enumerate(route.targets[:MOST_TARGETS]):
            if not self._stands(Section.SERVICES, target.service):
                yield Fault(f"{path}[{number}].service", f"no such service: {_shown(target.service)}")
            if target.service in seen:
                yield Fault(f"{path}[{number}].service", f"named twice: {_shown(target.service)}")
            seen.add(target.service)

    def _duplicate_matches(self) -> Iterator[Fault]:
        first: dict[Match, str] = {}
        for item in self._unchanged(Section.ROUTES):
            assert isinstance(item, Route)
            first[item.match] = item.name
        for route in self.delta.put.routes:
            other = first.setdefault(route.match, route.name)
            if other != route.name:
                yield Fault(f"routes.{_shown(route.name)}.match", f"the same as that of {_shown(other)}")

    def _plans(self) -> Iterator[Fault]:
        for plan in self.delta.put.plans:
            yield from _plan(f"plans.{_shown(plan.name)}", plan)

    def _tenants(self) -> Iterator[Fault]:
        known: dict[str, bool] = {}
        for tenant in self.delta.put.tenants:
            if tenant.plan not in known:
                known[tenant.plan] = self._stands(Section.PLANS, tenant.plan)
            if not known[tenant.plan]:
                yield Fault(f"tenants.{_shown(tenant.name)}.plan", f"no such plan: {_shown(tenant.plan)}")

    # ---- References to what is taken out

    def _still_used(self) -> Iterator[Fault]:
        services = self._goes(Section.SERVICES)
        if services:
            yield from _users(Section.SERVICES, services, self._routes_by_service(services), "route")
        plans = self._goes(Section.PLANS)
        if plans:
            yield from _users(Section.PLANS, plans, self._tenants_by_plan(plans), "tenant")

    def _goes(self, section: Section) -> set[str]:
        return self.removed[section] - self.put[section].keys()

    def _routes_by_service(self, services: set[str]) -> Iterator[tuple[str, str]]:
        for route in self._unchanged(Section.ROUTES):
            assert isinstance(route, Route)
            for service in {target.service for target in route.targets} & services:
                yield service, route.name

    def _tenants_by_plan(self, plans: set[str]) -> Iterator[tuple[str, str]]:
        for tenant in self._unchanged(Section.TENANTS):
            assert isinstance(tenant, Tenant)
            if tenant.plan in plans:
                yield tenant.plan, tenant.name


def _users(
    section: Section, names: set[str], uses: Iterator[tuple[str, str]], user_kind: str
) -> Iterator[Fault]:
    users: dict[str, list[str]] = {}
    for name, user in uses:
        users.setdefault(name, []).append(user)
    for name in sorted(names & users.keys()):
        count, example = len(users[name]), min(users[name])
        reason = f"still used by {count} {user_kind}{'s' if count > 1 else ''}, {_shown(example)} among them"
        yield Fault(f"remove.{section}.{_shown(name)}", reason)


def _shown(name: str) -> str:
    """A name in a path or reason: bounded, and printable whatever it is."""
    short = name[:LONGEST_NAME_CHARS]
    return short if short.isprintable() and short == name else ascii(short)


def _name_rule(section: Section) -> str:
    if section is Section.TENANTS:
        return "not a customer's id: 16 digits of 0-9 and a-f, below 2**33"
    return f"not 1 to {LONGEST_NAME_CHARS} printable characters without space, comma and ="


def _text(path: str, text: str, longest_chars: int) -> Iterator[Fault]:
    if len(text) > longest_chars:
        yield Fault(path, f"longer than {longest_chars} characters")
    elif text and not text.isprintable():
        yield Fault(path, "has characters that can't be printed")


def _match(path: str, match: Match) -> Iterator[Fault]:
    yield from _text(f"{path}.request_class", match.request_class, LONGEST_MATCH_CHARS)
    yield from _text(f"{path}.operation", match.operation, LONGEST_MATCH_CHARS)
    yield from _text(f"{path}.key_prefix", match.key_prefix, LONGEST_MATCH_CHARS)
    if match.tenant and not is_name(Section.TENANTS, match.tenant):
        yield Fault(f"{path}.tenant", _name_rule(Section.TENANTS))


def _weights(path: str, route: Route) -> Iterator[Fault]:
    if not 1 <= len(route.targets) <= MOST_TARGETS:
        yield Fault(path, f"not 1 to {MOST_TARGETS} of them: {len(route.targets)}")
    for number, target in enumerate(route.targets[:MOST_TARGETS]):
        if not 0 <= target.weight <= MOST_WEIGHT:
            yield Fault(f"{path}[{number}].weight", f"not from 0 to {MOST_WEIGHT}: {target.weight}")
    if route.targets and all(target.weight == 0 for target in route.targets):
        yield Fault(path, "all have weight 0")


def _plan(path: str, plan: Plan) -> Iterator[Fault]:
    for field in _PLAN_FIGURES:
        figure: float = getattr(plan, field)
        if not (isfinite(figure) and 0.0 <= figure <= MOST_FIGURE):
            yield Fault(f"{path}.{field}", f"not from 0 to {MOST_FIGURE:g}: {figure}")
    if not 0 <= plan.max_in_flight <= MOST_IN_FLIGHT:
        yield Fault(f"{path}.max_in_flight", f"not from 0 to {MOST_IN_FLIGHT}: {plan.max_in_flight}")
    if plan.rate > 0.0 and plan.burst == 0.0:
        yield Fault(f"{path}.burst", "is 0 though there is a rate")
    if plan.ceiling_rate > 0.0 and plan.ceiling_burst == 0.0:
        yield Fault(f"{path}.ceiling_burst", "is 0 though there is a ceiling")
