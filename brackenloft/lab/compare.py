"""Two policies on the same seeds: paired differences with bootstrap intervals, and what can't be told
apart.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import numpy as np

RESAMPLES = 4000  # of the pairs: intervals steady to about a hundredth of their width
SURE = 0.95


@dataclass(frozen=True, slots=True)
class Difference:
    """Of a figure, B less A: the mean over pairs, and where it lies with ``SURE``."""

    figure: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    pairs: int

    def seen(self) -> bool:
        """Whether the interval leaves nought out."""
        return self.pairs > 1 and (self.low > 0.0 or self.high < 0.0)

    def verdict(self) -> str:
        """In words."""
        if not self.seen():
            return "no difference seen"
        return "B is higher" if self.mean > 0.0 else "B is lower"


def pairs_of(
    rows: Iterable[Mapping[str, Any]], a: str, b: str
) -> list[tuple[dict[str, float], dict[str, float]]]:
    """Figures of the two policies at the same point and seed."""
    by: dict[tuple[str, str, int], dict[str, dict[str, float]]] = {}
    for row in rows:
        place = (row["file"], repr(sorted(row["point"].items())), row["seed"])
        by.setdefault(place, {})[row["policy"]] = row["figures"]
    return [(found[a], found[b]) for _, found in sorted(by.items()) if a in found and b in found]


def difference(
    figure: str, pairs: list[tuple[dict[str, float], dict[str, float]]], seed: int = 1
) -> Difference:
    """Of one figure; ValueError if there is no pair."""
    if not pairs:
        raise ValueError("no run of both policies at the same seed")
    ours = np.array([one[figure] for one, _ in pairs])
    theirs = np.array([other[figure] for _, other in pairs])
    deltas = theirs - ours
    draws = np.random.default_rng(seed).integers(0, len(deltas), (RESAMPLES, len(deltas)))
    means = deltas[draws].mean(axis=1)
    low, high = np.quantile(means, [(1.0 - SURE) / 2.0, (1.0 + SURE) / 2.0])
    return Difference(
        figure,
        float(ours.mean()),
        float(theirs.mean()),
        float(deltas.mean()),
        float(low),
        float(high),
        len(pairs),
    )
