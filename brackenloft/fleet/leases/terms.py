"""From when on a lease may be another's, by clocks that are never compared. Pure.

Two clocks run apart by ``drift`` at most (0.01: one second in a hundred). The holder counts a little less
than the length from *before* it asked, others a little more from *after* they saw it: whatever the messages
took, the holder stops before another begins. A clock beyond that is looked for against the stores' own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from brackenloft.fleet.leases.model import Lease, stands

MOST_DRIFT = 0.1
WINDOW_MS = 60_000.0  # over which a clock is compared: longer shows less drift, and forgets a step later
LEAST_WINDOW_MS = 500.0  # under which the way to the store is all that is seen


@dataclass(frozen=True, slots=True)
class Terms:
    """What all gateways of an installation agree on."""

    length_ms: float = 5000.0
    drift: float = 0.01

    def until(self, asked_ms: float, length_ms: float) -> float:
        """The holder's end of a lease that it asked for at that time, by its own clock."""
        return asked_ms + length_ms * (1.0 - self.drift)

    def free_at(self, seen_ms: float, length_ms: float) -> float:
        """From when on others may take what they saw first at that time, by their own clock."""
        return seen_ms + length_ms * (1.0 + self.drift)


@dataclass(slots=True)
class View:
    """What one process has seen of one lease, and since when."""

    version: int = -1  # -1: never looked; 0: there is none yet
    lease: Lease | None = None
    seen_ms: float = -math.inf  # when its holder's last sign was heard of first
    looked_ms: float = -math.inf

    def saw(self, version: int, lease: Lease | None, heard_ms: float) -> bool:
        """What stood at some moment before ``heard_ms``; whether it is news."""
        self.looked_ms = heard_ms
        if version <= self.version:
            return False
        if self.version < 0 or stands(lease) != stands(self.lease):
            self.seen_ms = heard_ms
        self.version, self.lease = version, lease
        return True

    def free_at(self, terms: Terms) -> float:
        """From when on it may be taken, if it is not renewed: at once where nobody holds it."""
        if self.version < 0:
            return math.inf
        if self.lease is None or not self.lease.holder:
            return self.seen_ms
        return terms.free_at(self.seen_ms, self.lease.length_ms)


@dataclass(slots=True)
class Anchor:
    """A store's clock at a moment that lies between two of ours."""

    asked_ms: float
    heard_ms: float
    store_ms: float


@dataclass(slots=True)
class Pace:
    """How fast our clock runs beside each store's, as far as the way there lets it be told."""

    drift: float
    anchors: dict[str, list[Anchor]] = field(default_factory=dict)
    apart: dict[str, float] = field(default_factory=dict)  # by how much at least, signed; 0 within the bound

    def heard(self, store: str, asked_ms: float, heard_ms: float, store_ms: float) -> None:
        """One reading of a store's clock. What is no number tells nothing."""
        if not math.isfinite(store_ms):
            return
        now = Anchor(asked_ms, heard_ms, store_ms)
        kept = self.anchors.setdefault(store, [now])
        first = kept[0]
        passed = now.store_ms - first.store_ms
        if passed < 0.0 or asked_ms - first.heard_ms > 4.0 * WINDOW_MS:  # it was set back, or we slept
            self.anchors[store] = [now]
            self.apart.pop(store, None)
            return
        if passed >= LEAST_WINDOW_MS:
            least, most = (asked_ms - first.heard_ms) / passed, (heard_ms - first.asked_ms) / passed
            self.apart[store] = max(0.0, least - 1.0 - self.drift) + min(0.0, most - 1.0 + self.drift)
        if len(kept) == 1 and passed >= WINDOW_MS / 2.0:
            kept.append(now)
        elif len(kept) == 2 and passed >= WINDOW_MS:
            self.anchors[store] = [kept[1], now]

    def beyond(self) -> float:
        """By how much our clock runs apart beyond the bound, as most stores tell; 0 where they don't.

        One store whose clock is set tells nothing against us.
        """
        told = sorted(self.apart.values())
        if not told:
            return 0.0
        middle = told[len(told) // 2] if told[len(told) // 2] < 0.0 else told[(len(told) - 1) // 2]
        return middle
