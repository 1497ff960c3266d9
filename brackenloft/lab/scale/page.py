"""docs/CAPACITY.md, made of the stored slopes and the formulas. Pure: a text from data."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass

from brackenloft.lab.scale import configuration_rows, gateway_rows, run_page, shared_rows
from brackenloft.lab.scale import formulas as f
from brackenloft.lab.scale.markdown import NOT_MEASURED, number, table
from brackenloft.lab.scale.results import ScaleResult
from brackenloft.lab.scale.rows import Period, Role, Row, Sizes
from brackenloft.lab.scale.slopes import Measured, Slope, segment_exponents

MISSING = "missing"
INTRODUCTION = """# Capacity at the target size

Made by `python -m benchmarks.capacity --page` from `benchmarks/capacity/slopes.json`; do not edit it: a test
compares. A figure is a formula (`brackenloft/lab/scale/formulas.py`) over slopes that were measured by the
named run. A row whose mechanism is **missing** has no module that does the work; its figure, where there is
one, is that of the only ways that exist or suggest themselves. *Not measured*: no run has shown it. Margin:
the budget over the worst of the three periods; below 1 it misses.
"""


@dataclass(frozen=True, slots=True)
class Shortfall:
    """A row that misses its budget, or has no mechanism."""

    row: Row
    miss: float | None


def all_rows() -> tuple[Row, ...]:
    """Of all roles, in the order of the page."""
    return (*gateway_rows.rows(), *shared_rows.rows())


def ranking(sizes: Sizes) -> list[Shortfall]:
    """What is missing or misses, the farthest first; what has no figure comes last."""
    found = [Shortfall(row, row.miss(sizes)) for row in all_rows()]
    short = [each for each in found if not each.row.mechanism or (each.miss or 0.0) > 1.0]
    return sorted(short, key=lambda each: -(each.miss or 0.0))


def render(measured: Measured, run: ScaleResult | None = None) -> str:
    """The page; ``run``: the stored scale run, if there is one."""
    sizes = Sizes(measured, run)
    parts = [INTRODUCTION, _target(sizes), _ranking(sizes)]
    parts += [run_page.section(run)] if run else []
    parts += [_role(role, sizes) for role in Role]
    parts += [_other_ways(sizes)]
    parts += [_slopes(measured.slopes), _environment(measured)]
    return "\n".join(parts)


def _target(sizes: Sizes) -> str:
    given = ", ".join(f"{name} {value:,}" for name, value in asdict(sizes.target).items())
    budgets = ", ".join(f"{name} {value:,}" for name, value in asdict(sizes.budget).items())
    assumed = ", ".join(f"{name} {value:,}" for name, value in asdict(sizes.assumed).items())
    return f"""## What is asked

Target: {given}.

Budgets: {budgets}.

Assumed, as nobody gave them: {assumed}.
"""


def _ranking(sizes: Sizes) -> str:
    rows = []
    for place, each in enumerate(ranking(sizes), 1):
        row, budget = each.row, each.row.budget
        asked = NOT_STATED if budget is None else number(budget(sizes.budget))
        worst = row.worst(sizes)
        missed = f"{each.miss:,.1f} times" if each.miss is not None else "no figure"
        state = "falls short" if row.mechanism else f"**{MISSING}**"
        rows.append(
            (
                str(place),
                row.role,
                row.quantity,
                state,
                row.mechanism or "none",
                NOT_MEASURED if worst is None else f"{number(worst)} {row.unit}".strip(),
                asked,
                missed,
            )
        )
    ranked = table(("", "role", "what", "state", "module", "worst figure", "budget", "over it by"), rows)
    restarts_s = f.restarts_s(sizes)
    return f"""## What is missing, by how far it misses

Before configuration was distributed, that was first: a restart of each gateway for each change takes
{number(restarts_s)} s at today's pace, {restarts_s / sizes.budget.in_force_s:,.0f} times the
{sizes.budget.in_force_s:g} s ("Other ways of configuration"; that ranking is in this page's history).
What is left, the farthest first. *Missing*: no mechanism at all. *Falls short*: it works at a smaller size.

{ranked}"""


NOT_STATED = "none stated"


def _role(role: Role, sizes: Sizes) -> str:
    return f"## {role.capitalize()}\n\n{_rows([row for row in all_rows() if row.role is role], sizes)}"


def _other_ways(sizes: Sizes) -> str:
    return f"""## Other ways of configuration

What there was before, and what was weighed and left; margins as above.

{_rows(configuration_rows.other_ways(), sizes)}"""


def _rows(listed: Iterable[Row], sizes: Sizes) -> str:
    rows = []
    for row in listed:
        miss, budget = row.miss(sizes), row.budget
        read = [f"`{name}`" for name in (*row.slopes, *row.ran)]
        rows.append((
            row.quantity, row.unit, *(number(row.value(period, sizes)) for period in Period), row.formula,
            ", ".join(read) or "none needed", row.mechanism or f"**{MISSING}**",
            NOT_STATED if budget is None else number(budget(sizes.budget)),
            "" if miss is None else f"{1.0 / miss:.2g}" if miss else "", row.breaks_first))  # fmt: skip
    head = (
        "figure",
        "unit",
        *Period,
        "formula",
        "read from",
        "mechanism",
        "budget",
        "margin",
        "breaks first",
    )
    return table(head, rows)


def _slopes(slopes: tuple[Slope, ...]) -> str:
    rows = []
    for slope in slopes:
        exponent = slope.exponent
        growth = slope.growth
        if growth in ("not linear", "a fixed part, then linear"):
            curve = ", ".join(f"{each:.2f}" for each in segment_exponents(slope.points))
            growth = f"**{growth}**: between neighbours {curve}"
        points = "; ".join(
            f"{point.size:g}: {number(point.value)}"
            + (f" (worst {number(point.worst)})" if point.worst != point.value else "")
            for point in slope.points
        )
        rows.append(
            (
                f"`{slope.name}`",
                slope.measures,
                slope.axis,
                slope.unit,
                points,
                "" if exponent is None else f"{exponent:.2f}",
                growth,
                f"`{slope.command}`",
            )
        )
    head = ("slope", "measures", "axis", "unit", "size: median", "exponent", "growth", "run")
    return f"""## Slopes

An exponent of 1 is linear, 0 flat; it is fitted by least squares on logarithmic axes. Times are of the
processor, medians of some rounds: on an idle machine a call holds the loop for as long.

{table(head, rows)}"""


def _environment(measured: Measured) -> str:
    where = measured.environment
    return f"""## The run

`{where.command}` on {where.cores} cores ({where.processor}), {where.memory_gb:g} GB, Python
{where.python}, on top of commit {where.commit}; load average {where.load_average:g} as it began, by other
work on the same cores.
"""
