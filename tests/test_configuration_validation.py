"""Validation: every fault of a change at once, each with its path; without one the document is sound."""

from __future__ import annotations

import math

import pytest
from configuration_strategies import deltas, large_items, small_changes
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.checks import LAST_CUSTOMER, Checks
from brackenloft.configuration import validation
from brackenloft.configuration.builder import apply
from brackenloft.configuration.model import (
    Delta,
    Items,
    Match,
    Names,
    Plan,
    Route,
    Section,
    Service,
    Target,
    Tenant,
)
from brackenloft.configuration.tree import Tree, bucket_index
from brackenloft.configuration.validation import document_faults, faults, is_name

NOTHING, NO_NAMES = Items(), Names()
ANA, RUI = "00000000000000aa", "00000000000000bb"


def sound() -> Tree:
    return apply(
        Tree.empty(),
        Delta(
            0,
            Items(
                services=(Service("board"), Service("ads")),
                routes=(Route("read", Match("read"), (Target("board", 3), Target("ads"))),),
                plans=(Plan("basic", 1.0, 5.0), Plan("spare")),
                tenants=(Tenant(ANA, "basic"), Tenant(RUI, "basic")),
            ),
        ),
    )


def told(tree: Tree, delta: Delta) -> list[tuple[str, str]]:
    return [(fault.path, fault.reason) for fault in faults(tree, delta)]


def paths(put: Items = NOTHING, remove: Names = NO_NAMES) -> list[str]:
    return [fault.path for fault in faults(sound(), Delta(1, put, remove))]


def all_items(tree: Tree) -> Items:
    return Items(**{section.value: tuple(tree.items(section)) for section in Section})


def is_sound(document: Items) -> bool:
    """What makes the small documents of the strategies sound, said again in another way."""
    services = {item.name for item in document.services}
    plans = {item.name for item in document.plans}
    matches = [item.match for item in document.routes]
    targets = [[target.service for target in item.targets] for item in document.routes]
    return (
        all(set(names) <= services and len(set(names)) == len(names) for names in targets)
        and {item.plan for item in document.tenants} <= plans
        and len(set(matches)) == len(matches)
        and all(item.burst > 0 or item.rate == 0 for item in document.plans)
        and all(item.description.isprintable() for item in document.services)
    )


@settings(derandomize=True, deadline=None)
@given(st.lists(small_changes(), max_size=40), deltas())
def test_a_change_has_no_fault_just_when_it_leads_to_a_sound_document(changes, last):
    tree = Tree.empty()
    for delta in [*changes, last]:
        after = apply(tree, delta)
        absent = [
            name
            for section in Section
            for name in getattr(delta.remove, section)
            if tree.get(section, name) is None
        ]
        found = faults(tree, delta)
        assert (not found) == (is_sound(all_items(after)) and not absent)
        if not found:
            assert document_faults(all_items(after)) == ()
            tree = after


def test_all_faults_are_told_at_once_with_their_paths():
    delta = Delta(
        1,
        Items(
            routes=(
                Route("r", Match("read"), (Target("nowhere"), Target("board", -1))),
                Route("empty", Match("x"), ()),
            ),
            plans=(Plan("gold", rate=math.nan, max_in_flight=-1),),
            tenants=(Tenant(ANA, "silver"), Tenant("zz", "gold")),
        ),
        Names(services=("ads", "ghost"), plans=("basic",)),
    )
    assert told(sound(), delta) == [
        ("remove.services.ghost", "no such service"),
        ("tenants.zz.name", "not a customer's id: 16 digits of 0-9 and a-f, below 2**33"),
        ("routes.r.targets[1].weight", "not from 0 to 1000000: -1"),
        ("routes.r.targets[0].service", "no such service: nowhere"),
        ("routes.empty.targets", "not 1 to 32 of them: 0"),
        ("routes.r.match", "the same as that of read"),
        ("plans.gold.rate", "not from 0 to 1e+12: nan"),
        ("plans.gold.max_in_flight", "not from 0 to 1000000: -1"),
        (f"tenants.{ANA}.plan", "no such plan: silver"),
        ("remove.services.ads", "still used by 1 route, read among them"),
        ("remove.plans.basic", f"still used by 1 tenant, {RUI} among them"),
    ]


def test_what_is_taken_out_may_be_put_in_again_or_lose_its_users_in_the_same_change():
    assert paths(Items(plans=(Plan("basic", 2.0, 5.0),)), Names(plans=("basic",))) == []
    moved = Items(tenants=(Tenant(ANA, "spare"),))
    assert paths(moved, Names(plans=("basic",), tenants=(RUI,))) == []
    assert paths(remove=Names(services=("board", "ads"), routes=("read",))) == []


def test_a_reference_to_what_is_taken_out_is_a_fault():
    remove = Names(services=("ads",), routes=("read",), plans=("spare",))
    put = Items(routes=(Route("ads", Match("ads"), (Target("ads"),)),), tenants=(Tenant("0" * 16, "spare"),))
    assert paths(put, remove) == ["routes.ads.targets[0].service", f"tenants.{'0' * 16}.plan"]


@pytest.mark.parametrize("figure", [math.nan, math.inf, -math.inf, -0.5, 1e13])
@pytest.mark.parametrize(
    "field",
    [
        "rate",
        "burst",
        "price",
        "over_worth",
        "over_cost",
        "ceiling_rate",
        "ceiling_burst",
        "ceiling_slack",
    ],
)
def test_a_figure_out_of_range_is_a_fault(field, figure):
    figures = {"burst": 1.0, "ceiling_burst": 1.0} | {field: figure}
    assert paths(Items(plans=(Plan("p", **figures),))) == [f"plans.p.{field}"]


def test_a_rate_and_a_ceiling_need_a_burst():
    assert paths(Items(plans=(Plan("p", rate=1.0, ceiling_rate=1.0),))) == [
        "plans.p.burst",
        "plans.p.ceiling_burst",
    ]


def test_names_that_are_given_twice():
    put = Items(plans=(Plan("p"), Plan("p", price=2.0)))
    assert told(sound(), Delta(1, put, Names(tenants=(ANA, ANA)))) == [
        ("plans.p", "defined 2 times"),
        (f"remove.tenants.{ANA}", "named 2 times"),
    ]


@pytest.mark.parametrize("name", ["", "a b", "a,b", "a=b", "a\n", "\ud800", "x" * 65, "a\0"])
def test_names_that_can_not_be_used(name):
    put = Items(
        services=(Service(name),),
        plans=(Plan(name),),
        routes=(Route(name, Match("x"), (Target("board"),)),),
    )
    found = faults(sound(), Delta(1, put, Names(services=(name,))))
    assert len(found) == 4
    assert all(fault.path.isprintable() and len(fault.path) < 600 for fault in found)


def test_references_that_are_no_names_are_faults_and_not_errors():
    put = Items(routes=(Route("r", Match("x"), (Target("\ud800"),)),), tenants=(Tenant(ANA, "\ud800"),))
    assert paths(put) == ["routes.r.targets[0].service", f"tenants.{ANA}.plan"]


@settings(derandomize=True, deadline=None)
@given(
    st.one_of(
        st.from_regex(r"[0-9a-fA-F]{14,18}", fullmatch=True), st.integers(0, 2**34).map("{:016x}".format)
    )
)
def test_a_tenant_is_named_as_the_edge_gives_a_customer_on(name):
    try:
        passed = Checks.customer(None, name) == name
    except ValueError:
        passed = False
    assert is_name(Section.TENANTS, name) == passed


def test_the_last_customer():
    assert is_name(Section.TENANTS, f"{LAST_CUSTOMER - 1:016x}")
    assert not is_name(Section.TENANTS, f"{LAST_CUSTOMER:016x}")


def test_texts_and_targets_are_bounded():
    many = tuple(Target(f"s{number}") for number in range(33))
    put = Items(
        services=(Service("s", "d" * 257), Service("t", "a\x07")),
        routes=(
            Route("many", Match("many"), many),
            Route("twice", Match("twice"), (Target("board"), Target("board"))),
            Route("none", Match("none"), (Target("board", 0),)),
            Route("long", Match("r" * 129, "o" * 129, "k" * 129, "t"), (Target("board"),)),
        ),
    )
    found = paths(put)
    assert [path for path in found if "service" not in path] == [
        "routes.many.targets",
        "routes.none.targets",
        "routes.long.match.request_class",
        "routes.long.match.operation",
        "routes.long.match.key_prefix",
        "routes.long.match.tenant",
    ]
    assert "services.s.description" in found and "services.t.description" in found
    assert "routes.twice.targets[1].service" in found


def test_a_match_may_change_hands_in_one_change():
    swapped = Items(
        routes=(
            Route("read", Match("write"), (Target("board"),)),
            Route("new", Match("read"), (Target("ads"),)),
        )
    )
    assert paths(swapped) == []
    taken = Items(routes=(Route("new", Match("read"), (Target("ads"),)),))
    assert paths(taken) == ["routes.new.match"]
    assert paths(taken, Names(routes=("read",))) == []
    same = Items(routes=tuple(Route(name, Match("same"), (Target("ads"),)) for name in "ab"))
    assert paths(same) == ["routes.b.match"]


def test_counts_are_bounded_over_the_document(monkeypatch):
    monkeypatch.setitem(validation.MOST_ITEMS, Section.TENANTS, 3)
    two = Items(tenants=(Tenant("0" * 16, "basic"), Tenant("1".zfill(16), "basic")))
    assert paths(two) == ["tenants"]
    assert paths(two, Names(tenants=(ANA,))) == []
    assert paths(Items(tenants=(two.tenants[0], Tenant(ANA, "spare")))) == []
    assert paths(two, Names(tenants=(ANA, ANA))) == [f"remove.tenants.{ANA}"]


def test_names_chosen_to_share_a_bucket_are_bounded(monkeypatch):
    monkeypatch.setattr(validation, "MOST_BUCKET_ITEMS", 4)
    home = bucket_index(Section.SERVICES, "board")
    same = [
        name
        for name in (f"s{number}" for number in range(400))
        if bucket_index(Section.SERVICES, name) == home
    ]
    assert paths(Items(services=tuple(map(Service, same[:3])))) == []
    assert paths(Items(services=tuple(map(Service, same[:4])))) == ["services"]
    fewer = Names(services=("board",), routes=("read",))
    assert paths(Items(services=tuple(map(Service, same[:4]))), fewer) == []


def test_a_base_that_is_no_revision():
    assert told(Tree.empty(), Delta(-1)) == [("base", f"not a revision from 0 to {2**62}: -1")]
    assert paths() == []


def test_the_number_of_faults_is_bounded(monkeypatch):
    monkeypatch.setattr(validation, "MOST_FAULTS", 5)
    put = Items(tenants=tuple(Tenant(f"{number:016x}", "ghost") for number in range(9)))
    found = told(sound(), Delta(1, put))
    assert len(found) == 6
    assert found[-1] == ("", "4 more faults")


def test_a_document_of_the_size_aimed_at_is_sound():
    assert document_faults(large_items(3900, 55_000)) == ()
