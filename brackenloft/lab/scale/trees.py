"""Slopes of the configuration as a digest tree: built, changed in steps, compared, sent, kept."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from functools import partial

from brackenloft.configuration import codec
from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.messages import (
    Changes,
    Chunk,
    Follower,
    FollowRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.model import Delta, Items, Record, Section, Tenant
from brackenloft.configuration.tree import TOTAL_BUCKETS, Tree, difference
from brackenloft.lab.scale import samples
from brackenloft.lab.scale.documents import MOST_ROUTES, SERVICES
from brackenloft.lab.scale.measuring import exact, held_bytes, no_collection, point, repeated_ms, slope
from brackenloft.lab.scale.slopes import Point, Slope

TENANTS = (55, 550, 5_500, 55_000)
CHANGED = (1, 10, 100, 1_000, 55_000)  # tenants in a change of the target's whole document
STEP_ROUNDS = 5
FOLLOWER = Follower("gateway-0123", "0123456789abcdef", 1_764_651_600_000_000_000, "region-1", "zone-a")


def document(tenants: int, routes: int = MOST_ROUTES) -> Items:
    """The target's document with so many tenants."""
    return samples.configuration(SERVICES, routes, tenants)


def tree_of(items: Items) -> Tree:
    """A tree of these items alone."""
    return apply(Tree.empty(), Delta(0, items))


def moved(items: Items, tenants: int) -> Delta:
    """The first tenants get another plan."""
    plans = [plan.name for plan in items.plans]
    chosen = items.tenants[:tenants]
    return Delta(1, Items(tenants=tuple(Tenant(each.name, _other(each.plan, plans)) for each in chosen)))


def _other(plan: str, plans: list[str]) -> str:
    return plans[(plans.index(plan) + 1) % len(plans)]


def step_times_ms(steps: Iterator[None]) -> list[float]:
    """Milliseconds of a processor that each step takes."""
    found, before = [], time.thread_time()
    for _ in steps:
        now = time.thread_time()
        found.append((now - before) * 1000.0)
        before = now
    return found


def size_slopes() -> list[Slope]:
    """By the tenants of the document, all routes of the target in it."""
    build, one, compare, kept = [], [], [], []
    for tenants in TENANTS:
        items = document(tenants)
        tree, delta = tree_of(items), moved(items, 1)
        changed = apply(tree, delta)
        build.append(point(tenants, repeated_ms(partial(tree_of, items))))
        one.append(point(tenants, repeated_ms(partial(apply, tree, delta))))
        compare.append(point(tenants, repeated_ms(partial(difference, tree, changed))))
        kept.append(exact(tenants, held_bytes(partial(tree_of, items))))
    return [
        slope("tree_build_ms", "a tree built from its items, in one go", "tenants", "ms", build),
        slope("tree_change_ms", "a change of one tenant applied", "tenants", "ms", one),
        slope("tree_difference_ms", "two trees compared that differ in one tenant", "tenants", "ms", compare),
        slope("tree_state_bytes", "a tree beside its items", "tenants", "bytes", kept),
    ]


def change_slopes() -> list[Slope]:
    """By the tenants that one change moves in the target's whole document."""
    items = document(TENANTS[-1])
    tree = tree_of(items)
    whole, longest, sent, shared = [], [], [], []
    for tenants in CHANGED:
        delta = moved(items, tenants)
        whole.append(point(tenants, repeated_ms(partial(apply, tree, delta))))
        longest.append(_longest_step(tenants, tree, delta))
        record = Record(2, tree.digest, delta, "operator", "moved to another plan", 1_764_651_600.0)
        sent.append(exact(tenants, len(codec.encode(Changes((record,), 120.0)))))
        shared.append(exact(tenants, held_bytes(partial(apply, tree, delta))))
    axis = "tenants in the change"
    return [
        slope("tree_changes_ms", "a change applied, all its steps", axis, "ms", whole),
        slope("tree_step_ms", "the longest step of a change applied", axis, "ms", longest),
        slope("changes_bytes", "an answer with one change, as sent", axis, "bytes", sent),
        slope("tree_second_bytes", "a second revision beside the first", axis, "bytes", shared),
    ]


def _longest_step(tenants: int, tree: Tree, delta: Delta) -> Point:
    rounds = []
    with no_collection():
        for _ in range(STEP_ROUNDS):
            rounds.append(max(step_times_ms(Builder(tree).steps(delta))))
    return point(tenants, rounds)


def message_slopes() -> list[Slope]:
    """What a poll without news is, and a whole snapshot, as sent."""
    request = codec.encode(FollowRequest(FOLLOWER, 1_234, bytes(range(16)), 4_000))
    answer = codec.encode(Unchanged(1_234, 120.0))
    offers, chunks = [], []
    for tenants in TENANTS:
        tree = tree_of(document(tenants))
        offers.append(
            exact(tenants, len(codec.encode(SnapshotOffer(2, tree.digest, tree.bucket_digests, 1.0))))
        )
        chunks.append(exact(tenants, _chunks_bytes(tree)))
    return [
        slope("poll_bytes", "a poll and its answer without news, bodies", "polls", "bytes",
              [exact(1, len(request) + len(answer))]),
        slope("offer_bytes", "the offer of a snapshot, as sent", "tenants", "bytes", offers),
        slope("snapshot_bytes", "all buckets of a snapshot, as sent", "tenants", "bytes", chunks),
    ]  # fmt: skip


CHUNK_BUCKETS = 64  # as a client asks for them


def _chunks_bytes(tree: Tree) -> int:
    total = 0
    for first in range(0, TOTAL_BUCKETS, CHUNK_BUCKETS):
        places = range(first, min(first + CHUNK_BUCKETS, TOTAL_BUCKETS))
        total += len(codec.encode(Chunk(2, tuple(tree.encode_bucket(place) for place in places))))
    return total


def load_slopes() -> list[Slope]:
    """Snapshots put together bucket by bucket: the whole, and the longest step."""
    whole, longest = [], []
    for tenants in TENANTS:
        tree = tree_of(document(tenants))
        buckets = [tree.encode_bucket(place) for place in range(TOTAL_BUCKETS)]
        rounds = []
        for _ in range(STEP_ROUNDS):
            with no_collection():
                rounds.append(step_times_ms(_load(buckets, tree)))
        whole.append(point(tenants, [sum(each) for each in rounds]))
        longest.append(point(tenants, [max(each) for each in rounds]))
    return [
        slope("snapshot_load_ms", "a whole snapshot loaded, all its steps", "tenants", "ms", whole),
        slope("snapshot_step_ms", "the longest step of it", "tenants", "ms", longest),
    ]


def _load(buckets: list[bytes], tree: Tree) -> Iterator[None]:
    builder = Builder(Tree.empty())
    for place, data in enumerate(buckets):
        builder.load_bucket(place, data, tree.bucket_digests[place])
        yield
    builder.finish(tree.digest)
    yield


def lookup_slopes() -> list[Slope]:
    """A tenant found by name."""
    points = []
    for tenants in TENANTS:
        items = document(tenants)
        tree, name = tree_of(items), items.tenants[0].name
        rounds = repeated_ms(partial(_look_up, tree, name))
        points.append(point(tenants, [each * 1_000.0 / LOOKUPS for each in rounds]))
    return [slope("tree_lookup_us", "a tenant looked up in a tree", "tenants", "us", points)]


def collector_slopes() -> list[Slope]:
    """A pass of the collector over a tree and nothing else: what it holds the loop for while one is kept."""
    points = []
    for tenants in TENANTS:
        gc.collect()
        gc.freeze()  # all that is not the tree, as `serve` does at its start
        tree = tree_of(document(tenants))
        points.append(point(tenants, repeated_ms(gc.collect)))
        del tree
        gc.unfreeze()
    return [slope("collector_pass_ms", "a pass of the collector over a tree", "tenants", "ms", points)]


LOOKUPS = 1_000  # in a round


def _look_up(tree: Tree, name: str) -> None:
    for _ in range(LOOKUPS):
        tree.get(Section.TENANTS, name)


def slopes() -> list[Slope]:
    """All of them."""
    parts = (size_slopes, change_slopes, message_slopes, load_slopes, lookup_slopes, collector_slopes)
    return [found for part in parts for found in part()]
