"""What a document costs: an upper bound before it runs, and the true cost by its answer. Pure.

Two sums, as the public specification has them: a type cost (each value there is, by its type's weight) and a
field cost (each field that is resolved, by its weight and those of the arguments given). The cost is both
together. Rules where there is a choice:

- Fields of one response name are one field, as execution merges them; of a value that may have several types,
  the costliest counts, each sum for itself.
- ``@skip`` and ``@include`` are read with the variables at hand: what is left out costs nothing.
- A list is as long as its slicing argument says (the longest of several), else as assumed, else as the
  limits assume; so is a list in a list. Negative or above the limit: the document is turned away.
- A field and its arguments together cost 0 at least. Sums saturate at ``MOST``: no overflow, no NaN.
- ``__typename`` costs nothing; introspection, where the limits allow it, a point a field.

The true cost counts what is there. Above the bound (a node that sends more than was asked) the bound counts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from graphql import GraphQLError, GraphQLInputObjectType, GraphQLObjectType, get_named_type
from graphql.execution.values import get_argument_values, get_directive_values
from graphql.language import FieldNode, FragmentDefinitionNode, FragmentSpreadNode, SelectionSetNode
from graphql.type import GraphQLField, GraphQLIncludeDirective, GraphQLSkipDirective, is_input_object_type
from graphql.utilities import type_from_ast

from brackenloft.graphql.limits import Code, Limits, Turned
from brackenloft.graphql.schema import Composite, FieldCost, Priced

MOST = 1e12  # any sum beyond is this: far above each limit, and exact in a float
STEPS = 20  # for each field that the limits allow: what may be walked, as types multiply
Variables = Mapping[str, Any]
Nodes = list[FieldNode]


@dataclass(frozen=True, slots=True)
class Cost:
    """Both sums."""

    types: float = 0.0
    fields: float = 0.0

    @property
    def total(self) -> float:
        """The cost."""
        return min(MOST, self.types + self.fields)

    def plus(self, other: Cost) -> Cost:
        """Both together."""
        return Cost(min(MOST, self.types + other.types), min(MOST, self.fields + other.fields))

    def times(self, number: float) -> Cost:
        """So many of it."""
        return Cost(min(MOST, self.types * number), min(MOST, self.fields * number))

    def most(self, other: Cost) -> Cost:
        """The greater of each sum."""
        return Cost(max(self.types, other.types), max(self.fields, other.fields))


NOTHING = Cost()


class Walk:
    """A document with its variables, as execution would walk it."""

    def __init__(
        self,
        priced: Priced,
        fragments: Mapping[str, FragmentDefinitionNode],
        variables: Variables,
        limits: Limits,
    ) -> None:
        self.priced, self.fragments, self.variables, self.limits = priced, fragments, variables, limits
        self.steps = 0
        self.conditions: dict[str, Any] = {}

    def step(self) -> None:
        """Guards against types that multiply: each possible one is walked."""
        self.steps += 1
        if self.steps > STEPS * self.limits.fields:
            raise Turned(Code.FIELDS, "too many fields of too many types")

    # ---- Fields of a type

    def collect(self, kind: GraphQLObjectType, sets: Iterable[SelectionSetNode]) -> dict[str, Nodes]:
        """The fields that a value of this type would have, by response name, in order."""
        found: dict[str, Nodes] = {}
        seen: set[str] = set()
        for selections in sets:
            self._collect(kind, selections, found, seen)
        return found

    def _collect(
        self,
        kind: GraphQLObjectType,
        selections: SelectionSetNode,
        found: dict[str, Nodes],
        seen: set[str],
    ) -> None:
        item: Any  # a field, a spread or an inline fragment
        for item in selections.selections:
            self.step()
            if not self.included(item):
                continue
            if isinstance(item, FieldNode):
                found.setdefault(item.alias.value if item.alias else item.name.value, []).append(item)
            elif isinstance(item, FragmentSpreadNode):
                name = item.name.value
                fragment = self.fragments.get(name)
                if fragment and name not in seen and self._applies(fragment.type_condition, kind):
                    seen.add(name)
                    self._collect(kind, fragment.selection_set, found, seen)
            elif self._applies(item.type_condition, kind):
                self._collect(kind, item.selection_set, found, seen)

    def included(self, node: Any) -> bool:
        """What ``@skip`` and ``@include`` come to."""
        if not node.directives:
            return True
        skip = get_directive_values(GraphQLSkipDirective, node, dict(self.variables))
        if skip and skip["if_" if "if_" in skip else "if"]:
            return False
        include = get_directive_values(GraphQLIncludeDirective, node, dict(self.variables))
        return not include or bool(include["if_" if "if_" in include else "if"])

    def _applies(self, condition: Any, kind: GraphQLObjectType) -> bool:
        if condition is None:
            return True
        name = condition.name.value
        if name not in self.conditions:
            self.conditions[name] = type_from_ast(self.priced.schema, condition)
        wanted = self.conditions[name]
        if wanted is kind:
            return True
        return (
            wanted is not None
            and not isinstance(wanted, GraphQLObjectType)
            and (self.priced.schema.is_sub_type(wanted, kind))
        )

    # ---- One field

    def arguments(self, item: GraphQLField, node: FieldNode) -> dict[str, Any]:
        """Its arguments' values, by their names in the schema."""
        try:
            return get_argument_values(item, node, dict(self.variables))
        except GraphQLError as error:
            raise Turned(Code.VARIABLES, error.message[:200]) from error

    def weight(self, cost: FieldCost, item: GraphQLField, node: FieldNode, given: Mapping[str, Any]) -> float:
        """Of resolving the field once."""
        total = cost.weight
        written = {argument.name.value for argument in node.arguments}
        for name, weight in cost.arguments.items():
            if name in written and name in given:
                kind = get_named_type(item.args[name].type)
                total += weight + self._inputs(kind, given[name])
        return max(0.0, min(MOST, total))

    def _inputs(self, kind: Any, value: Any) -> float:
        """What the fields of an input object add."""
        if not is_input_object_type(kind) or value is None:
            return 0.0
        if isinstance(value, list):
            return sum(self._inputs(kind, item) for item in value)
        kind = cast(GraphQLInputObjectType, kind)
        return sum(
            self.priced.inputs.get((kind.name, name), 0.0)
            + self._inputs(get_named_type(kind.fields[name].type), part)
            for name, part in value.items()
            if name in kind.fields
        )

    def size(self, where: str, cost: FieldCost, given: Mapping[str, Any]) -> int:
        """How long the field's list is at most, or those of the fields that it sizes."""
        size, limits = cost.size, self.limits
        if size is None:
            return limits.list_size
        told = [given[name] for name in size.slicing if given.get(name) is not None]
        if size.require_one and len(told) != 1:
            raise Turned(Code.LIST_SIZE, f"{where} wants exactly one of {', '.join(size.slicing)}")
        if not told:
            return limits.list_size if size.assumed is None else size.assumed
        if min(told) < 0 or max(told) > limits.most_list_size:
            raise Turned(Code.LIST_SIZE, f"{where}: a list is from 0 to {limits.most_list_size} long")
        return int(max(told))


# ---- The bound


def bound(walk: Walk, root: GraphQLObjectType, selections: SelectionSetNode) -> Cost:
    """The static cost of an operation, its root value included."""
    return Cost(walk.priced.types[root.name]).plus(_of_fields(walk, root, [selections], {}))


def of_field(walk: Walk, root: GraphQLObjectType, nodes: Nodes) -> Cost:
    """The static cost of one root field alone."""
    return _of_field(walk, root, nodes, None)


def _of_fields(
    walk: Walk,
    kind: GraphQLObjectType,
    sets: Iterable[SelectionSetNode],
    sized: Mapping[str, int],
) -> Cost:
    """Of the fields of one value. ``sized``: the length of those whose parent tells it."""
    total = NOTHING
    for nodes in walk.collect(kind, sets).values():
        total = total.plus(_of_field(walk, kind, nodes, sized.get(nodes[0].name.value)))
    return total


def _of_field(walk: Walk, parent: GraphQLObjectType, nodes: Nodes, told: int | None) -> Cost:
    walk.step()
    node, name = nodes[0], nodes[0].name.value
    item = parent.fields.get(name)
    if item is None:  # __typename; introspection
        return NOTHING if name == "__typename" else Cost(0.0, float(len(nodes)))
    declared = walk.priced.fields[parent.name, name]
    given = walk.arguments(item, node)
    own = walk.weight(declared, item, node, given)
    sizes_others = declared.size is not None and bool(declared.size.sized)
    size = walk.size(f"{parent.name}.{name}", declared, given) if declared.lists or declared.size else 1
    sized = dict.fromkeys(declared.size.sized, size) if declared.size and sizes_others else {}
    number = 1.0
    if declared.lists:
        first = told if told is not None else walk.limits.list_size if sizes_others else size
        number = min(MOST, first * float(walk.limits.list_size) ** (declared.lists - 1))
    return Cost(0.0, own).plus(_of_value(walk, item, nodes, sized).times(number))


def _of_value(walk: Walk, item: GraphQLField, nodes: Nodes, sized: Mapping[str, int]) -> Cost:
    """Of one value of a field: the costliest of the types that it may have."""
    named = get_named_type(item.type)
    sets = [node.selection_set for node in nodes if node.selection_set]
    if not sets:
        return Cost(walk.priced.types[named.name])
    most = NOTHING
    for kind in walk.priced.possible(cast(Composite, named)):
        most = most.most(Cost(walk.priced.types[kind.name]).plus(_of_fields(walk, kind, sets, sized)))
    return most


# ---- The truth


def actual(walk: Walk, root: GraphQLObjectType, selections: SelectionSetNode, data: Any) -> Cost:
    """The cost of what an answer holds. Names that were not asked for cost nothing."""
    if not isinstance(data, dict):
        return NOTHING
    return Cost(walk.priced.types[root.name]).plus(_true_fields(walk, root, [selections], data))


def _true_fields(
    walk: Walk,
    kind: GraphQLObjectType,
    sets: Iterable[SelectionSetNode],
    data: Mapping[str, Any],
) -> Cost:
    total = NOTHING
    for key, nodes in walk.collect(kind, sets).items():
        name = nodes[0].name.value
        item = kind.fields.get(name)
        if key not in data or item is None:
            continue
        declared = walk.priced.fields[kind.name, name]
        own = walk.weight(declared, item, nodes[0], walk.arguments(item, nodes[0]))
        total = total.plus(Cost(0.0, own)).plus(_true_value(walk, item, nodes, data[key]))
    return total


def _true_value(walk: Walk, item: GraphQLField, nodes: Nodes, value: Any) -> Cost:
    if value is None:
        return NOTHING
    if isinstance(value, list):
        total = NOTHING
        for part in value:
            total = total.plus(_true_value(walk, item, nodes, part))
        return total
    named = get_named_type(item.type)
    sets = [node.selection_set for node in nodes if node.selection_set]
    if not sets or not isinstance(value, dict):
        return Cost(walk.priced.types[named.name])
    most = NOTHING
    for kind in _types_of(walk, cast(Composite, named), sets, value):
        most = most.most(Cost(walk.priced.types[kind.name]).plus(_true_fields(walk, kind, sets, value)))
    return most


def _types_of(
    walk: Walk,
    named: Composite,
    sets: list[SelectionSetNode],
    value: Mapping[str, Any],
) -> list[GraphQLObjectType]:
    """The types that a value may have: the one that it tells, where ``__typename`` was asked for."""
    possible = walk.priced.possible(named)
    if len(possible) < 2:
        return possible
    for kind in possible:
        for key, nodes in walk.collect(kind, sets).items():
            if nodes[0].name.value == "__typename" and value.get(key) == kind.name:
                return [kind]
    return possible


def charged(static: Cost, true: Cost) -> Cost:
    """What is charged in the end: what is there, and no more than was asked for."""
    return Cost(min(static.types, true.types), min(static.fields, true.fields))


def units(cost: Cost, per_unit: float, least: float, largest: float) -> float:
    """Units of a quota. Raises Turned for more than a request may take."""
    wanted = max(least, cost.total / per_unit)
    if wanted > largest:
        raise Turned(Code.COST, f"a cost of {cost.total:g} is more than {largest * per_unit:g}")
    return wanted
