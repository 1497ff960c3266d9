"""Cost of documents: against execution by graphql-core that counts, against examples, and the limits."""

import math
import random
import re
from dataclasses import replace
from pathlib import Path

import pytest
from fakes import SETTINGS
from graphql import GraphQLObjectType, execute, get_named_type, parse
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import Effect, KeyScope, RequestClass
from brackenloft.graphql import allowance as allowances
from brackenloft.graphql import cost as costs
from brackenloft.graphql import plan as plans
from brackenloft.graphql.allowance import Allowance, Reading
from brackenloft.graphql.cost import MOST, Cost, Walk
from brackenloft.graphql.documents import Documents, digest
from brackenloft.graphql.limits import Code, Limits, Turned
from brackenloft.graphql.schema import Priced, SchemaError, load
from brackenloft.standins.graphql import value_of

WIDE = Limits(
    fields=100_000,
    cost=1e15,
    depth=40,
    tokens=100_000,
    document_bytes=10**6,
    aliases=10_000,
    list_size=2,
    merges=10**9,
    root_fields=1000,
    directives=10_000,
    most_list_size=10**7,
)
BOARD = (Path(__file__).parent.parent / "deploy" / "board.graphql").read_text()
CLASSES = (
    RequestClass("read-board", 2000.0, 4000.0, Effect.SAFE),
    RequestClass("read-slow", 2000.0, 4000.0, Effect.SAFE),
    RequestClass("post-notice", 2000.0, 4000.0, Effect.KEYED, key_scope=KeyScope.ALL, key_memory_ms=6000.0),
    RequestClass("buy-highlight", 2000.0, 8000.0, Effect.UNSAFE),
)
SITE = replace(SETTINGS, classes=CLASSES, largest_units=1000.0)


def prepared(priced: Priced, text: str, limits: Limits = WIDE):
    return plans.prepare(text, priced, limits)


def plan_of(priced: Priced, text: str, variables: dict | None = None, limits: Limits = WIDE, name=None):
    found = prepared(priced, text, limits)
    operation = plans.choose(found, name)
    values = plans.coerce(priced, operation, variables or {})
    made = plans.plan(found, operation, values, priced, limits)
    return made, Walk(priced, found.fragments, values, limits)


def turned(priced: Priced, text: str, variables: dict | None = None, limits=WIDE, name=None) -> Code:
    with pytest.raises(Turned) as caught:
        plan_of(priced, text, variables, limits, name)
    return caught.value.code


# ---- An oracle: graphql-core executes, and each call it makes is counted


def run(priced: Priced, text: str, variables: dict | None = None) -> tuple[float, float, dict]:
    """Sums of types and fields as execution meets them, and the data. Lists are as long as asked, else 2."""
    schema, sums = priced.schema, {"types": 0.0, "fields": 0.0}

    def weigh(kind, value) -> None:
        if isinstance(value, list):
            for item in value:
                weigh(kind, item)
        elif value is not None:
            name = value["__typename"] if isinstance(value, dict) else get_named_type(kind).name
            sums["types"] += priced.types[name]

    def resolve(source, info, **arguments):
        parent, declared = info.parent_type.name, priced.fields[info.parent_type.name, info.field_name]
        written = {item.name.value for item in info.field_nodes[0].arguments}
        sums["fields"] += max(
            0.0,
            declared.weight
            + sum(
                weight for name, weight in declared.arguments.items() if name in written and name in arguments
            ),
        )
        size = declared.size
        slicing = size.slicing if size else ()
        asked = [arguments[name] for name in slicing if arguments.get(name) is not None]
        number = max(asked) if asked else size.assumed if size and size.assumed is not None else 2
        inherited = source.get("sizes", {}).get(info.field_name) if isinstance(source, dict) else None
        sizes = dict.fromkeys(size.sized, number) if size and size.sized else {}
        value = value_of(schema, info.return_type, inherited if inherited is not None else number)
        for item in value if isinstance(value, list) else [value]:
            if isinstance(item, dict):
                item["sizes"] = sizes
        weigh(info.return_type, value)
        assert parent
        return value

    result = execute(
        schema,
        parse(text),
        None,
        variable_values=variables,
        field_resolver=resolve,
        type_resolver=lambda value, info, kind: value["__typename"],
    )
    assert not result.errors, result.errors
    return sums["types"] + priced.types[schema.query_type.name], sums["fields"], result.data


class Made:
    """A random schema and random documents of it."""

    def __init__(self, seed: int, abstract: bool) -> None:
        self.draw, self.abstract = random.Random(seed), abstract
        self.names = [f"T{n}" for n in range(self.draw.randint(2, 4))]
        draw = self.draw
        lines = ["type Query { " + " ".join(self._field(n, name) for n, name in enumerate(self.names)) + " }"]
        shared = "id: ID n: Int" + (" link: T0" if abstract else "")
        lines.append(f"interface Thing {{ {shared} }}")
        for name in self.names:
            weight = f' @cost(weight: "{draw.choice(["0", "2", "3.5"])}")' if draw.random() < 0.5 else ""
            fields = " ".join(self._field(n, draw.choice(self.names)) for n in range(draw.randint(1, 3)))
            things = "things: [Thing]" if abstract else ""
            lines.append(f"type {name} implements Thing{weight} {{ {shared} {fields} {things} }}")
        self.sdl = "\n".join(lines)

    def _field(self, number: int, kind: str) -> str:
        draw, cost = self.draw, ""
        if draw.random() < 0.5:
            cost = f' @cost(weight: "{draw.choice(["-1", "0", "1.5", "4"])}")'
        argument = f'x: Int @cost(weight: "{draw.choice(["-3", "2"])}")'
        form = draw.randrange(4)
        if form == 0:
            return f"f{number}({argument}): {kind}{cost}"
        if form == 1:
            return f"f{number}: [{kind}] @listSize(assumedSize: {draw.randint(0, 3)}){cost}"
        if form == 2:
            return (
                f'f{number}(first: Int, {argument}): [{kind}!]! @listSize(slicingArguments: ["first"]){cost}'
            )
        return f"f{number}: [{kind}]{cost}"

    def document(self, priced: Priced) -> str:
        text = self._selections(priced, priced.schema.query_type, 3)
        known = {"yes": "Boolean = true", "no": "Boolean = false", "n": "Int = 2"}
        used = " ".join(f"${name}: {known[name]}" for name in known if re.search(rf"\${name}\b", text))
        return f"query ({used}) {text}"

    def _selections(self, priced: Priced, kind, depth: int) -> str:
        draw, parts = self.draw, ["__typename", "i: __typename @include(if: $yes) @skip(if: $no)"]
        fields = list(kind.fields.items())
        for number in range(draw.randint(1, 3)):
            name, item = draw.choice(fields)
            part = f"a{number}_{name}_{draw.randrange(10**6)}: {name}"
            arguments = []
            if "first" in item.args:
                arguments.append(f"first: {draw.choice(['0', '1', '3', '$n'])}")
            if "x" in item.args and draw.random() < 0.5:
                arguments.append("x: 1")
            part += f"({', '.join(arguments)})" if arguments else ""
            if draw.random() < 0.3:
                part += draw.choice([" @include(if: $yes)", " @include(if: $no)", " @skip(if: $no)"])
            named = get_named_type(item.type)
            if hasattr(named, "fields"):
                if depth == 0:
                    part += " { __typename }"
                else:
                    part += " " + self._selections(priced, named, depth - 1)
            parts.append(part)
        if isinstance(kind, GraphQLObjectType) and draw.random() < 0.3 and depth:
            parts.append(f"... on {kind.name} {self._selections(priced, kind, depth - 1)}")
        if not isinstance(kind, GraphQLObjectType) and depth:
            other = priced.schema.type_map[draw.choice(self.names)]
            parts.append(f"... on {other.name} {self._selections(priced, other, depth - 1)}")
        return "{ " + " ".join(parts) + " }"


@settings(max_examples=300, deadline=None)
@given(seed=st.integers(0, 2**32), abstract=st.booleans())
def test_the_bound_is_at_least_what_execution_counts_and_equal_where_nothing_is_open(seed, abstract):
    made = Made(seed, abstract)
    priced = load(made.sdl, SITE)
    text = made.document(priced)
    try:
        plan, walk = plan_of(priced, text)
    except Turned as error:
        assert error.code is Code.FIELDS
        return
    types, fields, data = run(priced, text)
    assert plan.cost.types >= types - 1e-6 and plan.cost.fields >= fields - 1e-6
    if not abstract:
        assert plan.cost.types == pytest.approx(types) and plan.cost.fields == pytest.approx(fields)
    true = costs.actual(walk, plan.root, plan.selections, data)
    assert true.types == pytest.approx(types) and true.fields == pytest.approx(fields)
    assert costs.charged(plan.cost, true).total <= plan.cost.total


# ---- Examples in the manner of the public specification, and rules where there is a choice

USERS = """
type Query {
  user: User
  users(max: Int): [User] @listSize(slicingArguments: ["max"])
  paged(first: Int, last: Int): Page
    @listSize(slicingArguments: ["first", "last"], sizedFields: ["edges"], requireOneSlicingArgument: false)
  grid: [[User]] @listSize(assumedSize: 4)
  search(filter: Filter @cost(weight: "3")): [Named] @listSize(assumedSize: 2)
  cheap(off: Boolean @cost(weight: "-9")): User @cost(weight: "2")
  any: Either
}
input Filter { exact: Boolean @cost(weight: "5") inner: Filter }
type Page { edges: [Edge] total: Int }
type Edge { node: User }
interface Named { name: String @cost(weight: "1") }
type User implements Named { name: String age: Int friend: User }
type Group implements Named @cost(weight: "4") { name: String members(max: Int): [User]
  @listSize(slicingArguments: ["max"]) }
union Either = User | Group
"""


@pytest.mark.parametrize(
    "text, types, fields",
    [
        ("{ user { age } }", 2, 1),
        ("{ users(max: 5) { age } }", 6, 1),
        ("{ users(max: 0) { age } }", 1, 1),
        ("{ users(max: 5) { age friend { age } } }", 11, 6),
        ("{ a: user { age } b: user { age } }", 3, 2),
        ("{ user { age } user { name } }", 2, 2),
        ("{ user { __typename } __typename }", 2, 1),
        ("{ users(max: 2) { a: friend { age } b: friend { age } } }", 7, 5),
        ("{ paged(first: 3) { edges { node { age } } } }", 8, 5),
        ("{ paged(first: 3) { total } }", 2, 1),
        ("{ paged(first: 3, last: 4) { edges { node { age } } } }", 10, 6),
        ("{ paged { edges { node { age } } } }", 6, 4),
        ("{ grid { age } }", 9, 1),
        ("{ search { name } }", 9, 3),
        ("{ search(filter: {}) { name } }", 9, 6),
        ("{ search(filter: {exact: true, inner: {exact: true}}) { name } }", 9, 16),
        ("{ search(filter: null) { name } }", 9, 6),
        ("{ cheap { age } }", 2, 2),
        ("{ cheap(off: true) { age } }", 2, 0),
        ("{ any { ... on User { age } ... on Group { members(max: 3) { age } } } }", 8, 2),
        ("{ user { age @skip(if: true) friend @include(if: false) { age } } }", 2, 1),
        ("query ($n: Int = 4) { users(max: $n) { age } }", 5, 1),
        ("fragment F on User { friend { age } } { user { ...F ...F } }", 3, 2),
        ("{ ... { user { ... { age } } } }", 2, 1),
        ("{ user { ... @skip(if: true) { friend { age } } name } }", 2, 2),
    ],
)
def test_cost_of_examples(text, types, fields):
    plan, _ = plan_of(load(USERS, SITE), text)
    assert (plan.cost.types, plan.cost.fields) == (types, fields)


@pytest.mark.parametrize(
    "text, variables, code",
    [
        ("{ users { age } }", {}, Code.LIST_SIZE),
        ("{ users(max: null) { age } }", {}, Code.LIST_SIZE),
        ("{ users(max: -1) { age } }", {}, Code.LIST_SIZE),
        ("{ users(max: 99999999) { age } }", {}, Code.LIST_SIZE),
        ("query ($n: Int) { users(max: $n) { age } }", {}, Code.LIST_SIZE),
        ("query ($n: Int) { users(max: $n) { age } }", {"n": None}, Code.LIST_SIZE),
        ("query ($n: Int) { users(max: $n) { age } }", {"n": -5}, Code.LIST_SIZE),
        ("query ($n: Int) { users(max: $n) { age } }", {"n": "many"}, Code.VARIABLES),
        ("query ($n: Int) { users(max: $n) { age } }", {"n": 1e400}, Code.VARIABLES),
        ("query ($n: Int!) { users(max: $n) { age } }", {}, Code.VARIABLES),
        ("query A { user { age } } query B { user { age } }", {}, Code.OPERATION),
        ("fragment F on User { age }", {}, Code.INVALID),
        ("{ nobody }", {}, Code.INVALID),
        ("{ __schema { types { name } } }", {}, Code.INVALID),
        ("{ user }", {}, Code.INVALID),
        ("subscription { user { age } }", {}, Code.INVALID),
        ("type A { b: Int }", {}, Code.INVALID),
        ("{", {}, Code.PARSE),
        ("", {}, Code.PARSE),
        ('{ a(b: "\\uD800") }', {}, Code.PARSE),
    ],
)
def test_documents_that_are_turned_away(text, variables, code):
    assert turned(load(USERS, SITE), text, variables) is code


def test_the_operation_that_is_named_alone_counts():
    priced = load(BOARD, SITE)
    text = 'query R { boards(first: 2) { id } } mutation M { buyHighlight(board: "b", days: 3) { id } }'
    read, _ = plan_of(priced, text, name="R")
    buy, _ = plan_of(priced, text, name="M")
    assert (read.cost.total, buy.cost.total) == (4.0, 8.0)
    assert [part.class_name for part in buy.parts] == ["buy-highlight"]
    assert "boards" not in buy.parts[0].document
    assert turned(priced, text, name="X") is Code.OPERATION


def test_types_that_multiply_are_walked_so_far_and_no_further():
    limits = replace(WIDE, fields=7)
    walk = Walk(load(USERS, SITE), {}, {}, limits)
    for _ in range(costs.STEPS * limits.fields):
        walk.step()
    with pytest.raises(Turned) as caught:
        walk.step()
    assert caught.value.code is Code.FIELDS


def test_costs_saturate_and_are_never_infinite_or_no_number():
    priced = load(USERS, SITE)
    nested = "age"
    for level in range(12):
        nested = f"a{level}: friend {{ {nested} }} "
    text = "{ " + " ".join(f"u{n}: users(max: 9999999) {{ {nested} }}" for n in range(100)) + " }"
    plan, _ = plan_of(priced, text)
    assert plan.cost.total <= MOST and math.isfinite(plan.cost.total)
    big = Cost(MOST, MOST)
    for huge in (big, big.times(1e300), Cost(1.0, 1.0).times(1e300).plus(Cost(MOST))):
        assert huge.total == MOST


def test_more_than_was_asked_for_is_charged_as_asked():
    priced = load(USERS, SITE)
    plan, walk = plan_of(priced, "{ users(max: 2) { age } }")
    true = costs.actual(walk, plan.root, plan.selections, {"users": [{"age": 1}] * 50, "other": [{}] * 9})
    assert true.total > plan.cost.total and costs.charged(plan.cost, true) == plan.cost


@pytest.mark.parametrize(
    "data",
    [
        None,
        [],
        7,
        {"users": 7},
        {"users": "x"},
        {"users": {"age": 1}},
        {},
        {"users": [[], None, {"age": {}}]},
        {"users": None},
    ],
)
def test_the_cost_of_what_is_no_answer_is_still_a_number(data):
    plan, walk = plan_of(load(USERS, SITE), "{ users(max: 2) { age friend { age } } }")
    assert math.isfinite(costs.actual(walk, plan.root, plan.selections, data).total)


def test_units_by_cost():
    assert costs.units(Cost(3, 2), 10.0, 1.0, 100.0) == 1.0
    assert costs.units(Cost(300, 200), 10.0, 1.0, 100.0) == 50.0
    with pytest.raises(Turned) as caught:
        costs.units(Cost(3000, 200), 10.0, 1.0, 100.0)
    assert caught.value.code is Code.COST


# ---- Schemas


@pytest.mark.parametrize(
    "sdl, words",
    [
        ("type Query { a: Int", "Syntax Error"),
        ("type A { a: Int }", "no type for queries"),
        ("type Query { a: Nothing }", "Unknown type"),
        ('type Query { a: Int @cost(weight: "x") }', "Query.a: @cost"),
        ('type Query { a: Int @cost(weight: "inf") }', "Query.a: @cost"),
        ('type Query @cost(weight: "-1") { a: Int }', "below 0"),
        ("type Query { a: Int @listSize(assumedSize: 3) }", "no list"),
        ('type Query { a: [Int] @listSize(slicingArguments: ["n"]) }', "'n', which is no argument"),
        ('type Query { a: Query @listSize(assumedSize: 1, sizedFields: ["b"]) }', "'b', which is no list"),
        ("type Query { a: [Int] @listSize(assumedSize: -3) }", "below 0"),
        ('type Query { a: Int @call(class: "none") }', "no such class: 'none'"),
        ('type Query { a: Int @call(class: "buy-highlight") }', "is not safe"),
        ("type Query { a: Int } type Subscription { b: Int }", "subscriptions"),
    ],
)
def test_a_schema_that_cannot_be_served_says_where(sdl, words):
    with pytest.raises(SchemaError) as caught:
        load(sdl, SITE)
    assert words in str(caught.value) and "\n" not in str(caught.value)


# ---- Limits before work

DEEP = "{ user " + "{ friend " * 40 + "{ age }" + " }" * 41
HOSTILE = {
    "deep": (DEEP, Code.DEPTH),
    "deep values": ("{ user(a: " + "[" * 500 + "]" * 500 + ") { age } }", Code.DEPTH),
    "deep objects": ("{ user(a: " + "{a:" * 500 + "1" + "}" * 500 + ") { age } }", Code.DEPTH),
    "deep types": ("query ($a: " + "[" * 500 + "Int" + "]" * 500 + ") { user { age } }", Code.DEPTH),
    "deep fragments": (
        " ".join(f"fragment F{n} on User {{ friend {{ ...F{n + 1} }} }}" for n in range(30))
        + " fragment F30 on User { age } { user { ...F0 } }",
        Code.DEPTH,
    ),
    "aliases": ("{ " + " ".join(f"a{n}: user {{ age }}" for n in range(100)) + " }", Code.ALIASES),
    "roots": ("{ " + " ".join(f"{'a' * n}: user {{ age }}" for n in range(1, 25)) + " }", Code.ROOT_FIELDS),
    "merges": ("{ user { " + "age " * 300 + "} }", Code.MERGES),
    "merges below": ("{ " + "user { age name friend { age } } " * 19 + "}", Code.MERGES),
    "merges of fragments": (
        " ".join(f"fragment F{n} on User {{ friend {{ age name }} }}" for n in range(60))
        + "{ user { "
        + " ".join(f"...F{n}" for n in range(60))
        + " } }",
        Code.MERGES,
    ),
    "roots by fragments": ("{ " + "...F " * 30 + "} fragment F on Query { user { age } }", Code.ROOT_FIELDS),
    "tokens": ("{ " + "a " * 5000 + "}", Code.TOKENS),
    "comments": ("#\n" * 5000 + "{ a }", Code.TOKENS),
    "bytes": ("{ a } #" + "x" * 20_000, Code.BYTES),
    "a huge name": ("{ " + "a" * 20_000 + " }", Code.BYTES),
    "a cycle": (
        "{ user { ...A } } fragment A on User { friend { ...B } } fragment B on User { friend { ...A } }",
        Code.CYCLE,
    ),
    "itself": ("{ user { ...A } } fragment A on User { ...A }", Code.CYCLE),
    "doubling": (
        " ".join(f"fragment F{n} on User {{ ...F{n + 1} ...F{n + 1} }}" for n in range(30))
        + " fragment F30 on User { age } { user { ...F0 } }",
        Code.MERGES,
    ),
    "directives": ("{ user { age " + "@skip(if: false) " * 100 + "} }", Code.DIRECTIVES),
    "escapes": ('{ user(a: "' + "\\u{10FFFFFF}" * 10 + '") { age } }', Code.PARSE),
    "no end": ('{ user(a: "' + "\\u0041" * 1000, Code.PARSE),
    "a number": ("{ a(b: 1" + "0" * 4000 + ") }", None),
    "nothing but brackets": ("{" * 10_000, None),
    "null": ("\0" * 100, Code.PARSE),
    "surrogates": ('{ user(a: "\ud800") { age } }', None),
}


@pytest.mark.parametrize("name", HOSTILE)
def test_a_hostile_document_is_turned_away_with_its_code(name):
    text, code = HOSTILE[name]
    found = turned(load(USERS, SITE), text, limits=Limits())
    assert code is None or found is code


def test_what_was_turned_away_is_not_read_again_and_the_cache_is_bounded():
    documents = Documents(load(USERS, SITE), Limits(), most=3)
    for _ in range(3):
        with pytest.raises(Turned):
            documents.of("{ nobody }", None)
    assert documents.misses == 1
    for number in range(10):
        documents.of(f"{{ user {{ age }} }} # {number}", None)
    assert len(documents.kept) == 3 and documents.misses == 11
    again = documents.of("{ user { age } } # 9", None)
    assert documents.misses == 11 and documents.named(digest("{ user { age } } # 9")) is again
    with pytest.raises(Turned) as caught:
        documents.named(digest("{ user { age } } # 0"))
    assert caught.value.code is Code.NOT_FOUND
    with pytest.raises(Turned) as caught:
        documents.of("{ user { age } }", "0" * 64)
    assert caught.value.code is Code.MISMATCH


def test_a_customer_that_sends_ever_new_documents_has_them_read_at_a_rate(monkeypatch):
    monkeypatch.setattr(allowances, "MOST_CUSTOMERS", 3)
    allowance = Allowance(Reading(bytes_s=1000.0, burst=2000.0))
    assert [allowance.take("a", 1000, 0.0) for _ in range(2)] == [0.0, 0.0]
    assert allowance.take("a", 1000, 0.0) == 1000.0 and allowance.take("b", 1000, 0.0) == 0.0
    assert allowance.take("a", 1000, 999.0) == pytest.approx(1.0) and allowance.take("a", 1000, 1000.0) == 0.0
    assert allowance.take("c", 9000, 0.0) == 0.0  # the first one is read, however long
    for number in range(9):
        allowance.take(str(number), 1, 0.0)
    assert len(allowance.used) == 3


def test_only_documents_that_were_allowed():
    allowed = "{ user { age } }"
    documents = Documents(load(USERS, SITE), Limits(), (allowed,), only_allowed=True)
    assert documents.of(allowed, None) is documents.named(digest(allowed))
    with pytest.raises(Turned) as caught:
        documents.of("{ user { name } }", None)
    assert caught.value.code is Code.ONLY_PERSISTED


# ---- Plans


def test_a_query_of_one_class_is_one_attempt_as_it_was_written():
    text = "query ($n: Int!) { boards(first: $n) { id } board(id: 1) { title } }"
    plan, _ = plan_of(load(BOARD, SITE), text, {"n": 3})
    (part,) = plan.parts
    assert part.document == text and part.variables == {"n"} and not plan.ordered


MIXED = BOARD.replace("type Query {", 'type Query { slow(x: Int): Board @call(class: "read-slow")')


def test_a_query_of_several_classes_is_a_part_for_each_with_what_it_needs():
    text = """query Q($n: Int!, $x: Int, $t: Boolean!) {
      ...Roots s: slow(x: $x) { ...Title } __typename }
      fragment Roots on Query { boards(first: $n) { id } board(id: 1) @include(if: $t) { ...Title } }
      fragment Title on Board { title }"""
    priced = load(MIXED, SITE)
    plan, _ = plan_of(priced, text, {"n": 3, "x": 1, "t": False})
    one, two = plan.parts
    assert (one.class_name, one.names, one.variables) == ("read-board", ("boards", "__typename"), {"n"})
    assert (two.class_name, two.names, two.variables) == ("read-slow", ("s",), {"x"})
    assert "Title" not in one.document and "Title" in two.document
    assert plan.order == ("boards", "s", "__typename")
    for part in plan.parts:
        plans.prepare(part.document, priced, WIDE)
    root = priced.types["Query"]
    assert plan.cost.total == pytest.approx(root + one.cost.total + two.cost.total)


def test_a_mutation_is_a_part_for_each_field_and_keys_are_told_apart():
    priced, classes = load(BOARD, SITE), {item.name: item for item in CLASSES}
    text = (
        'mutation { a: postNotice(board: 1, text: "x") { id } buyHighlight(board: 1, days: 2) { id } '
        'b: postNotice(board: 1, text: "y") { id } }'
    )
    plan, _ = plan_of(priced, text)
    assert [part.class_name for part in plan.parts] == ["post-notice", "buy-highlight", "post-notice"]
    first, none, third = plans.keys(plan, classes, "k1")
    assert none is None and first != third and plans.keys(plan, classes, "k1") == [first, none, third]
    assert plans.keys(plan, classes, "k2")[0] != first
    with pytest.raises(Turned) as caught:
        plans.keys(plan, classes, None)
    assert caught.value.code is Code.KEY
    single, _ = plan_of(priced, 'mutation { postNotice(board: 1, text: "x") { id } }')
    assert plans.keys(single, classes, "k1") == ["k1"]


def test_plans_without_variables_are_kept_and_those_with_are_made_anew():
    priced = load(BOARD, SITE)
    found = prepared(
        priced, "query A { boards(first: 1) { id } } query B($n: Int!) { boards(first: $n) { id } }"
    )
    plain, sized = (plans.choose(found, name) for name in "AB")
    assert plans.plan(found, plain, {}, priced, WIDE) is plans.plan(found, plain, {}, priced, WIDE)
    costs_of = [plans.plan(found, sized, {"n": n}, priced, WIDE).cost.total for n in (1, 5)]
    assert costs_of == [3.0, 7.0]
