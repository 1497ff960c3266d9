"""The figures of a scale run, their aims, and the stored file of the full one."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec

from brackenloft.lab.scale.baseline_runs import Baseline
from brackenloft.lab.scale.slopes import Environment
from brackenloft.lab.scale.target import BUDGET

MOST_OF_MEMORY = 0.5  # of the machine


class Judgement(StrEnum):
    """How a figure stands to its aim."""

    MET = "met"
    MISSED = "**missed**"
    NOT_MEASURED = "not measured"
    NO_AIM = "no aim"


class ScaleFigures(msgspec.Struct, frozen=True):
    """The last line of a run. None: not measured, and ``causes`` says why.

    Bytes and processor time are of one gateway for control alone; ``added_ms_p99`` is over a bare relay.
    """

    gateways: int
    control_servers: int
    in_force_s_p99: float | None = None
    in_force_s_worst: float | None = None
    control_bytes_s: float | None = None
    control_cpu_percent: float | None = None
    control_memory_mb: float | None = None
    apply_stall_ms_max: float | None = None
    added_ms_p99: float | None = None
    went_back: int | None = None
    torn: int | None = None
    told_early: int | None = None
    page_differs: int | None = None
    restart_storm_s: float | None = None
    control_server_cpu_percent: float | None = None
    memory_share: float | None = None


AIMS: dict[str, float] = {
    "in_force_s_p99": BUDGET.in_force_s,
    "in_force_s_worst": BUDGET.in_force_s,
    "control_bytes_s": BUDGET.control_bytes_s,
    "control_cpu_percent": BUDGET.control_core_percent,
    "control_memory_mb": BUDGET.control_memory_mb,
    "apply_stall_ms_max": BUDGET.added_ms,
    "added_ms_p99": BUDGET.added_ms,
    "went_back": 0.0,
    "torn": 0.0,
    "told_early": 0.0,
    "page_differs": 0.0,
    "restart_storm_s": BUDGET.restart_storm_s,
    "memory_share": MOST_OF_MEMORY,
}


class ScaleResult(msgspec.Struct, frozen=True):
    """A whole run: its figures, what was seen beside them, and causes of what misses or was not measured."""

    environment: Environment
    figures: ScaleFigures
    beside: dict[str, float | int | None]
    causes: dict[str, str]
    baselines: tuple[Baseline, ...] = ()


def judge(name: str, value: float | None) -> Judgement:
    """Whether a figure keeps its aim: each is a most."""
    if value is None:
        return Judgement.NOT_MEASURED
    aim = AIMS.get(name)
    if aim is None:
        return Judgement.NO_AIM
    return Judgement.MET if value <= aim else Judgement.MISSED


def unexplained(result: ScaleResult) -> list[str]:
    """Figures that miss or were not measured and have no cause beside them."""
    wanting = (Judgement.MISSED, Judgement.NOT_MEASURED)
    figures = msgspec.structs.asdict(result.figures)
    return [
        name for name, value in figures.items() if judge(name, value) in wanting and name not in result.causes
    ]


def load(path: Path) -> ScaleResult | None:
    """The stored run; None if there is none."""
    if not path.exists():
        return None
    return msgspec.json.decode(path.read_bytes(), type=ScaleResult)


def store(path: Path, result: ScaleResult) -> None:
    """Write it, in a form that a diff can show."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
