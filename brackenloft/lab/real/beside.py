"""An experiment on sockets beside itself in virtual time: how far apart, and whether to believe it."""

from __future__ import annotations

import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from typing import Any

from brackenloft.lab.spec import Experiment

MOST_POINTS = 5.0  # of served share that the two may be apart
MOST_PERCENT = 15.0  # of median latency
MOST_LATE = 0.01  # of a run's alarms that may be late: beyond it its times are the machine's own
MOST_QUEUED = 0.02  # of the world's median, that a try may wait for processors, for the same reason: in
# one run alone it was 0.0003; at 0.037 the median was 14 to 18% higher, at 0.055 22 to 28%
PROCESSES = 5  # of a run, about: four gateways that are mostly idle, clients and nodes
FIGURES = (
    "served_share",
    "refused_share",
    "failed_share",
    "service",
    "overuse_cost",
    "beyond_quota",
    "median_ms",
    "p99_ms",
    "tries",
    "rules_broken",
)


@dataclass(frozen=True, slots=True)
class Apart:
    """How far a run on sockets is from the world's."""

    served_points: float
    median_percent: float
    late_share: float
    queued_share: float  # time that each try waited for a processor, of the median

    def alike(self) -> bool:
        """Whether the model holds for this run."""
        return self.served_points <= MOST_POINTS and self.median_percent <= MOST_PERCENT

    def verdict(self) -> str:
        """In one word; a machine that was too busy says nothing about the model."""
        if self.late_share > MOST_LATE or self.queued_share > MOST_QUEUED:
            return "machine too busy"
        return "alike" if self.alike() else "apart"


def apart(
    real: dict[str, float], world: dict[str, float], late_share: float, queued_ms: float = 0.0
) -> Apart:
    """From the figures of both."""
    least_ms = max(world["median_ms"], 1e-9)
    served = 100.0 * abs(real["served_share"] - world["served_share"])
    median = 100.0 * abs(real["median_ms"] - world["median_ms"]) / least_ms
    return Apart(round(served, 2), round(median, 2), round(late_share, 5), round(queued_ms / least_ms, 4))


def play(experiment: Experiment, seed: int) -> dict[str, Any]:
    """One seed on sockets and in the world; its line of results."""
    import uvloop

    from brackenloft.lab import runner
    from brackenloft.lab.real import sockets
    from brackenloft.lab.world import World

    run = uvloop.run(sockets.play(experiment, seed))
    world = World(experiment, runner.POLICIES["ours"](), seed).run()
    real_figures, world_figures = run.oracle.figures(), world.oracle.figures()
    found = apart(real_figures, world_figures, run.late_share(), run.queued_ms)
    return {
        "name": experiment.name,
        "seed": seed,
        "verdict": found.verdict(),
        "served_points": found.served_points,
        "median_percent": found.median_percent,
        "late_share": found.late_share,
        "queued_share": found.queued_share,
        "real": real_figures,
        "world": world_figures,
        "rules": dict(run.oracle.rules),
        "broken": run.oracle.words,
        "gateways_cpu_s": round(run.cpu_s, 2),
        "connections": run.connections,
    }


def sweep(wanted: list[tuple[Experiment, int]], workers: int = 0) -> Iterator[dict[str, Any]]:
    """Several runs, so many side by side; by default as many as leave each process a good part of a core."""
    workers = min(len(wanted), workers or max(1, 2 * (os.cpu_count() or 1) // PROCESSES))
    if workers <= 1:
        yield from (play(*each) for each in wanted)
        return
    with ProcessPoolExecutor(workers) as pool:
        for future in as_completed([pool.submit(play, *each) for each in wanted]):
            yield future.result()
