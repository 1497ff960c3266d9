"""What became of the requests that a driver took."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counters:
    """What became of the requests so far, beside the tallies: each ends in one of these, or is gone."""

    requests: int = 0
    held: int = 0  # not sent on or answered at once
    attempts: int = 0  # sent on to servers
    gone: int = 0  # the client left, or the host cancelled, before the answer
    stalls: int = 0  # times that the loop was held up by more than the loop's lag allows
    stalled_ms: float = 0.0

    def stalled(self, seconds: float) -> None:
        """The loop was held up for so long."""
        self.stalls += 1
        self.stalled_ms += seconds * 1000.0
