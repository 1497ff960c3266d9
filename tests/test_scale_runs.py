"""Scale runs: histories, links, traffic, the plain ways, trees, hollow gateways at a small size."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from functools import wraps
from pathlib import Path
from typing import Any

import msgspec
from aiohttp.test_utils import make_mocked_request
from control import ControlFake
from hypothesis import given
from hypothesis import strategies as st

from brackenloft.configuration import validation
from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.model import Delta, Items, Section, Tenant
from brackenloft.configuration.model import Plan as ModelPlan
from brackenloft.configuration.tree import bucket_index, difference
from brackenloft.lab.configuration import checkers
from brackenloft.lab.configuration.events import (
    Event,
    EventWriter,
    InForce,
    ProcessEnded,
    PublishAnswered,
    PublishAsked,
    RunStarted,
    Served,
    now_ms,
    read_events,
)
from brackenloft.lab.scale import baselines, changes, hollow, links, results, summary, traffic, trees, verdict
from brackenloft.lab.scale.fleet import FleetPlan, shares
from brackenloft.lab.scale.scenario import Observed, Usage
from brackenloft.lab.scale.slopes import Environment
from brackenloft.standins.ports import free_port

LONGEST_S = 60.0  # of a test that waits for sockets: many times what it takes
ENVIRONMENT = Environment("a processor", 8, 24.0, "3.11", "0" * 7, "a command", 0.0)


def in_loop(scenario: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """A test that runs in an event loop of its own, for so long at most."""

    @wraps(scenario)
    def test(**fixtures: Any) -> None:
        asyncio.run(asyncio.wait_for(scenario(**fixtures), LONGEST_S))

    return test


# ---- What a history shows


def history(*events: Event) -> list[Event]:
    """Events in the order of time."""
    return sorted(events, key=lambda event: event.at_ms)


def started(run: str, at_ms: float = 0.0, gateway: str = "") -> RunStarted:
    """A run's begin; its process has the run's name."""
    return RunStarted(at_ms, run, gateway or f"g-{run}", "r1", run)


def published(revision: int, asked_ms: float) -> tuple[PublishAsked, PublishAnswered]:
    """A change that was asked for then and answered 10 ms later."""
    marker = f"m{revision}"
    return (
        PublishAsked(asked_ms, marker, Delta(revision - 1)),
        PublishAnswered(asked_ms + 10.0, marker, "Published", revision, b""),
    )


def in_force(run: str, at_ms: float, revision: int) -> InForce:
    """A swap."""
    return InForce(at_ms, run, revision, b"")


def test_time_to_be_in_force_counts_from_the_publishers_request_to_the_swap() -> None:
    events = history(
        started("a"), started("b"), *published(1, 100.0), in_force("a", 350.0, 1), in_force("b", 1_100.0, 2)
    )  # fmt: skip
    assert verdict.in_force_times(events) == verdict.InForceTimes((0.25, 1.0), 0)
    assert verdict.in_force_times(events, without=[1]) == verdict.InForceTimes((), 0)


def test_a_gateway_that_is_cut_off_has_its_time_from_the_end_of_the_cut() -> None:
    events = history(started("a"), *published(1, 100.0), in_force("a", 5_200.0, 1))
    cut = verdict.Cut(frozenset({"g-a"}), 50.0, 5_000.0)
    assert verdict.in_force_times(events, [cut]).times_s == (0.2,)
    other = verdict.Cut(frozenset({"g-b"}), 50.0, 5_000.0)
    assert verdict.in_force_times(events, [other]).times_s == (5.1,)


def test_who_never_has_it_is_missed_and_who_ended_or_began_later_is_not_counted() -> None:
    runs = started("stays"), started("ends"), started("later", 300.0)
    events = history(*runs, ProcessEnded(200.0, "ends"), *published(1, 100.0))
    assert verdict.in_force_times(events) == verdict.InForceTimes((), 1)


def test_all_are_in_force_when_the_last_gateways_new_run_is() -> None:
    events = history(
        started("old", gateway="a"), in_force("old", 10.0, 7),
        started("new-a", 1_000.0, "a"), started("new-b", 1_000.0, "b"),
        in_force("new-a", 1_500.0, 7), in_force("new-b", 4_000.0, 8),
    )  # fmt: skip
    assert verdict.all_in_force_s(events, 900.0, 7, gateways=2) == 3.1
    assert verdict.all_in_force_s(events, 900.0, 8, gateways=2) is None


@given(values=st.lists(st.floats(-1e6, 1e6), min_size=1), share=st.floats(0.01, 1.0))
def test_a_percentile_is_a_value_with_that_share_at_or_below_it(values: list[float], share: float) -> None:
    found = verdict.percentile(values, share)
    assert found in values
    assert sum(value <= found for value in values) >= share * len(values) - 1e-9
    assert verdict.percentile([], share) is None


# ---- Links and traffic


@in_loop
async def test_a_link_counts_both_ways_and_keeps_what_is_cut() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data + data)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = links.CountingLink(server.sockets[0].getsockname()[1])
    front = await asyncio.start_server(link.serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", front.sockets[0].getsockname()[1])
    writer.write(b"abc")
    assert await reader.readexactly(6) == b"abcabc"
    found = links.carry_out({"one": link}, {"do": "count"})
    assert found == {"one": {"connections": 1, "there": 3, "back": 6}}
    links.carry_out({"one": link}, {"do": "cut", "on": ["one"]})
    writer.write(b"x")
    answer = asyncio.ensure_future(reader.readexactly(2))
    past, past_writer = await asyncio.open_connection("127.0.0.1", link.target)
    past_writer.write(b"y")
    assert await past.readexactly(2) == b"yy"  # who goes round the link is answered meanwhile
    assert not answer.done()
    links.carry_out({"one": link}, {"do": "heal"})
    assert await answer == b"xx"
    writer.close()
    past_writer.close()
    server.close()
    front.close()


@in_loop
async def test_load_counts_answers_and_failures_from_the_time_that_was_drawn() -> None:
    loop = asyncio.get_running_loop()
    node = await loop.create_server(traffic.Echo, "127.0.0.1", 0)
    node_port = node.sockets[0].getsockname()[1]
    relay = await loop.create_server(lambda: traffic.RelaySide(node_port), "127.0.0.1", 0)
    load = traffic.Load(relay.sockets[0].getsockname()[1], seed=1)
    await load._request(time.perf_counter() - 0.5)
    await load._request(time.perf_counter())
    window = load.window()
    assert (window["count"], window["failed"], load.open) == (2, 0, 1)
    assert window["max"] is not None and window["max"] >= 500.0
    relay.close()
    gone = traffic.Load(free_port(), seed=1)
    await gone._request(time.perf_counter())
    assert (gone.window()["failed"], gone.open) == (1, 0)
    node.close()


# ---- The plain ways to compare with


@in_loop
async def test_a_whole_server_answers_a_poll_when_there_is_another_document() -> None:
    whole = baselines.WholeServer()
    request = make_mocked_request("GET", "/document?after=0")
    answer = asyncio.ensure_future(whole.get(request))
    data = baselines.document(services=3, routes=5, tenants=7)
    await whole.put(data)
    response = await answer
    assert (response.status, response.body, response.headers["X-Revision"]) == (200, data, "1")
    puller = baselines.Puller()
    puller.take(1, data)
    assert (puller.revision, puller.received, list(puller.in_force_ms)) == (1, len(data), [1])


# ---- Trees


def test_a_moved_sample_differs_in_so_many_tenants_and_its_steps_make_the_same_tree() -> None:
    items = trees.document(tenants=50, routes=20)
    tree = trees.tree_of(items)
    delta = trees.moved(items, 10)
    changed = apply(tree, delta)
    assert difference(tree, changed, base=1) == msgspec.structs.replace(
        delta, put=Items(tenants=tuple(sorted(delta.put.tenants, key=lambda each: each_bucket(each.name))))
    )
    assert len(trees.step_times_ms(Builder(tree).steps(delta))) >= 10


def each_bucket(name: str) -> tuple[int, str]:
    """The order of a difference."""
    return bucket_index(Section.TENANTS, name), name


# ---- Hollow gateways


class HollowTrial:
    """A few hollow gateways before one control server, and the history that they write."""

    def __init__(self, server: ControlFake, folder: Path, gateways: int) -> None:
        self.server, self.history = server, folder / "hollow.jsonl"
        place = hollow.ServerPlace("c0", f"http://127.0.0.1:{server.port}", "east")
        names = tuple(f"g{number}" for number in range(gateways))
        order = hollow.HollowOrder("p0", names, "east", "a", (place,), str(self.history), lookups_s=0.0)
        self.fleet = hollow.HollowFleet(order)

    async def publish(self, change: Delta, writer: EventWriter) -> None:
        """A change; what was asked and answered is written to the history too."""
        marker = f"m{change.base}"
        writer.write(PublishAsked(now_ms(), marker, change))
        revision = await self.server.publish(change)
        writer.write(PublishAnswered(now_ms(), marker, "Published", revision, self.server.trees[-1].digest))

    async def all_at(self, revision: int) -> None:
        """Until each gateway has it in force."""
        await self.server.until(
            lambda: {client.told for client in self.fleet.clients} == {revision}, LONGEST_S
        )

    def events(self) -> list[Event]:
        """The history so far."""
        return read_events([self.history])


def moves(base: int) -> Delta:
    """A change: a plan of its own rate, and a tenant that has it."""
    return Delta(
        base, Items(plans=(ModelPlan(f"p{base}", rate=1.0 + base),), tenants=(Tenant("t", f"p{base}"),))
    )


@in_loop
async def test_hollow_gateways_put_each_revision_in_force_and_write_it_down(tmp_path: Path) -> None:
    async with ControlFake() as server:
        trial = HollowTrial(server, tmp_path, gateways=12)
        trial.fleet.start()
        for base in range(3):
            await trial.publish(moves(base), trial.fleet.writer)
        await trial.all_at(3)
        for client in trial.fleet.clients:
            client.look_up("t")
        await trial.fleet.close(leave=True)
        events = trial.events()
    served = [event for event in events if isinstance(event, Served)]
    assert [(event.revision, event.plan, event.rate) for event in served] == [(3, "p2", 3.0)] * 12
    assert len(server.left) == 12
    assert checkers.went_back(events) == []
    digests = {event.digest for event in events if isinstance(event, InForce) and event.revision == 3}
    assert digests == {server.trees[-1].digest}
    assert sum(isinstance(event, RunStarted) for event in events) == 12


@in_loop
async def test_hollow_gateways_that_all_begin_anew_are_new_runs_and_come_back(tmp_path: Path) -> None:
    async with ControlFake() as server:
        trial = HollowTrial(server, tmp_path, gateways=12)
        await trial.publish(moves(0), trial.fleet.writer)
        trial.fleet.start()
        await trial.all_at(1)
        before_ms = now_ms()
        await trial.fleet.close(leave=False)
        trial.fleet.start()
        await trial.all_at(1)
        figures = trial.fleet.figures()
        await trial.fleet.close(leave=False)
        events = trial.events()
    assert figures["revisions"] == [1] * 12 and figures["body_bytes"] > 0
    assert server.left == []
    assert verdict.all_in_force_s(events, before_ms, 1, 12) is not None
    runs = verdict.run_histories(events)
    assert len(runs) == 24 and all(run.ended_ms < now_ms() for run in runs.values())


def test_documents_of_a_process_share_buckets_and_stay_what_they_are() -> None:
    pool, items = hollow.BucketPool(), trees.document(tenants=50, routes=20)
    first, second = trees.tree_of(items), trees.tree_of(items)
    shared, again = pool.share(first), pool.share(second)
    assert shared.digest == again.digest == first.digest
    assert all(one is other for one, other in zip(shared.buckets, again.buckets, strict=True))


# ---- Results


def test_a_figure_that_misses_or_was_not_measured_needs_a_cause() -> None:
    figures = results.ScaleFigures(570, 6, in_force_s_p99=1.0, in_force_s_worst=13.0, went_back=0)
    found = results.ScaleResult(ENVIRONMENT, figures, {}, {"in_force_s_worst": "the zone was cut off"})
    wanting = results.unexplained(found)
    assert "in_force_s_p99" not in wanting and "in_force_s_worst" not in wanting
    assert "told_early" in wanting
    assert results.judge("in_force_s_worst", 13.0) is results.Judgement.MISSED
    assert results.judge("went_back", 0) is results.Judgement.MET
    assert results.judge("went_back", 1) is results.Judgement.MISSED
    assert results.judge("control_server_cpu_percent", 50.0) is results.Judgement.NO_AIM


def test_a_stored_run_is_read_back_whole(tmp_path: Path) -> None:
    figures = results.ScaleFigures(570, 6, in_force_s_p99=1.0)
    found = results.ScaleResult(ENVIRONMENT, figures, {"in_force_s_p50": 0.2}, {})
    results.store(tmp_path / "full.json", found)
    assert results.load(tmp_path / "full.json") == found
    assert results.load(tmp_path / "none.json") is None


# ---- What a run sums up to


def usage(at_ms: float, link_bytes: int, cpu_s: float, servers: dict[str, float]) -> Usage:
    """What was spent until then."""
    return Usage(at_ms, link_bytes, cpu_s, servers)


def test_rates_of_a_window_are_for_one_gateway_and_the_busiest_server() -> None:
    before = usage(0.0, 1_000, 1.0, {"a": 1.0, "b": 2.0})
    after = usage(10_000.0, 21_000, 3.0, {"a": 1.5, "c": 9.0})
    assert summary.bytes_s(before, after, gateways=4) == 500.0
    assert summary.spent_percent(before, after, gateways=4) == 5.0
    assert summary.server_percent(before, after) == 5.0
    assert summary.server_percent(before, usage(1.0, 0, 0.0, {})) is None


def test_what_a_gateway_adds_is_over_the_relay_of_the_same_window() -> None:
    window = {"gateway": {"p99": 5.0}, "relay": {"p99": 2.0}, "plain": {"p99": None}}
    assert summary.added_ms(window) == 3.0
    assert summary.added_ms(window, "plain") is None


def test_a_run_without_real_gateway_leaves_its_figures_unmeasured() -> None:
    observed = Observed(storm_from_ms=0.0, storm_revision=1)
    events = history(started("a", 1.0), *published(1, 100.0), in_force("a", 350.0, 1))
    found = summary.figures(FleetPlan(gateways=1), observed, events, machine_mb=1_000.0)
    assert (found.in_force_s_worst, found.restart_storm_s, found.went_back) == (0.25, 0.35, 0)
    assert found.control_memory_mb is None and found.added_ms_p99 is None and found.control_bytes_s is None


def test_a_run_in_which_somebody_never_had_a_revision_tells_no_time() -> None:
    events = history(started("a"), started("b"), *published(1, 100.0), in_force("a", 350.0, 1))
    found = summary.figures(FleetPlan(gateways=2), Observed(storm_revision=1), events, 1_000.0)
    assert (found.in_force_s_p99, found.in_force_s_worst, found.restart_storm_s) == (None, None, None)
    assert summary.beside(FleetPlan(gateways=2), Observed(), events)["in_force_missed"] == 1


def test_changes_of_a_run_are_valid_and_differ_from_each_other() -> None:
    document = changes.Document(services=4, routes=10, tenants=40, seed=1)
    kinds = document.whole, document.small, document.large, document.small
    trees_seen, before = [], document.tree
    for base, kind in enumerate(kinds):
        delta = kind(base, f"m{base + 1}")
        assert validation.faults(before, delta) == ()
        before = document.take(delta)
        trees_seen.append(before.digest)
    assert len(set(trees_seen)) == len(kinds)
    assert before.count(Section.TENANTS) == 40 and before.count(Section.ROUTES) == 10


@given(total=st.integers(0, 2_000), parts=st.integers(1, 20))
def test_shares_are_even_and_whole(total: int, parts: int) -> None:
    found = shares(total, parts)
    assert sum(found) == total and len(found) == parts and max(found) - min(found) <= 1
