"""The types of the page's table: a role's figure in three periods, with its formula, mechanism and budget."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from brackenloft.lab.scale.results import ScaleResult
from brackenloft.lab.scale.slopes import Measured
from brackenloft.lab.scale.target import ASSUMPTIONS, BUDGET, TARGET, Assumptions, Budget, Target


class Role(StrEnum):
    """Who spends it."""

    GATEWAY = "gateway"
    CONTROL_SERVER = "control server"
    STORE = "register store"
    AGENT = "discovery agent"
    REGISTRY = "registry"
    COUNTER = "shared counter"
    OPERATOR = "operator's command"


class Period(StrEnum):
    """When."""

    STEADY = "steady"
    MINUTE = "worst ordinary minute"
    DAY = "worst day"


class NotMeasuredError(LookupError):
    """A formula needs a slope that is not in the stored file."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """What a formula is given: the target, what is assumed, the budgets and the measured slopes."""

    measured: Measured
    run: ScaleResult | None = None
    target: Target = TARGET
    assumed: Assumptions = ASSUMPTIONS
    budget: Budget = BUDGET

    def at(self, name: str, size: float) -> float:
        """A slope's median at a size; NotMeasuredError if there is no such slope."""
        slope = self.measured.get(name)
        if slope is None:
            raise NotMeasuredError(name)
        return slope.at(size)

    def ran(self, name: str) -> float:
        """A figure of the stored scale run; NotMeasuredError if it has none."""
        found = None
        if self.run is not None:
            found = (msgspec.structs.asdict(self.run.figures) | self.run.beside).get(name)
        if found is None:
            raise NotMeasuredError(name)
        return float(found)

    def worst(self, name: str, size: float) -> float:
        """The worst round of a slope at a size; NotMeasuredError if there is no such slope."""
        slope = self.measured.get(name)
        if slope is None:
            raise NotMeasuredError(name)
        return slope.worst_at(size)


Formula = Callable[[Sizes], float]


@dataclass(frozen=True, slots=True)
class Periods:
    """A formula for each period; None where the figure was not measured."""

    steady: Formula | None = None
    minute: Formula | None = None
    day: Formula | None = None

    def formula(self, period: Period) -> Formula | None:
        """The one of a period."""
        return {Period.STEADY: self.steady, Period.MINUTE: self.minute, Period.DAY: self.day}[period]


def same(formula: Formula) -> Periods:
    """The same in each period."""
    return Periods(formula, formula, formula)


def usual(formula: Formula, day: Formula) -> Periods:
    """The same on ordinary days, another one on the worst."""
    return Periods(formula, formula, day)


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of a role.

    ``slopes`` names what the formulas read; ``mechanism`` is the module that carries it, empty where there
    is none. ``ran`` names figures of the scale run that they read. A row that is not ``taken``
    tells of another way, for comparison.
    """

    role: Role
    quantity: str
    unit: str
    formula: str
    periods: Periods
    mechanism: str
    slopes: tuple[str, ...] = ()
    budget: Callable[[Budget], float] | None = None
    breaks_first: str = ""
    ran: tuple[str, ...] = ()
    taken: bool = True

    def value(self, period: Period, sizes: Sizes) -> float | None:
        """The figure in a period; None where it was not measured."""
        formula = self.periods.formula(period)
        if formula is None:
            return None
        try:
            return formula(sizes)
        except NotMeasuredError:
            return None

    def worst(self, sizes: Sizes) -> float | None:
        """The largest of the three periods."""
        values = [value for period in Period if (value := self.value(period, sizes)) is not None]
        return max(values, default=None)

    def miss(self, sizes: Sizes) -> float | None:
        """The worst figure over its budget: above 1 it misses. None without a budget or a figure."""
        worst = self.worst(sizes)
        if worst is None or self.budget is None:
            return None
        return worst / self.budget(sizes.budget)
