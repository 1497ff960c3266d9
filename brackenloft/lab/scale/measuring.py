"""How slopes are measured: rounds of a call, what it leaves in memory, and on which machine."""

from __future__ import annotations

import gc
import os
import platform
import statistics
import subprocess
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, nullcontext
from pathlib import Path
from typing import Any

from brackenloft.lab.scale.slopes import Environment, Point, Slope

COMMAND = "python -m benchmarks.capacity --slopes"
LEAST_ROUNDS, MOST_ROUNDS = 3, 200
SHORT_HASH = 7
ROUNDS_S = 0.4  # so long rounds go on at one size


@contextmanager
def no_collection() -> Iterator[None]:
    """The collector of cycles rests: `serve` freezes what is there to stay."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def timed_ms(prepare: Callable[[], Any], call: Callable[[Any], Any], collects: bool = False) -> list[float]:
    """Milliseconds of a processor that each round takes; ``prepare`` makes what it needs and is not counted.

    Processor time, as other work on the same cores would count in a wall clock's.

    ``collects``: the collector of cycles takes its turns, as it does before `serve` has frozen its state.
    """
    rounds: list[float] = []
    ends = time.perf_counter() + ROUNDS_S
    with nullcontext() if collects else no_collection():
        while len(rounds) < LEAST_ROUNDS or (len(rounds) < MOST_ROUNDS and time.perf_counter() < ends):
            given = prepare()
            began = time.thread_time()
            call(given)
            rounds.append((time.thread_time() - began) * 1000.0)
    return rounds


def repeated_ms(call: Callable[[], Any]) -> list[float]:
    """As ``timed_ms``, of a call that needs nothing prepared."""
    return timed_ms(lambda: None, lambda _: call())


def point(size: float, rounds: list[float]) -> Point:
    """Median and worst."""
    return Point(size, round(statistics.median(rounds), 6), round(max(rounds), 6))


def exact(size: float, value: float) -> Point:
    """A figure without scatter."""
    return Point(size, value, value)


def held_bytes(make: Callable[[], Any]) -> int:
    """Bytes that what ``make`` returns keeps, by the allocator's own count."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def slope(name: str, measures: str, axis: str, unit: str, points: Iterable[Point]) -> Slope:
    """A slope of this run."""
    return Slope(name, measures, axis, unit, COMMAND, tuple(points))


def environment(command: str) -> Environment:
    """This machine and this version."""
    info = Path("/proc/cpuinfo").read_text().splitlines()
    processor = next(
        (line.split(":")[1].strip() for line in info if line.startswith("model name")), "unknown"
    )
    memory_kb = int(Path("/proc/meminfo").read_text().split()[1])
    ask = ["git", "merge-base", "HEAD", "main"]  # a commit that stays, also where this one is rebased
    commit = subprocess.run(ask, capture_output=True, text=True, check=False).stdout.strip()[:SHORT_HASH]
    return Environment(
        processor,
        os.cpu_count() or 1,
        round(memory_kb / 1e6, 1),
        platform.python_version(),
        commit or "unknown",
        command,
        round(os.getloadavg()[0], 1),
    )
