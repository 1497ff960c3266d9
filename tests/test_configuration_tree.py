"""The digest tree and its builder: what is built step by step is the document built whole."""

from __future__ import annotations

import pytest
from configuration_strategies import deltas, large_items
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.configuration import tree as trees
from brackenloft.configuration.builder import ITEMS_PER_STEP, Builder, apply
from brackenloft.configuration.model import Delta, Items, Names, Plan, Section, Service, Tenant
from brackenloft.configuration.tree import BucketError, DigestMismatch, Tree, difference

CHANGES = st.lists(deltas(), max_size=5)


def whole(changes: list[Delta]) -> Tree:
    """The document after changes, by plain dictionaries and one change that puts in the outcome."""
    sections: dict[Section, dict] = {section: {} for section in Section}
    for delta in changes:
        for section, items in sections.items():
            for name in getattr(delta.remove, section):
                items.pop(name, None)
            items.update({item.name: item for item in getattr(delta.put, section)})
    put = Items(**{section.value: tuple(items.values()) for section, items in sections.items()})
    return apply(Tree.empty(), Delta(0, put))


def after(changes: list[Delta]) -> Tree:
    built = Tree.empty()
    for delta in changes:
        built = apply(built, delta)
    return built


def content(tree: Tree) -> dict:
    return {section: {item.name: item for item in tree.items(section)} for section in Section}


@settings(derandomize=True, deadline=None)
@given(CHANGES)
def test_delta_after_delta_equals_the_document_built_whole(changes):
    one, other = after(changes), whole(changes)
    assert one.digest == other.digest
    assert content(one) == content(other)


@settings(derandomize=True, deadline=None)
@given(CHANGES, CHANGES)
def test_difference_leads_from_one_document_to_another_and_back(first, second):
    old, new = after(first), after(second)
    there = difference(old, new, 7)
    assert there.base == 7
    assert apply(old, there).digest == new.digest
    assert apply(new, difference(new, old)).digest == old.digest
    assert difference(old, old) == Delta(0)


@settings(derandomize=True, deadline=None)
@given(CHANGES, deltas())
def test_buckets_without_a_change_are_shared(changes, delta):
    old = after(changes)
    new = apply(old, delta)
    for before, now in zip(old.buckets, new.buckets, strict=True):
        assert (before is now) == (before.digest == now.digest)
        assert (before is now) == (dict(before.items) == dict(now.items))


@settings(derandomize=True, deadline=None)
@given(CHANGES, CHANGES)
def test_a_snapshot_is_loaded_by_the_buckets_that_differ(first, second):
    old, new = after(first), after(second)
    builder = Builder(old)
    for index in old.differing(new.bucket_digests):
        builder.load_bucket(index, new.encode_bucket(index), new.bucket_digests[index])
    built = builder.finish(new.digest)
    assert content(built) == content(new)


@settings(derandomize=True, deadline=None)
@given(CHANGES, deltas(), st.data())
def test_building_that_is_given_up_leaves_the_base_as_it_was(changes, delta, data):
    old = after(changes)
    before = content(old)
    steps = Builder(old).steps(delta)
    for _ in range(data.draw(st.integers(0, 10))):
        next(steps, None)
    assert content(old) == before
    assert old.digest == whole(changes).digest


def test_a_missing_change_is_noticed_by_the_digest():
    delta = Delta(0, Items(plans=(Plan("a"),), tenants=(Tenant("0" * 16, "a"),)))
    builder = Builder(Tree.empty())
    list(builder.steps(Delta(0, Items(plans=(Plan("a"),)))))
    with pytest.raises(DigestMismatch):
        builder.finish(apply(Tree.empty(), delta).digest)


def test_several_deltas_are_built_in_one_go():
    first = Delta(0, Items(plans=(Plan("a"), Plan("b"))))
    second = Delta(1, Items(plans=(Plan("b", price=2.0),)), Names(plans=("a",)))
    builder = Builder(Tree.empty())
    list(builder.steps(first))
    list(builder.steps(second))
    built = builder.finish(after([first, second]).digest)
    assert list(built.items(Section.PLANS)) == [Plan("b", price=2.0)]


def test_any_damaged_byte_of_a_bucket_is_noticed():
    tree = apply(Tree.empty(), Delta(0, Items(services=tuple(Service(f"s{number}") for number in range(40)))))
    index = next(index for index in range(16) if len(tree.buckets[index].items) > 2)
    data, digest = tree.encode_bucket(index), tree.bucket_digests[index]
    for place in range(len(data)):
        for flip in (0x01, 0x80, 0xFF):
            damaged = bytearray(data)
            damaged[place] ^= flip
            with pytest.raises(DigestMismatch):
                Builder(Tree.empty()).load_bucket(index, bytes(damaged), digest)
        with pytest.raises(DigestMismatch):
            Builder(Tree.empty()).load_bucket(index, data[:place], digest)


def test_a_bucket_with_its_digest_in_another_place_is_refused():
    tree = apply(Tree.empty(), Delta(0, Items(services=(Service("a"),))))
    index = trees.bucket_index(Section.SERVICES, "a")
    other = (index + 1) % 16
    data = tree.encode_bucket(index)
    with pytest.raises(BucketError, match="another bucket"):
        Builder(Tree.empty()).load_bucket(other, data, trees.digest_of(data))
    with pytest.raises(DigestMismatch, match="none of this index"):
        Builder(Tree.empty()).load_bucket(trees.TOTAL_BUCKETS, data, trees.digest_of(data))
    with pytest.raises(BucketError):
        Builder(Tree.empty()).load_bucket(index, b"\xc1", trees.digest_of(b"\xc1"))


def test_a_bucket_that_names_an_item_twice_or_out_of_order_is_refused():
    same = [
        name
        for name in (f"s{number}" for number in range(99))
        if trees.bucket_index(Section.SERVICES, name) == 3
    ]
    low, high = sorted(same)[:2]
    encoder = trees.msgspec.msgpack.Encoder()
    for listed in ([Service(high), Service(low)], [Service(low), Service(low)]):
        data = encoder.encode(listed)
        with pytest.raises(BucketError, match="out of order"):
            Builder(Tree.empty()).load_bucket(3, data, trees.digest_of(data))


def test_reading_a_tree():
    tree = apply(
        Tree.empty(), Delta(0, Items(plans=(Plan("a"), Plan("b")), tenants=(Tenant("0" * 16, "a"),)))
    )
    assert tree.get(Section.PLANS, "a") == Plan("a")
    assert tree.get(Section.TENANTS, "a") is None
    assert [tree.count(section) for section in Section] == [0, 0, 2, 1]
    assert len(tree.bucket_digests) == trees.TOTAL_BUCKETS == 608
    assert Tree.empty().digest != tree.digest
    with pytest.raises(ValueError, match="bucket digests"):
        tree.differing(tree.bucket_digests[1:])


def test_a_change_of_all_tenants_takes_many_small_steps():
    old = apply(Tree.empty(), Delta(0, large_items(390, 5500)))
    delta = Delta(1, Items(tenants=large_items(0, 5500, "plan-0").tenants))
    builder, taken = Builder(old), 0
    for _ in builder.steps(delta):
        taken += 1
    assert taken >= 5500 // ITEMS_PER_STEP + 512
    assert {item.plan for item in builder.finish(apply(old, delta).digest).items(Section.TENANTS)} == {
        "plan-0"
    }
