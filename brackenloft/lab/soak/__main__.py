"""``python -m brackenloft.lab.soak``: plays seeds, a line of JSON each; exits 1 if a rule was broken."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import traceback
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import uvloop

from brackenloft.lab.soak.run import Run, Scenario


def play(scenario: Scenario) -> dict[str, Any]:
    """One run; its line."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return uvloop.run(Run(scenario, Path(folder)).play()).line()
        except Exception as error:  # the other seeds are played all the same
            traceback.print_exc()
            return {"seed": scenario.seed, "rules": {"the run itself failed": 1}, "error": repr(error)}


def play_all(scenarios: list[Scenario], at_once: int) -> Iterator[dict[str, Any]]:
    """Several runs, so many side by side, in their order."""
    with ProcessPoolExecutor(at_once) as pool:
        yield from pool.map(play, scenarios)


def main() -> int:
    """Read the command line and play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--servers", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--faults", type=int, default=40)
    parser.add_argument("--at-once", type=int, default=1, help="runs side by side")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    scenarios = [
        Scenario.drawn(seed, options.gateways, options.servers, options.seconds, options.faults)
        for seed in seeds
    ]
    broken = 0
    for line in play_all(scenarios, options.at_once):
        print(json.dumps(line), flush=True)
        broken += bool(line["rules"])
    print(f"{len(scenarios) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
