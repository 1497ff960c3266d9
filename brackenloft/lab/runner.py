"""Runs of an experiment on all cores, kept as JSON lines; what was done before an interrupt is not done
again.
"""

from __future__ import annotations

import json
import os
import resource
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from brackenloft import interface as api
from brackenloft.lab import textbook
from brackenloft.lab.spec import Experiment, ExperimentError, variants
from brackenloft.lab.world import Make, Policy, World
from brackenloft.policy import Gateway

VERSION = 1  # of a result's form: results of another are not mixed in
MOST_LOST = 3  # workers that may die, killed for memory say, before a sweep gives up


def _ours(settings: api.Settings, seed: int) -> Policy:
    return Gateway(settings, seed)


def _shared_window() -> Make:
    """A counter of its own for each run."""
    kind = type("FixedWindow", (textbook.FixedWindow,), {"shared": textbook.Shared()})
    return lambda settings, seed: kind(settings, seed)


POLICIES: dict[str, Callable[[], Make]] = {
    "ours": lambda: _ours,
    "let_all": lambda: textbook.LetAll,
    "even_buckets": lambda: textbook.EvenBuckets,
    "two_choices": lambda: textbook.TwoChoices,
    "fixed_window": _shared_window,
}


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a file."""

    experiment: Experiment
    point: dict[str, Any]  # of the grid
    policy: str
    seed: int
    file_hash: str

    def key(self) -> str:
        """What tells it from all other runs of the file."""
        return json.dumps([VERSION, self.file_hash, self.point, self.policy, self.seed], sort_keys=True)


def runs(experiment: Experiment, file_hash: str) -> list[Run]:
    """All runs of a file, in a stated order."""
    unknown = [name for name in experiment.policies if name not in POLICIES]
    if unknown:
        raise ExperimentError(f"policies: {unknown[0]!r} is none of {', '.join(POLICIES)}")
    return [
        Run(variant, point, policy, seed, file_hash)
        for point, variant in variants(experiment)
        for policy in experiment.policies
        for seed in experiment.seeds
    ]


def play(run: Run) -> dict[str, Any]:
    """One run, from its seed to its line of results."""
    began = time.process_time()
    world = World(run.experiment, POLICIES[run.policy](), run.seed).run()
    oracle = world.oracle
    return {
        "version": VERSION,
        "key": run.key(),
        "name": run.experiment.name,
        "file": run.file_hash,
        "point": run.point,
        "policy": run.policy,
        "seed": run.seed,
        "trace": world.trace.hexdigest(),
        "figures": oracle.figures(),
        "rules": dict(oracle.rules),
        "broken": oracle.words,
        "refusals": dict(oracle.refusals),
        "plans": {
            name: round(tally.served / tally.offered, 4)
            for name, tally in oracle.plans.items()
            if tally.offered
        },
        "seconds": {str(second): dict(row) for second, row in sorted(oracle.seconds.items())},
        "faults": oracle.faults,
        "events": world.events,
        "cpu_s": round(time.process_time() - began, 3),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, 1),
    }


def read_results(path: Path) -> dict[str, dict[str, Any]]:
    """Whole lines of this version, by key; a line cut short by an interrupt is passed over."""
    found: dict[str, dict[str, Any]] = {}
    if path.exists():
        for line in path.read_bytes().splitlines():
            try:
                row = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            if isinstance(row, dict) and row.get("version") == VERSION:
                found[row["key"]] = row
    return found


def sweep(wanted: list[Run], out: Path | None, workers: int = 0) -> Iterator[dict[str, Any]]:
    """Results as they come, those of an earlier sweep first; a worker that dies costs its runs a
    second try.
    """
    done = read_results(out) if out else {}
    left = [run for run in wanted if run.key() not in done]
    yield from (done[run.key()] for run in wanted if run.key() in done)
    workers, lost = workers or os.cpu_count() or 1, 0
    while left:
        finished: set[str] = set()
        try:
            for row in _played(left, workers):
                finished.add(row["key"])
                if out:
                    with out.open("ab") as file:
                        file.write(msgspec.json.encode(row) + b"\n")
                yield row
        except BrokenProcessPool:
            lost += 1
            if lost >= MOST_LOST:
                raise ExperimentError(f"{lost} workers died: too little memory?") from None
        left = [run for run in left if run.key() not in finished]


def _played(left: list[Run], workers: int) -> Iterator[dict[str, Any]]:
    if workers == 1 or len(left) == 1:
        yield from map(play, left)
        return
    with ProcessPoolExecutor(min(workers, len(left))) as pool:
        for future in as_completed([pool.submit(play, run) for run in left]):
            yield future.result()
