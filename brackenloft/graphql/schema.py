"""The schema that nodes serve, with what each field costs and what class of work it is; read at the start.

Directives, in the manner of the public cost specification (``@cost``, ``@listSize``), and one of our own:

    directive @call(class: String!) on FIELD_DEFINITION

on root fields: the class of the settings whose aim, deadline and effect the field has. A query's fields are
of safe classes; where nothing is said, of the first safe class; a mutation's of the first unsafe one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import isfinite
from typing import Any, cast

from graphql import (
    GraphQLEnumType,
    GraphQLError,
    GraphQLField,
    GraphQLInputObjectType,
    GraphQLInterfaceType,
    GraphQLNamedType,
    GraphQLObjectType,
    GraphQLScalarType,
    GraphQLSchema,
    GraphQLUnionType,
    build_schema,
    get_named_type,
    is_list_type,
    is_non_null_type,
)
from graphql.execution.values import get_directive_values

from brackenloft import interface as api

DIRECTIVES = """
directive @cost(weight: String!) on
  ARGUMENT_DEFINITION | ENUM | FIELD_DEFINITION | INPUT_FIELD_DEFINITION | OBJECT | SCALAR
directive @listSize(
  assumedSize: Int, slicingArguments: [String!], sizedFields: [String!],
  requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION
directive @call(class: String!) on FIELD_DEFINITION
"""
MOST_WEIGHT = 1e6  # of a type, a field or an argument
Composite = GraphQLObjectType | GraphQLInterfaceType | GraphQLUnionType


class SchemaError(ValueError):
    """A schema that can't be served, in one line that names the place."""


@dataclass(frozen=True, slots=True)
class ListSize:
    """How long a field's list is."""

    assumed: int | None
    slicing: tuple[str, ...]
    sized: frozenset[str]
    require_one: bool


@dataclass(frozen=True, slots=True)
class FieldCost:
    """What is declared of a field. ``weight`` is its own; arguments add theirs where they are given."""

    weight: float
    arguments: dict[str, float]
    size: ListSize | None
    lists: int  # how many lists are in one another


@dataclass(slots=True)
class Priced:
    """A schema with its costs and classes looked up."""

    schema: GraphQLSchema
    types: dict[str, float] = field(default_factory=dict)
    fields: dict[tuple[str, str], FieldCost] = field(default_factory=dict)
    inputs: dict[tuple[str, str], float] = field(default_factory=dict)  # of input objects' fields
    classes: dict[tuple[str, str], str] = field(default_factory=dict)  # of root fields, by operation

    def possible(self, kind: Composite) -> list[GraphQLObjectType]:
        """The object types that a value of this type may have."""
        return [kind] if isinstance(kind, GraphQLObjectType) else list(self.schema.get_possible_types(kind))


def load(sdl: str, settings: api.Settings) -> Priced:
    """Read and check a schema. Raises SchemaError."""
    try:
        schema = build_schema(sdl + DIRECTIVES)
    except (GraphQLError, TypeError) as error:
        raise SchemaError(" ".join(str(error).split())[:500]) from error
    priced = Priced(schema)
    for kind in schema.type_map.values():
        if kind.name.startswith("__"):
            continue
        priced.types[kind.name] = _type_weight(kind, schema)
        if isinstance(kind, (GraphQLObjectType, GraphQLInterfaceType)):
            for name, item in kind.fields.items():
                above = [other.fields[name] for other in kind.interfaces if name in other.fields]
                priced.fields[kind.name, name] = _field_cost(f"{kind.name}.{name}", item, above, schema)
        elif isinstance(kind, GraphQLInputObjectType):
            for name, part in kind.fields.items():
                weight = _weight(f"{kind.name}.{name}", part.ast_node, schema)
                priced.inputs[kind.name, name] = weight or 0.0
    _classes(priced, settings)
    return priced


def _directive(name: str, node: Any, schema: GraphQLSchema) -> dict[str, Any] | None:
    definition = schema.get_directive(name)
    assert definition
    return get_directive_values(definition, node) if node else None


def _weight(where: str, node: Any, schema: GraphQLSchema) -> float | None:
    """The declared weight, None where there is none."""
    found = _directive("cost", node, schema)
    if found is None:
        return None
    try:
        weight = float(found["weight"])
    except ValueError:
        weight = float("nan")
    if not isfinite(weight) or abs(weight) > MOST_WEIGHT:
        raise SchemaError(f"{where}: @cost(weight: {found['weight']!r:.40}): no number up to {MOST_WEIGHT:g}")
    return weight


def _type_weight(kind: GraphQLNamedType, schema: GraphQLSchema) -> float:
    """Of one value: 1 for objects, 0 for scalars and enums, unless it is declared."""
    weight = _weight(kind.name, kind.ast_node, schema)
    if weight is not None and weight < 0.0:
        raise SchemaError(f"{kind.name}: @cost is below 0, which no value can cost")
    if weight is None:
        free = isinstance(kind, (GraphQLScalarType, GraphQLEnumType, GraphQLInputObjectType))
        weight = 0.0 if free else 1.0
    return weight


def _field_cost(
    where: str,
    item: GraphQLField,
    above: list[GraphQLField],
    schema: GraphQLSchema,
) -> FieldCost:
    """Of a field; what it does not declare is as an interface declares it that has it too (``above``)."""
    named = get_named_type(item.type)
    plain = isinstance(named, (GraphQLScalarType, GraphQLEnumType))
    weight, sizes = None, None
    for declared in (item, *above):
        if weight is None:
            weight = _weight(where, declared.ast_node, schema)
        sizes = sizes or _directive("listSize", declared.ast_node, schema)
    arguments = {
        name: _weight(f"{where}({name})", argument.ast_node, schema) or 0.0
        for name, argument in item.args.items()
    }
    lists, kind = 0, cast(Any, item.type)
    while is_list_type(kind) or is_non_null_type(kind):
        lists += is_list_type(kind)
        kind = kind.of_type
    return FieldCost(
        (0.0 if plain else 1.0) if weight is None else weight,
        arguments,
        _list_size(where, item, lists, named, sizes),
        lists,
    )


def _list_size(
    where: str,
    item: GraphQLField,
    lists: int,
    named: GraphQLNamedType,
    found: dict[str, Any] | None,
) -> ListSize | None:
    if found is None:
        return None
    assumed, slicing = found.get("assumedSize"), tuple(found.get("slicingArguments") or ())
    sized = frozenset(found.get("sizedFields") or ())
    if assumed is not None and assumed < 0:
        raise SchemaError(f"{where}: @listSize(assumedSize: {assumed}) is below 0")
    for name in slicing:
        argument = item.args.get(name)
        if argument is None or get_named_type(argument.type).name != "Int":
            raise SchemaError(f"{where}: @listSize names {name!r:.60}, which is no argument of type Int")
    if sized:
        inner = getattr(named, "fields", {})
        for name in sized:
            if name not in inner or not _has_list(inner[name]):
                raise SchemaError(f"{where}: @listSize names the field {name!r:.60}, which is no list there")
    elif not lists:
        raise SchemaError(f"{where}: @listSize on a field that is no list and names no sizedFields")
    one = bool(found.get("requireOneSlicingArgument", True)) and bool(slicing)
    return ListSize(assumed, slicing, sized, one)


def _has_list(item: GraphQLField) -> bool:
    kind = cast(Any, item.type)
    return is_list_type(kind.of_type if is_non_null_type(kind) else kind)


def _classes(priced: Priced, settings: api.Settings) -> None:
    """The class of each root field."""
    classes = {item.name: item for item in settings.classes}
    schema = priced.schema
    if schema.query_type is None:
        raise SchemaError("there is no type for queries")
    if schema.subscription_type is not None:
        raise SchemaError(f"{schema.subscription_type.name}: subscriptions are not served")
    for operation, root in (("query", schema.query_type), ("mutation", schema.mutation_type)):
        for name, item in (root.fields if root else {}).items():
            where = f"{root.name if root else ''}.{name}"
            said = _directive("call", item.ast_node, schema)
            found = said["class"] if said else _first(classes.values(), operation == "query")
            if found not in classes:
                raise SchemaError(f"{where}: no such class: {found!r:.60}")
            if operation == "query" and classes[found].effect is not api.Effect.SAFE:
                raise SchemaError(f"{where}: class {found} is not safe, and queries are sent again")
            priced.classes[operation, name] = found


def _first(classes: Iterable[api.RequestClass], safe: bool) -> str:
    """The class of a field of which the schema says nothing."""
    wanted = api.Effect.SAFE if safe else api.Effect.UNSAFE
    return next((item.name for item in classes if item.effect is wanted), f"(the first {wanted.value} one)")
