"""At what pace a control server hands out snapshots, and when to come back. Pure: time is passed in.

A token bucket admits. Each follower that is turned away is given the next place in a virtual queue that
moves at the same pace, so that those that come back find a token; jitter spreads those of the same place.
"""

from __future__ import annotations

from brackenloft.configuration.messages import Busy

LONGEST_RETRY_MS = 10_000.0  # a follower that is turned away comes back within this
JITTER_SHARE = 0.5  # of the wait, by which a retry is later at most
MS_PER_S = 1000.0


class SnapshotAdmission:
    """``per_s`` snapshots a second, ``burst`` of them at once after a quiet time."""

    def __init__(self, per_s: float, burst: int) -> None:
        if per_s <= 0.0 or burst < 1:
            raise ValueError(f"per_s: {per_s}, burst: {burst}: not above 0")
        self.interval_ms = MS_PER_S / per_s
        self.burst = burst
        self.tokens = float(burst)
        self.refilled_at_ms: float | None = None
        self.next_place_ms = 0.0

    def admit(self, now_ms: float, jitter: float) -> Busy | None:
        """None if a snapshot may be handed out now, else when to ask again. ``jitter``: from 0 up to 1."""
        self._refill(now_ms)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return None
        self.next_place_ms = max(self.next_place_ms, now_ms) + self.interval_ms
        wait_ms = (self.next_place_ms - now_ms) * (1.0 + JITTER_SHARE * jitter)
        if wait_ms > LONGEST_RETRY_MS:
            self.next_place_ms = now_ms + LONGEST_RETRY_MS
            wait_ms = LONGEST_RETRY_MS * (1.0 - JITTER_SHARE * jitter)
        return Busy(wait_ms)

    def _refill(self, now_ms: float) -> None:
        """The clock may stand still but does not go back; one that does refills nothing."""
        if self.refilled_at_ms is None:
            self.refilled_at_ms = now_ms
        elapsed_ms = max(0.0, now_ms - self.refilled_at_ms)
        self.refilled_at_ms = max(self.refilled_at_ms, now_ms)
        self.tokens = min(float(self.burst), self.tokens + elapsed_ms / self.interval_ms)
