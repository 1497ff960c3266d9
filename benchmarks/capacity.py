"""Capacity at the target size: slopes of what stands, the page made of them, the scale run behind it.

python -m benchmarks.capacity --slopes   measure the slopes anew and store them (a minute or two)
python -m benchmarks.capacity --page     make docs/CAPACITY.md from the stored slopes
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from brackenloft.lab.scale import agreement, decisions, documents, page, registry, slopes, trees
from brackenloft.lab.scale.measuring import COMMAND, environment

STORED = Path(__file__).parent / "capacity" / "slopes.json"
PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def measure() -> slopes.Measured:
    """All slopes, one axis at a time."""
    where = environment(COMMAND)
    parts = (decisions, documents, agreement, registry, trees)
    found = [slope for part in parts for slope in part.slopes()]
    return slopes.Measured(where, tuple(found))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--slopes", action="store_true")
    parser.add_argument("--page", action="store_true")
    options = parser.parse_args()
    if options.slopes:
        measured = measure()
        slopes.store(STORED, measured)
        for slope in measured.slopes:
            row = "  ".join(f"{point.size:g}: {point.value:g}" for point in slope.points)
            print(f"{slope.name} [{slope.unit}] by {slope.axis}: {row}  ({slope.growth}, {slope.exponent})")
        print(json.dumps({"slopes": len(measured.slopes)}))
    if options.page:
        PAGE.write_text(page.render(slopes.load(STORED)))
        print(json.dumps({"page_bytes": PAGE.stat().st_size}))


if __name__ == "__main__":
    main()
