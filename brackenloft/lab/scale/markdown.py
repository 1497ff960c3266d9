"""Figures and tables as the page writes them. Pure."""

from __future__ import annotations

from collections.abc import Iterable

NOT_MEASURED = "not measured"
UNITS = ((1e9, "G"), (1e6, "M"), (1e3, "k"))


def number(value: float | None) -> str:
    """A figure with three digits that count."""
    if value is None:
        return NOT_MEASURED
    for scale, letter in UNITS:
        if abs(value) >= scale:
            return f"{value / scale:.3g} {letter}"
    return f"{value:.3g}"


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """A table with a line for each row."""
    titles = list(head)
    lines = ["| " + " | ".join(titles) + " |", "|" + " --- |" * len(titles)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"
