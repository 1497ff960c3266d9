"""Plans and tenants' plans of a document, as the decisions of a running gateway take them.

A plan of the document stands in for one of the same name in the gateway's file; other plans of the file stay.
A tenant that the document lists has the plan that stands there, whatever its client names; for others the
client's word counts.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from brackenloft import interface as api
from brackenloft.configuration import model
from brackenloft.configuration.model import Section
from brackenloft.configuration.tree import BUCKETS, FIRST_BUCKET, Bucket, Tree

PLANS_PER_STEP = 50  # some 0.2 ms
_PLACES = range(FIRST_BUCKET[Section.PLANS], FIRST_BUCKET[Section.PLANS] + BUCKETS[Section.PLANS])


@dataclass(frozen=True, slots=True)
class PlanDirectory:
    """What one revision says of plans; never changed after it was built."""

    plans: Mapping[str, api.Plan]
    names: Mapping[bytes, str]  # of the plans, as they are written on the wire
    tree: Tree

    def plan_of(self, customer: str) -> str:
        """The plan of a tenant that the document lists; "" for any other customer."""
        tenant = self.tree.get(Section.TENANTS, customer)
        return tenant.plan if isinstance(tenant, model.Tenant) else ""


class DirectoryBuilder:
    """Makes the directory of each next document in short steps, from the plans of the gateway's file on."""

    def __init__(self, file_plans: Iterable[api.Plan]) -> None:
        self.file_plans = {plan.name: plan for plan in file_plans}
        self.current = PlanDirectory(self.file_plans, _names(self.file_plans), Tree.empty())

    def steps(self, tree: Tree) -> Iterator[None]:
        """Build ``current`` anew. ValueError for a plan that this gateway can't keep, which changes nothing.

        Plans that did not change are the same objects as before.
        """
        before = self.current.tree.buckets
        changed = [place for place in _PLACES if tree.buckets[place] is not before[place]]
        if not changed:
            self.current = PlanDirectory(self.current.plans, self.current.names, tree)
            return
        plans = dict(self.current.plans)
        for place in changed:
            yield from self._replace(plans, before[place], tree.buckets[place])
        self.current = PlanDirectory(plans, _names(plans), tree)

    def _replace(self, plans: dict[str, api.Plan], before: Bucket, after: Bucket) -> Iterator[None]:
        for name in before.items.keys() - after.items.keys():
            if name in self.file_plans:
                plans[name] = self.file_plans[name]
            else:
                del plans[name]
        for number, (name, item) in enumerate(after.items.items(), 1):
            if before.items.get(name) != item:
                plans[name] = api.Plan(**msgspec.structs.asdict(item))
            if number % PLANS_PER_STEP == 0:
                yield
        yield


def _names(plans: Iterable[str]) -> dict[bytes, str]:
    return {name.encode(): name for name in plans}
