"""The scale run on the page: its figures beside their aims, what was seen beside, the plain ways. Pure."""

from __future__ import annotations

import msgspec

from brackenloft.lab.scale.markdown import NOT_MEASURED, number, table
from brackenloft.lab.scale.results import AIMS, ScaleResult, judge


def section(run: ScaleResult) -> str:
    """Of the stored run."""
    where = run.environment
    return f"""## The scale run

`{where.command}`: real control servers, register stores and control clients, and one real gateway with
traffic, on {where.cores} cores ({where.processor}), {where.memory_gb:g} GB, on top of commit {where.commit}.
Load average {where.load_average:g} as it began. A figure that misses, or was not measured, has its cause.

{_figures(run)}
Seen beside:

{_beside(run)}
The plain ways, with the same number of gateways and the target's document:

{_baselines(run)}"""


def _figures(run: ScaleResult) -> str:
    rows = []
    for name, value in msgspec.structs.asdict(run.figures).items():
        aim = AIMS.get(name)
        limit = "" if aim is None else f"{number(aim)} at most"
        rows.append((f"`{name}`", number(value), limit, judge(name, value), run.causes.get(name, "")))
    return table(("figure", "measured", "aim", "", "cause"), rows)


def _beside(run: ScaleResult) -> str:
    return table(("figure", "measured"), ((f"`{name}`", number(value)) for name, value in run.beside.items()))


def _baselines(run: ScaleResult) -> str:
    if not run.baselines:
        return NOT_MEASURED + "\n"
    rows = [tuple(_cell(value) for value in msgspec.structs.astuple(one)) for one in run.baselines]
    return table((f"`{name}`" for name in run.baselines[0].__struct_fields__), rows)


def _cell(value: str | float | None) -> str:
    return value if isinstance(value, str) else number(value)
