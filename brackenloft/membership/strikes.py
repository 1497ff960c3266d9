"""What staleness costs a node that can't be reached: out sooner than one that a source vouches for. Pure."""

from __future__ import annotations

from brackenloft.membership.model import Key

STRIKES = 2  # connects in a row that failed: one may be the loop's or the way's
SPAN_MS = 10_000.0  # in which they count as in a row
OUT_MS = 30_000.0  # a heartbeat of registries: the node may have come back and nobody could tell
MOST_SHARE = 0.5  # of the nodes that may be out so at once


class Strikes:
    """Which nodes with a stale entry are out because connects to them fail.

    Guards against a dead node that only a stale list names: the decisions alone would try it every few
    seconds for as long as the registry is away. Harm: a node behind a way that is cut for a moment rests up
    to 30 s. Bound: where half are out the way from here is cut, not the nodes, and no more are taken.
    """

    def __init__(self) -> None:
        self.counts: dict[Key, tuple[int, float]] = {}  # failures in a row, and when the last one was
        self.out: dict[Key, float] = {}  # until when

    def failed(self, key: Key, now: float, known: int) -> bool:
        """A connect failed at a node whose entry is stale; whether it is out now."""
        count, last = self.counts.get(key, (0, now))
        count = count + 1 if now - last <= SPAN_MS else 1
        self.counts[key] = (count, now)
        if count < STRIKES or key in self.out or len(self.out) + 1 > MOST_SHARE * known:
            return False
        self.out[key] = now + OUT_MS
        return True

    def reached(self, key: Key) -> bool:
        """A connect came up; whether the node was out."""
        self.counts.pop(key, None)
        return self.out.pop(key, None) is not None

    def out_until(self, key: Key, now: float) -> float:
        """Until when nothing new goes there; at or before ``now`` if it is not out."""
        until = self.out.get(key, now)
        if until <= now:
            self.out.pop(key, None)
        return until

    def forget(self, key: Key) -> bool:
        """It is vouched for again, or gone; whether it was out."""
        return self.reached(key)
