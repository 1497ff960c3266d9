"""Building a revision in slices of the loop: what is seen before, between and after."""

import asyncio
import time

import pytest
from control import delta, plan
from fakes import run

from brackenloft.configuration import applying
from brackenloft.configuration.applying import Applier, Listener, Slices
from brackenloft.configuration.builder import apply
from brackenloft.configuration.following import ApplyRecords, LoadBuckets
from brackenloft.configuration.messages import SnapshotOffer
from brackenloft.configuration.model import Record, Section
from brackenloft.configuration.tree import DigestMismatch, Tree

TENANTS = 55_000


class Steps:
    """A clock that each step moves on."""

    def __init__(self, *took_ms: float) -> None:
        self.took_ms, self.now_ms, self.begun = took_ms, 0.0, 0

    def clock(self) -> float:
        return self.now_ms

    def __iter__(self):
        for took in self.took_ms:
            self.begun += 1
            self.now_ms += took
            yield


def chain(*changes) -> tuple[list[Record], list[Tree]]:
    """Records of these changes one after the other, and the document after each."""
    trees, records = [Tree.empty()], []
    for base, change in enumerate(changes):
        trees.append(apply(trees[-1], change))
        records.append(Record(base + 1, trees[-1].digest, change))
    return records, trees


CHANGES = [
    delta(0, [plan(), plan("q")], {"a": "p", "b": "p"}),
    delta(1, tenants={"a": "q"}),
    delta(2, gone=["b"]),
]


def offer(tree: Tree, revision: int) -> SnapshotOffer:
    return SnapshotOffer(revision, tree.digest, tree.bucket_digests, 0.0)


def load(tree: Tree, base: Tree, revision: int = 1, last: bool = True) -> LoadBuckets:
    places = base.differing(tree.bucket_digests)
    return LoadBuckets(offer(tree, revision), places, tuple(tree.encode_bucket(n) for n in places), last)


class Watched:
    """A target that takes two steps to prepare and notes what it is told."""

    def __init__(self, fails: bool = False) -> None:
        self.told: list[object] = []
        self.fails = fails

    def prepare(self, tree):
        for step in (1, 2):
            self.told.append(step)
            yield
        if self.fails:
            raise ValueError("can't be used")

    def swap(self, tree):
        self.told.append(tree)


def test_a_slice_ends_with_the_step_that_uses_it_up_and_the_loop_goes_on_between_slices():
    async def main():
        steps = Steps(0.2, 0.2, 0.2, 0.4, 0.7, 0.1)
        slices, turns = Slices(steps.clock, rest_ms=0.0), []

        async def others():
            while steps.begun < len(steps.took_ms):
                turns.append(steps.begun)
                await asyncio.sleep(0)

        waiting = asyncio.ensure_future(others())
        await asyncio.sleep(0)
        await slices.run(iter(steps))
        await waiting
        assert {3, 5} <= set(turns)
        assert slices.longest_ms == pytest.approx(1.1) and slices.total_ms == pytest.approx(1.8)

    run(main())


def test_a_step_that_fails_ends_the_building():
    async def main():
        def steps():
            yield
            raise ValueError("no")

        slices = Slices()
        with pytest.raises(ValueError, match="no"):
            await slices.run(steps())
        assert slices.count == 1

    run(main())


def test_all_records_of_an_answer_are_one_swap_after_the_last_step():
    async def main():
        target = Watched()
        records, trees = chain(*CHANGES)
        applier = Applier(target, slices=Slices(rest_ms=0.0))
        position = await applier.apply(ApplyRecords(tuple(records)))
        assert target.told == [1, 2, applier.tree] and applier.tree.digest == trees[-1].digest
        assert position == applier.position(3) and position.digest == trees[-1].digest
        assert applier.tree.get(Section.TENANTS, "b") is None

    run(main())


@pytest.mark.parametrize("wrong", ["digest", "target", "cancelled"])
def test_what_was_in_force_stays_when_the_next_can_not_be(wrong):
    async def main():
        target = Watched()
        records, trees = chain(*CHANGES)
        applier = Applier(target, slices=Slices(rest_ms=0.0))
        await applier.apply(ApplyRecords((records[0],)))
        target.told.clear()
        target.fails = wrong == "target"
        last = Record(2, b"?" * 16, CHANGES[1]) if wrong == "digest" else records[1]
        if wrong == "cancelled":
            applier.slices.rest_ms, applier.slices.clock_ms = 1e6, iter(range(10_000)).__next__
            task = asyncio.ensure_future(applier.apply(ApplyRecords((last,))))
            await asyncio.sleep(0.01)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
        else:
            with pytest.raises(DigestMismatch if wrong == "digest" else ValueError):
                await applier.apply(ApplyRecords((last,)))
        assert applier.tree.digest == trees[1].digest and all(isinstance(one, int) for one in target.told)

    run(main())


def test_a_snapshot_in_parts_is_put_in_force_after_the_last_and_shares_what_did_not_change():
    async def main():
        seen = []
        records, trees = chain(*CHANGES)
        applier = Applier(Listener(seen.append))
        await applier.apply(ApplyRecords((records[0],)))
        whole = load(trees[-1], applier.tree, 3)
        before = applier.tree
        for number, (place, bucket) in enumerate(zip(whole.places, whole.buckets, strict=True)):
            last = number + 1 == len(whole.places)
            assert applier.tree is before
            position = await applier.apply(LoadBuckets(whole.offer, (place,), (bucket,), last))
            assert (position is not None) == last
        assert [tree.digest for tree in seen] == [trees[1].digest, trees[3].digest]
        kept = [one for one, other in zip(before.buckets, applier.tree.buckets, strict=True) if one is other]
        assert len(kept) == len(before.buckets) - len(whole.places)

    run(main())


def test_what_was_loaded_of_one_snapshot_is_not_in_the_next():
    async def main():
        _, trees = chain(*CHANGES)
        seen = []
        applier = Applier(Listener(seen.append))
        first = load(trees[1], applier.tree, 1)
        await applier.apply(LoadBuckets(first.offer, first.places[:1], first.buckets[:1], False))
        await applier.apply(load(trees[3], Tree.empty(), 3))
        assert [tree.digest for tree in seen] == [trees[3].digest]

    run(main())


@pytest.mark.parametrize("flipped", [0, 5, -1])
def test_a_damaged_byte_of_a_bucket_changes_nothing(flipped):
    async def main():
        _, trees = chain(*CHANGES)
        seen = []
        applier = Applier(Listener(seen.append))
        good = load(trees[1], applier.tree)
        damaged = bytearray(good.buckets[-1])
        damaged[flipped] ^= 0x10
        with pytest.raises(DigestMismatch):
            await applier.apply(
                LoadBuckets(good.offer, good.places, (*good.buckets[:-1], bytes(damaged)), True)
            )
        assert not seen and applier.tree is Tree.empty()
        await applier.apply(good)
        assert seen[-1].digest == trees[1].digest

    run(main())


@pytest.mark.parametrize("form", ["records", "snapshot"])
def test_a_change_of_all_tenants_is_built_in_many_slices_and_requests_go_on_between(form):
    """What the loop stands still for is a figure of the page; here that no slice takes many steps is shown.

    The clock counts steps: each is one unit, so that a busy machine can't change the result.
    """

    async def main():
        names = [f"{number:016x}" for number in range(TENANTS)]
        first = apply(Tree.empty(), delta(0, [plan(), plan("q")], dict.fromkeys(names, "p")))
        change = delta(1, tenants=dict.fromkeys(names, "q"))
        second = apply(first, change)
        work = ApplyRecords((Record(2, second.digest, change),))
        if form == "snapshot":
            work = load(second, first, 2)
        ticks = iter(range(10_000_000))
        applier = Applier(
            Listener(lambda tree: None), first, Slices(lambda: next(ticks) * applying.SLICE_MS / 2, 0.0)
        )
        turns = 0
        task = asyncio.ensure_future(applier.apply(work))
        while not task.done():
            assert applier.tree is first
            turns += 1
            await asyncio.sleep(0)
        assert (await task).digest == second.digest and turns + 2 >= applier.slices.count >= 200

    run(main())


def test_the_time_of_slices_is_measured():
    async def main():
        slices = Slices(rest_ms=0.0)

        def steps():
            for _ in range(3):
                end = time.perf_counter() + 0.001
                while time.perf_counter() < end:
                    pass
                yield

        await slices.run(steps())
        assert slices.count == 4 and slices.longest_ms >= 1.0 and slices.total_ms >= 3.0

    run(main())
