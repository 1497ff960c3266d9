"""Plans of a document, as a gateway's decisions take them."""

import pytest
from control import delta

from brackenloft import Plan
from brackenloft.configuration import model
from brackenloft.configuration.builder import apply
from brackenloft.configuration.directory import DirectoryBuilder, PlanDirectory
from brackenloft.configuration.tree import Tree

QUOTA, FREE = Plan("quota", rate=10.0, burst=8.0), Plan("free")


def built(builder: DirectoryBuilder, tree: Tree) -> PlanDirectory:
    for _ in builder.steps(tree):
        pass
    return builder.current


def test_plans_of_the_document_stand_in_for_those_of_the_file_and_others_stay():
    builder = DirectoryBuilder([QUOTA, FREE])
    first = apply(Tree.empty(), delta(0, [model.Plan("quota", 1.0, 2.0), model.Plan("new")], {"t": "new"}))
    directory = built(builder, first)
    assert directory.plans == {"quota": Plan("quota", 1.0, 2.0), "free": FREE, "new": Plan("new")}
    assert directory.names == {b"quota": "quota", b"free": "free", b"new": "new"}
    assert directory.plan_of("t") == "new" and directory.plan_of("u") == ""
    removal = model.Delta(1, remove=model.Names(plans=("quota", "new"), tenants=("t",)))
    after = built(builder, apply(first, removal))
    assert after.plans == {"quota": QUOTA, "free": FREE} and after.plan_of("t") == ""
    assert directory.plan_of("t") == "new"  # what was built is not changed


def test_plans_that_did_not_change_are_the_same_objects():
    builder = DirectoryBuilder([FREE])
    names = [f"p{number}" for number in range(100)]
    first = apply(Tree.empty(), delta(0, [model.Plan(name, 1.0, 2.0) for name in names]))
    before = built(builder, first).plans
    second = apply(first, delta(1, [model.Plan("p7", 3.0, 4.0)], {"t": "p7"}))
    after = built(builder, second).plans
    assert [name for name in names if after[name] is not before[name]] == ["p7"]
    third = apply(second, delta(2, tenants={"t": "p8"}))
    assert built(builder, third).plans is after and builder.current.plan_of("t") == "p8"


def test_a_plan_that_can_not_be_kept_changes_nothing():
    builder = DirectoryBuilder([FREE])
    bad = apply(Tree.empty(), delta(0, [model.Plan("bad", rate=1.0, burst=0.0)]))
    with pytest.raises(ValueError, match="Plan.burst"):
        built(builder, bad)
    assert builder.current.plans == {"free": FREE}
    good = apply(Tree.empty(), delta(0, [model.Plan("good")]))
    assert set(built(builder, good).plans) == {"free", "good"}


def test_a_thousand_plans_are_made_in_many_steps():
    builder = DirectoryBuilder([FREE])
    tree = apply(Tree.empty(), delta(0, [model.Plan(f"p{number}") for number in range(1000)]))
    assert sum(1 for _ in builder.steps(tree)) >= 16 and len(builder.current.plans) == 1001
