"""Slopes, formulas and the page of capacity; hollow gateways at a small size."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from functools import wraps
from pathlib import Path
from typing import Any

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given
from hypothesis import strategies as st

from benchmarks import capacity
from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.model import Delta, Items, Section
from brackenloft.configuration.tree import bucket_index, difference
from brackenloft.lab.configuration.events import (
    Event,
    InForce,
    ProcessEnded,
    PublishAnswered,
    PublishAsked,
    RunStarted,
)
from brackenloft.lab.scale import baselines, formulas, links, page, samples, slopes, traffic, trees, verdict
from brackenloft.lab.scale.measuring import exact
from brackenloft.lab.scale.rows import Period, Periods, Role, Row, Sizes, same
from brackenloft.lab.scale.slopes import Environment, Measured, Point, Slope
from brackenloft.lab.scale.target import TARGET

LONGEST_S = 60.0  # of a test that waits for sockets: many times what it takes
ENVIRONMENT = Environment("a processor", 8, 24.0, "3.11", "0" * 7, "a command", 0.0)


def in_loop(scenario: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """A test that runs in an event loop of its own, for so long at most."""

    @wraps(scenario)
    def test() -> None:
        asyncio.run(asyncio.wait_for(scenario(), LONGEST_S))

    return test


def make_slope(name: str, *points: Point) -> Slope:
    """A slope with just its points."""
    return Slope(name, "", "size", "ms", "a command", points)


def make_sizes(*found: Slope) -> Sizes:
    """What a formula is given, with these slopes alone."""
    return Sizes(Measured(ENVIRONMENT, found))


def make_row(value: float, budget: float, mechanism: str = "a/module.py") -> Row:
    """A row of one figure."""
    return Row(
        Role.GATEWAY, "a figure", "ms", "a formula", same(lambda _: value), mechanism, (), lambda _: budget
    )


# ---- Slopes


@given(
    factor=st.floats(0.01, 1e6),
    exponent=st.floats(-2.0, 2.0),
    sizes=st.lists(st.integers(1, 10_000), min_size=2, max_size=6, unique=True),
    asked=st.floats(1.0, 1e5),
)
def test_a_power_law_is_fitted_and_read_at_any_size(
    factor: float, exponent: float, sizes: list[int], asked: float
) -> None:
    found = make_slope("power", *(exact(size, factor * size**exponent) for size in sorted(sizes)))
    assert found.exponent == pytest.approx(exponent, abs=1e-6)
    assert found.at(asked) == pytest.approx(factor * asked**exponent, rel=1e-4)


def test_a_slope_is_linear_flat_or_said_not_to_be() -> None:
    assert make_slope("linear", exact(1, 2.0), exact(10, 20.0), exact(100, 200.0)).growth == "linear"
    assert make_slope("flat", exact(1, 2.0), exact(100, 2.1)).growth == "flat"
    assert make_slope("square", exact(1, 1.0), exact(10, 100.0)).growth == "not linear"
    affine = make_slope("affine", exact(1, 1.0), exact(10, 1.1), exact(1_000, 100.0), exact(10_000, 1_000.0))
    assert affine.growth == "a fixed part, then linear"
    assert make_slope("one", exact(1, 1.0)).growth == "one size"


def test_a_slope_gives_measured_points_back_and_says_what_it_covers() -> None:
    found = make_slope("curve", Point(10, 1.0, 1.5), Point(100, 7.0, 9.0), Point(1_000, 9.0, 20.0))
    assert [found.at(point.size) for point in found.points] == [1.0, 7.0, 9.0]
    assert found.worst_at(100) == 9.0
    assert found.covers(10) and found.covers(1_000) and not found.covers(1_001)


def test_a_slope_with_a_zero_is_read_along_a_straight_line() -> None:
    assert make_slope("zero", exact(10, 0.0), exact(20, 10.0)).at(15) == 5.0


def test_a_stored_file_is_read_back_whole_and_another_one_refused(tmp_path: Path) -> None:
    measured = Measured(ENVIRONMENT, (make_slope("one", exact(1, 2.0)),))
    slopes.store(tmp_path / "slopes.json", measured)
    assert slopes.load(tmp_path / "slopes.json") == measured
    (tmp_path / "other.json").write_text('{"slopes": 3}')
    with pytest.raises(msgspec.ValidationError):
        slopes.load(tmp_path / "other.json")


# ---- Formulas


def test_rates_follow_from_the_target() -> None:
    sizes = make_sizes()
    assert TARGET.requests_per_gateway_s == pytest.approx(117.54, abs=0.01)
    assert formulas.config_changes_s(sizes) == pytest.approx(870 / 86_400)
    assert formulas.replacements_s(sizes) == pytest.approx(1_711 / 86_400)
    assert formulas.list_changes_s(sizes) == pytest.approx(1_711 / 86_400 * 6_300 / 6_870 * 3)
    assert formulas.list_changes_minute_s(sizes) == pytest.approx((45 * 3 + 40) / 60)
    assert formulas.list_changes_day_s(sizes) == pytest.approx(30.0)
    assert formulas.restarts_s(sizes) == pytest.approx(570 * 86_400 / 1_711)
    assert formulas.counter_reports_s(sizes) == 2_280.0


def test_costs_are_rates_times_slopes() -> None:
    sizes = make_sizes(
        make_slope("list_change_ms", exact(6_300, 0.5)),
        make_slope("list_change_read_ms", exact(6_300, 0.25)),
        make_slope("list_full_collected_ms", exact(6_300, 60.0)),
        make_slope("list_read_ms", exact(6_300, 40.0)),
        make_slope("document_zlib_bytes", exact(55_000, 864_000.0)),
        make_slope("counter_beats_bytes", exact(2, 100.0), exact(570, 20_000.0)),
    )
    assert formulas.list_change_cost_ms(sizes) == 0.75
    assert formulas.list_percent_day(sizes) == pytest.approx((30 * 0.75 + 100.0 / 60) / 10)
    assert formulas.whole_documents_s(sizes) == pytest.approx(8_700.0)
    assert formulas.control_bytes_now_s(sizes) == pytest.approx(95 * 864_000 / 12)
    customers = 67_000 / 570 / 4
    assert formulas.counter_bytes_s(sizes, 570) == pytest.approx(4 * (20_000 + (customers - 1) * 50))


# ---- The page


def test_the_page_is_made_of_the_stored_slopes() -> None:
    assert page.render(slopes.load(capacity.STORED)) == capacity.PAGE.read_text()


def test_the_page_differs_when_a_slope_does() -> None:
    measured = slopes.load(capacity.STORED)
    first = measured.slopes[0]
    longer = msgspec.structs.replace(first, points=(*first.points[:-1], exact(first.points[-1].size, 1e9)))
    changed = msgspec.structs.replace(measured, slopes=(longer, *measured.slopes[1:]))
    assert page.render(changed) != capacity.PAGE.read_text()


def test_each_row_names_slopes_that_its_formulas_read_and_that_were_measured() -> None:
    measured = slopes.load(capacity.STORED)
    names = {slope.name for slope in measured.slopes}
    for row in page.all_rows():
        assert set(row.slopes) <= names, row.quantity
        for name in row.slopes:
            others = tuple(slope for slope in measured.slopes if slope.name != name)
            without = Sizes(Measured(measured.environment, others))
            values = [row.value(period, without) for period in Period]
            assert None in values, f"{row.quantity} does not read {name}"


def test_each_role_has_rows_for_each_period() -> None:
    for role in Role:
        assert any(row.role is role for row in page.all_rows())


def test_a_figure_that_was_not_measured_is_none_and_said_so() -> None:
    row = Row(Role.GATEWAY, "a figure", "ms", "", Periods(steady=lambda s: s.at("nobody", 1)), "")
    assert [row.value(period, make_sizes()) for period in Period] == [None, None, None]
    assert row.miss(make_sizes()) is None
    assert page.number(None) == "not measured"


def test_the_ranking_has_what_is_missing_or_misses_the_farthest_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    near, far, well = make_row(8.0, 4.0), make_row(90.0, 1.0), make_row(1.0, 4.0)
    missing = make_row(1.0, 4.0, mechanism="")
    monkeypatch.setattr(page, "all_rows", lambda: (missing, near, well, far))
    ranked = page.ranking(make_sizes())
    assert [each.row for each in ranked] == [far, near, missing]
    assert [each.miss for each in ranked] == [90.0, 2.0, 0.25]


@pytest.mark.parametrize(
    ("value", "text"), [(0.0, "0"), (0.0123456, "0.0123"), (999.0, "999"), (1_234.0, "1.23 k"), (5e9, "5 G")]
)
def test_figures_have_three_digits(value: float, text: str) -> None:
    assert page.number(value) == text


# ---- Samples


@given(servers=st.integers(1, 300))
def test_a_sample_list_has_that_many_different_servers(servers: int) -> None:
    assert len({entry.server for entry in samples.full_list(servers).entries}) == servers
    assert len({row["instanceId"] for row in samples.list_document(servers)["instances"]}) == servers


def test_a_sample_configuration_is_the_same_for_a_seed_and_refers_to_what_is_there() -> None:
    items = samples.configuration(services=5, routes=40, tenants=60)
    assert items == samples.configuration(services=5, routes=40, tenants=60)
    services, plans = {one.name for one in items.services}, {one.name for one in items.plans}
    assert len({one.name for one in items.tenants}) == 60
    assert all(target.service in services for route in items.routes for target in route.targets)
    assert all(tenant.plan in plans for tenant in items.tenants)


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


def free_port() -> int:
    """A port that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


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
