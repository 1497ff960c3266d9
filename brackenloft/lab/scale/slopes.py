"""Measured slopes: a figure at several sizes, how it grows, and its value at another size.

A slope never guesses beyond its kind of growth: between two measured sizes it is interpolated on logarithmic
axes; outside of them it is extrapolated by the nearest segment and says so.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import pairwise
from math import exp, log
from pathlib import Path

import msgspec

LINEAR = (0.9, 1.1)  # exponents that count as linear
FLAT = (-0.1, 0.1)  # and as not growing at all


class Point(msgspec.Struct, frozen=True):
    """The median of some rounds at one size, and the worst of them."""

    size: float
    value: float
    worst: float


class Slope(msgspec.Struct, frozen=True):
    """What was measured along one axis while every other size stood still."""

    name: str
    measures: str
    axis: str
    unit: str
    command: str
    points: tuple[Point, ...]

    @property
    def exponent(self) -> float | None:
        """``b`` of the least-squares fit ``value = a * size ** b``; nothing with fewer than two sizes."""
        return fitted_exponent(self.points)

    @property
    def growth(self) -> str:
        """Whether it is linear, as a phrase."""
        exponent = self.exponent
        if exponent is None:
            return "one size"
        if FLAT[0] <= exponent <= FLAT[1]:
            return "flat"
        if LINEAR[0] <= exponent <= LINEAR[1]:
            return "linear"
        last = segment_exponents(self.points)[-1]
        return "a fixed part, then linear" if LINEAR[0] <= last <= LINEAR[1] else "not linear"

    def covers(self, size: float) -> bool:
        """Whether a size lies within what was measured."""
        return self.points[0].size <= size <= self.points[-1].size

    def at(self, size: float) -> float:
        """The median at a size."""
        return _interpolated([(point.size, point.value) for point in self.points], size)

    def worst_at(self, size: float) -> float:
        """The worst round at a size."""
        return _interpolated([(point.size, point.worst) for point in self.points], size)


class Environment(msgspec.Struct, frozen=True):
    """Where and on what the slopes were measured."""

    processor: str
    cores: int
    memory_gb: float
    python: str
    commit: str
    command: str
    load_average: float  # of the last minute, as the run began: other work on the same cores


class Measured(msgspec.Struct, frozen=True):
    """The stored file."""

    environment: Environment
    slopes: tuple[Slope, ...]

    def get(self, name: str) -> Slope | None:
        """The slope of that name, if it was measured."""
        return next((slope for slope in self.slopes if slope.name == name), None)


def fitted_exponent(points: tuple[Point, ...]) -> float | None:
    """The least-squares slope of log(value) over log(size); None without two sizes of positive values."""
    rows = [(log(point.size), log(point.value)) for point in points if point.size > 0 and point.value > 0]
    if len({x for x, _ in rows}) < 2:
        return None
    mean_x, mean_y = (sum(column) / len(rows) for column in zip(*rows, strict=True))
    spread = sum((x - mean_x) ** 2 for x, _ in rows)
    product = sum((x - mean_x) * (y - mean_y) for x, y in rows)
    return float(product / spread)


def segment_exponents(points: tuple[Point, ...]) -> list[float]:
    """The growth between neighbours: the curve, where one exponent does not tell it."""
    return [
        (log(b.value) - log(a.value)) / (log(b.size) - log(a.size))
        for a, b in pairwise(points)
        if a.value > 0 and b.value > 0
    ]


def _interpolated(rows: list[tuple[float, float]], size: float) -> float:
    if not rows:
        raise ValueError("a slope without points")
    if len(rows) == 1 or size <= 0:
        return rows[0][1]
    place = min(max(bisect_left([x for x, _ in rows], size), 1), len(rows) - 1)
    (x0, y0), (x1, y1) = rows[place - 1], rows[place]
    if size in (x0, x1):
        return y0 if size == x0 else y1
    if min(y0, y1) <= 0:  # no logarithm: along a straight line
        return y0 + (y1 - y0) * (size - x0) / (x1 - x0)
    share = (log(size) - log(x0)) / (log(x1) - log(x0))
    return exp(log(y0) + share * (log(y1) - log(y0)))


def load(path: Path) -> Measured:
    """The stored file; msgspec.ValidationError if it is another thing."""
    return msgspec.json.decode(path.read_bytes(), type=Measured)


def store(path: Path, measured: Measured) -> None:
    """Write it, in a form that a diff can show."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(measured), indent=1) + b"\n")
