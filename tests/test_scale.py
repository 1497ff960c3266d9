"""Slopes, formulas and the page of capacity."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks import capacity
from brackenloft.lab.scale import (
    formulas,
    markdown,
    page,
    results,
    samples,
    slopes,
)
from brackenloft.lab.scale.measuring import exact
from brackenloft.lab.scale.rows import Period, Periods, Role, Row, Sizes, same
from brackenloft.lab.scale.slopes import Environment, Measured, Point, Slope
from brackenloft.lab.scale.target import TARGET

ENVIRONMENT = Environment("a processor", 8, 24.0, "3.11", "0" * 7, "a command", 0.0)


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
    assert capacity.page_text() == capacity.PAGE.read_text()


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
    assert markdown.number(None) == "not measured"


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
    assert markdown.number(value) == text


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


# ---- The command


def test_a_cause_is_written_beside_a_figure_of_the_stored_run(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(capacity, "FULL", tmp_path / "full.json")
    with pytest.raises(SystemExit):
        capacity.add_cause("in_force_s_worst=nothing is stored yet")
    figures = results.ScaleFigures(570, 6, in_force_s_worst=13.0)
    results.store(capacity.FULL, results.ScaleResult(ENVIRONMENT, figures, {}, {}))
    for wrong in ("nobody=a text", "in_force_s_worst=", "in_force_s_worst"):
        with pytest.raises(SystemExit):
            capacity.add_cause(wrong)
    capacity.add_cause("in_force_s_worst=the cores = too few")
    found = results.load(capacity.FULL)
    assert found is not None and found.causes == {"in_force_s_worst": "the cores = too few"}
    assert "**missed** | the cores = too few" in page.render(slopes.load(capacity.STORED), found)


def test_the_stored_run_names_the_cause_of_each_figure_that_misses() -> None:
    found = results.load(capacity.FULL)
    if found is not None:
        assert results.unexplained(found) == []
