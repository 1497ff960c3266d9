"""Capacity at the target size: the scale run, the slopes of what stands, and the page made of both.

python -m benchmarks.capacity            a small scale run (under a minute); the last line is JSON
python -m benchmarks.capacity --full     570 gateways, 6 control servers; its result is stored
python -m benchmarks.capacity --plain-ways    whole documents, and all from the stores, beside the stored run
python -m benchmarks.capacity --slopes   measure the slopes anew and store them (a minute or two)
python -m benchmarks.capacity --page     make docs/CAPACITY.md from what is stored
python -m benchmarks.capacity --cause NAME=TEXT    why a figure of the stored run misses, or was not measured
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

import msgspec
import uvloop

from brackenloft.lab.scale import agreement, decisions, documents, page, registry, results, run, slopes, trees
from brackenloft.lab.scale.measuring import COMMAND, environment
from brackenloft.lab.scale.results import ScaleResult

HERE = Path(__file__).parent
STORED, FULL = HERE / "capacity" / "slopes.json", HERE / "capacity" / "full.json"
PAGE = HERE.parent / "docs" / "CAPACITY.md"
RUN_COMMAND = "python -m benchmarks.capacity"


def measure() -> slopes.Measured:
    """All slopes, one axis at a time."""
    where = environment(COMMAND)
    parts = (decisions, documents, agreement, registry, trees)
    found = [slope for part in parts for slope in part.slopes()]
    return slopes.Measured(where, tuple(found))


def show(measured: slopes.Measured) -> None:
    """A line for each slope."""
    for slope in measured.slopes:
        row = "  ".join(f"{point.size:g}: {point.value:g}" for point in slope.points)
        print(f"{slope.name} [{slope.unit}] by {slope.axis}: {row}  ({slope.growth}, {slope.exponent})")
    print(json.dumps({"slopes": len(measured.slopes)}))


def page_text() -> str:
    """The page as what is stored makes it."""
    return page.render(slopes.load(STORED), results.load(FULL))


def scale(full: bool, keep: Path | None) -> ScaleResult:
    """A run; a full one is stored."""
    differs = int(page_text() != PAGE.read_text())
    if full:
        sizes = run.Sizes(f"{RUN_COMMAND} --full", run.FULL, run.FULL_PHASES)
    else:
        sizes = run.Sizes(RUN_COMMAND, run.SMALL, run.SMALL_PHASES)
    found = uvloop.run(run.play(sizes, say, keep))
    figures = msgspec.structs.replace(found.figures, page_differs=differs)
    found = msgspec.structs.replace(found, figures=figures)
    if full:
        results.store(FULL, found)  # whatever becomes of the plain ways
        found = add_plain_ways(found)
    return found


def add_plain_ways(found: ScaleResult) -> ScaleResult:
    """Play them and store them beside the run."""
    gateways, servers = found.figures.gateways, found.figures.control_servers
    baselines = uvloop.run(run.play_plain_ways(gateways, servers, say))
    found = msgspec.structs.replace(found, baselines=baselines)
    results.store(FULL, found)
    return found


def say(text: str) -> None:
    """How far a run is."""
    print(text, file=sys.stderr, flush=True)


def add_cause(text: str) -> None:
    """Beside a figure of the stored run."""
    name, _, cause = text.partition("=")
    found = results.load(FULL)
    if found is None or name not in msgspec.structs.asdict(found.figures) or not cause:
        raise SystemExit(f"--cause: no figure of a stored run, or no text: {text!r}")
    results.store(FULL, msgspec.structs.replace(found, causes=found.causes | {name: cause}))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)  # fmt: skip
    for name in ("--full", "--plain-ways", "--slopes", "--page"):
        parser.add_argument(name, action="store_true")
    parser.add_argument("--cause", action="append", default=[])
    parser.add_argument("--keep", type=Path, help="a folder for the histories and logs of a run")
    options = parser.parse_args()
    for cause in options.cause:
        add_cause(cause)
    if options.slopes:
        measured = measure()
        slopes.store(STORED, measured)
        show(measured)
    if options.plain_ways:
        stored = results.load(FULL)
        if stored is None:
            raise SystemExit("--plain-ways: no run is stored yet")
        print(json.dumps([msgspec.structs.asdict(one) for one in add_plain_ways(stored).baselines]))
    if options.page:
        PAGE.write_text(page_text())
        print(json.dumps({"page_bytes": PAGE.stat().st_size}))
    if options.full or not (options.slopes or options.page or options.cause or options.plain_ways):
        found = scale(options.full, options.keep)
        for name, value in found.beside.items():
            print(f"{name}: {value}")
        for baseline in found.baselines:
            print(f"plain way: {msgspec.structs.asdict(baseline)}")
        baselines = {one.mode: msgspec.structs.asdict(one) for one in found.baselines}
        print(json.dumps(msgspec.structs.asdict(found.figures) | {"baselines": baselines}))


if __name__ == "__main__":
    main()
