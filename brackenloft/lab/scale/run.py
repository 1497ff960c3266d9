"""A scale run as a whole, played in a folder of its own and summed up; the plain ways to compare with."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec

from brackenloft.lab.configuration.events import read_events
from brackenloft.lab.scale import baseline_runs, summary
from brackenloft.lab.scale.baseline_runs import Baseline
from brackenloft.lab.scale.fleet import FleetPlan
from brackenloft.lab.scale.measuring import environment
from brackenloft.lab.scale.results import ScaleResult
from brackenloft.lab.scale.scenario import Phases, Scenario

SMALL = FleetPlan(gateways=42, zones=3, tenants=2_000, routes=200, servers=500)
SMALL_PHASES = Phases(rest_s=5.0, changes=3, change_every_s=0.5, down_s=2.0, cut_s=3.0, burst=10, burst_s=2.0)
FULL, FULL_PHASES = FleetPlan(), Phases()
PROCESSES = 3  # of gateways that follow in a plain way


class Sizes(msgspec.Struct, frozen=True):
    """What is run, and by which command."""

    command: str
    plan: FleetPlan
    phases: Phases


async def play(sizes: Sizes, say: Callable[[str], None], keep: Path | None = None) -> ScaleResult:
    """Run it; ``keep``: a folder for the histories and logs."""
    where = environment(sizes.command)
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(sizes.plan, sizes.phases, Path(folder), say)
        try:
            observed = await scenario.play()
        finally:
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
        events = await asyncio.to_thread(read_events, scenario.events_files())
    say(f"{len(events)} events are read")
    figures = summary.figures(sizes.plan, observed, events, where.memory_gb * 1000.0)
    beside = summary.beside(sizes.plan, observed, events)
    beside["published_digest_differs"] = scenario.operator.mismatched
    return ScaleResult(where, figures, beside, {})


async def play_plain_ways(gateways: int, servers: int, say: Callable[[str], None]) -> tuple[Baseline, ...]:
    """Whole documents, and everything from the stores, with so many gateways."""
    found = []
    for mode in ("whole", "stores"):
        say(f"plain way: {mode}")
        found.append(await baseline_runs.play(mode, gateways, PROCESSES, servers))
    return tuple(found)
