"""One self-contained page of a sweep's results. Pictures are SVG, drawn by matplotlib, inside the page."""

from __future__ import annotations

import html
import io
from collections import defaultdict
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}td,th{padding:.2em .8em;text-align:right}"
    "th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}"
)
COLUMNS = (
    "net",
    "service",
    "worst_plan",
    "served_share",
    "refused_share",
    "failed_share",
    "refused_with_room",
    "beyond_quota",
    "median_ms",
    "p99_ms",
    "rules_broken",
)

Rows = list[dict[str, Any]]


def _groups(rows: Rows) -> dict[str, Rows]:
    """By experiment, point and policy."""
    groups: dict[str, Rows] = defaultdict(list)
    for row in rows:
        point = " ".join(f"{key}={value}" for key, value in row["point"].items())
        groups[" ".join(filter(None, (row["name"], point, row["policy"])))].append(row)
    return dict(sorted(groups.items()))


def _svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _figure(width: float = 11.0, height: float = 3.4) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(width, height), layout="constrained")
    return figure, figure.add_subplot()


def _worth(groups: dict[str, Rows]) -> str:
    """Served worth, a bar for each group with the spread over seeds."""
    figure, axes = _figure(height=1.2 + 0.35 * len(groups))
    names = list(groups)
    nets = [[row["figures"]["net"] for row in group] for group in groups.values()]
    means = [sum(values) / len(values) for values in nets]
    spread = [
        [mean - min(values) for mean, values in zip(means, nets, strict=True)],
        [max(values) - mean for mean, values in zip(means, nets, strict=True)],
    ]
    axes.barh(names, means, xerr=spread, color="#4878a8")
    axes.invert_yaxis()
    axes.set_xlabel("served worth less what overuse cost, share of what was asked inside quotas")
    return _svg(figure)


def _refusals(groups: dict[str, Rows]) -> str:
    figure, axes = _figure(height=1.2 + 0.35 * len(groups))
    names, left = list(groups), [0.0] * len(groups)
    for cause, colour in (("over quota", "#c8a040"), ("no room", "#b05050")):
        shares = [
            sum(row["refusals"].get(cause, 0) for row in group)
            / max(1.0, sum(row["figures"]["tries"] for row in group))
            for group in groups.values()
        ]
        axes.barh(names, shares, left=left, color=colour, label=cause)
        left = [a + b for a, b in zip(left, shares, strict=True)]
    axes.invert_yaxis()
    axes.set_xlabel("refusals, share of all tries")
    axes.legend()
    return _svg(figure)


def _over_time(name: str, group: Rows) -> str:
    """Of the first seed: what was asked inside the quotas and served of it, each second, and the faults."""
    row = group[0]
    figure, axes = _figure()
    seconds = sorted(int(second) for second in row["seconds"])
    for key, colour in (
        ("inside", "#999999"),
        ("served inside", "#4878a8"),
        ("refused", "#c8a040"),
        ("failed", "#b05050"),
    ):
        counts = [row["seconds"][str(second)].get(key, 0) for second in seconds]
        axes.plot(seconds, counts, label=key, color=colour)
    for at, kind in row["faults"]:
        axes.axvline(at / 1000.0, color="#000000", linestyle=":", linewidth=0.8)
        axes.annotate(kind, (at / 1000.0, axes.get_ylim()[1]), rotation=90, va="top", fontsize=7)
    axes.set_xlabel(f"{name}, seed {row['seed']}: seconds")
    axes.set_ylabel("a second")
    axes.legend(loc="upper left", fontsize=7)
    return _svg(figure)


def page(rows: Rows) -> str:
    """The page."""
    groups = _groups(rows)
    lines = []
    for name, group in groups.items():
        means = [sum(row["figures"][column] for row in group) / len(group) for column in COLUMNS]
        cells = "".join(f"<td>{value:.3f}</td>" for value in means)
        lines.append(f"<tr><td>{html.escape(name)}</td><td>{len(group)}</td>{cells}</tr>")
    broken = [
        f"<li>{html.escape(row['name'])} {html.escape(row['policy'])} seed {row['seed']}: "
        f"{html.escape(line)}</li>"
        for row in rows
        for line in row["broken"]
    ]
    head = "".join(f"<th>{column.replace('_', ' ')}</th>" for column in ("run", "seeds", *COLUMNS))
    over_time = "".join(_over_time(name, group) for name, group in groups.items())
    return (
        f"<!doctype html><meta charset=utf-8><title>lab</title><style>{STYLE}</style><h1>Lab</h1>"
        f"<table><tr>{head}</tr>{''.join(lines)}</table><h2>Served worth</h2>{_worth(groups)}"
        f"<h2>Refusals by cause</h2>{_refusals(groups)}<h2>Over time</h2>{over_time}"
        f"<h2>Rules</h2><ul>{''.join(broken) or '<li>none broken</li>'}</ul>"
    )
