"""A document to attempts: what is one, what is several, in which class, under which key. Pure.

One attempt, as the client wrote it:
- a query whose root fields are all of one class;
- a mutation with one root field.

Several:
- a query with root fields of several classes: a part for each class, in the order in which they come. They
  are safe, run side by side once the first one is admitted, and are joined in the document's order.
- a mutation with several root fields: a part for each, one after the other, as execution has them. One that
  the gateway can't get done ends it: what ran is told, what follows says that it was not run, and nothing is
  repeated. A field's own error at a node ends nothing, as in any execution, unless the field can't be null.

A document is charged once, whole, with its first part: if that is refused nothing has run. The others are
paid, and wait for no quota; they have their class's aim, deadline, effect and worth, and their own attempts.
A keyed part has the client's key, or one made of it and of the part's place where there are several.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from graphql import GraphQLError, GraphQLObjectType, is_non_null_type, validate
from graphql.execution.values import get_variable_values
from graphql.language import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    OperationDefinitionNode,
    SelectionSetNode,
    VariableNode,
    Visitor,
    print_ast,
    visit,
)
from graphql.validation import NoSchemaIntrospectionCustomRule, specified_rules

from brackenloft import interface as api
from brackenloft.graphql import cost as costs
from brackenloft.graphql.cost import Cost, Walk
from brackenloft.graphql.limits import Code, Limits, Turned
from brackenloft.graphql.reading import read
from brackenloft.graphql.schema import Priced

MOST_ERRORS = 5  # of validation: more is no help
MOST_MESSAGE = 200


@dataclass(frozen=True, slots=True)
class Part:
    """One attempt's worth: the root fields of these response names, as a document of its own."""

    class_name: str
    names: tuple[str, ...]
    document: str
    variables: frozenset[str]  # that it uses
    cost: Cost
    operation: str | None
    nullable: bool  # each of its fields may be null where it fails


@dataclass(frozen=True, slots=True)
class Plan:
    """What becomes of an operation."""

    operation: str  # "query" or "mutation"
    parts: tuple[Part, ...]
    order: tuple[str, ...]  # response names, as the answer has them
    cost: Cost
    root: GraphQLObjectType
    selections: SelectionSetNode

    @property
    def ordered(self) -> bool:
        """Whether the parts run one after the other."""
        return self.operation == "mutation"


@dataclass(slots=True)
class Prepared:
    """A document that was read and is valid; plans of its operations without variables are kept."""

    text: str
    operations: dict[str, OperationDefinitionNode]
    fragments: dict[str, FragmentDefinitionNode]
    plans: dict[str, Plan] = field(default_factory=dict)


def prepare(text: str, priced: Priced, limits: Limits) -> Prepared:
    """Read and validate a document. Raises Turned."""
    document = read(text, limits)
    rules = list(specified_rules)
    if not limits.introspection:
        rules.append(NoSchemaIntrospectionCustomRule)
    try:
        errors = validate(priced.schema, document, rules, max_errors=MOST_ERRORS)
    except RecursionError as error:
        raise Turned(Code.DEPTH, "nested too deep") from error
    if errors:
        raise Turned(Code.INVALID, "; ".join(error.message[:MOST_MESSAGE] for error in errors[:MOST_ERRORS]))
    for item in document.definitions:
        if isinstance(item, OperationDefinitionNode) and priced.schema.get_root_type(item.operation) is None:
            raise Turned(Code.INVALID, f"there is no {item.operation.value} here")
    operations = {
        item.name.value if item.name else "": item
        for item in document.definitions
        if isinstance(item, OperationDefinitionNode)
    }
    assert operations, "fragments alone are unused ones, which validation has turned away"
    fragments = {
        item.name.value: item for item in document.definitions if isinstance(item, FragmentDefinitionNode)
    }
    return Prepared(text, operations, fragments)


def choose(prepared: Prepared, name: str | None) -> OperationDefinitionNode:
    """The operation that is meant. Raises Turned."""
    if name is None:
        if len(prepared.operations) > 1:
            raise Turned(Code.OPERATION, "there are several operations, and operationName names none")
        return next(iter(prepared.operations.values()))
    if name not in prepared.operations:
        raise Turned(Code.OPERATION, f"there is no operation {name[:60]!r}")
    return prepared.operations[name]


def coerce(priced: Priced, operation: OperationDefinitionNode, given: Mapping[str, Any]) -> dict[str, Any]:
    """The variables' values, with defaults. Raises Turned."""
    values = get_variable_values(priced.schema, operation.variable_definitions or (), dict(given), 1)
    if isinstance(values, list):
        raise Turned(Code.VARIABLES, values[0].message[:MOST_MESSAGE])
    return values


def plan(
    prepared: Prepared,
    operation: OperationDefinitionNode,
    variables: Mapping[str, Any],
    priced: Priced,
    limits: Limits,
) -> Plan:
    """What becomes of an operation with these variables. Raises Turned."""
    name = operation.name.value if operation.name else ""
    if not operation.variable_definitions and name in prepared.plans:
        return prepared.plans[name]
    made = _plan(prepared, operation, variables, priced, limits)
    if not operation.variable_definitions:
        prepared.plans[name] = made
    return made


def _plan(
    prepared: Prepared,
    operation: OperationDefinitionNode,
    variables: Mapping[str, Any],
    priced: Priced,
    limits: Limits,
) -> Plan:
    kind = operation.operation.value
    root = priced.schema.mutation_type if kind == "mutation" else priced.schema.query_type
    assert root, "it has been validated"
    walk = Walk(priced, prepared.fragments, variables, limits)
    try:
        fields = walk.collect(root, [operation.selection_set])
        whole = costs.bound(walk, root, operation.selection_set)
        groups = _groups(kind, fields, priced)
        parts = [
            _part(walk, prepared, operation, root, fields, class_name, names, len(groups) == 1)
            for class_name, names in groups
        ]
    except GraphQLError as error:
        raise Turned(Code.VARIABLES, error.message[:MOST_MESSAGE]) from error
    if whole.total > limits.cost:
        raise Turned(Code.COST, f"a cost of {whole.total:g} is more than {limits.cost:g}")
    return Plan(kind, tuple(parts), tuple(fields), whole, root, operation.selection_set)


def _groups(kind: str, fields: Mapping[str, list[FieldNode]], priced: Priced) -> list[tuple[str, list[str]]]:
    """Class and response names of each part. ``__typename`` goes with the first field."""
    first = next(
        (
            priced.classes[kind, nodes[0].name.value]
            for nodes in fields.values()
            if (kind, nodes[0].name.value) in priced.classes
        ),
        "",
    )
    if not first:
        first = next((name for (operation, _), name in priced.classes.items() if operation == kind), "")
    found: list[tuple[str, list[str]]] = []
    by_class: dict[str, list[str]] = {}
    for name, nodes in fields.items():
        class_name = priced.classes.get((kind, nodes[0].name.value), first)
        typename = (kind, nodes[0].name.value) not in priced.classes
        if kind == "mutation":
            if typename and found:
                found[-1][1].append(name)
            else:
                found.append((class_name, [name]))
        elif class_name in by_class:
            by_class[class_name].append(name)
        else:
            by_class[class_name] = [name]
            found.append((class_name, by_class[class_name]))
    return found or [(first, [])]


def _part(
    walk: Walk,
    prepared: Prepared,
    operation: OperationDefinitionNode,
    root: GraphQLObjectType,
    fields: Mapping[str, list[FieldNode]],
    class_name: str,
    names: list[str],
    alone: bool,
) -> Part:
    cost = Cost()
    for name in names:
        cost = cost.plus(costs.of_field(walk, root, fields[name]))
    nullable = all(
        not is_non_null_type(root.fields[fields[name][0].name.value].type)
        for name in names
        if fields[name][0].name.value in root.fields
    )
    operation_name = operation.name.value if operation.name else None
    if alone and len(prepared.operations) == 1:
        used = frozenset(item.variable.name.value for item in operation.variable_definitions or ())
        return Part(class_name, tuple(names), prepared.text, used, cost, operation_name, nullable)
    selections = (
        operation.selection_set
        if alone
        else SelectionSetNode(selections=tuple(node for name in names for node in fields[name]))
    )
    fragments = _spread(selections, prepared.fragments)
    used = _variables([selections, *fragments])
    definitions = tuple(
        item for item in operation.variable_definitions or () if item.variable.name.value in used
    )
    mine = OperationDefinitionNode(
        operation=operation.operation,
        name=operation.name,
        variable_definitions=definitions,
        directives=operation.directives,
        selection_set=selections,
    )
    text = print_ast(DocumentNode(definitions=(mine, *fragments)))
    return Part(class_name, tuple(names), text, used, cost, operation_name, nullable)


def _spread(
    selections: SelectionSetNode,
    fragments: Mapping[str, FragmentDefinitionNode],
) -> list[FragmentDefinitionNode]:
    """The fragments that are needed, each once."""
    found: dict[str, FragmentDefinitionNode] = {}
    todo: list[Any] = [selections]
    while todo:
        for item in todo.pop().selections:
            if isinstance(item, FragmentSpreadNode):
                name = item.name.value
                if name not in found and name in fragments:
                    found[name] = fragments[name]
                    todo.append(fragments[name].selection_set)
            elif item.selection_set:
                todo.append(item.selection_set)
    return list(found.values())


def _variables(nodes: Iterable[Any]) -> frozenset[str]:
    class Names(Visitor):
        def __init__(self) -> None:
            super().__init__()
            self.found: set[str] = set()

        def enter_variable(self, node: VariableNode, *_: Any) -> None:
            self.found.add(node.name.value)

    names = Names()
    for node in nodes:
        visit(node, names)
    return frozenset(names.found)


def keys(plan: Plan, classes: Mapping[str, api.RequestClass], given: str | None) -> list[str | None]:
    """The idempotency key of each part, None for those that have none. Raises Turned."""
    found: list[str | None] = []
    for number, part in enumerate(plan.parts):
        if classes[part.class_name].effect is not api.Effect.KEYED:
            found.append(None)
        elif given is None:
            raise Turned(Code.KEY, f"{', '.join(part.names)[:60]} wants an Idempotency-Key")
        elif len(plan.parts) == 1:
            found.append(given)
        else:  # the same for the same place of the same call, and for no other
            found.append(hashlib.sha256(f"{number}:{given}".encode()).hexdigest()[:32])
    return found
