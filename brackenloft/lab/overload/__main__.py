"""``python -m brackenloft.lab.overload``: plays runs, a line of JSON each; exits 1 if a rule was broken."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import traceback
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import uvloop

from brackenloft.lab.overload.run import ROOT, Run
from brackenloft.lab.overload.scenario import CrowdKind, Scenario, Trouble, Usage


def play(scenario: Scenario, root: Path) -> dict[str, Any]:
    """One run; its line."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return uvloop.run(Run(scenario, Path(folder), root).play()).line()
        except Exception as error:  # the other runs are played all the same
            traceback.print_exc()
            return {"seed": scenario.seed, "rules": {"the run itself failed": 1}, "error": repr(error)}


def scenarios(options: argparse.Namespace) -> list[Scenario]:
    """What the command line asks for: drawn by seeds, or one setting over as many seeds."""
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    if options.kind is None:
        return [Scenario.drawn(seed, options.seconds) for seed in seeds]
    setting = (options.kind, options.crowd, options.memory_mb, options.sockets, options.seconds)
    trouble = Trouble(options.places, options.reset_share, options.body_rate, options.stops_per_s)
    how = (options.restart_at, options.rate, trouble, options.usage)
    return [Scenario(seed, *setting, *how) for seed in seeds]


def main() -> int:
    """Read the command line and play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--kind", type=CrowdKind, help="of the crowd; without it each seed draws its setting")
    parser.add_argument("--crowd", type=int, default=300, help="bad clients")
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--restart-at", type=float, default=0.0, help="seconds; 0 for never")
    parser.add_argument("--rate", type=float, default=60.0, help="of sound requests a second")
    parser.add_argument("--usage", type=Usage, default=Usage.MIXED, help="what sound clients ask for")
    parser.add_argument("--body-rate", type=float, default=0.0, help="of servers, bytes a second; 0 for any")
    parser.add_argument("--places", type=int, default=0, help="of a server; 0 for any number")
    parser.add_argument("--reset-share", type=float, default=0.0, help="of connections to servers")
    parser.add_argument("--stops-per-s", type=float, default=0.0, help="of the gateway's process")
    parser.add_argument("--root", type=Path, default=ROOT, help="the version of the gateway to play")
    parser.add_argument("--at-once", type=int, default=1, help="runs side by side")
    options = parser.parse_args()
    broken = 0
    drawn = scenarios(options)
    with ProcessPoolExecutor(options.at_once) as pool:
        for line in pool.map(play, drawn, [options.root] * len(drawn)):
            print(json.dumps(line), flush=True)
            broken += bool(line["rules"])
    print(f"{len(drawn) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
