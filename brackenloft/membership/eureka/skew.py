"""By how much a registry's clock differs from ours, from the dates of its answers. Pure."""

from __future__ import annotations

from math import inf

DATE_MS = 1000.0  # a date is cut to whole seconds
TOLERANCE_MS = 1000.0  # by which bounds may contradict each other before a clock was set anew: clocks drift


class Skew:
    """Bounds of (registry's clock - ours), narrowed with each answer.

    An answer dated D, asked for at S and heard at R, was written between the two: the difference is more than
    D - R and less than D + 1 s - S. A new answer that contradicts the bounds starts them anew.
    """

    def __init__(self) -> None:
        self.low, self.high = -inf, inf

    def heard(self, date_ms: float, sent_ms: float, received_ms: float) -> None:
        """An answer with a date."""
        low, high = date_ms - received_ms, date_ms + DATE_MS - sent_ms
        if low > self.high + TOLERANCE_MS or high < self.low - TOLERANCE_MS:
            self.low, self.high = low, high
        else:
            self.low, self.high = max(self.low, low), min(self.high, high)
            if self.low > self.high:
                self.low, self.high = low, high

    def ours(self, registry_ms: float, now_ms: float) -> float:
        """A time of the registry by our clock, the latest it can be, and not in the future.

        Guards against taking a cold server for a warm one: of the times it may have started, the last one.
        """
        if self.low == -inf:
            return min(registry_ms, now_ms)
        return min(registry_ms - self.low, now_ms)
